//! Configuration objects as exchanged with the platform, peers and files.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ids::Version;
use crate::version::objects::KeyRef;
use crate::version::objects::Kind;
use crate::version::objects::Stamp;

/// Identifies one configuration object.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectId {
    /// Kind of the object; names are unique within a kind.
    pub kind: Kind,
    /// Name of the customer, endpoint, host or service.
    pub name: String,
}

impl ObjectId {
    /// Creates the identifier without checking the name.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

/// One version of one object, not decoded yet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Identifies the object.
    #[serde(flatten)]
    pub id: ObjectId,
    /// Version of the object at the platform.
    pub version: Version,
    /// Encoded record; each record is decoded on its own, so that a malformed
    /// one does not affect others.
    pub record: Value,
}

/// The permanent withdrawal of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The withdrawn key.
    pub key: KeyRef,
    /// Origin to record at the platform; `None` if the withdrawal was read from
    /// the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stamp: Option<Stamp>,
}

/// Objects and withdrawals from one source.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bundle {
    /// Objects, in any order.
    pub items: Vec<Item>,
    /// Withdrawals, in any order.
    pub tombstones: Vec<Tombstone>,
}

impl Bundle {
    /// Whether the bundle has neither objects nor withdrawals.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty() && self.tombstones.is_empty()
    }
}
