//! A few hosts as plain values under a virtual clock, around the real limiter.
//!
//! Shared by the tests and the bench, each of which uses a part of it.
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

/// Nanoseconds in a millisecond; the virtual clock counts nanoseconds.
pub(crate) const MS: u64 = 1_000_000;
/// Nanoseconds in a second.
pub(crate) const SECOND: u64 = 1_000 * MS;

const LEASE: Duration = Duration::from_secs(2);
const FLOOR_LEASE: Duration = Duration::from_secs(600);
/// Lease as others count it, with a margin for drift.
const LAPSE: Duration = Duration::from_millis(2_050);
const BEAT: u64 = 500 * MS;
const TOLERANCE: f64 = 1e-6;
/// Tokens that buckets may refill early by rounding their remainders.
const ROUNDING: f64 = 1e-4;

/// What happens to a host, a data centre or the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Resume(usize),
    Cut(usize),
    Heal(usize),
    None,
    Change { rate: f64, burst: f64, first: f64 },
}

/// How messages travel.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Net {
    pub(crate) lost: f64,
    pub(crate) repeated: f64,
    pub(crate) late: f64,
    pub(crate) near: u64,
    pub(crate) far: u64,
}

impl Net {
    pub(crate) const GOOD: Self = Self {
        lost: 0.0,
        repeated: 0.0,
        late: 0.0,
        near: MS / 4,
        far: MS / 2,
    };
    pub(crate) const BAD: Self = Self {
        lost: 0.1,
        repeated: 0.2,
        late: 0.2,
        ..Self::GOOD
    };
}

/// One run.
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

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome {
    Admitted {
        rounds: u32,
    },
    Refused {
        retry_after: Duration,
    },
    /// Its host was killed or frozen while it waited.
    Unanswered,
}

/// Result of a run.
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
    Beat(usize),
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
    heard: usize,
    epoch_seen: (Epoch, Moment),
    floor_use: FloorUse,
    deferred: Vec<Event>,
    waiting: HashMap<Ticket, usize>,
}

struct Registry {
    epoch: Epoch,
    heard: Vec<(usize, u64)>,
    cut: bool,
}

/// An ideal single bucket that must never run below zero.
struct Bound {
    level: f64,
    at: u64,
    /// Oldest version that a host may still act on.
    oldest: usize,
    /// Next oldest version and when tokens of the present one have expired.
    next: Option<(usize, u64)>,
}

pub(crate) struct Fleet {
    plan: Plan,
    now: u64,
    order: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    nodes: Vec<Node>,
    registries: Vec<Registry>,
    versions: Vec<(u64, Customer)>,
    bound: Bound,
    checked_at: u64,
    /// Tokens refilled ahead of the rate, by data centre.
    ahead: Vec<f64>,
    refilled: f64,
    admitted: u64,
    report: Report,
}

