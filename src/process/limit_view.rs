//! Passes hosts, leases and floor slots from membership to the rate limiter.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use super::context::Cx;
use super::membership::MembershipSnapshot;
use super::timers::Timers;
use crate::configs::host::HostConfig;
use crate::connection::platform::Platform;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::request::limit::FloorLease;
use crate::request::limit::Member;
use crate::request::limit::UnusedFloors;
use crate::request::limit::View;
use crate::units::Moment;
use crate::version::table::Table;
use crate::version::table::rows::HostRow;

/// Flag that is set once this host has a lease and its buckets may refill.
#[derive(Clone, Debug, Default)]
pub struct LimiterReady(Arc<AtomicBool>);

impl LimiterReady {
    /// Whether the flag is set; it is never reset.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Passes a new view to the rate limiter at every heartbeat.
pub async fn run<P: Platform>(cx: Cx<P>, timers: Timers, ready: LimiterReady) {
    let ticks = timers.subscribe(cx.cfg.membership.heartbeat_period).await;
    let mut builder = ViewBuilder::default();
    while ticks.recv().await.is_ok() {
        let now = Moment::now();
        let data_centres = cx
            .layout
            .data_centres()
            .unwrap_or_else(|| cx.cfg.all_data_centres());
        let view = builder.build(now, &cx.cfg, &data_centres, &cx.membership.snapshot());
        let has_lease = view.lease_until.is_some_and(|until| now < until);
        if has_lease && view.settled_at <= now {
            ready.0.store(true, Ordering::Release);
        }
        cx.rates.set_view(view);
    }
}

/// Builds views from membership and records when this host first saw the
/// current epoch and slot.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    epoch: Epoch,
    settled_at: Moment,
    slot: Option<u16>,
    slot_from: Moment,
}

impl ViewBuilder {
    /// Builds the view at `now`.
    ///
    /// Every customer's rate is divided among `data_centres`. A host of another
    /// data centre has no share, so its view has neither lease nor floor.
    pub fn build(
        &mut self,
        now: Moment,
        cfg: &HostConfig,
        data_centres: &[DataCentre],
        snapshot: &MembershipSnapshot,
    ) -> View {
        let has_share = data_centres.contains(&cfg.data_centre);
        let local_table = snapshot
            .tables
            .iter()
            .find(|table| table.data_centre == cfg.data_centre);
        self.update_epoch(now, cfg, local_table);
        self.update_slot(now, cfg, local_table);
        View {
            host: cfg.host.clone(),
            data_centre: cfg.data_centre.clone(),
            epoch: self.epoch,
            members: list_members(cfg, data_centres, &snapshot.tables),
            lease_until: snapshot.lease_until.filter(|_| has_share),
            settled_at: self.settled_at,
            floor: self.floor(cfg, snapshot, local_table).filter(|_| has_share),
            unused_floors: UnusedFloors::default(),
        }
    }

    /// Updates the epoch. Buckets refill only once the lapse time has passed since
    /// this host first saw the new epoch: by then the leases of hosts that still
    /// use an older epoch have expired.
    fn update_epoch(&mut self, now: Moment, cfg: &HostConfig, local_table: Option<&Table>) {
        let epoch = local_table.map_or(Epoch(0), |table| table.members);
        if epoch != self.epoch {
            self.epoch = epoch;
            self.settled_at = now + cfg.membership.lapse_after();
        }
    }

    /// Updates the slot. It may be used once the lapse time has passed since this
    /// host first saw it.
    fn update_slot(&mut self, now: Moment, cfg: &HostConfig, local_table: Option<&Table>) {
        let slot = local_table.and_then(|table| effective_slot(cfg, table.hosts.get(&cfg.host)?));
        if slot != self.slot {
            self.slot = slot;
            self.slot_from = now + cfg.membership.lapse_after();
        }
    }

    /// Returns the floor lease, which ends before the membership row that holds
    /// the slot can be removed.
    fn floor(
        &self,
        cfg: &HostConfig,
        snapshot: &MembershipSnapshot,
        local_table: Option<&Table>,
    ) -> Option<FloorLease> {
        let row = local_table?.hosts.get(&cfg.host)?;
        let slot = self
            .slot
            .filter(|_| row.incarnation == snapshot.incarnation)?;
        let lease_until = snapshot.lease_until?;
        let cfg = &cfg.membership;
        let until = if row.draining {
            lease_until
        } else {
            let sent = lease_until.since_start().saturating_sub(cfg.lease_ttl);
            let kept = cfg.removal_timeout.saturating_sub(cfg.drift_margin);
            Moment::from_start(sent) + kept
        };
        Some(FloorLease {
            slot,
            from: self.slot_from,
            until,
        })
    }
}

fn list_members(
    cfg: &HostConfig,
    data_centres: &[DataCentre],
    tables: &[Table],
) -> BTreeMap<DataCentre, Vec<Member>> {
    let mut members: BTreeMap<DataCentre, Vec<Member>> = BTreeMap::new();
    for data_centre in data_centres {
        members.entry(data_centre.clone()).or_default();
    }
    for table in tables {
        let Some(hosts) = members.get_mut(&table.data_centre) else {
            continue;
        };
        let native = table.hosts.iter().filter(|(_, row)| !table.is_foreign(row));
        hosts.extend(native.map(|(host, row)| Member {
            host: host.clone(),
            address: row.peer,
            alive: !row.lapsed && !row.draining,
            slot: effective_slot(cfg, row),
        }));
    }
    members
}

fn effective_slot(cfg: &HostConfig, row: &HostRow) -> Option<u16> {
    row.slot.filter(|slot| *slot < cfg.limit.floor_slots)
}
