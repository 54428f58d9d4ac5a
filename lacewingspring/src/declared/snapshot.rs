//! Immutable snapshot of the declared state at one generation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use lacewingspring_core::{
    catalog::Catalog,
    config::{DeclaredResource, DeclaredState, Head, IncompleteState},
    resources::ResourceId,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use super::keys::{KeyKind, Keys};
use crate::platform::key_value::{KeyValueEntry, Revision, WatchBatch, WatchEvent};

/// Number of past commits whose records are kept, in the service and in a snapshot.
pub(super) const HISTORY_LEN: u64 = 64;

/// Declared state of one generation. Immutable; a later generation replaces it as a whole.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Declared resources.
    pub declared: DeclaredState,
    /// Resources indexed for the request path.
    pub catalog: Arc<Catalog>,
    /// Records of the most recent commits by generation; the last one is the head.
    pub history: BTreeMap<u64, Head>,
    /// Revision of the head record; 0 if there is none.
    pub(super) head_revision: Revision,
}

/// Why a state or a set of changes can't be used.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// A record could not be parsed.
    #[error("the record {key} could not be read: {reason}")]
    Record {
        /// Key of the record.
        key: String,
        /// Error of the parser.
        reason: String,
    },
    /// The changes of a peer are based on another generation than the one in force.
    #[error("the changes of a peer are based on generation {0}, which is not in force")]
    BaseMismatch(u64),
    /// The head record is missing.
    #[error("there is no head record")]
    NoHead,
    /// Resources of the generation are missing.
    #[error(transparent)]
    Incomplete(#[from] IncompleteState),
}

/// Result of applying the events of one revision to a snapshot.
#[derive(Debug)]
pub(super) enum Step {
    /// The events contain no commit or one that is already applied.
    Known,
    /// The events contain the next commit, which leads to this snapshot.
    Next(Snapshot),
    /// The events belong to this generation, but some of its events or earlier ones are missing.
    Gap(u64),
}

/// Message by which instances exchange the declared state.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SnapshotMessage {
    Whole(WholeMessage),
    Changes(ChangesMessage),
}

/// A complete snapshot.
#[derive(Serialize, Deserialize)]
struct WholeMessage {
    head_revision: Revision,
    resources: Vec<DeclaredResource>,
    history: Vec<Head>,
}

/// Changes of all commits after one generation.
#[derive(Serialize, Deserialize)]
struct ChangesMessage {
    from: u64,
    head_revision: Revision,
    puts: Vec<DeclaredResource>,
    deletes: Vec<ResourceId>,
    heads: Vec<Head>,
}

/// Parsed events of one revision.
#[derive(Default)]
struct Events {
    head: Option<Head>,
    record: Option<Head>,
    puts: Vec<DeclaredResource>,
    deletes: Vec<ResourceId>,
}

impl Events {
    fn read(keys: &Keys, events: &[WatchEvent]) -> Result<Self, SnapshotError> {
        let mut read = Self::default();
        for event in events {
            match event {
                WatchEvent::Put(entry) => match keys.kind(&entry.key) {
                    KeyKind::Head => read.head = Some(parse(entry)?),
                    KeyKind::Resource(_) => read.puts.push(parse(entry)?),
                    KeyKind::History => read.record = Some(parse(entry)?),
                    KeyKind::Other => {}
                },
                WatchEvent::Delete(key) => {
                    if let KeyKind::Resource(id) = keys.kind(key) {
                        read.deletes.push(id);
                    }
                }
            }
        }
        Ok(read)
    }

    /// Returns the highest generation in the events; 0 if there is none.
    fn newest(&self) -> u64 {
        let heads = self.head.iter().chain(&self.record).map(|head| head.generation);
        let resources = self.puts.iter().map(|stored| stored.generation);
        heads.chain(resources).max().unwrap_or(0)
    }
}

impl Snapshot {
    /// Returns the generation.
    pub fn generation(&self) -> u64 {
        self.declared.generation
    }

    /// Returns the record of the last commit.
    pub fn head(&self) -> Option<&Head> {
        self.history.get(&self.generation())
    }

    /// Returns the resources that commits after `generation` changed.
    pub fn changed_since(&self, generation: u64) -> BTreeSet<ResourceId> {
        let ids = self.declared.resources.keys();
        let later = |id: &&ResourceId| self.declared.generation_of(id) > Some(generation);
        let mut changed: BTreeSet<ResourceId> = ids.filter(later).cloned().collect();
        // Only the commit records name removed resources.
        let records = self.history.range(generation.saturating_add(1)..);
        changed.extend(records.flat_map(|(_, head)| head.changed.iter().cloned()));
        changed
    }

    /// Builds a snapshot from all entries below the prefix.
    pub(super) fn read(keys: &Keys, entries: &[KeyValueEntry]) -> Result<Self, SnapshotError> {
        let mut head = None;
        let mut resources = Vec::new();
        let mut history = BTreeMap::new();
        for entry in entries {
            match keys.kind(&entry.key) {
                KeyKind::Head => head = Some((parse::<Head>(entry)?, entry.mod_revision)),
                KeyKind::Resource(_) => resources.push(parse(entry)?),
                KeyKind::History => {
                    let record: Head = parse(entry)?;
                    history.insert(record.generation, record);
                }
                KeyKind::Other => {}
            }
        }
        match head {
            Some((head, revision)) => Self::assemble(head, revision, resources, history),
            None if resources.is_empty() => Ok(Self::default()),
            None => Err(SnapshotError::NoHead),
        }
    }

