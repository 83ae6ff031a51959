//! Small lists of objects in the platform's store that every host knows.
//!
//! A few hosts of each data centre watch the store; the others get a newer list
//! from them. A list has the store's version up to which it is complete, and
//! never goes back to an older one.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::serde_as;

use crate::connection::platform::Changes;
use crate::connection::platform::Object;
use crate::ids::Version;
use crate::utils::readable_parts::ReadableParts;

pub mod archives;
pub mod evacuations;

/// A kind of objects that is kept as a [`SharedList`].
pub trait ListKind: Send + Sync + 'static {
    /// Kind of the objects in the store.
    const KIND: &'static str;

    /// Name in the logs.
    const NAME: &'static str;

    /// What is kept of an object.
    type Entry: Clone + DeserializeOwned + PartialEq + Send + Serialize + Sync;

    /// Decodes an object; `None` if it names nothing to use.
    fn decode(object: &Object) -> Option<Self::Entry>;
}

/// Entries by the names of their objects.
pub type Entries<K> = BTreeMap<Box<str>, <K as ListKind>::Entry>;

/// A list as one host sends it to another. An entry that cannot be read is
/// skipped.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound(
    serialize = "E: Clone + Serialize",
    deserialize = "E: DeserializeOwned"
))]
pub struct SentList<E> {
    /// Store version up to which the list is complete.
    pub upto: Version,
    /// Entries with the names of their objects.
    #[serde_as(as = "ReadableParts")]
    pub entries: Vec<(Box<str>, E)>,
}

struct State<K: ListKind> {
    /// `None` before the first list.
    upto: Option<Version>,
    entries: Arc<Entries<K>>,
}

/// The newest known list of a kind.
pub struct SharedList<K: ListKind>(Mutex<State<K>>);

impl<K: ListKind> std::fmt::Debug for SharedList<K> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = self.0.lock();
        f.debug_struct(K::NAME)
            .field("upto", &state.upto)
            .field("entries", &state.entries.len())
            .finish()
    }
}

impl<K: ListKind> Default for SharedList<K> {
    fn default() -> Self {
        Self(Mutex::new(State {
            upto: None,
            entries: Arc::default(),
        }))
    }
}

impl<K: ListKind> SharedList<K> {
    /// Store version up to which the list is complete; `None` before the first
    /// one.
    pub fn upto(&self) -> Option<Version> {
        self.0.lock().upto
    }

    /// Returns the entries.
    pub fn entries(&self) -> Arc<Entries<K>> {
        Arc::clone(&self.0.lock().entries)
    }

    /// Replaces the list by one that was read from the store. Returns whether the
    /// entries have changed.
    pub fn replace(&self, listed: &Changes) -> bool {
        let entries = listed.objects.iter().filter_map(decode::<K>);
        self.set(listed.upto, entries.collect())
    }

    /// Applies changes that were read from the store. Returns whether the entries
    /// have changed.
    pub fn apply(&self, changes: &Changes) -> bool {
        let mut entries = Entries::<K>::clone(&self.entries());
        for object in &changes.objects {
            match decode::<K>(object) {
                Some((name, entry)) => entries.insert(name, entry),
                None => entries.remove(&*object.name),
            };
        }
        for name in &changes.removed {
            entries.remove(&**name);
        }
        self.set(changes.upto, entries)
    }

    /// Returns the list for a host whose list is complete up to `known`; `None`
    /// unless this one is newer.
    pub fn export(&self, known: Option<Version>) -> Option<SentList<K::Entry>> {
        let state = self.0.lock();
        let upto = state.upto.filter(|upto| Some(*upto) > known)?;
        let entries = state.entries.iter();
        Some(SentList {
            upto,
            entries: entries
                .map(|(name, entry)| (name.clone(), entry.clone()))
                .collect(),
        })
    }

    /// Replaces the list by another host's if that is newer. Returns whether the
    /// entries have changed.
    pub fn import(&self, sent: SentList<K::Entry>) -> bool {
        self.set(sent.upto, sent.entries.into_iter().collect())
    }

    fn set(&self, upto: Version, entries: Entries<K>) -> bool {
        let mut state = self.0.lock();
        if state.upto >= Some(upto) {
            return false;
        }
        state.upto = Some(upto);
        let has_changed = *state.entries != entries;
        if has_changed {
            state.entries = Arc::new(entries);
        }
        has_changed
    }
}

fn decode<K: ListKind>(object: &Object) -> Option<(Box<str>, K::Entry)> {
    Some((object.name.as_str().into(), K::decode(object)?))
}
