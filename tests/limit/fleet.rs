//! Deterministic simulation of several hosts that run the real limiter under a
//! virtual clock.
//!
//! Shared by tests and benches, each of which uses only part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use chicoryarch::configs::limit::LimitConfig;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Version;
use chicoryarch::request::limit::CustomerLimiter;
use chicoryarch::request::limit::Decision;
use chicoryarch::request::limit::Effect;
use chicoryarch::request::limit::Env;
use chicoryarch::request::limit::FloorLease;
use chicoryarch::request::limit::FloorStatus;
use chicoryarch::request::limit::FloorUse;
use chicoryarch::request::limit::GrantId;
use chicoryarch::request::limit::GrantReply;
use chicoryarch::request::limit::GrantRequest;
use chicoryarch::request::limit::Member;
use chicoryarch::request::limit::Ticket;
use chicoryarch::request::limit::UnusedFloors;
use chicoryarch::request::limit::View;
use chicoryarch::units::Moment;
use chicoryarch::version::objects::Customer;

/// Nanoseconds per millisecond; the virtual clock counts nanoseconds.
pub(crate) const MS: u64 = 1_000_000;
/// Nanoseconds per second.
pub(crate) const SECOND: u64 = 1_000 * MS;

const LEASE_TTL: Duration = Duration::from_secs(2);
const FLOOR_LEASE_TTL: Duration = Duration::from_secs(600);
/// Time after which other hosts consider a lease lapsed: the lease plus a margin
/// for clock drift.
const LAPSE_AFTER: Duration = Duration::from_millis(2_050);
const HEARTBEAT_PERIOD: u64 = 500 * MS;
const FLOAT_TOLERANCE: f64 = 1e-6;
/// Tokens that buckets may refill early because remainders are rounded.
const ROUNDING_TOLERANCE: f64 = 1e-4;

/// A fault of a host or data centre, its end, or a change of the customer's
/// limits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Resume(usize),
    Cut(usize),
    Heal(usize),
    None,
    Change {
        rate: f64,
        burst: f64,
        first_share: f64,
    },
}

/// Latencies in nanoseconds, and probabilities of message faults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Net {
    pub(crate) loss_rate: f64,
    pub(crate) duplicate_rate: f64,
    pub(crate) delay_rate: f64,
    pub(crate) local_latency: u64,
    pub(crate) remote_latency: u64,
}

impl Net {
    pub(crate) const GOOD: Self = Self {
        loss_rate: 0.0,
        duplicate_rate: 0.0,
        delay_rate: 0.0,
        local_latency: MS / 4,
        remote_latency: MS / 2,
    };
    pub(crate) const BAD: Self = Self {
        loss_rate: 0.1,
        duplicate_rate: 0.2,
        delay_rate: 0.2,
        ..Self::GOOD
    };
}

/// Input of one simulation run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) data_centres: usize,
    pub(crate) hosts: usize,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) cfg: LimitConfig,
    pub(crate) net: Net,
    pub(crate) drift_ppm: i64,
    /// Time and host of each call.
    pub(crate) calls: Vec<(u64, usize)>,
    pub(crate) faults: Vec<(u64, Fault)>,
    pub(crate) end: u64,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome {
    Admitted {
        rounds: u32,
    },
    Refused {
        retry_after: Duration,
    },
    /// The host was killed or frozen while the call waited.
    Unanswered,
}

/// Result of a simulation run.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) outcomes: Vec<(u64, usize, Option<Outcome>)>,
    pub(crate) messages: u64,
    pub(crate) steps: u64,
}

#[derive(Clone, Debug)]
enum Event {
    GrantReply(usize, usize, GrantId, GrantReply),
    GrantRequest(usize, usize, GrantRequest),
    Heartbeat(usize),
    Call(usize),
    Config(usize, usize),
    Fault(Fault),
    FloorReply(usize, usize, Moment, FloorStatus),
    FloorQuery(usize, usize, Moment),
    Maintain(usize),
    Timeout(usize, GrantId),
    View(usize, View),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Running,
    Frozen,
    Killed,
}

