//! Composition of the next table from a committed one and heard heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::assignment::assign;
use super::lease::Observations;
use super::message::Heartbeat;
use super::message::Release;
use super::rows::HostRow;
use super::rows::PartitionRow;
use super::rows::Table;
use crate::configs::membership::MembershipConfig;
use crate::ids::HostId;
use crate::ids::Partition;
use crate::ids::Sequence;
use crate::units::Moment;

/// What a writer knows when it composes a table.
#[derive(Clone, Copy, Debug)]
pub struct UpdateContext<'a> {
    /// The present moment of the writer's clock.
    pub now: Moment,
    /// Settings.
    pub cfg: &'a MembershipConfig,
    /// When the writer first saw each committed heartbeat.
    pub observations: &'a Observations,
    /// Heartbeats heard since, the writer's own among them.
    pub heartbeats: &'a BTreeMap<HostId, Heartbeat>,
}

impl UpdateContext<'_> {
    /// Composes the table that follows `base`.
    pub fn next_table(&self, base: &Table) -> Table {
        let mut next = base.clone();
        self.merge_heartbeats(&mut next);
        self.mark_lapsed(&mut next);
        let free = self.free_partitions(&next);
        assign(&mut next, |partition, _| free.contains(&partition));
        self.remove_hosts(&mut next);
        next.assign_slots();
        next.raise_counters(base);
        next.assert_consistent();
        next.assert_follows(base);
        next.assert_heartbeats_follow(base);
        next
    }

    fn merge_heartbeats(&self, table: &mut Table) {
        for heartbeat in self.heartbeats.values() {
            merge_heartbeat(table, heartbeat);
        }
    }

    fn mark_lapsed(&self, table: &mut Table) {
        for (host, row) in &mut table.hosts {
            let age = self.observations.heartbeat_age(self.now, host, row);
            row.lapsed |= age >= self.cfg.lapse_after();
        }
    }

    fn free_partitions(&self, table: &Table) -> BTreeSet<Partition> {
        table
            .numbered_partitions()
            .filter(|(partition, row)| self.is_free(table, *partition, row))
            .map(|(partition, _)| partition)
            .collect()
    }

    /// True if nobody can hold a lease on the partition's present epoch.
    fn is_free(&self, table: &Table, partition: Partition, row: &PartitionRow) -> bool {
        let Some(host) = table.hosts.get(&row.owner) else {
            return true;
        };
        if host.incarnation != row.incarnation {
            // The lease of the former incarnation began before the new one's
            // row was first seen.
            let age = self
                .observations
                .incarnation_age(self.now, &row.owner, host);
            return age >= self.cfg.lapse_after();
        }
        host.lapsed || self.is_released(partition, row)
    }

    fn is_released(&self, partition: Partition, row: &PartitionRow) -> bool {
        let Some(heartbeat) = self.heartbeats.get(&row.owner) else {
            return false;
        };
        let released = |r: &Release| r.partition == partition && r.epoch == row.epoch;
        row.releasing
            && heartbeat.incarnation == row.incarnation
            && heartbeat.released.iter().any(released)
    }

    fn remove_hosts(&self, table: &mut Table) {
        let has_live_home = table
            .hosts
            .values()
            .any(|row| !table.is_foreign(row) && !row.lapsed);
        let removable: Vec<HostId> = table
            .hosts
            .iter()
            .filter(|(host, row)| {
                !table.owns_any(host) && self.is_removable(table, host, row, has_live_home)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in removable {
            table.hosts.remove(&host);
        }
    }

    fn is_removable(
        &self,
        table: &Table,
        host: &HostId,
        row: &HostRow,
        has_live_home: bool,
    ) -> bool {
        if table.is_foreign(row) {
            return row.lapsed || has_live_home;
        }
        let age = self.observations.heartbeat_age(self.now, host, row);
        row.lapsed && (row.draining || age >= self.cfg.removal_timeout)
    }
}

fn merge_heartbeat(table: &mut Table, heartbeat: &Heartbeat) {
    let known = table.hosts.get(&heartbeat.host);
    // An adopter enters by adoption only; its heartbeats merely keep its row.
    if known.is_none() && heartbeat.data_centre != table.data_centre {
        return;
    }
    let position = (heartbeat.incarnation, heartbeat.sequence);
    if known.is_some_and(|row| (row.incarnation, row.sequence) >= position) {
        return;
    }
    let draining =
        known.is_some_and(|row| row.incarnation == heartbeat.incarnation && row.draining);
    let row = HostRow {
        draining: draining || heartbeat.draining,
        slot: known.and_then(|row| row.slot),
        ..row_from_heartbeat(heartbeat)
    };
    table.hosts.insert(heartbeat.host.clone(), row);
}

/// The row that a heartbeat describes.
pub fn row_from_heartbeat(heartbeat: &Heartbeat) -> HostRow {
    HostRow {
        data_centre: heartbeat.data_centre.clone(),
        peer: heartbeat.peer,
        caller: heartbeat.caller,
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        draining: heartbeat.draining,
        lapsed: false,
        slot: None,
    }
}

/// Rewrites a table of which every host has lapsed, so that hosts of another
/// data centre own its partitions under raised epochs.
///
/// `adopters` is the adopting data centre's own table. Absent if it has no
/// host that could take partitions.
pub fn adopt(lapsed: &Table, adopters: &Table) -> Option<Table> {
    let mut next = lapsed.clone();
    for row in next.hosts.values_mut() {
        row.lapsed = true;
    }
    for (host, row) in &adopters.hosts {
        let is_eligible = !row.lapsed && !row.draining && !adopters.is_foreign(row);
        if is_eligible {
            add_adopter(&mut next, host, row);
        }
    }
    assign(&mut next, |_, _| true);
    next.raise_counters(lapsed);
    next.assert_consistent();
    next.assert_follows(lapsed);
    next.assert_heartbeats_follow(lapsed);
    let has_live = next.hosts.values().any(|row| !row.lapsed);
    has_live.then_some(next)
}

/// Adds an adopter; the heartbeat position of an earlier adoption is kept.
fn add_adopter(table: &mut Table, host: &HostId, row: &HostRow) {
    let earlier = table.hosts.get(host);
    if earlier.is_some_and(|known| known.incarnation > row.incarnation) {
        return;
    }
    let same = earlier.filter(|known| known.incarnation == row.incarnation);
    let adopter = HostRow {
        sequence: same.map_or(Sequence(0), |known| known.sequence),
        slot: earlier.and_then(|known| known.slot),
        ..row.clone()
    };
    table.hosts.insert(host.clone(), adopter);
}
