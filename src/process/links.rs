//! Links between components of a host: passes membership changes to the
//! journals and configuration changes to the rate limiter.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;

use super::context::Cx;
use super::distribution::HostAddress;
use super::distribution::Hosts;
use super::distribution::standing::Term;
use super::journals::AcquireError;
use super::membership::Membership;
use crate::configs::membership::MembershipConfig;
use crate::connection::platform::Platform;
use crate::ids::Epoch;
use crate::units::Moment;
use crate::version::journal::PartitionId;
use crate::version::objects::Kind;
use crate::version::table::PartitionEvent;

/// Delay before a failed acquisition of a partition is retried.
const ACQUIRE_RETRY: Duration = Duration::from_millis(50);

/// The live hosts of the membership, as peers for the distribution of
/// configuration.
#[derive(Clone, Debug)]
pub struct LiveHosts {
    cfg: MembershipConfig,
    own: HostAddress,
    membership: Membership,
}

impl LiveHosts {
    /// Creates a view of the hosts in `membership`, seen from the host `own`.
    pub fn new(own: HostAddress, membership: Membership, cfg: MembershipConfig) -> Self {
        Self {
            cfg,
            own,
            membership,
        }
    }
}

impl Hosts for LiveHosts {
    fn own_address(&self) -> &HostAddress {
        &self.own
    }

    fn live_peers(&self) -> Vec<HostAddress> {
        let hosts = self.membership.hosts().into_iter();
        hosts
            .filter(|host| host.live && host.host != self.own.id)
            .map(|host| HostAddress {
                id: host.host,
                data_centre: host.data_centre,
                address: host.peer,
            })
            .collect()
    }

    fn term(&self) -> Option<Term> {
        let until = self.membership.snapshot().lease_until?;
        let lapsed = &self.membership.counters().leases_lapsed;
        let term = Term(lapsed.load(Ordering::Relaxed));
        (Moment::now() < until).then_some(term)
    }

    fn listed_at(&self) -> Moment {
        let snapshot = self.membership.snapshot();
        let until = snapshot.lease_until.unwrap_or_default();
        // The lease starts when its heartbeat is sent. Tables of other data
        // centres can be older by their refresh period and one heartbeat.
        let age = if snapshot.tables.len() > 1 {
            self.cfg.lease_ttl + self.cfg.refresh_period + self.cfg.heartbeat_period
        } else {
            self.cfg.lease_ttl
        };
        Moment::from_start(until.since_start().saturating_sub(age))
    }

    fn is_watcher(&self) -> bool {
        let delegate = self.membership.delegate(&self.own.data_centre);
        delegate.is_none_or(|delegate| delegate.host == self.own.id)
    }
}

/// Acquires the journals of gained partitions and releases those of lost ones.
pub async fn run_partitions<P: Platform>(cx: Cx<P>, events: Receiver<PartitionEvent>) {
    while let Ok(event) = events.recv().await {
        let (is_gain, partition, epoch) = split_event(event);
        if is_gain {
            cx.spawner
                .detach(acquire_partition(Cx::clone(&cx), partition, epoch));
        } else {
            cx.spawner
                .detach(release_partition(Cx::clone(&cx), partition, epoch));
        }
    }
}

/// Returns whether the event is a gain, its partition and its epoch.
fn split_event(event: PartitionEvent) -> (bool, PartitionId, Epoch) {
    let is_gain = matches!(event, PartitionEvent::Gained { .. });
    let (PartitionEvent::Gained {
        data_centre,
        partition,
        epoch,
    }
    | PartitionEvent::Lost {
        data_centre,
        partition,
        epoch,
        ..
    }) = event;
    let partition = PartitionId {
        data_centre,
        partition,
    };
    (is_gain, partition, epoch)
}

async fn acquire_partition<P: Platform>(cx: Cx<P>, partition: PartitionId, epoch: Epoch) {
    while is_assigned(&cx, &partition, epoch) {
        match cx.journals.acquire(&partition, epoch).await {
            Ok(()) => {
                let PartitionId {
                    data_centre,
                    partition,
                } = &partition;
                cx.membership.mark_active(data_centre, *partition, epoch);
                return;
            }
            Err(AcquireError::Fenced(e)) => {
                log::error!("cannot acquire journal partition={partition} epoch={epoch}: {e}");
                return;
            }
            Err(_) => {
                Timer::after(ACQUIRE_RETRY).await;
            }
        }
    }
}

fn is_assigned<P: Platform>(cx: &Cx<P>, partition: &PartitionId, epoch: Epoch) -> bool {
    let owner = cx
        .membership
        .owner(&partition.data_centre, partition.partition);
    owner.is_some_and(|owner| owner.is_self && owner.epoch == epoch)
}

async fn release_partition<P: Platform>(cx: Cx<P>, partition: PartitionId, epoch: Epoch) {
    cx.journals.release(&partition).await;
    let PartitionId {
        data_centre,
        partition,
    } = &partition;
    cx.membership.mark_released(data_centre, *partition, epoch);
}

/// Applies the rates of all customers to the rate limiter at the start and
/// after each configuration change.
pub async fn run_customers<P: Platform>(cx: Cx<P>) {
    let changes = cx.configuration.subscribe();
    loop {
        apply_customers(&cx);
        if changes.recv().await.is_err() {
            return;
        }
    }
}

fn apply_customers<P: Platform>(cx: &Cx<P>) {
    let snapshot = cx.configuration.snapshot();
    let present: Vec<_> = snapshot
        .customers()
        .map(|(id, customer)| (id.clone(), customer.clone()))
        .collect();
    for (id, customer) in &present {
        let object = crate::version::catalogue::ObjectId::new(Kind::Customer, id.as_str());
        let version = cx.configuration.applied_version(&object);
        cx.rates.apply(id, version.unwrap_or_default(), customer);
    }
    for row in cx.rates.rows() {
        if !present.iter().any(|(id, _)| *id == row.customer) {
            cx.rates.remove(&row.customer);
        }
    }
}
