//! Cache of the other data centres' tables.

use std::collections::BTreeMap;

use super::lease::Observations;
use super::message::Committed;
use super::message::TablesRequest;
use super::rows::Table;
use crate::configs::membership::MembershipConfig;
use crate::ids::DataCentre;
use crate::units::Moment;

#[derive(Clone, Debug)]
struct Entry {
    committed: Committed,
    observations: Observations,
    progressed_at: Moment,
}

/// Newest tables of the other data centres seen by this host.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    tables: BTreeMap<DataCentre, Entry>,
}

impl Directory {
    /// Stores a committed table. Returns whether its ownership version is newer.
    pub fn observe(&mut self, now: Moment, committed: Committed) -> bool {
        let data_centre = committed.table.data_centre.clone();
        let Some(entry) = self.tables.get_mut(&data_centre) else {
            self.tables.insert(data_centre, Entry::new(now, committed));
            return true;
        };
        entry.observe(now, committed)
    }

    /// Stores a committed table if its version is newer.
    pub fn observe_newer(&mut self, now: Moment, committed: &Committed) {
        let known = self.tables.get(&committed.table.data_centre);
        if known.is_none_or(|entry| entry.committed.version < committed.version) {
            self.observe(now, committed.clone());
        }
    }

    /// The table of a data centre. `None` if none has been seen.
    pub fn get(&self, data_centre: &DataCentre) -> Option<&Table> {
        let entry = self.tables.get(data_centre)?;
        Some(&entry.committed.table)
    }

    /// All cached tables, ordered by data centre.
    pub fn iter(&self) -> impl Iterator<Item = &Committed> {
        self.tables.values().map(|entry| &entry.committed)
    }

    /// Sum of the ownership versions; increases with each of them.
    pub fn digest(&self) -> u64 {
        let ownership = |entry: &Entry| entry.committed.table.ownership.0;
        self.tables.values().map(ownership).sum()
    }

    /// Tables with a newer ownership version than the request lists.
    pub fn newer_tables(&self, request: &TablesRequest) -> Vec<Committed> {
        self.iter()
            .filter(|committed| request.is_missing(&committed.table))
            .cloned()
            .collect()
    }

    /// Tables in which no heartbeat has advanced within the adoption timeout.
    pub fn lapsed(&self, now: Moment, cfg: &MembershipConfig) -> Vec<&Committed> {
        self.tables
            .values()
            .filter(|entry| now.since(entry.progressed_at) >= cfg.adoption_timeout)
            .map(|entry| &entry.committed)
            .collect()
    }

    /// Restarts the adoption timeout of every table.
    ///
    /// Required after a pause in reading: heartbeats may have advanced and stopped
    /// again since the last read.
    pub fn reset_timers(&mut self, now: Moment) {
        for entry in self.tables.values_mut() {
            entry.progressed_at = now;
        }
    }
}

impl Entry {
    fn new(now: Moment, committed: Committed) -> Self {
        let mut observations = Observations::default();
        observations.observe(now, &committed.table);
        Self {
            committed,
            observations,
            progressed_at: now,
        }
    }

    fn observe(&mut self, now: Moment, committed: Committed) -> bool {
        if committed.version <= self.committed.version {
            return false;
        }
        committed.table.assert_follows(&self.committed.table);
        if self.observations.observe(now, &committed.table) {
            self.progressed_at = now;
        }
        let newer = committed.table.ownership > self.committed.table.ownership;
        self.committed = committed;
        newer
    }
}