fn local(now: u64, drift_ppm: i64) -> Moment {
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

    /// Host that owns the bucket of a data centre at the start.
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
            heard: (0..plan.hosts)
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
            order: 0,
            rng,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            registries,
            versions: vec![(0, customer.clone())],
            bound: Bound {
                level: plan.burst,
                at: 0,
                oldest: 0,
                next: None,
            },
            checked_at: 0,
            ahead: vec![0.0; plan.data_centres],
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
        let view = self.view(index, Some(Moment::default() + LEASE), Moment::default());
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
            heard: 0,
            epoch_seen: (Epoch(1), Moment::default()),
            floor_use: self.floor_use(Moment::default(), Some(Moment::default() + LEASE)),
            deferred: Vec::new(),
            waiting: HashMap::new(),
        });
        let offset = self.rng.random_range(0..BEAT);
        self.at(offset, Event::Beat(index));
        self.at(offset / 5, Event::Maintain(index));
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
            self.at(at, Event::Call(index));
        }
        for (at, fault) in std::mem::take(&mut self.plan.faults) {
            self.at(at, Event::Fault(fault));
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.insert((at, self.order), event);
    }

    fn member(&self, index: usize) -> Member {
        let centre = index / self.plan.hosts;
        let mut heard = self.registries[centre].heard.iter();
        Member {
            host: format!("host-{index}").parse().expect("name"),
            address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
            alive: heard.any(|(host, _)| *host == index),
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
            until: until + FLOOR_LEASE,
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
        if let Some(index) = target(&event) {
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
            Event::GrantReply(from, to, id, answer) => {
                if self.connected(from, to) {
                    self.step(to, |limiter, env, fx| {
                        limiter.handle_reply(env, &id, &answer, fx);
                    });
                }
            }
            Event::GrantRequest(from, to, request) => self.handle_request(from, to, &request),
            Event::Beat(index) => self.beat(index),
            Event::Call(call) => self.call(call),
            Event::Config(index, version) => self.configure(index, version),
            Event::Fault(fault) => self.fault(fault),
            Event::FloorReply(from, to, sent_at, status) => {
                self.record_floor_status(from, to, sent_at, status);
            }
            Event::FloorQuery(from, to, sent_at) => {
                let node = &self.nodes[to];
                let status = node.floor_use.status(local(self.now, node.drift_ppm));
                let answer = Event::FloorReply(to, from, sent_at, status);
                self.transmit(to, from, &answer);
            }
            Event::Maintain(index) => {
                self.step(index, |limiter, env, fx| limiter.maintain(env, fx));
                let period = self.plan.cfg.idle_return.as_nanos() as u64 / 2;
                self.at(self.now + period, Event::Maintain(index));
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
            now: local(self.now, node.drift_ppm),
            cfg: &self.plan.cfg,
            view: &node.view,
        };
        let mut effects = Vec::new();
        f(&mut node.limiter, env, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Admit { ticket, rounds } => {
                let call = self.nodes[index]
                    .waiting
                    .remove(&ticket)
                    .expect("a waiting call");
                self.conclude(call, Outcome::Admitted { rounds });
            }
            Effect::Refuse {
                ticket,
                retry_after,
            } => {
                let call = self.nodes[index]
                    .waiting
                    .remove(&ticket)
                    .expect("a waiting call");
                self.conclude(call, Outcome::Refused { retry_after });
            }
            Effect::Send {
                address, request, ..
            } => {
                let to = usize::from(address.port()) - 1;
                let timeout = self.plan.cfg.borrow_timeout.as_nanos() as u64;
                self.at(
                    self.now + timeout,
                    Event::Timeout(index, request.id.clone()),
                );
                self.transmit(index, to, &Event::GrantRequest(index, to, request));
            }
        }
    }

    /// Sends a message that may be lost, repeated or late.
    fn transmit(&mut self, from: usize, to: usize, event: &Event) {
        self.report.messages += 1;
        let net = self.plan.net;
        let near = self.nodes[from].centre == self.nodes[to].centre;
        let delay = if near { net.near } else { net.far };
        let copies = if self.rng.random_bool(net.repeated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = self.rng.random_bool(net.late);
            let late = if late {
                self.rng.random_range(0..1_500 * MS)
            } else {
                0
            };
            if !self.rng.random_bool(net.lost) {
                self.at(self.now + delay + late, event.clone());
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
        let mut answer = GrantReply::default();
        self.step(to, |limiter, env, _| answer = limiter.grant(env, request));
        self.transmit(
            to,
            from,
            &Event::GrantReply(to, from, request.id.clone(), answer),
        );
    }

    fn call(&mut self, call: usize) {
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
            Decision::Admit => self.conclude(call, Outcome::Admitted { rounds: 0 }),
            Decision::Refuse(retry_after) => self.conclude(call, Outcome::Refused { retry_after }),
            Decision::Wait(ticket) => {
                self.nodes[index].waiting.insert(ticket, call);
                self.report.outcomes[call].2 = Some(Outcome::Unanswered);
            }
        }
    }

    fn conclude(&mut self, call: usize, outcome: Outcome) {
        self.report.outcomes[call].2 = Some(outcome);
        if matches!(outcome, Outcome::Admitted { .. }) {
            self.admitted += 1;
            self.bound.level -= 1.0;
            assert!(
                self.bound.level >= -TOLERANCE,
                "more calls admitted than rate and burst allow, over all hosts"
            );
        }
    }

    /// Moves the clock and refills the ideal bucket.
    fn advance(&mut self, at: u64) {
        let (rate, burst) = self.allowed();
        let span = (at - self.bound.at) as f64 / SECOND as f64;
        self.bound.level = (self.bound.level + rate * span).min(burst);
        self.bound.at = at;
        self.now = at;
    }

    /// Largest rate and burst by the versions that hosts may still act on.
    ///
    /// If a host has not heard of a change within the spread time, each data
    /// centre's part counts by its own version.
    fn allowed(&mut self) -> (f64, f64) {
        let alive = self.nodes.iter().filter(|node| node.state != State::Killed);
        let oldest = alive.map(|node| node.heard).min().unwrap_or_default();
        let ttl = self.plan.cfg.token_ttl.as_nanos() as u64;
        match self.bound.next {
            Some((version, until)) if self.now >= until => {
                self.bound.oldest = version;
                self.bound.next = None;
            }
            None if oldest > self.bound.oldest => self.bound.next = Some((oldest, self.now + ttl)),
            _ => {}
        }
        let active = &self.versions[self.bound.oldest..];
        let spread = self.plan.cfg.spread.as_nanos() as u64 * 9 / 10;
        let overdue = active.get(1).is_some_and(|(at, _)| self.now > at + spread);
        let largest = |of: fn(&Customer) -> f64| {
            if !overdue {
                let whole = active.iter().map(|(_, terms)| of(terms));
                return whole.fold(0.0, f64::max);
            }
            let parts = (0..self.plan.data_centres).map(|centre| {
                let part = |(_, terms): &(u64, Customer)| of(terms) * self.share(terms, centre);
                active.iter().map(part).fold(0.0, f64::max)
            });
            parts.sum()
        };
        (largest(|terms| terms.rate), largest(|terms| terms.burst))
    }

    fn share(&self, terms: &Customer, centre: usize) -> f64 {
        let equal = 1.0 / self.plan.data_centres as f64;
        if terms.shares.is_empty() {
            return equal;
        }
        let name = format!("dc-{centre}").parse().expect("name");
        terms.shares.get(&name).copied().unwrap_or(equal)
    }

    /// Tokens are conserved, in each data centre and over all of them.
    fn check_tokens(&mut self) {
        let span = (self.now - self.checked_at) as f64 / SECOND as f64;
        self.checked_at = self.now;
        let mut exist = 0.0;
        for centre in 0..self.plan.data_centres {
            let (rate, burst) = self.allowed_in(centre);
            let (refilled, tokens) = self.tokens(centre);
            let ahead = &mut self.ahead[centre];
            *ahead = (*ahead + refilled - rate * span).max(0.0);
            assert!(
                *ahead <= ROUNDING,
                "{ahead} tokens refilled more than the rate allows"
            );
            assert!(
                tokens <= burst + TOLERANCE,
                "{tokens} tokens exist, burst is {burst}"
            );
            self.refilled += refilled;
            exist += tokens;
        }
        let used = self.admitted as f64 + exist;
        let most = self.refilled + TOLERANCE;
        assert!(used <= most, "{used} tokens used or held, {most} refilled");
    }

    /// Tokens refilled since the last check, and tokens that exist, of the
    /// buckets of a data centre.
    fn tokens(&mut self, centre: usize) -> (f64, f64) {
        let mut refilled = 0.0;
        let mut exist = 0.0;
        let hosts = centre * self.plan.hosts..(centre + 1) * self.plan.hosts;
        let now = self.now;
        for index in hosts {
            let lender = self.nodes[index].view.host.clone();
            let alive = |node: &&Node| node.state != State::Killed;
            for node in self.nodes.iter().filter(alive) {
                let held = node
                    .limiter
                    .borrowed_from(local(now, node.drift_ppm), &lender);
                exist += held.tokens();
            }
            let node = &mut self.nodes[index];
            if node.state == State::Killed {
                continue;
            }
            let env = Env {
                now: local(now, node.drift_ppm),
                cfg: &self.plan.cfg,
                view: &node.view,
            };
            exist += node.limiter.summary(env).tokens;
            refilled += node.limiter.take_stats(env).refilled.tokens();
        }
        (refilled, exist)
    }

    /// Largest rate and burst of a data centre by the versions in use.
    fn allowed_in(&mut self, centre: usize) -> (f64, f64) {
        self.allowed();
        let active = &self.versions[self.bound.oldest..];
        let largest = |of: fn(&Customer) -> f64| {
            let part = |(_, terms): &(u64, Customer)| of(terms) * self.share(terms, centre);
            active.iter().map(part).fold(0.0, f64::max)
        };
        (largest(|terms| terms.rate), largest(|terms| terms.burst))
    }

    fn beat(&mut self, index: usize) {
        self.at(self.now + BEAT, Event::Beat(index));
        let centre = self.nodes[index].centre;
        self.query_floors(index);
        self.detect();
        let registry = &mut self.registries[centre];
        if registry.cut {
            return;
        }
        match registry.heard.iter_mut().find(|(host, _)| *host == index) {
            Some((_, heard)) => *heard = self.now,
            None => {
                registry.heard.push((index, self.now));
                registry.epoch = registry.epoch.next();
            }
        }
        let sent_at = local(self.now, self.nodes[index].drift_ppm);
        let view = self.view(index, Some(sent_at + LEASE), Moment::default());
        let delay = self.rng.random_range(0..300 * MS);
        self.at(self.now + delay, Event::View(index, view));
        let latest = self.versions.len() - 1;
        if self.nodes[index].heard < latest && self.rng.random_bool(0.3) {
            self.at(self.now + delay, Event::Config(index, latest));
        }
    }

    fn query_floors(&mut self, index: usize) {
        let node = &self.nodes[index];
        let now = local(self.now, node.drift_ppm);
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
        let now = local(self.now, node.drift_ppm);
        let floors = &mut node.view.unused_floors;
        floors.record_status(now, sent_at, &host, status, &self.plan.cfg);
        self.step(to, |limiter, env, _| limiter.renew_leases(env));
    }

    /// Removes hosts that have not been heard of for the time of a lease.
    fn detect(&mut self) {
        for registry in &mut self.registries {
            let before = registry.heard.len();
            let lapse = LAPSE.as_nanos() as u64;
            registry.heard.retain(|(_, heard)| self.now < heard + lapse);
            if registry.heard.len() < before {
                registry.epoch = registry.epoch.next();
            }
        }
    }

    fn set_view(&mut self, index: usize, mut view: View) {
        let node = &mut self.nodes[index];
        let now = local(self.now, node.drift_ppm);
        if view.epoch != node.epoch_seen.0 {
            node.epoch_seen = (view.epoch, now + LAPSE);
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
        let heard = self.nodes[index].heard.max(version);
        self.nodes[index].heard = heard;
        let terms = self.versions[heard].1.clone();
        let number = Version(heard as u64 + 1);
        self.step(index, |limiter, env, _| {
            limiter.set_limits(env, number, terms);
        });
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(index) => self.nodes[index].state = State::Killed,
            Fault::Freeze(index) if self.nodes[index].state == State::Running => {
                self.nodes[index].state = State::Frozen;
            }
            Fault::Resume(index) if self.nodes[index].state == State::Frozen => {
                self.nodes[index].state = State::Running;
                for event in std::mem::take(&mut self.nodes[index].deferred) {
                    self.at(self.now, event);
                }
            }
            Fault::Restart(index) if self.nodes[index].state == State::Killed => {
                self.restart(index);
            }
            Fault::Cut(centre) => self.registries[centre].cut = true,
            Fault::Heal(centre) => self.registries[centre].cut = false,
            Fault::Change { rate, burst, first } => self.change(rate, burst, first),
            _ => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let latest = self.versions.len() - 1;
        let now = local(self.now, self.nodes[index].drift_ppm);
        let mut view = self.view(index, None, now + LAPSE);
        view.floor = Some(FloorLease {
            slot: (index % self.plan.hosts) as u16,
            from: now + LAPSE,
            until: now + FLOOR_LEASE,
        });
        let env = Env {
            now,
            cfg: &self.plan.cfg,
            view: &view,
        };
        let customer = "choir".parse().expect("name");
        let terms = self.versions[latest].1.clone();
        let session = self.rng.random();
        let limiter =
            CustomerLimiter::new(env, customer, session, Version(latest as u64 + 1), terms);
        let floor_use = self.floor_use(now, None);
        let node = &mut self.nodes[index];
        node.floor_use = floor_use;
        node.limiter = limiter;
        node.view = view;
        node.state = State::Running;
        node.heard = latest;
        node.epoch_seen = (Epoch(0), now);
        node.waiting.clear();
        // A new process is a new host to the registry.
        let registry = &mut self.registries[node.centre];
        registry.heard.retain(|(host, _)| *host != index);
        registry.epoch = registry.epoch.next();
        self.at(self.now + MS, Event::Beat(index));
        self.at(self.now + MS, Event::Maintain(index));
    }

    fn change(&mut self, rate: f64, burst: f64, first: f64) {
        let rest = (1.0 - first) / (self.plan.data_centres - 1) as f64;
        let share = |centre: usize| if centre == 0 { first } else { rest };
        let name = |centre: usize| format!("dc-{centre}").parse().expect("name");
        let shares = (0..self.plan.data_centres)
            .map(|c| (name(c), share(c)))
            .collect();
        let terms = Customer {
            rate,
            burst,
            shares,
            ..Customer::default()
        };
        self.versions.push((self.now, terms));
    }
}

/// Host that an event happens at.
fn target(event: &Event) -> Option<usize> {
    match event {
        Event::GrantReply(_, to, ..) | Event::GrantRequest(_, to, _) => Some(*to),
        Event::FloorReply(_, to, ..) | Event::FloorQuery(_, to, _) => Some(*to),
        Event::Beat(index) | Event::Maintain(index) => Some(*index),
        Event::Config(index, _) | Event::Timeout(index, _) | Event::View(index, _) => Some(*index),
        Event::Call(_) | Event::Fault(_) => None,
    }
}

/// Calls at a mean rate, in random intervals; `weights` of the hosts.
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
