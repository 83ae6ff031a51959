//! Driver of the rate limiter: sharded state, requests to other hosts and
//! counters.
//!
//! [`crate::request::limit`] makes the decisions. Membership and configuration
//! are passed in as values by [`RateLimiter::set_view`] and
//! [`RateLimiter::apply`].

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use chicoryarch_net::Spawner;
use futures_lite::future;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use parking_lot::Mutex;

use crate::configs::limit::LimitConfig;
use crate::connection::peer::NoParams;
use crate::connection::peer::PeerError;
use crate::connection::peer::Peers;
use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::Version;
use crate::process::timers::Timers;
use crate::request::limit::Amount;
use crate::request::limit::CustomerLimiter;
use crate::request::limit::Decision;
use crate::request::limit::Effect;
use crate::request::limit::Env;
use crate::request::limit::FloorStatus;
use crate::request::limit::FloorUse;
use crate::request::limit::GrantReply;
use crate::request::limit::GrantRequest;
use crate::request::limit::Member;
use crate::request::limit::Summary;
use crate::request::limit::Ticket;
use crate::request::limit::View;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Moment;
use crate::version::objects::Customer;

pub mod counters;

use counters::RateCounters;

/// JSON-RPC method that requests tokens from another host.
pub const REQUEST_METHOD: &str = "limit_ask";

/// JSON-RPC method that queries whether the floor of another host is unused.
pub const FLOOR_METHOD: &str = "limit_floor";

/// Shards of the customer map, each under its own lock.
const SHARDS: usize = 16;

/// Maintenance runs per `idle_return` period.
const MAINTENANCE_PER_IDLE_RETURN: u32 = 2;

/// State of one customer's limiter at this host, shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Id of the customer.
    pub customer: CustomerId,
    /// Limits and tokens of the customer.
    pub summary: Summary,
}

#[derive(Debug)]
struct CustomerEntry {
    limiter: CustomerLimiter,
    waiting: HashMap<Ticket, Sender<Result<()>>>,
}

type Shard = HashMap<CustomerId, CustomerEntry>;

struct Inner<Q> {
    cfg: LimitConfig,
    counters: Arc<RateCounters>,
    hasher: RandomState,
    peers: Q,
    shards: Vec<Mutex<Shard>>,
    spawner: Spawner,
    /// Locked while a view is applied, so that views are applied in order and a
    /// reported floor status never precedes the limiters' state.
    floor_use: Mutex<FloorUse>,
    /// Read only under a shard's lock, so that no shard returns to an older view.
    view: ArcSwap<View>,
}

/// Handle to the rate limiter of this host.
pub struct RateLimiter<Q> {
    inner: Arc<Inner<Q>>,
}

impl<Q> Clone for RateLimiter<Q> {
    fn clone(&self) -> Self {
        let inner = Arc::clone(&self.inner);
        Self { inner }
    }
}

/// Result of [`RateLimiter::try_take`].
enum Admission {
    Decided(Result<()>),
    Pending(Receiver<Result<()>>),
}

