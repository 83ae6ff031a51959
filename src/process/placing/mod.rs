//! Queues calls until an endpoint has a free slot.
//!
//! The scheduling policy is in [`crate::request::place`]. This module keeps one
//! scheduler per service, each under its own lock, wakes the futures of waiting
//! calls and sets timers. It does not poll: a scheduler steps when a call is
//! queued or cancelled, a slot is released, the configuration changes, a load
//! report arrives or the wake time of an earlier step is reached.

pub mod counters;
pub mod load;
pub mod rows;
pub mod shard;
pub mod slot;
pub mod tasks;
pub mod waiting;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use chicoryarch_net::Spawner;
use parking_lot::Mutex;
use parking_lot::RwLock;

use self::counters::PlacingCounters;
use self::shard::Shard;
use self::waiting::Wake;
use crate::configs::place::PlaceConfig;
use crate::configs::queue::QueueConfig;
use crate::ids::DataCentre;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::request::place::Occupancy;
use crate::version::catalogue::ConfiguredEndpoint;

pub use self::rows::PlacingRows;
pub use self::slot::Slot;
pub use crate::request::place::Demand;
pub use crate::request::place::Prefix;
pub use crate::request::place::RunOutcome;

/// Configured endpoints of a service.
pub type Candidates = Arc<[ConfiguredEndpoint]>;

#[derive(Debug)]
struct Shared {
    queue: QueueConfig,
    place: PlaceConfig,
    data_centre: DataCentre,
    spawner: Spawner,
    shards: RwLock<HashMap<ServiceId, Arc<Shard>>>,
    occupancies: Mutex<HashMap<EndpointId, Arc<Occupancy>>>,
    interactive: RwLock<BTreeSet<ServiceId>>,
    counters: PlacingCounters,
}

/// Places calls at endpoints. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Placing {
    shared: Arc<Shared>,
}

impl Placing {
    /// Creates the placement of a host in `data_centre`; timers run on
    /// `spawner`.
    pub fn new(
        queue: QueueConfig,
        place: PlaceConfig,
        data_centre: DataCentre,
        spawner: Spawner,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                queue,
                place,
                data_centre,
                spawner,
                shards: RwLock::default(),
                occupancies: Mutex::default(),
                interactive: RwLock::default(),
                counters: PlacingCounters::default(),
            }),
        }
    }

    /// Waits for a slot at an endpoint.
    ///
    /// `candidates` is called at the start, after [`Self::recheck_waiting`] and
    /// at the deadline, so that a waiting call uses the current endpoints. It
    /// returns an error if the call must not run any more, and must not call
    /// methods of this value. Dropping the future removes the call from the
    /// queue.
    ///
    /// # Errors
    ///
    /// Any error of `candidates`, `no-endpoint` if no endpoint of the service
    /// accepts calls, `overloaded` if the queue is full or the deadline cannot
    /// be met.
    pub async fn acquire(
        &self,
        demand: &Demand,
        candidates: impl Fn() -> Result<Candidates>,
    ) -> Result<Slot> {
        if demand.interactive {
            self.add_interactive(&demand.service);
        }
        let shard = self.shard(&demand.service);
        let mut waiting = shard.join(self, demand, &candidates)?;
        loop {
            match waiting.next_event(demand.deadline).await {
                Wake::Placed(slot) => return Ok(slot),
                Wake::Recheck => shard.recheck(self, &candidates)?,
                Wake::Displaced(retry_after) => {
                    let detail = "the queue is full and its customer has most of it";
                    return Err(overload_refusal(detail).retry_after(retry_after));
                }
                Wake::Expired => {
                    candidates()?;
                    self.shared.counters.expired.add(1);
                    let detail = "no place was free before the deadline";
                    let retry_after = shard.retry_after(demand);
                    return Err(overload_refusal(detail).retry_after(retry_after));
                }
            }
        }
    }

    /// Makes every waiting call recheck its endpoints. Must be called after
    /// each configuration change.
    pub fn recheck_waiting(&self) {
        for shard in self.all_shards() {
            shard.notify_configuration_change();
        }
    }

    /// Sets the interactive services. Endpoints that serve both interactive and
    /// other services reserve slots for interactive calls.
    pub fn set_interactive(&self, services: BTreeSet<ServiceId>) {
        *self.shared.interactive.write() = services;
        for shard in self.all_shards() {
            shard.update_reservations(self);
        }
    }

    /// Removes the cached prefixes of a program that has ended.
    pub fn forget_program(&self, program: &ProgramId) {
        for shard in self.all_shards() {
            shard.forget_program(program);
        }
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &PlacingCounters {
        &self.shared.counters
    }

    fn all_shards(&self) -> Vec<Arc<Shard>> {
        self.shared.shards.read().values().cloned().collect()
    }

    fn find_shard(&self, service: &ServiceId) -> Option<Arc<Shard>> {
        self.shared.shards.read().get(service).cloned()
    }

    fn shard(&self, service: &ServiceId) -> Arc<Shard> {
        if let Some(shard) = self.find_shard(service) {
            return shard;
        }
        let mut shards = self.shared.shards.write();
        let shard = shards.entry(service.clone()).or_insert_with(|| {
            let Shared {
                queue,
                place,
                data_centre,
                ..
            } = &*self.shared;
            Arc::new(Shard::new(
                service.clone(),
                queue.clone(),
                place.clone(),
                data_centre.clone(),
            ))
        });
        Arc::clone(shard)
    }

    fn add_interactive(&self, service: &ServiceId) {
        if self.shared.interactive.read().contains(service) {
            return;
        }
        self.shared.interactive.write().insert(service.clone());
        for shard in self.all_shards() {
            shard.update_reservations(self);
        }
    }

    fn occupancy(&self, id: &EndpointId) -> Arc<Occupancy> {
        let mut occupancies = self.shared.occupancies.lock();
        let lag = self.shared.place.load_lag;
        let new = || Arc::new(Occupancy::new(lag));
        Arc::clone(occupancies.entry(id.clone()).or_insert_with(new))
    }

    /// Whether an endpoint with these services serves both interactive and
    /// other ones.
    fn is_mixed(&self, services: &BTreeSet<ServiceId>) -> bool {
        let interactive = self.shared.interactive.read();
        let is_interactive = |service: &ServiceId| interactive.contains(service);
        services.iter().any(is_interactive) && !services.iter().all(is_interactive)
    }

    /// Steps the other services of an endpoint at which a slot became free.
    fn step_other_services(&self, services: &BTreeSet<ServiceId>, except: &ServiceId) {
        for service in services.iter().filter(|service| *service != except) {
            if let Some(shard) = self.find_shard(service) {
                shard.step(self);
            }
        }
    }
}

fn overload_refusal(detail: &str) -> Refusal {
    Refusal::not_run(Reason::Overloaded, detail)
}
