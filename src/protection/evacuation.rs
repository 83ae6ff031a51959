//! Data centres whose endpoints get no calls, since the operators evacuate them.

use std::sync::Arc;

use crate::lists::Entries;
use crate::lists::evacuations::Evacuation;
use crate::lists::evacuations::Evacuations;

/// The evacuated data centres, by name. Clones are cheap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuated(Arc<Entries<Evacuations>>);

impl Evacuated {
    /// Creates the set from the listed entries.
    pub const fn new(entries: Arc<Entries<Evacuations>>) -> Self {
        Self(entries)
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.0.contains_key(data_centre)
    }

    /// Number of entries, including those of unknown data centres.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the entries that an earlier set does not have.
    pub fn begun_since<'a>(
        &'a self,
        before: &'a Self,
    ) -> impl Iterator<Item = (&'a str, &'a Evacuation)> {
        let entries = self.0.iter();
        entries
            .filter(|(name, _)| !before.contains(name))
            .map(|(name, entry)| (&**name, entry))
    }
}
