//! A conditional change of one object with its audit entry.

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
    /// Its version; absent if it was never created.
    pub version: Option<Version>,
    /// Its record; empty if it was never created.
    pub record: Record<T>,
}

impl<T> Base<T> {
    /// An object that was never created.
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
    /// Version the change was made to.
    pub old: Option<Version>,
    /// Names the write.
    pub writer: Nonce,
    record: Value,
}

/// What a read back shows about a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It took effect; the object is now at this item.
    Accepted(Item),
    /// Another change was made first; this one can no longer take effect.
    Conflict(Option<Change>),
    /// Neither this nor another change has taken effect.
    Pending,
    /// Too many changes have followed to tell.
    Unknown,
}

impl Proposal {
    /// Proposes a new value, or removal, with its audit entry.
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
            old: base.version,
            writer,
            record,
        }
    }

    /// What the write expects to find.
    pub fn expect(&self) -> Expect {
        self.old.map_or(Expect::Absent, Expect::At)
    }

    /// The bytes to write.
    pub fn encode(&self) -> Vec<u8> {
        let envelope = Envelope {
            writer: self.writer,
            value: &self.record,
        };
        serde_json::to_vec(&envelope).expect("JSON values always encode")
    }

    /// The item at the version that the write gave.
    pub fn item(&self, version: Version) -> Item {
        Item {
            id: self.id.clone(),
            version,
            record: self.record.clone(),
        }
    }

    /// Judges a read back after a conflict or a lost answer.
    pub fn judge(&self, found: Option<&Object>) -> Verdict {
        let Some(object) = found else {
            return match self.old {
                None => Verdict::Pending,
                Some(_) => Verdict::Conflict(None),
            };
        };
        if Some(object.version) == self.old {
            return Verdict::Pending;
        }
        if nonce_of(&object.value) == Some(self.writer) {
            return Verdict::Accepted(self.item(object.version));
        }
        self.judge_successor(object)
    }

    /// Exactly one change was made to the version that this one expected.
    fn judge_successor(&self, object: &Object) -> Verdict {
        let Ok(item) = item_of(&self.id, object) else {
            return Verdict::Unknown;
        };
        let changes = changes_of(&item);
        let successor = changes.into_iter().find(|change| change.old == self.old);
        match successor {
            Some(change) if change.writer == self.writer => Verdict::Accepted(item),
            Some(change) => Verdict::Conflict(Some(change)),
            None => Verdict::Unknown,
        }
    }
}

/// Reads a platform object as an item.
///
/// # Errors
///
/// What the JSON parser reports.
pub fn item_of(id: &ObjectId, object: &Object) -> serde_json::Result<Item> {
    let envelope: Envelope<Value> = serde_json::from_slice(&object.value)?;
    Ok(Item {
        id: id.clone(),
        version: object.version,
        record: envelope.value,
    })
}

/// Reads a platform object as the base of a change.
///
/// # Errors
///
/// What the JSON parser reports.
pub fn base_of<T: DeserializeOwned>(object: Option<&Object>) -> serde_json::Result<Base<T>> {
    let Some(object) = object else {
        return Ok(Base::absent());
    };
    let envelope: Envelope<Record<T>> = serde_json::from_slice(&object.value)?;
    Ok(Base {
        version: Some(object.version),
        record: envelope.value,
    })
}

fn changes_of(item: &Item) -> Vec<Change> {
    #[derive(serde::Deserialize)]
    struct Changes {
        #[serde(default)]
        changes: Vec<Change>,
    }
    let parsed: Option<Changes> = serde::Deserialize::deserialize(&item.record).ok();
    parsed.map_or_else(Vec::new, |parsed| parsed.changes)
}
