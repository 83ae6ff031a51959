//! Orders to the engine, with their fencing tokens.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::cache::CachedMessage;

/// Order to remove the prefix cached under a handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Cache handle: `customer/program/epoch`.
    pub handle: String,
    /// Sender's fencing token, compared within the scope of the handle.
    pub fence: u64,
}

/// Order to export the prefix cached under a handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// Cache handle: `customer/program/epoch`.
    pub handle: String,
    /// Sender's fencing token, compared within the scope of the handle.
    pub fence: u64,
}

/// Order to cache an exported prefix under a handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Import {
    /// Cache handle: `customer/program/epoch`.
    pub handle: String,
    /// Sender's fencing token, compared within the scope of the handle.
    pub fence: u64,
    /// Messages of the exported prefix.
    pub messages: Vec<CachedMessage>,
}

/// Answer to an export order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exported {
    /// Cache handle: `customer/program/epoch`.
    pub handle: String,
    /// Messages of the cached prefix.
    pub messages: Vec<CachedMessage>,
}

/// Any other order, for instance to load a model or to change the role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Last segment of the order's path.
    pub name: String,
    /// Fencing token from the `chicoryarch-fence` header; `None` if absent.
    pub fence: Option<u64>,
    /// JSON body of the order.
    pub body: Value,
}
