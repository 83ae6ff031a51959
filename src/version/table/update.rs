//! Builds the next table from a committed one and the received heartbeats.

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

/// Inputs of a writer for building the next table.
#[derive(Clone, Copy, Debug)]
pub struct UpdateContext<'a> {
    /// Current time of the writer's clock.
    pub now: Moment,
    /// Membership settings.
    pub cfg: &'a MembershipConfig,
    /// When the writer first saw each committed heartbeat.
    pub observations: &'a Observations,
    /// Heartbeats received since the last commit, including the writer's own.
    pub heartbeats: &'a BTreeMap<HostId, Heartbeat>,
}

impl UpdateContext<'_> {
    /// Builds the table that follows `base`.
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

    /// Whether no host can hold a lease on the partition's current epoch.
    fn is_free(&self, table: &Table, partition: Partition, row: &PartitionRow) -> bool {
        let Some(host) = table.hosts.get(&row.owner) else {
            return true;
        };
        if host.incarnation != row.incarnation {
            // The lease of the previous incarnation started before the row of
            // the new one was first seen.
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
    // Adopters are added by adoption only; their heartbeats just renew the row.
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

/// The row described by a heartbeat, without a slot.
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

/// Builds the table that assigns all partitions of a lapsed table to hosts of
/// another data centre under raised epochs.
///
/// `adopters` is the adopting data centre's own table. `None` if it has no host
/// that may receive partitions.
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

/// Adds the row of an adopter, keeping the slot of an earlier adoption and, for
/// the same incarnation, its heartbeat sequence.
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
