//! Passes hosts, leases and slots from membership on to the limiter.

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

/// True once this host's limiter has had time to refill.
#[derive(Clone, Debug, Default)]
pub struct Settled(Arc<AtomicBool>);

impl Settled {
    /// True once this host's limiter has had time to refill.
    pub fn is_settled(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Passes a view on at every heartbeat.
pub async fn run<P: Platform>(cx: Cx<P>, timers: Timers, settled: Settled) {
    let ticks = timers.subscribe(cx.cfg.membership.heartbeat_period).await;
    let mut first_seen = FirstSeen::default();
    while ticks.recv().await.is_ok() {
        let now = Moment::now();
        let data_centres = cx
            .layout
            .data_centres()
            .unwrap_or_else(|| cx.cfg.all_data_centres());
        let view = first_seen.view(now, &cx.cfg, &data_centres, &cx.membership.snapshot());
        let has_lease = view.lease_until.is_some_and(|until| now < until);
        if has_lease && view.settled_at <= now {
            settled.0.store(true, Ordering::Release);
        }
        cx.rates.set_view(view);
    }
}

/// When this host first saw what its limiter counts from.
#[derive(Debug, Default)]
pub struct FirstSeen {
    members: Epoch,
    settled_at: Moment,
    slot: Option<u16>,
    slot_from: Moment,
}

impl FirstSeen {
    /// What the limiter is told at a moment.
    ///
    /// `data_centres` share every customer's rate; a host of another data
    /// centre has no part in it.
    pub fn view(
        &mut self,
        now: Moment,
        cfg: &HostConfig,
        data_centres: &[DataCentre],
        snapshot: &MembershipSnapshot,
    ) -> View {
        let takes_part = data_centres.contains(&cfg.data_centre);
        let home = snapshot
            .tables
            .iter()
            .find(|table| table.data_centre == cfg.data_centre);
        self.see_members(now, cfg, home);
        self.see_slot(now, cfg, home);
        View {
            host: cfg.host.clone(),
            data_centre: cfg.data_centre.clone(),
            epoch: self.members,
            members: members(cfg, data_centres, &snapshot.tables),
            lease_until: snapshot.lease_until.filter(|_| takes_part),
            settled_at: self.settled_at,
            floor: self.floor(cfg, snapshot, home).filter(|_| takes_part),
            unused_floors: UnusedFloors::default(),
        }
    }

    /// A host that acts on older members has lapsed one lease after this
    /// host's first sight of the newer ones.
    fn see_members(&mut self, now: Moment, cfg: &HostConfig, home: Option<&Table>) {
        let members = home.map_or(Epoch(0), |table| table.members);
        if members != self.members {
            self.members = members;
            self.settled_at = now + cfg.membership.lapse_after();
        }
    }

    fn see_slot(&mut self, now: Moment, cfg: &HostConfig, home: Option<&Table>) {
        let slot = home.and_then(|table| slot(cfg, table.hosts.get(&cfg.host)?));
        if slot != self.slot {
            self.slot = slot;
            self.slot_from = now + cfg.membership.lapse_after();
        }
    }

    /// The slot may be used until the row that holds it can be removed.
    fn floor(
        &self,
        cfg: &HostConfig,
        snapshot: &MembershipSnapshot,
        home: Option<&Table>,
    ) -> Option<FloorLease> {
        let row = home?.hosts.get(&cfg.host)?;
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

fn members(
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
        let home = table.hosts.iter().filter(|(_, row)| !table.is_foreign(row));
        hosts.extend(home.map(|(host, row)| Member {
            host: host.clone(),
            address: row.peer,
            alive: !row.lapsed && !row.draining,
            slot: slot(cfg, row),
        }));
    }
    members
}

fn slot(cfg: &HostConfig, row: &HostRow) -> Option<u16> {
    row.slot.filter(|slot| *slot < cfg.limit.floor_slots)
}
