//! The handle through which the process asks about ownership.

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

/// This host's lease and the tables that it knows, read at one moment.
#[derive(Clone, Debug)]
pub struct MembershipSnapshot {
    /// Start of this host's process.
    pub incarnation: Incarnation,
    /// End of its lease, if there ever was one.
    pub lease_until: Option<Moment>,
    /// Newest known table of each data centre.
    pub tables: Vec<Table>,
}

/// Handle to the membership part; clones share it.
///
/// Every method takes a short lock and none of them waits.
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

    /// The owner of a partition, as far as this host knows.
    pub fn owner(&self, data_centre: &DataCentre, partition: Partition) -> Option<Owner> {
        self.state.lock().coordinator.owner(data_centre, partition)
    }

    /// What this host may do for a partition at this moment.
    pub fn serve_mode(
        &self,
        data_centre: &DataCentre,
        partition: Partition,
        now: Moment,
    ) -> ServeMode {
        let state = self.state.lock();
        state.coordinator.serve_mode(data_centre, partition, now)
    }

    /// Every partition that this host holds.
    pub fn own_partitions(&self) -> Vec<OwnPartition> {
        self.state.lock().coordinator.own_partitions()
    }

    /// Number of partitions of a data centre, once its table is known.
    pub fn partitions(&self, data_centre: &DataCentre) -> Option<usize> {
        let state = self.state.lock();
        let table = state.coordinator.table(data_centre)?;
        Some(table.partitions.len())
    }

    /// Newest known table of a data centre.
    pub fn table(&self, data_centre: &DataCentre) -> Option<Table> {
        self.state.lock().coordinator.table(data_centre).cloned()
    }

    /// This host's lease together with the tables that it was renewed under.
    pub fn snapshot(&self) -> MembershipSnapshot {
        let state = self.state.lock();
        let home = state.coordinator.home();
        MembershipSnapshot {
            incarnation: home.incarnation(),
            lease_until: home.lease_until(),
            tables: state.coordinator.tables().cloned().collect(),
        }
    }

    /// Every known host of every data centre.
    pub fn hosts(&self) -> Vec<HostInfo> {
        self.state.lock().coordinator.hosts()
    }

    /// The host that does for its data centre what only one has to do: the
    /// first one that takes part.
    pub fn delegate(&self, data_centre: &DataCentre) -> Option<HostInfo> {
        let hosts = self.hosts().into_iter();
        let candidates = hosts.filter(|h| h.live && !h.draining && h.data_centre == *data_centre);
        candidates.min_by(|a, b| a.host.cmp(&b.host))
    }

    /// Starts to hand over every partition.
    pub fn begin_drain(&self) {
        self.state.lock().coordinator.begin_drain();
    }

    /// True once a drain has nothing left that another host could take.
    pub fn is_drained(&self) -> bool {
        self.state.lock().coordinator.is_drained()
    }

    /// Confirms that a gained partition's journal is fenced under its epoch.
    pub fn mark_active(&self, data_centre: &DataCentre, partition: Partition, epoch: Epoch) {
        let mut state = self.state.lock();
        state.coordinator.mark_active(data_centre, partition, epoch);
    }

    /// Confirms that a partition lost by hand-over is no longer served.
    pub fn mark_released(&self, data_centre: &DataCentre, partition: Partition, epoch: Epoch) {
        let mut state = self.state.lock();
        state
            .coordinator
            .mark_released(data_centre, partition, epoch);
    }

    /// Sets the digests that travel with heartbeats.
    pub fn set_piggyback(&self, piggyback: Piggyback) {
        self.state.lock().coordinator.set_piggyback(piggyback);
    }

    /// Digests heard here; complete only at the host that writes the table.
    pub fn piggybacks(&self) -> Vec<HostPiggyback> {
        self.state.lock().coordinator.piggybacks()
    }

    /// Counters of this part.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Ends heartbeats; the lease is left to run out.
    pub fn stop(&self) {
        self.stop_tx.close();
    }

    /// True once stopped.
    pub fn is_stopped(&self) -> bool {
        self.stop_tx.is_closed()
    }

    pub(super) async fn wait_until_stopped(&self) {
        // The channel carries no items: `recv` ends only when it is closed.
        let _closed = self.stop_rx.recv().await;
    }

    /// Answers another host's heartbeat; absent if this host has no part in
    /// the table.
    pub fn on_heartbeat(&self, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        if self.is_stopped() {
            return None;
        }
        increment(&self.counters.heartbeats_received);
        let mut state = self.state.lock();
        state.coordinator.on_heartbeat(Moment::now(), heartbeat)
    }

    /// Answers another host's request for tables.
    pub fn on_tables_request(&self, request: &TablesRequest) -> TablesReply {
        self.state.lock().coordinator.on_tables_request(request)
    }

    /// Takes an input; events are sent on, the other effects returned.
    pub(super) fn step(&self, input: Input) -> Vec<Effect> {
        let mut state = self.state.lock();
        let now = Moment::now();
        let effects = state.coordinator.step(now, input);
        let status = Status::of(&state.coordinator, now);
        state.status.update(status, &self.counters);
        let adoptions = state.coordinator.adoptions();
        self.counters.adoptions.store(adoptions, Ordering::Relaxed);
        // Sent under the lock, so that events keep the order of the tables.
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
        // Without a receiver, nobody runs the partitions.
        let _no_receiver = self.events.try_send(event);
        None
    }
}
