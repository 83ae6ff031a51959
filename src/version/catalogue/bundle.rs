//! Configuration objects as they travel: from the platform, peers and files.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ids::Version;
use crate::version::objects::KeyRef;
use crate::version::objects::Kind;
use crate::version::objects::Stamp;

/// Names one configuration object.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within its kind.
    pub name: String,
}

impl ObjectId {
    /// Names an object.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

/// One version of one object, not yet decoded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Which object.
    #[serde(flatten)]
    pub id: ObjectId,
    /// Its version at the platform.
    pub version: Version,
    /// The record, decoded one by one so that a bad one spoils no other.
    pub record: Value,
}

/// The withdrawal of one key; it is merged and never taken back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The withdrawn key.
    pub key: KeyRef,
    /// What to record at the platform; absent if it came from there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stamp: Option<Stamp>,
}

/// Objects and withdrawals from one source.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bundle {
    /// Versions of objects, in any order.
    pub items: Vec<Item>,
    /// Withdrawals, in any order.
    pub tombstones: Vec<Tombstone>,
}

impl Bundle {
    /// True if it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty() && self.tombstones.is_empty()
    }
}