impl<Q: Peers> RateLimiter<Q> {
    /// Creates a rate limiter without customers.
    pub fn new(cfg: LimitConfig, view: View, peers: Q, spawner: Spawner) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        let floor_use = Mutex::new(FloorUse::new(Moment::now(), &cfg));
        let inner = Inner {
            cfg,
            counters: Arc::default(),
            hasher: RandomState::new(),
            peers,
            shards,
            spawner,
            floor_use,
            view: ArcSwap::from_pointee(view),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Starts the periodic tasks: maintenance and queries for unused floors.
    pub async fn start(&self, timers: &Timers) {
        let maintenance = self.inner.cfg.idle_return / MAINTENANCE_PER_IDLE_RETURN;
        self.run_every(maintenance, timers, Self::maintain).await;
        let renewal = self.inner.cfg.floor_renewal;
        self.run_every(renewal, timers, Self::query_floors).await;
    }

    async fn run_every(&self, period: Duration, timers: &Timers, work: fn(&Self)) {
        let ticks = timers.subscribe(period).await;
        let rates = self.clone();
        self.inner.spawner.detach(async move {
            while ticks.recv().await.is_ok() {
                work(&rates);
            }
        });
    }

    /// Counters of this host.
    pub fn counters(&self) -> Arc<RateCounters> {
        Arc::clone(&self.inner.counters)
    }

    /// Takes one token for a call. Waits only if tokens must be requested from
    /// other hosts.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no token is available, with the time after which one
    /// is expected, or if the customer has no limiter.
    pub async fn take(&self, customer: &CustomerId) -> Result<()> {
        let result = match self.try_take(customer) {
            Admission::Decided(result) => result,
            Admission::Pending(rx) => rx.recv().await.unwrap_or_else(|_| Err(no_rate())),
        };
        let counter = match result {
            Ok(()) => &self.inner.counters.admitted,
            Err(_) => &self.inner.counters.refused,
        };
        counter.add(1);
        result
    }

    /// Applies a version of a customer object; ignores older versions.
    pub fn apply(&self, customer: &CustomerId, version: Version, limits: &Customer) {
        let mut shard = self.shard(customer).lock();
        let view = self.inner.view.load_full();
        let env = self.env(&view);
        if let Some(entry) = shard.get_mut(customer) {
            entry.limiter.set_limits(env, version, limits.clone());
            return;
        }
        let session = rand::random();
        let limiter = CustomerLimiter::new(env, customer.clone(), session, version, limits.clone());
        let waiting = HashMap::new();
        shard.insert(customer.clone(), CustomerEntry { limiter, waiting });
    }

    /// Time from which the buckets of all customers refill.
    pub fn refills_from(&self) -> Moment {
        let shards = self.inner.shards.iter();
        let latest = |shard: &Mutex<Shard>| {
            let shard = shard.lock();
            shard
                .values()
                .map(|entry| entry.limiter.refills_from())
                .max()
        };
        shards.filter_map(latest).max().unwrap_or_default()
    }

    /// Removes a customer and refuses its waiting calls.
    pub fn remove(&self, customer: &CustomerId) {
        self.shard(customer).lock().remove(customer);
    }

    /// Applies a view from membership. Must be called after every renewal of a
    /// lease.
    pub fn set_view(&self, view: View) {
        let mut floor_use = self.inner.floor_use.lock();
        let unused_floors = self.inner.view.load().unused_floors.clone();
        let lease_until = view.lease_until;
        self.apply_view(View {
            unused_floors,
            ..view
        });
        floor_use.record_lease(Moment::now(), lease_until, &self.inner.cfg);
    }

    /// Replaces the view. The caller must hold the lock of `floor_use`.
    fn apply_view(&self, view: View) {
        let view = Arc::new(view);
        let previous = self.inner.view.swap(Arc::clone(&view));
        let same_hosts = view.has_same_hosts(&previous);
        for shard in &self.inner.shards {
            for entry in shard.lock().values_mut() {
                let env = self.env(&view);
                if same_hosts {
                    entry.limiter.renew_leases(env);
                } else {
                    entry.limiter.set_view(env);
                }
            }
        }
    }

    /// Queries the hosts of this data centre for the status of their floors.
    pub fn query_floors(&self) {
        let now = Moment::now();
        let view = self.inner.view.load_full();
        let status = self.floor_status();
        self.record_floor_status(now, &view.host, status);
        for member in view.other_live_members(&view.data_centre) {
            if member.slot.is_some() {
                self.request_floor_status(member.clone());
            }
        }
    }

    /// Status of this host's floor.
    pub fn floor_status(&self) -> FloorStatus {
        self.inner.floor_use.lock().status(Moment::now())
    }

    fn request_floor_status(&self, member: Member) {
        self.inner.counters.floor_queries.add(1);
        let rates = self.clone();
        self.inner.spawner.detach(async move {
            let sent_at = Moment::now();
            let peers = &rates.inner.peers;
            let call =
                peers.call::<NoParams, FloorStatus>(member.address, FLOOR_METHOD, &NoParams {});
            if let Ok(status) = call.await {
                rates.record_floor_status(sent_at, &member.host, status);
            }
        });
    }

    fn record_floor_status(&self, sent_at: Moment, host: &HostId, status: FloorStatus) {
        let _order = self.inner.floor_use.lock();
        let mut view = View::clone(&self.inner.view.load());
        let floors = &mut view.unused_floors;
        floors.record_status(Moment::now(), sent_at, host, status, &self.inner.cfg);
        self.apply_view(view);
    }

    /// State of all customers' limiters at this host, sorted by customer.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        for shard in &self.inner.shards {
            let mut shard = shard.lock();
            let view = self.inner.view.load_full();
            for (customer, entry) in shard.iter_mut() {
                rows.push(Row {
                    customer: customer.clone(),
                    summary: entry.limiter.summary(self.env(&view)),
                });
            }
        }
        rows.sort_by(|a, b| a.customer.cmp(&b.customer));
        rows
    }

    /// Grants tokens to another host. Nothing is granted for an unknown customer.
    pub fn grant(&self, request: &GrantRequest) -> GrantReply {
        let mut shard = self.shard(&request.customer).lock();
        let view = self.inner.view.load_full();
        let Some(entry) = shard.get_mut(&request.customer) else {
            return GrantReply::default();
        };
        let reply = entry.limiter.grant(self.env(&view), request);
        self.inner.counters.answered.add(1);
        let granted = reply.granted.micros();
        self.inner.counters.granted_micros.add(granted);
        reply
    }

    /// Drops expired tokens and returns idle ones to their lenders.
    pub fn maintain(&self) {
        for shard in &self.inner.shards {
            let mut shard = shard.lock();
            let view = self.inner.view.load_full();
            for entry in shard.values_mut() {
                let env = self.env(&view);
                let mut effects = Vec::new();
                entry.limiter.maintain(env, &mut effects);
                self.record_stats(entry, env);
                self.run_effects(entry, effects);
            }
        }
    }

    fn try_take(&self, customer: &CustomerId) -> Admission {
        let mut shard = self.shard(customer).lock();
        let view = self.inner.view.load_full();
        let Some(entry) = shard.get_mut(customer) else {
            return Admission::Decided(Err(no_rate()));
        };
        let mut effects = Vec::new();
        let decision = entry.limiter.take(self.env(&view), &mut effects);
        let admission = match decision {
            Decision::Admit => Admission::Decided(Ok(())),
            Decision::Refuse(retry_after) => Admission::Decided(Err(rate_exceeded(retry_after))),
            Decision::Wait(ticket) => Admission::Pending(self.add_waiter(entry, ticket)),
        };
        self.run_effects(entry, effects);
        admission
    }

    fn add_waiter(&self, entry: &mut CustomerEntry, ticket: Ticket) -> Receiver<Result<()>> {
        let (tx, rx) = async_channel::bounded(1);
        entry.waiting.insert(ticket, tx);
        self.inner.counters.waited.add(1);
        rx
    }

    fn run_effects(&self, entry: &mut CustomerEntry, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Admit { ticket, .. } => notify_waiter(entry, ticket, Ok(())),
                Effect::Refuse {
                    ticket,
                    retry_after,
                } => notify_waiter(entry, ticket, Err(rate_exceeded(retry_after))),
                Effect::Send {
                    address, request, ..
                } => self.send(address, request),
            }
        }
    }

    fn send(&self, to: SocketAddr, request: GrantRequest) {
        self.record_sent(&request);
        let rates = self.clone();
        self.inner.spawner.detach(async move {
            let call =
                rates
                    .inner
                    .peers
                    .call::<GrantRequest, GrantReply>(to, REQUEST_METHOD, &request);
            let timeout = time_out(rates.inner.cfg.borrow_timeout);
            let reply = future::or(call, timeout).await;
            rates.handle_reply(&request, reply.ok());
        });
    }

    fn handle_reply(&self, request: &GrantRequest, reply: Option<GrantReply>) {
        let mut shard = self.shard(&request.customer).lock();
        let view = self.inner.view.load_full();
        let Some(entry) = shard.get_mut(&request.customer) else {
            return;
        };
        let env = self.env(&view);
        let mut effects = Vec::new();
        match reply {
            Some(reply) => entry
                .limiter
                .handle_reply(env, &request.id, &reply, &mut effects),
            None => {
                self.inner.counters.unanswered.add(1);
                entry.limiter.handle_error(env, &request.id, &mut effects);
            }
        }
        self.run_effects(entry, effects);
    }

    fn record_sent(&self, request: &GrantRequest) {
        let counters = &self.inner.counters;
        let counter = if request.need > Amount::ZERO {
            &counters.borrows
        } else if request.extra > Amount::ZERO {
            &counters.prefetches
        } else {
            &counters.returns
        };
        counter.add(1);
    }

    fn record_stats(&self, entry: &mut CustomerEntry, env: Env<'_>) {
        let stats = entry.limiter.take_stats(env);
        let counters = &self.inner.counters;
        counters.refilled_micros.add(stats.refilled.micros());
        counters.expired_micros.add(stats.expired.micros());
        counters.unreported_micros.add(stats.unreported.micros());
    }

    fn shard(&self, customer: &CustomerId) -> &Mutex<Shard> {
        let hash = self.inner.hasher.hash_one(customer);
        let index = hash % SHARDS as u64;
        &self.inner.shards[usize::try_from(index).unwrap_or_default()]
    }

    fn env<'a>(&'a self, view: &'a View) -> Env<'a> {
        Env {
            now: Moment::now(),
            cfg: &self.inner.cfg,
            view,
        }
    }
}

