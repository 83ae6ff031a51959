//! Handle for queries of partition ownership and hosts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use parking_lot::Mutex;

use super::counters::Counters;
use super::counters::increment;
use super::status::Status;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::Incarnation;
use crate::ids::Partition;
use crate::units::Moment;
use crate::version::table::Coordinator;
use crate::version::table::Effect;
use crate::version::table::Heartbeat;
use crate::version::table::HeartbeatReply;
use crate::version::table::Input;
use crate::version::table::PartitionEvent;
use crate::version::table::Piggyback;
use crate::version::table::ServeMode;
use crate::version::table::Table;
use crate::version::table::coordinator::HostInfo;
use crate::version::table::coordinator::OwnPartition;
use crate::version::table::coordinator::Owner;
use crate::version::table::message::HostPiggyback;
use crate::version::table::message::TablesReply;
use crate::version::table::message::TablesRequest;

#[derive(Debug)]
struct State {
    coordinator: Coordinator,
    status: Status,
}

/// A consistent view of this host's lease and the tables it has seen.
#[derive(Clone, Debug)]
pub struct MembershipSnapshot {
    /// Incarnation of this host's process.
    pub incarnation: Incarnation,
    /// Expiry of this host's lease. `None` if no heartbeat has been committed.
    pub lease_until: Option<Moment>,
    /// Newest table of each data centre seen by this host.
    pub tables: Vec<Table>,
}

/// Shared handle to the membership state of this host.
///
/// Methods hold a lock for a short time and perform no I/O.
#[derive(Clone, Debug)]
pub struct Membership {
    state: Arc<Mutex<State>>,
    counters: Arc<Counters>,
    events: Sender<PartitionEvent>,
    stop_tx: Sender<()>,
    stop_rx: Receiver<()>,
}

impl Membership {
    pub(super) fn new(coordinator: Coordinator, events: Sender<PartitionEvent>) -> Self {
        let (stop_tx, stop_rx) = async_channel::bounded(1);
        let status = Status::default();
        Self {
            state: Arc::new(Mutex::new(State {
                coordinator,
                status,
            })),
            counters: Arc::default(),
            events,
            stop_tx,
            stop_rx,
        }
    }

    /// The owner of a partition. `None` if no table with the partition has been
    /// seen.
    pub fn owner(&self, data_centre: &DataCentre, partition: Partition) -> Option<Owner> {
        self.state.lock().coordinator.owner(data_centre, partition)
    }

    /// How this host may serve a partition at `now`.
    pub fn serve_mode(
        &self,
        data_centre: &DataCentre,
        partition: Partition,
        now: Moment,
    ) -> ServeMode {
        let state = self.state.lock();
        state.coordinator.serve_mode(data_centre, partition, now)
    }

    /// All partitions held by this host.
    pub fn own_partitions(&self) -> Vec<OwnPartition> {
        self.state.lock().coordinator.own_partitions()
    }

    /// Number of partitions of a data centre. `None` if its table has not been
    /// seen.
    pub fn partitions(&self, data_centre: &DataCentre) -> Option<usize> {
        let state = self.state.lock();
        let table = state.coordinator.table(data_centre)?;
        Some(table.partitions.len())
    }

    /// Newest table of a data centre seen by this host.
    pub fn table(&self, data_centre: &DataCentre) -> Option<Table> {
        self.state.lock().coordinator.table(data_centre).cloned()
    }

    /// Reads this host's lease and tables under one lock.
    pub fn snapshot(&self) -> MembershipSnapshot {
        let state = self.state.lock();
        let home = state.coordinator.home();
        MembershipSnapshot {
            incarnation: home.incarnation(),
            lease_until: home.lease_until(),
            tables: state.coordinator.tables().cloned().collect(),
        }
    }

    /// All known hosts of all data centres.
    pub fn hosts(&self) -> Vec<HostInfo> {
        self.state.lock().coordinator.hosts()
    }