struct Node {
    limiter: CustomerLimiter,
    centre: usize,
    view: View,
    drift_ppm: i64,
    state: State,
    config_version: usize,
    epoch_seen: (Epoch, Moment),
    floor_use: FloorUse,
    deferred: Vec<Event>,
    waiting: HashMap<Ticket, usize>,
}

struct Registry {
    epoch: Epoch,
    last_heartbeats: Vec<(usize, u64)>,
    cut: bool,
}

/// An ideal global bucket that every admitted call spends from. Its level must
/// never fall below zero.
struct IdealBucket {
    level: f64,
    at: u64,
    /// Oldest configuration version that a host may still use.
    oldest: usize,
    /// Next oldest version, with the time at which tokens refilled under the
    /// oldest one have expired.
    next: Option<(usize, u64)>,
}

pub(crate) struct Fleet {
    plan: Plan,
    now: u64,
    sequence: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    nodes: Vec<Node>,
    registries: Vec<Registry>,
    versions: Vec<(u64, Customer)>,
    ideal: IdealBucket,
    checked_at: u64,
    /// Tokens refilled in excess of the rate, by data centre.
    excess: Vec<f64>,
    refilled: f64,
    admitted: u64,
    report: Report,
}

fn local_time(now: u64, drift_ppm: i64) -> Moment {
    let drift = i128::from(now) * i128::from(drift_ppm) / 1_000_000;
    let nanos = i128::from(now) + drift;
    Moment::from_start(Duration::from_nanos(u64::try_from(nanos).expect("time")))
}

impl Fleet {
    pub(crate) fn run(plan: Plan) -> Report {
        let mut fleet = Self::new(plan);
        while let Some(((at, _), event)) = fleet.queue.pop_first() {
            if at > fleet.plan.end {
                break;
            }
            fleet.advance(at);
            fleet.report.steps += 1;
            fleet.handle(event);
            fleet.check_tokens();
        }
        fleet.report
    }

    /// Returns the host that owns the bucket of a data centre at the start.
    pub(crate) fn owner(plan: Plan, centre: usize) -> usize {
        let fleet = Self::new(plan);
        let view = &fleet.nodes[0].view;
        let name = format!("dc-{centre}").parse().expect("name");
        let customer = "choir".parse().expect("name");
        let owner = view.owner(&customer, &name).expect("an owner");
        usize::from(owner.address.port()) - 1
    }

    fn new(plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let customer = Customer {
            rate: plan.rate,
            burst: plan.burst,
            ..Customer::default()
        };
        let registry = |centre: usize| Registry {
            epoch: Epoch(1),
            last_heartbeats: (0..plan.hosts)
                .map(|i| (centre * plan.hosts + i, 0))
                .collect(),
            cut: false,
        };
        let registries: Vec<_> = (0..plan.data_centres).map(registry).collect();
        let drifts: Vec<i64> = (0..plan.data_centres * plan.hosts)
            .map(|_| rng.random_range(-plan.drift_ppm..=plan.drift_ppm))
            .collect();
        let mut fleet = Self {
            now: 0,
            sequence: 0,
            rng,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            registries,
            versions: vec![(0, customer.clone())],
            ideal: IdealBucket {
                level: plan.burst,
                at: 0,
                oldest: 0,
                next: None,
            },
            checked_at: 0,
            excess: vec![0.0; plan.data_centres],
            refilled: 0.0,
            admitted: 0,
            report: Report::default(),
            plan,
        };
        for (index, drift_ppm) in drifts.into_iter().enumerate() {
            fleet.add_node(index, drift_ppm, &customer);
        }
        fleet.schedule_plan();
        fleet
    }

