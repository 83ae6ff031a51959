//! The objects of the platform stand-in, with versions and watches.

use std::collections::BTreeMap;
use std::collections::HashMap;

use async_channel::Receiver;
use async_channel::Sender;
use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// One object of a list or of a watch's answer.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name within its kind.
    pub name: String,
    /// Version of the last write.
    pub version: u64,
    /// Stored bytes; empty if the object was removed.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// True if the last write removed the object.
    #[serde(default)]
    pub removed: bool,
}

/// Answer to a list or a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Version of the newest write over all objects.
    pub upto: u64,
    /// Objects in order of name.
    pub objects: Vec<Entry>,
}

/// What a conditional write expects to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Condition {
    /// No object of that name.
    Absent,
    /// The object at this version.
    At(u64),
}

/// The object was not as the write expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Mismatch;

/// Result of a conditional write: the version it gave.
pub(crate) type Result<T> = std::result::Result<T, Mismatch>;

/// Ends when an object of the watched kind is written.
pub(crate) type Wake = Receiver<()>;

#[derive(Debug, Default)]
struct KindOfObjects {
    entries: BTreeMap<String, Entry>,
    waiting: Vec<Sender<()>>,
}

/// All objects, with one version counter.
#[derive(Debug, Default)]
pub(crate) struct Store {
    newest: u64,
    kinds: HashMap<String, KindOfObjects>,
}

impl Store {
    /// Reads one object.
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

    /// Lists the objects of a kind that changed after `since`, removed ones too.
    pub(crate) fn changed(&self, kind: &str, since: u64) -> Listing {
        self.select(kind, |entry| entry.version > since)
    }

    /// Stores a value if the object is as expected.
    pub(crate) fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Vec<u8>,
    ) -> Result<u64> {
        self.check(kind, name, condition)?;
        Ok(self.put(kind, name, value, false))
    }

    /// Removes an object if it is as expected.
    pub(crate) fn remove(&mut self, kind: &str, name: &str, condition: Condition) -> Result<u64> {
        self.check(kind, name, condition)?;
        Ok(self.put(kind, name, Vec::new(), true))
    }

    /// Registers for the next write of a kind.
    pub(crate) fn wait(&mut self, kind: &str) -> Wake {
        let (tx, rx) = async_channel::bounded(1);
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.waiting.retain(|tx| !tx.is_closed());
        objects.waiting.push(tx);
        rx
    }

    /// Wakes every watch.
    pub(crate) fn wake_all(&mut self) {
        for objects in self.kinds.values_mut() {
            objects.waiting.clear();
        }
    }

    fn select(&self, kind: &str, wanted: impl Fn(&Entry) -> bool) -> Listing {
        let entries = self.kinds.get(kind).map(|objects| objects.entries.values());
        Listing {
            upto: self.newest,
            objects: entries
                .into_iter()
                .flatten()
                .filter(|e| wanted(e))
                .cloned()
                .collect(),
        }
    }

    fn check(&self, kind: &str, name: &str, condition: Condition) -> Result<()> {
        let found = self.read(kind, name).map(|entry| entry.version);
        let expected = match condition {
            Condition::Absent => None,
            Condition::At(version) => Some(version),
        };
        if found == expected {
            Ok(())
        } else {
            Err(Mismatch)
        }
    }

    fn put(&mut self, kind: &str, name: &str, value: Vec<u8>, removed: bool) -> u64 {
        self.newest += 1;
        let entry = Entry {
            name: name.to_owned(),
            version: self.newest,
            value,
            removed,
        };
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.entries.insert(name.to_owned(), entry);
        // Dropping a sender ends its watch's wait.
        objects.waiting.clear();
        self.newest
    }
}
