//! What this host knows of the other data centres' tables.

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

/// The other data centres' tables, as last seen.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    tables: BTreeMap<DataCentre, Entry>,
}

impl Directory {
    /// Takes a committed table; true if its ownership part is newer.
    pub fn observe(&mut self, now: Moment, committed: Committed) -> bool {
        let data_centre = committed.table.data_centre.clone();
        let Some(entry) = self.tables.get_mut(&data_centre) else {
            self.tables.insert(data_centre, Entry::new(now, committed));
            return true;
        };
        entry.observe(now, committed)
    }

    /// Takes a committed table if its version is newer.
    pub fn observe_newer(&mut self, now: Moment, committed: &Committed) {
        let known = self.tables.get(&committed.table.data_centre);
        if known.is_none_or(|entry| entry.committed.version < committed.version) {
            self.observe(now, committed.clone());
        }
    }

    /// The table of a data centre.
    pub fn get(&self, data_centre: &DataCentre) -> Option<&Table> {
        let entry = self.tables.get(data_centre)?;
        Some(&entry.committed.table)
    }

    /// Every table.
    pub fn iter(&self) -> impl Iterator<Item = &Committed> {
        self.tables.values().map(|entry| &entry.committed)
    }

    /// Sum of the ownership versions; differs whenever one has risen.
    pub fn digest(&self) -> u64 {
        let ownership = |entry: &Entry| entry.committed.table.ownership.0;
        self.tables.values().map(ownership).sum()
    }

    /// Tables whose ownership part is newer than the request's sender knows.
    pub fn newer_tables(&self, request: &TablesRequest) -> Vec<Committed> {
        self.iter()
            .filter(|committed| request.is_missing(&committed.table))
            .cloned()
            .collect()
    }

    /// Tables of which no heartbeat has moved for the adoption timeout.
    pub fn lapsed(&self, now: Moment, cfg: &MembershipConfig) -> Vec<&Committed> {
        self.tables
            .values()
            .filter(|entry| now.since(entry.progressed_at) >= cfg.adoption_timeout)
            .map(|entry| &entry.committed)
            .collect()
    }

    /// Counts every table's heartbeats as first seen now.
    ///
    /// For a host that has not been reading them: what it last saw may have
    /// moved and come to rest again in between.
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
