//! Conditional changes of one object, each with its audit entry.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::connection::platform::Envelope;
use crate::connection::platform::Expect;
use crate::connection::platform::Nonce;
use crate::connection::platform::Object;
use crate::connection::platform::nonce_of;
use crate::ids::Version;
use crate::version::catalogue::Item;
use crate::version::catalogue::ObjectId;
use crate::version::objects::Change;
use crate::version::objects::Record;
use crate::version::objects::Stamp;

/// An object as read before a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Base<T> {
    /// Version of the object; `None` if it was never created.
    pub version: Option<Version>,
    /// Record of the object; empty if it was never created.
    pub record: Record<T>,
}

impl<T> Base<T> {
    /// The base of an object that was never created.
    pub fn absent() -> Self {
        Self {
            version: None,
            record: Record::default(),
        }
    }
}

/// A change ready to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Object to change.
    pub id: ObjectId,
    /// Version that the change replaces; `None` if it creates the object.
    pub base_version: Option<Version>,
    /// Identifies the write when the object is read back.
    pub writer: Nonce,
    record: Value,
}

/// Status of a proposal, as determined from a read of its object.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteStatus {
    /// The write took effect; this is the object's current item.
    Accepted(Item),
    /// Another change was made first, so this one can no longer take effect;
    /// `None` if the other change is not known.
    Conflict(Option<Change>),
    /// The object is still at the base version.
    Pending,
    /// The object cannot be parsed, or its history no longer holds the change
    /// that replaced the base version.
    Unknown,
}

impl Proposal {
    /// Creates a change to a new value, or a removal if `value` is `None`, with
    /// its audit entry.
    pub fn new<T: Serialize>(
        id: ObjectId,
        base: Base<T>,
        value: Option<T>,
        stamp: &Stamp,
        writer: Nonce,
    ) -> Self {
        let change = stamp.change(base.version, writer);
        let record = base.record.with_change(value, change);
        let audited = record.changes.last().map(|change| change.writer);
        assert!(
            audited == Some(writer),
            "invariant: a change carries its audit entry"
        );
        let record = serde_json::to_value(record).expect("typed records always encode as JSON");
        Self {
            id,
            base_version: base.version,
            writer,
            record,
        }
    }

    /// Condition of the write: the object is still at the base version.
    pub fn write_condition(&self) -> Expect {
        self.base_version.map_or(Expect::Absent, Expect::At)
    }

    /// Encodes the record in its envelope, as it is stored at the platform.
    pub fn encode(&self) -> Vec<u8> {
        let envelope = Envelope {
            writer: self.writer,
            value: &self.record,
        };
        serde_json::to_vec(&envelope).expect("JSON values always encode")
    }

    /// The item that the write creates, at the version that the write returned.
    pub fn item(&self, version: Version) -> Item {
        Item {
            id: self.id.clone(),
            version,
            record: self.record.clone(),
        }
    }

    /// Determines from a read of the object whether the write took effect, after
    /// a conflict or a lost answer.
    pub fn write_status(&self, found: Option<&Object>) -> WriteStatus {
        let Some(object) = found else {
            return match self.base_version {
                None => WriteStatus::Pending,
                Some(_) => WriteStatus::Conflict(None),
            };
        };
        if Some(object.version) == self.base_version {
            return WriteStatus::Pending;
        }
        if nonce_of(&object.value) == Some(self.writer) {
            return WriteStatus::Accepted(self.item(object.version));
        }
        self.successor_status(object)
    }

    /// Finds the change that replaced the base version. Writes are conditional,
    /// so there is exactly one.
    fn successor_status(&self, object: &Object) -> WriteStatus {
        let Ok(item) = parse_item(&self.id, object) else {
            return WriteStatus::Unknown;
        };
        let changes = parse_changes(&item);
        let successor = changes
            .into_iter()
            .find(|change| change.old == self.base_version);
        match successor {
            Some(change) if change.writer == self.writer => WriteStatus::Accepted(item),
            Some(change) => WriteStatus::Conflict(Some(change)),
            None => WriteStatus::Unknown,
        }
    }
}

/// Parses a platform object as an item.
///
/// # Errors
///
/// If the value is not a valid envelope.
pub fn parse_item(id: &ObjectId, object: &Object) -> serde_json::Result<Item> {
    let envelope: Envelope<Value> = serde_json::from_slice(&object.value)?;
    Ok(Item {
        id: id.clone(),
        version: object.version,
        record: envelope.value,
    })
}

/// Parses a platform object as the base of a change; `None` is an object that
/// was never created.
///
/// # Errors
///
/// If the value is not a valid envelope of a record.
pub fn parse_base<T: DeserializeOwned>(object: Option<&Object>) -> serde_json::Result<Base<T>> {
    let Some(object) = object else {
        return Ok(Base::absent());
    };
    let envelope: Envelope<Record<T>> = serde_json::from_slice(&object.value)?;
    Ok(Base {
        version: Some(object.version),
        record: envelope.value,
    })
}

fn parse_changes(item: &Item) -> Vec<Change> {
    #[derive(serde::Deserialize)]
    struct Changes {
        #[serde(default)]
        changes: Vec<Change>,
    }
    let parsed: Option<Changes> = serde::Deserialize::deserialize(&item.record).ok();
    parsed.map_or_else(Vec::new, |parsed| parsed.changes)
}
