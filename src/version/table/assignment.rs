//! Balanced assignment of partitions to hosts with few moves.

use std::collections::BTreeMap;

use super::rows::HostRow;
use super::rows::PartitionRow;
use super::rows::Table;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Partition;

/// Number of partitions of each host that may receive partitions.
struct Loads(BTreeMap<HostId, usize>);

impl Loads {
    fn count(table: &Table, targets: &BTreeMap<HostId, Incarnation>) -> Self {
        let mut loads: BTreeMap<_, _> = targets.keys().map(|host| (host.clone(), 0)).collect();
        for row in table
            .partitions
            .iter()
            .filter(|row| is_retained(row, targets))
        {
            *loads.entry(row.owner.clone()).or_default() += 1;
        }
        Self(loads)
    }

    fn min_host(&self) -> Option<HostId> {
        let least = self.0.iter().min_by_key(|(_, load)| **load)?;
        Some(least.0.clone())
    }

    fn max_host(&self) -> Option<HostId> {
        let most = self.0.iter().max_by_key(|(_, load)| **load)?;
        Some(most.0.clone())
    }

    fn load(&self, host: &HostId) -> usize {
        self.0.get(host).copied().unwrap_or_default()
    }

    fn add(&mut self, host: &HostId) {
        *self.0.entry(host.clone()).or_default() += 1;
    }

    fn remove(&mut self, host: &HostId) {
        let load = self.0.entry(host.clone()).or_default();
        *load = load.saturating_sub(1);
    }
}

/// Whether the owner keeps the partition.
fn is_retained(row: &PartitionRow, targets: &BTreeMap<HostId, Incarnation>) -> bool {
    !row.releasing && targets.get(&row.owner) == Some(&row.incarnation)
}

/// Hosts that may receive partitions: live, not draining hosts of the table's
/// own data centre or, if there are none, adopters.
fn targets(table: &Table) -> BTreeMap<HostId, Incarnation> {
    let is_eligible = |row: &HostRow| !row.lapsed && !row.draining;
    let select = |foreign: bool| -> BTreeMap<HostId, Incarnation> {
        table
            .hosts
            .iter()
            .filter(|(_, row)| is_eligible(row) && table.is_foreign(row) == foreign)
            .map(|(host, row)| (host.clone(), row.incarnation))
            .collect()
    };
    let home = select(false);
    if home.is_empty() { select(true) } else { home }
}

/// Whether a host other than `host` may receive its partitions.
pub fn has_successor(table: &Table, host: &HostId) -> bool {
    targets(table).keys().any(|target| target != host)
}

/// Assigns a new owner to every free partition and marks partitions that should
/// move as releasing.
///
/// `free` returns whether a partition is certain to be served by no host.
pub fn assign(table: &mut Table, free: impl Fn(Partition, &PartitionRow) -> bool) {
    let targets = targets(table);
    if targets.is_empty() {
        return;
    }
    let freed: Vec<Partition> = table
        .numbered_partitions()
        .filter(|(partition, row)| free(*partition, row))
        .map(|(partition, _)| partition)
        .collect();
    reassign(table, &targets, &freed);
    release_from_ineligible(table, &targets);
    rebalance(table, &targets);
}

fn reassign(table: &mut Table, targets: &BTreeMap<HostId, Incarnation>, freed: &[Partition]) {
    let mut loads = Loads::count(table, targets);
    for partition in freed {
        let row = &table.partitions[usize::from(partition.0)];
        if is_retained(row, targets) {
            loads.remove(&row.owner.clone());
        }
        let Some(owner) = loads.min_host() else {
            return;
        };
        loads.add(&owner);
        table.partitions[usize::from(partition.0)] = PartitionRow {
            incarnation: targets[&owner],
            epoch: row.epoch.next(),
            releasing: false,
            owner,
        };
    }
}

/// Marks partitions of live owners that are not targets, such as draining hosts,
/// as releasing.
fn release_from_ineligible(table: &mut Table, targets: &BTreeMap<HostId, Incarnation>) {
    for row in &mut table.partitions {
        row.releasing |= !targets.contains_key(&row.owner);
    }
}

fn rebalance(table: &mut Table, targets: &BTreeMap<HostId, Incarnation>) {
    let mut loads = Loads::count(table, targets);
    let retained = table
        .partitions
        .iter()
        .filter(|row| is_retained(row, targets));
    let moving = table.partitions.len() - retained.count();
    for _ in 0..moving {
        let Some(host) = loads.min_host() else { return };
        loads.add(&host);
    }
    while let Some((from, to)) = imbalanced_pair(&loads) {
        let movable = |row: &&mut PartitionRow| row.owner == from && is_retained(row, targets);
        let Some(row) = table.partitions.iter_mut().find(movable) else {
            return;
        };
        row.releasing = true;
        loads.remove(&from);
        loads.add(&to);
    }
}

/// Most and least loaded host, if moving one partition between them reduces the
/// imbalance.
fn imbalanced_pair(loads: &Loads) -> Option<(HostId, HostId)> {
    let from = loads.max_host()?;
    let to = loads.min_host()?;
    let is_imbalanced = loads.load(&from) >= loads.load(&to) + 2;
    is_imbalanced.then_some((from, to))
}
