//! Key layout of the declared state in the key-value service.

use lacewingspring_core::resources::{ResourceId, ResourceKind};

/// Keys of the declared state: the head record, one record per past commit, one entry per resource.
#[derive(Debug)]
pub(super) struct Keys {
    pub(super) prefix: String,
    pub(super) head: String,
    resources: String,
    history: String,
}

/// Kind of entry that a key holds.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum KeyKind {
    Head,
    Resource(ResourceId),
    History,
    Other,
}

impl Keys {
    pub(super) fn new(prefix: &str) -> Self {
        let prefix = format!("{prefix}declared/");
        Self {
            head: format!("{prefix}head"),
            resources: format!("{prefix}resources/"),
            history: format!("{prefix}history/"),
            prefix,
        }
    }

    pub(super) fn resource(&self, id: &ResourceId) -> String {
        format!("{}{id}", self.resources)
    }

    pub(super) fn history(&self, generation: u64) -> String {
        // Zero-padded to the 20 digits of `u64::MAX`, so that keys sort by generation.
        format!("{}{generation:020}", self.history)
    }

    pub(super) fn kind(&self, key: &str) -> KeyKind {
        if key == self.head {
            return KeyKind::Head;
        }
        if key.starts_with(&self.history) {
            return KeyKind::History;
        }
        let id = key.strip_prefix(&self.resources).and_then(parse_id);
        id.map_or(KeyKind::Other, KeyKind::Resource)
    }
}

fn parse_id(text: &str) -> Option<ResourceId> {
    let (kind, name) = text.split_once('/')?;
    let kind: ResourceKind = kind.parse().ok()?;
    Some(ResourceId { kind, name: name.to_owned() })
}
