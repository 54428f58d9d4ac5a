//! Layout of the keys below the prefix.

use lacewingspring_core::resources::{ResourceId, ResourceKind};

/// Keys of the declared state: one head, one record a past commit and one entry a resource.
#[derive(Debug)]
pub(super) struct Keys {
    pub(super) prefix: String,
    pub(super) head: String,
    resources: String,
    history: String,
}

/// What a key stands for.
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
        // Twenty digits hold every generation, so keys sort by generation.
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