    fn add_node(&mut self, index: usize, drift_ppm: i64, customer: &Customer) {
        let centre = index / self.plan.hosts;
        let view = self.view(
            index,
            Some(Moment::default() + LEASE_TTL),
            Moment::default(),
        );
        let env = Env {
            now: Moment::default(),
            cfg: &self.plan.cfg,
            view: &view,
        };
        let limiter = CustomerLimiter::new(
            env,
            "choir".parse().expect("name"),
            index as u64,
            Version(1),
            customer.clone(),
        );
        self.nodes.push(Node {
            limiter,
            centre,
            view,
            drift_ppm,
            state: State::Running,
            config_version: 0,
            epoch_seen: (Epoch(1), Moment::default()),
            floor_use: self.floor_use(Moment::default(), Some(Moment::default() + LEASE_TTL)),
            deferred: Vec::new(),
            waiting: HashMap::new(),
        });
        let offset = self.rng.random_range(0..HEARTBEAT_PERIOD);
        self.schedule(offset, Event::Heartbeat(index));
        self.schedule(offset / 5, Event::Maintain(index));
    }

    fn floor_use(&self, now: Moment, lease_until: Option<Moment>) -> FloorUse {
        let mut floor_use = FloorUse::new(now, &self.plan.cfg);
        floor_use.record_lease(now, lease_until, &self.plan.cfg);
        floor_use
    }