    /// Applies the events of one revision.
    pub(super) fn step(&self, keys: &Keys, batch: &WatchBatch) -> Result<Step, SnapshotError> {
        let events = Events::read(keys, &batch.events)?;
        let newest = events.newest();
        if newest <= self.generation() {
            return Ok(Step::Known);
        }
        // Every commit writes the head record, so its event is missing here.
        let Some(head) = events.head else { return Ok(Step::Gap(newest)) };
        if head.generation != self.generation() + 1 {
            return Ok(Step::Gap(newest));
        }
        match self.declared.advance(&head, events.puts, events.deletes) {
            Ok(declared) => Ok(Step::Next(self.with_commit(declared, head, batch.revision))),
            Err(IncompleteState(generation)) => Ok(Step::Gap(generation)),
        }
    }

    /// Returns the snapshot that follows this one after one commit.
    pub(super) fn with_commit(
        &self,
        declared: DeclaredState,
        head: Head,
        revision: Revision,
    ) -> Self {
        let mut history = self.history.clone();
        history.insert(head.generation, head);
        Self::new(declared, history, revision)
    }

    /// Encodes the whole snapshot for another instance.
    pub(super) fn encode(&self) -> Bytes {
        let ids = self.declared.resources.keys();
        encode(&SnapshotMessage::Whole(WholeMessage {
            head_revision: self.head_revision,
            resources: ids.filter_map(|id| self.declared.stored(id)).collect(),
            history: self.history.values().cloned().collect(),
        }))
    }

    /// Encodes the changes since a generation, for an instance that has that generation in force.
    /// Encodes the whole snapshot if the records of these commits are not all kept.
    pub(super) fn encode_since(&self, generation: u64) -> Bytes {
        let heads = self.history.range(generation.saturating_add(1)..).map(|(_, head)| head);
        let heads: Vec<Head> = heads.cloned().collect();
        let all_kept = generation.checked_add(heads.len() as u64) == Some(self.generation());
        if generation == 0 || heads.is_empty() || !all_kept {
            return self.encode();
        }
        let changed = self.changed_since(generation);
        let puts = changed.iter().filter_map(|id| self.declared.stored(id)).collect();
        let is_gone = |id: &ResourceId| !self.declared.resources.contains_key(id);
        let deletes = changed.into_iter().filter(is_gone).collect();
        let head_revision = self.head_revision;
        let from = generation;
        encode(&SnapshotMessage::Changes(ChangesMessage {
            from,
            head_revision,
            puts,
            deletes,
            heads,
        }))
    }

    /// Decodes a message of another instance: a whole snapshot, or changes based on this snapshot.
    pub(super) fn decode(&self, bytes: &[u8]) -> Result<Self, SnapshotError> {
        let message = serde_json::from_slice(bytes).map_err(|err| SnapshotError::Record {
            key: "from a peer".into(),
            reason: err.to_string(),
        })?;
        match message {
            SnapshotMessage::Whole(message) => Self::from_whole(message),
            SnapshotMessage::Changes(message) => self.apply_changes(message),
        }
    }

    fn from_whole(message: WholeMessage) -> Result<Self, SnapshotError> {
        let mut history: BTreeMap<u64, Head> =
            message.history.into_iter().map(|head| (head.generation, head)).collect();
        match history.pop_last() {
            Some((_, head)) => {
                Self::assemble(head, message.head_revision, message.resources, history)
            }
            None if message.resources.is_empty() => Ok(Self::default()),
            None => Err(SnapshotError::NoHead),
        }
    }

    fn apply_changes(&self, message: ChangesMessage) -> Result<Self, SnapshotError> {
        if message.from != self.generation() {
            return Err(SnapshotError::BaseMismatch(message.from));
        }
        let head = message.heads.iter().max_by_key(|head| head.generation);
        let head = head.ok_or(SnapshotError::NoHead)?;
        let declared = self.declared.advance(head, message.puts, message.deletes)?;
        let mut history = self.history.clone();
        history.extend(message.heads.into_iter().map(|head| (head.generation, head)));
        Ok(Self::new(declared, history, message.head_revision))
    }

    fn assemble(
        head: Head,
        revision: Revision,
        resources: Vec<DeclaredResource>,
        mut history: BTreeMap<u64, Head>,
    ) -> Result<Self, SnapshotError> {
        let declared = DeclaredState::assemble(&head, resources)?;
        history.insert(head.generation, head);
        Ok(Self::new(declared, history, revision))
    }

    fn new(
        declared: DeclaredState,
        mut history: BTreeMap<u64, Head>,
        head_revision: Revision,
    ) -> Self {
        let generation = declared.generation;
        history.retain(|past, _| past + HISTORY_LEN > generation && *past <= generation);
        let catalog = Arc::new(Catalog::new(generation, declared.resources.values()));
        Self { declared, catalog, history, head_revision }
    }
}

fn encode(message: &SnapshotMessage) -> Bytes {
    Bytes::from(serde_json::to_vec(message).unwrap_or_default())
}

fn parse<T>(entry: &KeyValueEntry) -> Result<T, SnapshotError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&entry.value)
        .map_err(|err| SnapshotError::Record { key: entry.key.clone(), reason: err.to_string() })
}
