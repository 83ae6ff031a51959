//! Orders to the engine that carry a fencing number.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::cache::CachedMessage;

/// Order to release what is held under a cache handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The cache handle.
    pub handle: String,
    /// Fencing number of the sender.
    pub fence: u64,
}

/// Order to export what is held under a cache handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// The cache handle.
    pub handle: String,
    /// Fencing number of the sender.
    pub fence: u64,
}

/// Order to hold an exported prefix under a cache handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Import {
    /// The cache handle.
    pub handle: String,
    /// Fencing number of the sender.
    pub fence: u64,
    /// The exported prefix.
    pub messages: Vec<CachedMessage>,
}

/// Answer to an export.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exported {
    /// The cache handle.
    pub handle: String,
    /// The prefix held under it.
    pub messages: Vec<CachedMessage>,
}

/// Any other order, for instance to load a model or to change role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Last segment of the order's path.
    pub name: String,
    /// Fencing number of the sender, if it gave one.
    pub fence: Option<u64>,
    /// Body of the order.
    pub body: Value,
}