/// Registers the JSON-RPC methods that other hosts call.
///
/// # Errors
///
/// Fails if a method of the same name is already registered.
pub fn register<C, Q>(
    module: &mut RpcModule<C>,
    rates: RateLimiter<Q>,
) -> std::result::Result<(), RegisterMethodError>
where
    C: Send + Sync + 'static,
    Q: Peers,
{
    let lender = rates.clone();
    module.register_method(REQUEST_METHOD, move |params, _, _| {
        let request: GrantRequest = params.one()?;
        Ok::<GrantReply, ErrorObjectOwned>(lender.grant(&request))
    })?;
    module.register_method(FLOOR_METHOD, move |_, _, _| {
        Ok::<FloorStatus, ErrorObjectOwned>(rates.floor_status())
    })?;
    Ok(())
}

fn notify_waiter(entry: &mut CustomerEntry, ticket: Ticket, result: Result<()>) {
    if let Some(tx) = entry.waiting.remove(&ticket) {
        // The token is lost if the caller no longer waits.
        let _closed = tx.try_send(result);
    }
}

fn rate_exceeded(retry_after: Duration) -> Refusal {
    let detail = "the customer's rate and burst are used up";
    Refusal::not_run(Reason::RateExceeded, detail).retry_after(retry_after)
}

fn no_rate() -> Refusal {
    Refusal::not_run(Reason::RateExceeded, "the customer has no rate")
}

async fn time_out(timeout: Duration) -> std::result::Result<GrantReply, PeerError> {
    Timer::after(timeout).await;
    Err(PeerError::Unreachable(format!(
        "no reply within {timeout:?}"
    )))
}