    fn schedule_plan(&mut self) {
        let calls = std::mem::take(&mut self.plan.calls);
        for (index, (at, host)) in calls.into_iter().enumerate() {
            self.report.outcomes.push((at, host, None));
            self.schedule(at, Event::Call(index));
        }
        for (at, fault) in std::mem::take(&mut self.plan.faults) {
            self.schedule(at, Event::Fault(fault));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn member(&self, index: usize) -> Member {
        let centre = index / self.plan.hosts;
        let mut heartbeats = self.registries[centre].last_heartbeats.iter();
        Member {
            host: format!("host-{index}").parse().expect("name"),
            address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
            alive: heartbeats.any(|(host, _)| *host == index),
            slot: Some((index % self.plan.hosts) as u16),
        }
    }

    fn view(&self, index: usize, lease_until: Option<Moment>, settled_at: Moment) -> View {
        let centre = index / self.plan.hosts;
        let name = |centre: usize| format!("dc-{centre}").parse().expect("name");
        let hosts = |centre: usize| centre * self.plan.hosts..(centre + 1) * self.plan.hosts;
        let members = |centre: usize| hosts(centre).map(|i| self.member(i)).collect();
        let floor = lease_until.map(|until| FloorLease {
            slot: (index % self.plan.hosts) as u16,
            from: Moment::default(),
            until: until + FLOOR_LEASE_TTL,
        });
        View {
            host: self.member(index).host,
            data_centre: name(centre),
            epoch: self.registries[centre].epoch,
            members: (0..self.plan.data_centres)
                .map(|c| (name(c), members(c)))
                .collect(),
            lease_until,
            settled_at,
            floor,
            unused_floors: UnusedFloors::default(),
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(index) = target_host(&event) {
            match self.nodes[index].state {
                State::Running => {}
                State::Frozen => {
                    self.nodes[index].deferred.push(event);
                    return;
                }
                State::Killed => return,
            }
        }
        match event {
            Event::GrantReply(from, to, id, reply) => {
                if self.connected(from, to) {
                    self.step(to, |limiter, env, fx| {
                        limiter.handle_reply(env, &id, &reply, fx);
                    });
                }
            }
            Event::GrantRequest(from, to, request) => self.handle_request(from, to, &request),
            Event::Heartbeat(index) => self.heartbeat(index),
            Event::Call(call) => self.handle_call(call),
            Event::Config(index, version) => self.configure(index, version),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::FloorReply(from, to, sent_at, status) => {
                self.record_floor_status(from, to, sent_at, status);
            }
            Event::FloorQuery(from, to, sent_at) => {
                let node = &self.nodes[to];
                let status = node.floor_use.status(local_time(self.now, node.drift_ppm));
                let reply = Event::FloorReply(to, from, sent_at, status);
                self.transmit(to, from, &reply);
            }
            Event::Maintain(index) => {
                self.step(index, |limiter, env, fx| limiter.maintain(env, fx));
                let period = self.plan.cfg.idle_return.as_nanos() as u64 / 2;
                self.schedule(self.now + period, Event::Maintain(index));
            }
            Event::Timeout(index, id) => {
                self.step(index, |limiter, env, fx| limiter.handle_error(env, &id, fx));
            }
            Event::View(index, view) => self.set_view(index, view),
        }
    }

    fn step(
        &mut self,
        index: usize,
        f: impl FnOnce(&mut CustomerLimiter, Env<'_>, &mut Vec<Effect>),
    ) {
        let node = &mut self.nodes[index];
        let env = Env {
            now: local_time(self.now, node.drift_ppm),
            cfg: &self.plan.cfg,
            view: &node.view,
        };
        let mut effects = Vec::new();
        f(&mut node.limiter, env, &mut effects);
        for effect in effects {
            self.run_effect(index, effect);
        }
    }

    fn run_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Admit { ticket, rounds } => {
                let call = self.nodes[index]
                    .waiting
                    .remove(&ticket)
                    .expect("a waiting call");
                self.complete(call, Outcome::Admitted { rounds });
            }
            Effect::Refuse {
                ticket,
                retry_after,
            } => {
                let call = self.nodes[index]
                    .waiting
                    .remove(&ticket)
                    .expect("a waiting call");
                self.complete(call, Outcome::Refused { retry_after });
            }
            Effect::Send {
                address, request, ..
            } => {
                let to = usize::from(address.port()) - 1;
                let timeout = self.plan.cfg.borrow_timeout.as_nanos() as u64;
                self.schedule(
                    self.now + timeout,
                    Event::Timeout(index, request.id.clone()),
                );
                self.transmit(index, to, &Event::GrantRequest(index, to, request));
            }
        }
    }

    /// Sends a message, which may be lost, duplicated or delayed.
    fn transmit(&mut self, from: usize, to: usize, event: &Event) {
        self.report.messages += 1;
        let net = self.plan.net;
        let is_local = self.nodes[from].centre == self.nodes[to].centre;
        let delay = if is_local {
            net.local_latency
        } else {
            net.remote_latency
        };
        let copies = if self.rng.random_bool(net.duplicate_rate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_delayed = self.rng.random_bool(net.delay_rate);
            let extra_delay = if is_delayed {
                self.rng.random_range(0..1_500 * MS)
            } else {
                0
            };
            if !self.rng.random_bool(net.loss_rate) {
                self.schedule(self.now + delay + extra_delay, event.clone());
            }
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].centre, self.nodes[to].centre);
        from == to || !(self.registries[from].cut || self.registries[to].cut)
    }

    fn handle_request(&mut self, from: usize, to: usize, request: &GrantRequest) {
        if !self.connected(from, to) {
            return;
        }
        let mut reply = GrantReply::default();
        self.step(to, |limiter, env, _| reply = limiter.grant(env, request));
        self.transmit(
            to,
            from,
            &Event::GrantReply(to, from, request.id.clone(), reply),
        );
    }

    fn handle_call(&mut self, call: usize) {
        let wanted = self.report.outcomes[call].1;
        let running = |index: &usize| self.nodes[*index].state == State::Running;
        let count = self.nodes.len();
        let Some(index) = (0..count).map(|i| (wanted + i) % count).find(running) else {
            return;
        };
        let mut decision = None;
        self.step(index, |limiter, env, fx| {
            decision = Some(limiter.take(env, fx));
        });
        match decision.expect("a decision") {
            Decision::Admit => self.complete(call, Outcome::Admitted { rounds: 0 }),
            Decision::Refuse(retry_after) => self.complete(call, Outcome::Refused { retry_after }),
            Decision::Wait(ticket) => {
                self.nodes[index].waiting.insert(ticket, call);
                self.report.outcomes[call].2 = Some(Outcome::Unanswered);
            }
        }
    }

    fn complete(&mut self, call: usize, outcome: Outcome) {
        self.report.outcomes[call].2 = Some(outcome);
        if matches!(outcome, Outcome::Admitted { .. }) {
            self.admitted += 1;
            self.ideal.level -= 1.0;
            assert!(
                self.ideal.level >= -FLOAT_TOLERANCE,
                "more calls admitted than rate and burst allow, over all hosts"
            );
        }
    }

    /// Advances the clock and refills the ideal bucket.
    fn advance(&mut self, at: u64) {
        let (rate, burst) = self.allowed_limits();
        let span = (at - self.ideal.at) as f64 / SECOND as f64;
        self.ideal.level = (self.ideal.level + rate * span).min(burst);
        self.ideal.at = at;
        self.now = at;
    }

    /// Largest rate and burst among the versions that hosts may still use.
    ///
    /// If a host has not received a change within the spread time, hosts may use
    /// different versions, and the largest parts of the data centres are added
    /// up.
    fn allowed_limits(&mut self) -> (f64, f64) {
        let alive = self.nodes.iter().filter(|node| node.state != State::Killed);
        let oldest = alive
            .map(|node| node.config_version)
            .min()
            .unwrap_or_default();
        let ttl = self.plan.cfg.token_ttl.as_nanos() as u64;
        match self.ideal.next {
            Some((version, until)) if self.now >= until => {
                self.ideal.oldest = version;
                self.ideal.next = None;
            }
            None if oldest > self.ideal.oldest => self.ideal.next = Some((oldest, self.now + ttl)),
            _ => {}
        }
        let active = &self.versions[self.ideal.oldest..];
        let spread = self.plan.cfg.spread.as_nanos() as u64 * 9 / 10;
        let overdue = active.get(1).is_some_and(|(at, _)| self.now > at + spread);
        let largest = |of: fn(&Customer) -> f64| {
            if !overdue {
                let whole = active.iter().map(|(_, limits)| of(limits));
                return whole.fold(0.0, f64::max);
            }
            let parts = (0..self.plan.data_centres).map(|centre| {
                let part = |(_, limits): &(u64, Customer)| of(limits) * self.share(limits, centre);
                active.iter().map(part).fold(0.0, f64::max)
            });
            parts.sum()
        };
        (
            largest(|limits| limits.rate),
            largest(|limits| limits.burst),
        )
    }

    fn share(&self, limits: &Customer, centre: usize) -> f64 {
        let equal = 1.0 / self.plan.data_centres as f64;
        if limits.shares.is_empty() {
            return equal;
        }
        let name = format!("dc-{centre}").parse().expect("name");
        limits.shares.get(&name).copied().unwrap_or(equal)
    }

    /// Asserts that tokens are conserved in each data centre and over all of
    /// them.
    fn check_tokens(&mut self) {
        let span = (self.now - self.checked_at) as f64 / SECOND as f64;
        self.checked_at = self.now;
        let mut existing = 0.0;
        for centre in 0..self.plan.data_centres {
            let (rate, burst) = self.allowed_limits_in(centre);
            let (refilled, tokens) = self.count_tokens(centre);
            let excess = &mut self.excess[centre];
            *excess = (*excess + refilled - rate * span).max(0.0);
            assert!(
                *excess <= ROUNDING_TOLERANCE,
                "{excess} tokens refilled more than the rate allows"
            );
            assert!(
                tokens <= burst + FLOAT_TOLERANCE,
                "{tokens} tokens exist, burst is {burst}"
            );
            self.refilled += refilled;
            existing += tokens;
        }
        let used = self.admitted as f64 + existing;
        let limit = self.refilled + FLOAT_TOLERANCE;
        assert!(
            used <= limit,
            "{used} tokens used or held, {limit} refilled"
        );
    }

    /// Tokens refilled since the last check, and tokens in existence, from the
    /// buckets of a data centre.
    fn count_tokens(&mut self, centre: usize) -> (f64, f64) {
        let mut refilled = 0.0;
        let mut existing = 0.0;
        let hosts = centre * self.plan.hosts..(centre + 1) * self.plan.hosts;
        let now = self.now;
        for index in hosts {
            let lender = self.nodes[index].view.host.clone();
            let alive = |node: &&Node| node.state != State::Killed;
            for node in self.nodes.iter().filter(alive) {
                let held = node
                    .limiter
                    .borrowed_from(local_time(now, node.drift_ppm), &lender);
                existing += held.tokens();
            }
            let node = &mut self.nodes[index];
            if node.state == State::Killed {
                continue;
            }
            let env = Env {
                now: local_time(now, node.drift_ppm),
                cfg: &self.plan.cfg,
                view: &node.view,
            };
            existing += node.limiter.summary(env).tokens;
            refilled += node.limiter.take_stats(env).refilled.tokens();
        }
        (refilled, existing)
    }

    /// Largest rate and burst of a data centre among the versions in use.
    fn allowed_limits_in(&mut self, centre: usize) -> (f64, f64) {
        self.allowed_limits();
        let active = &self.versions[self.ideal.oldest..];
        let largest = |of: fn(&Customer) -> f64| {
            let part = |(_, limits): &(u64, Customer)| of(limits) * self.share(limits, centre);
            active.iter().map(part).fold(0.0, f64::max)
        };
        (
            largest(|limits| limits.rate),
            largest(|limits| limits.burst),
        )
    }

    fn heartbeat(&mut self, index: usize) {
        self.schedule(self.now + HEARTBEAT_PERIOD, Event::Heartbeat(index));
        let centre = self.nodes[index].centre;
        self.query_floors(index);
        self.expire_hosts();
        let registry = &mut self.registries[centre];
        if registry.cut {
            return;
        }
        match registry
            .last_heartbeats
            .iter_mut()
            .find(|(host, _)| *host == index)
        {
            Some((_, last)) => *last = self.now,
            None => {
                registry.last_heartbeats.push((index, self.now));
                registry.epoch = registry.epoch.next();
            }
        }
        let sent_at = local_time(self.now, self.nodes[index].drift_ppm);
        let view = self.view(index, Some(sent_at + LEASE_TTL), Moment::default());
        let delay = self.rng.random_range(0..300 * MS);
        self.schedule(self.now + delay, Event::View(index, view));
        let latest = self.versions.len() - 1;
        if self.nodes[index].config_version < latest && self.rng.random_bool(0.3) {
            self.schedule(self.now + delay, Event::Config(index, latest));
        }
    }

    fn query_floors(&mut self, index: usize) {
        let node = &self.nodes[index];
        let now = local_time(self.now, node.drift_ppm);
        let status = node.floor_use.status(now);
        let centre = node.centre;
        self.record_floor_status(index, index, now, status);
        for to in centre * self.plan.hosts..(centre + 1) * self.plan.hosts {
            if to != index {
                self.transmit(index, to, &Event::FloorQuery(index, to, now));
            }
        }
    }

    fn record_floor_status(
        &mut self,
        from: usize,
        to: usize,
        sent_at: Moment,
        status: FloorStatus,
    ) {
        let host = self.nodes[from].view.host.clone();
        let node = &mut self.nodes[to];
        let now = local_time(self.now, node.drift_ppm);
        let floors = &mut node.view.unused_floors;
        floors.record_status(now, sent_at, &host, status, &self.plan.cfg);
        self.step(to, |limiter, env, _| limiter.renew_leases(env));
    }

    /// Removes hosts whose last heartbeat is older than [`LAPSE_AFTER`].
    fn expire_hosts(&mut self) {
        for registry in &mut self.registries {
            let before = registry.last_heartbeats.len();
            let lapse = LAPSE_AFTER.as_nanos() as u64;
            registry
                .last_heartbeats
                .retain(|(_, last)| self.now < last + lapse);
            if registry.last_heartbeats.len() < before {
                registry.epoch = registry.epoch.next();
            }
        }
    }

    fn set_view(&mut self, index: usize, mut view: View) {
        let node = &mut self.nodes[index];
        let now = local_time(self.now, node.drift_ppm);
        if view.epoch != node.epoch_seen.0 {
            node.epoch_seen = (view.epoch, now + LAPSE_AFTER);
        }
        view.settled_at = node.epoch_seen.1;
        view.unused_floors = std::mem::take(&mut node.view.unused_floors);
        node.view = view;
        self.step(index, |limiter, env, _| limiter.set_view(env));
        let node = &mut self.nodes[index];
        let lease_until = node.view.lease_until;
        node.floor_use
            .record_lease(now, lease_until, &self.plan.cfg);
    }

    fn configure(&mut self, index: usize, version: usize) {
        let version = self.nodes[index].config_version.max(version);
        self.nodes[index].config_version = version;
        let limits = self.versions[version].1.clone();
        let number = Version(version as u64 + 1);
        self.step(index, |limiter, env, _| {
            limiter.set_limits(env, number, limits);
        });
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(index) => self.nodes[index].state = State::Killed,
            Fault::Freeze(index) if self.nodes[index].state == State::Running => {
                self.nodes[index].state = State::Frozen;
            }
            Fault::Resume(index) if self.nodes[index].state == State::Frozen => {
                self.nodes[index].state = State::Running;
                for event in std::mem::take(&mut self.nodes[index].deferred) {
                    self.schedule(self.now, event);
                }
            }
            Fault::Restart(index) if self.nodes[index].state == State::Killed => {
                self.restart(index);
            }
            Fault::Cut(centre) => self.registries[centre].cut = true,
            Fault::Heal(centre) => self.registries[centre].cut = false,
            Fault::Change {
                rate,
                burst,
                first_share,
            } => self.change_limits(rate, burst, first_share),
            _ => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let latest = self.versions.len() - 1;
        let now = local_time(self.now, self.nodes[index].drift_ppm);
        let mut view = self.view(index, None, now + LAPSE_AFTER);
        view.floor = Some(FloorLease {
            slot: (index % self.plan.hosts) as u16,
            from: now + LAPSE_AFTER,
            until: now + FLOOR_LEASE_TTL,
        });
        let env = Env {
            now,
            cfg: &self.plan.cfg,
            view: &view,
        };
        let customer = "choir".parse().expect("name");
        let limits = self.versions[latest].1.clone();
        let session = self.rng.random();
        let limiter =
            CustomerLimiter::new(env, customer, session, Version(latest as u64 + 1), limits);
        let floor_use = self.floor_use(now, None);
        let node = &mut self.nodes[index];
        node.floor_use = floor_use;
        node.limiter = limiter;
        node.view = view;
        node.state = State::Running;
        node.config_version = latest;
        node.epoch_seen = (Epoch(0), now);
        node.waiting.clear();
        // The registry treats a restarted process as a new host.
        let registry = &mut self.registries[node.centre];
        registry.last_heartbeats.retain(|(host, _)| *host != index);
        registry.epoch = registry.epoch.next();
        self.schedule(self.now + MS, Event::Heartbeat(index));
        self.schedule(self.now + MS, Event::Maintain(index));
    }

    fn change_limits(&mut self, rate: f64, burst: f64, first_share: f64) {
        let rest = (1.0 - first_share) / (self.plan.data_centres - 1) as f64;
        let share = |centre: usize| if centre == 0 { first_share } else { rest };
        let name = |centre: usize| format!("dc-{centre}").parse().expect("name");
        let shares = (0..self.plan.data_centres)
            .map(|c| (name(c), share(c)))
            .collect();
        let limits = Customer {
            rate,
            burst,
            shares,
            ..Customer::default()
        };
        self.versions.push((self.now, limits));
    }
}

/// Host that handles an event; `None` if the event is not bound to one.
fn target_host(event: &Event) -> Option<usize> {
    match event {
        Event::GrantReply(_, to, ..) | Event::GrantRequest(_, to, _) => Some(*to),
        Event::FloorReply(_, to, ..) | Event::FloorQuery(_, to, _) => Some(*to),
        Event::Heartbeat(index) | Event::Maintain(index) => Some(*index),
        Event::Config(index, _) | Event::Timeout(index, _) | Event::View(index, _) => Some(*index),
        Event::Call(_) | Event::Fault(_) => None,
    }
}

/// Generates calls as a Poisson process of `rate` calls per second, distributed
/// over the hosts by `weights`.
pub(crate) fn poisson(
    seed: u64,
    rate: f64,
    from: u64,
    to: u64,
    weights: &[f64],
) -> Vec<(u64, usize)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let total: f64 = weights.iter().sum();
    let mut at = from as f64;
    let mut calls = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / rate * SECOND as f64;
        if at >= to as f64 {
            return calls;
        }
        let mut pick = rng.random_range(0.0..total);
        let host = weights.iter().position(|weight| {
            pick -= weight;
            pick < 0.0
        });
        calls.push((at as u64, host.unwrap_or_default()));
    }
}