    /// The host that performs the tasks that only one host of a data centre has
    /// to perform: of the live hosts that are not draining, the first by name.
    pub fn delegate(&self, data_centre: &DataCentre) -> Option<HostInfo> {
        let hosts = self.hosts().into_iter();
        let candidates = hosts.filter(|h| h.live && !h.draining && h.data_centre == *data_centre);
        candidates.min_by(|a, b| a.host.cmp(&b.host))
    }

    /// Starts handing over all partitions.
    pub fn begin_drain(&self) {
        self.state.lock().coordinator.begin_drain();
    }

    /// Whether a drain is complete: no partition is left that another host could
    /// receive.
    pub fn is_drained(&self) -> bool {
        self.state.lock().coordinator.is_drained()
    }

    /// Marks a gained partition as active once its journal is fenced under
    /// `epoch`.
    pub fn mark_active(&self, data_centre: &DataCentre, partition: Partition, epoch: Epoch) {
        let mut state = self.state.lock();
        state.coordinator.mark_active(data_centre, partition, epoch);
    }

    /// Marks a partition under hand-over as no longer served.
    pub fn mark_released(&self, data_centre: &DataCentre, partition: Partition, epoch: Epoch) {
        let mut state = self.state.lock();
        state
            .coordinator
            .mark_released(data_centre, partition, epoch);
    }

    /// Sets the digests sent with heartbeats and replies.
    pub fn set_piggyback(&self, piggyback: Piggyback) {
        self.state.lock().coordinator.set_piggyback(piggyback);
    }

    /// Digests last received from other hosts; complete only at the host that
    /// writes the table.
    pub fn piggybacks(&self) -> Vec<HostPiggyback> {
        self.state.lock().coordinator.piggybacks()
    }

    /// Counters since the process started.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Stops heartbeats; the lease then expires.
    pub fn stop(&self) {
        self.stop_tx.close();
    }

    /// Whether [`stop`](Self::stop) has been called.
    pub fn is_stopped(&self) -> bool {
        self.stop_tx.is_closed()
    }

    pub(super) async fn wait_until_stopped(&self) {
        // The channel carries no items: `recv` returns only when it is closed.
        let _closed = self.stop_rx.recv().await;
    }

    /// Handles another host's heartbeat. `None` if this host is stopped,
    /// superseded or does not take part in the table.
    pub fn on_heartbeat(&self, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        if self.is_stopped() {
            return None;
        }
        increment(&self.counters.heartbeats_received);
        let mut state = self.state.lock();
        state.coordinator.on_heartbeat(Moment::now(), heartbeat)
    }

    /// Handles another host's request for tables.
    pub fn on_tables_request(&self, request: &TablesRequest) -> TablesReply {
        self.state.lock().coordinator.on_tables_request(request)
    }

    /// Processes an input. Publishes partition events and returns the other
    /// effects.
    pub(super) fn step(&self, input: Input) -> Vec<Effect> {
        let mut state = self.state.lock();
        let now = Moment::now();
        let effects = state.coordinator.step(now, input);
        let status = Status::of(&state.coordinator, now);
        state.status.update(status, &self.counters);
        let adoptions = state.coordinator.adoptions();
        self.counters.adoptions.store(adoptions, Ordering::Relaxed);
        // Publishing under the lock keeps events in the order of the tables.
        effects
            .into_iter()
            .filter_map(|effect| self.publish(effect))
            .collect()
    }

    fn publish(&self, effect: Effect) -> Option<Effect> {
        let Effect::Notify(event) = effect else {
            return Some(effect);
        };
        match event {
            PartitionEvent::Gained { .. } => increment(&self.counters.partitions_gained),
            PartitionEvent::Lost { .. } => increment(&self.counters.partitions_lost),
        }
        // Fails only if the receiver has been dropped; no task then acquires or
        // releases partitions.
        let _no_receiver = self.events.try_send(event);
        None
    }
}
