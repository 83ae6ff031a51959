//! Versioned objects of the platform stand-in, with watches.

use std::collections::BTreeMap;
use std::collections::HashMap;

use async_channel::Receiver;
use async_channel::Sender;
use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// An object in the answer to a list or watch.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Object name, unique within its kind.
    pub name: String,
    /// Version of the object's last write.
    pub version: u64,
    /// Stored bytes, Base64-encoded in JSON; empty if the object was removed.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// Whether the last write removed the object.
    #[serde(default)]
    pub removed: bool,
}

/// Answer to a list or a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Version of the latest write to any object, of any kind.
    pub upto: u64,
    /// Objects, sorted by name.
    pub objects: Vec<Entry>,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Condition {
    /// The object does not exist.
    Absent,
    /// The object exists at this version.
    At(u64),
}

/// Error for a write whose condition does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct VersionMismatch;

/// Result of a conditional write.
pub(crate) type Result<T> = std::result::Result<T, VersionMismatch>;

/// Channel that closes when an object of the watched kind is written.
pub(crate) type ChangeSignal = Receiver<()>;

#[derive(Debug, Default)]
struct ObjectKind {
    entries: BTreeMap<String, Entry>,
    watchers: Vec<Sender<()>>,
}

/// All objects, with one version counter for all kinds.
#[derive(Debug, Default)]
pub(crate) struct Store {
    last_version: u64,
    kinds: HashMap<String, ObjectKind>,
}

impl Store {
    /// Returns an object; `None` if it is absent or was removed.
    pub(crate) fn read(&self, kind: &str, name: &str) -> Option<&Entry> {
        let entry = self.kinds.get(kind)?.entries.get(name)?;
        (!entry.removed).then_some(entry)
    }

    /// Lists the objects of a kind whose names start with `prefix`.
    pub(crate) fn list(&self, kind: &str, prefix: &str) -> Listing {
        self.select(kind, |entry| {
            !entry.removed && entry.name.starts_with(prefix)
        })
    }

    /// Lists the objects of a kind that changed after version `since`, including
    /// removed ones.
    pub(crate) fn changes_since(&self, kind: &str, since: u64) -> Listing {
        self.select(kind, |entry| entry.version > since)
    }

    /// Stores a value if the condition holds, and returns the new version.
    pub(crate) fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Vec<u8>,
    ) -> Result<u64> {
        self.check_condition(kind, name, condition)?;
        Ok(self.put(kind, name, value, false))
    }

    /// Removes an object if the condition holds, and returns the new version.
    pub(crate) fn remove(&mut self, kind: &str, name: &str, condition: Condition) -> Result<u64> {
        self.check_condition(kind, name, condition)?;
        Ok(self.put(kind, name, Vec::new(), true))
    }

    /// Subscribes to the next write of a kind.
    pub(crate) fn subscribe(&mut self, kind: &str) -> ChangeSignal {
        let (tx, rx) = async_channel::bounded(1);
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.watchers.retain(|tx| !tx.is_closed());
        objects.watchers.push(tx);
        rx
    }

    /// Wakes all waiting watches.
    pub(crate) fn wake_all(&mut self) {
        for objects in self.kinds.values_mut() {
            objects.watchers.clear();
        }
    }

    fn select(&self, kind: &str, wanted: impl Fn(&Entry) -> bool) -> Listing {
        let entries = self.kinds.get(kind).map(|objects| objects.entries.values());
        Listing {
            upto: self.last_version,
            objects: entries
                .into_iter()
                .flatten()
                .filter(|e| wanted(e))
                .cloned()
                .collect(),
        }
    }

    fn check_condition(&self, kind: &str, name: &str, condition: Condition) -> Result<()> {
        let found = self.read(kind, name).map(|entry| entry.version);
        let expected = match condition {
            Condition::Absent => None,
            Condition::At(version) => Some(version),
        };
        if found == expected {
            Ok(())
        } else {
            Err(VersionMismatch)
        }
    }

    fn put(&mut self, kind: &str, name: &str, value: Vec<u8>, removed: bool) -> u64 {
        self.last_version += 1;
        let entry = Entry {
            name: name.to_owned(),
            version: self.last_version,
            value,
            removed,
        };
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.entries.insert(name.to_owned(), entry);
        // Dropping the senders closes the channels and wakes the watches.
        objects.watchers.clear();
        self.last_version
    }
}
