//! Balance of a service's load over engines that differ and change in speed,
//! while capacity is short and long prompts are mixed with short ones.
//!
//! The gateway holds one [`Balance`] for each service and asks it for the extra
//! cost of an engine, whether a call fits its memory, and whether a program may
//! begin. Decisions do no I/O and read no clock. They use what this host has seen
//! itself, and the engines' reports to other hosts of its data centre.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::configs::balance::BalanceConfig;
use crate::units::Moment;

pub mod admission;
pub mod calls;
pub mod reports;
pub mod shared;
pub mod shares;

use admission::Admission;
use admission::Admissions;
use admission::EngineState;
use admission::Newcomer;
use calls::Calls;
use calls::Demand;
use calls::MAX_TOKENS;
use calls::PlacedCall;
use calls::PromptSize;
use calls::Stage;
use calls::Ticket;
use reports::Reports;
use shared::EngineLoad;

/// Cost of a second unread long prompt at an engine, in calls. It exceeds every
/// difference in load and prefixes, but not that of an ejected engine.
const SECOND_LONG_COST: f64 = 100.0;
/// Number of requests below which an engine counts as empty.
const EMPTY_LOAD: f64 = 0.5;

/// Costs of a call at an engine without regard to the balance, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct BaseCost {
    /// Time of a call without load.
    pub idle_ms: f64,
    /// Mean time of recent calls.
    pub mean_ms: f64,
    /// Time that a load of one request for each slot adds.
    pub growth_ms: f64,
    /// Expected number of requests.
    pub load: f64,
    /// Requests that run at the same time.
    pub slots: f64,
    /// Prompt tokens that the engine does not have cached.
    pub unread_tokens: f64,
    /// Cost of reading them for each other request.
    pub interference_ms: f64,
}

/// An engine as it is summed up in [`Totals`].
#[derive(Clone, Copy, Debug, Default)]
struct Shared {
    /// Time of a call there apart from its prompt, in milliseconds.
    call_ms: f64,
    load: f64,
    slowness: f64,
}

/// Sums over the engines that a call may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    sum: Shared,
    /// Requests of this host.
    own: f64,
    engines: f64,
    /// Engines that are better than the mean.
    better: f64,
}

impl Totals {
    /// Sums up engines, each with the requests of this host and its base cost.
    pub fn of<'a>(
        view: &View<'_>,
        engines: impl Iterator<Item = (&'a str, f64, BaseCost)>,
    ) -> Self {
        let mut totals = Self::default();
        let mut times = Vec::new();
        for (engine, own, base) in engines {
            let shared = view.shared(engine, &base);
            totals.sum.call_ms += shared.call_ms;
            totals.sum.load += shared.load;
            totals.sum.slowness += shared.slowness;
            totals.own += own;
            totals.engines += 1.0;
            times.push(shared.call_ms);
        }
        let mean_ms = totals.sum.call_ms / totals.engines.max(1.0);
        for _better in times.iter().filter(|time_ms| **time_ms < mean_ms) {
            totals.better += 1.0;
        }
        totals
    }

    /// Means over the other engines than the one given.
    fn means_without(&self, one: &Shared) -> Shared {
        let others = (self.engines - 1.0).max(1.0);
        Shared {
            call_ms: (self.sum.call_ms - one.call_ms) / others,
            load: (self.sum.load - one.load) / others,
            slowness: (self.sum.slowness - one.slowness) / others,
        }
    }

    /// Calls that other hosts place for each of this host, as their requests
    /// show.
    fn others_per_own(&self) -> f64 {
        let others = (self.sum.load - self.own).max(0.0);
        (others / self.own.max(1.0)).min(MAX_OTHERS_PER_OWN)
    }
}

/// Largest estimate of the calls of other hosts for each own one. Up to 70 hosts
/// decide for the same engines; the rest is margin.
const MAX_OTHERS_PER_OWN: f64 = 200.0;

impl BaseCost {
    /// Time before a slot is free.
    fn queued_ms(&self) -> f64 {
        self.mean_ms * (self.load + 1.0 - self.slots).max(0.0) / self.slots
    }

    /// Time that the engine's load adds.
    fn load_ms(&self) -> f64 {
        self.growth_ms * self.load / self.slots + self.queued_ms()
    }

    /// Number of further requests that add `ms` to the time of a call; at least
    /// 1.
    fn calls_for(&self, ms: f64) -> f64 {
        let running_ms = self.growth_ms / self.slots;
        let queued_ms = running_ms + self.mean_ms / self.slots;
        let free = (self.slots - self.load).max(0.0);
        let in_slots = (ms / running_ms.max(MIN_STEP_MS)).min(free);
        let queued = (ms - in_slots * running_ms).max(0.0) / queued_ms.max(MIN_STEP_MS);
        (in_slots + queued).max(1.0)
    }
}

/// Least time that a request adds to others, in milliseconds.
const MIN_STEP_MS: f64 = 0.01;

/// State of the balance of one service.
#[derive(Debug)]
pub struct Balance {
    cfg: BalanceConfig,
    reports: Reports,
    calls: Calls,
    admissions: Admissions,
    rng: ChaCha8Rng,
}

impl Balance {
    /// Creates the balance of a service. The seed determines random decisions.
    pub fn new(cfg: BalanceConfig, seed: u64) -> Self {
        Self {
            reports: Reports::new(cfg.report_fade, cfg.slowness_persistence),
            calls: Calls::default(),
            admissions: Admissions::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            cfg,
        }
    }

    /// Forgets engines that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.reports.retain(is_listed);
    }

    /// Records a report that an engine made at `at`.
    pub fn record_report(&mut self, engine: &str, load: EngineLoad, at: Moment) {
        let claimed = self.rng.random_range(0.0..1.0);
        self.reports.record(engine, load, claimed, at);
    }

    /// When the latest known report of an engine was made; `None` without one.
    pub fn heard_at(&self, engine: &str) -> Option<Moment> {
        self.reports.heard_at(engine)
    }

    /// Calls that this host has placed at an engine since its latest report.
    pub fn placed(&self, engine: &str) -> u32 {
        self.reports.placed(engine)
    }

    /// Returns the reports to send to other hosts, with their ages.
    pub fn recent_reports(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&str, EngineLoad, Duration)> {
        self.reports.recent(now)
    }

    /// Counts a call at an engine until [`Self::end`]. `slowness` is that expected
    /// there, `load` the number of requests in relation to its slots, `unread_tokens` the part of the
    /// prompt that is not cached there.
    pub fn place(
        &mut self,
        engine: &str,
        demand: &Demand,
        slowness: f64,
        load: f64,
        unread_tokens: f64,
        now: Moment,
    ) -> Ticket {
        self.reports.count_placed(engine, now);
        let read_ms = unread_tokens / self.cfg.read_tokens_per_ms;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a number of tokens"
        )]
        let unread = (unread_tokens as u64).min(MAX_TOKENS);
        let call = PlacedCall {
            held: demand.held_tokens(),
            unread,
            read_ms,
            size: PromptSize::of(&self.cfg, unread_tokens),
            slowness,
            stretch: self.cfg.stretch(load),
        };
        self.calls.place(engine, &call)
    }

    /// Records that the first event of a call was heard.
    pub fn begin(&mut self, ticket: Ticket, now: Moment) {
        self.calls.begin(ticket, now);
    }

    /// Removes a call; `is_complete` if the engine has answered it.
    pub fn end(&mut self, ticket: Ticket, is_complete: bool, now: Moment) {
        self.calls.end(ticket, is_complete, now);
    }

    /// Returns the view for one decision.
    ///
    /// `call_ms` is the mean time of calls.
    pub const fn view(&self, call_ms: f64, now: Moment) -> View<'_> {
        View {
            balance: self,
            call_ms,
            now,
        }
    }

    /// Decides whether a program may begin, given the usable engines.
    pub fn admit(
        &mut self,
        newcomer: &Newcomer<'_>,
        engines: &[EngineState],
        now: Moment,
    ) -> Admission {
        let evidence = self.reports.age(now);
        let is_known = evidence.is_some_and(|age| age <= self.cfg.evidence_max_age);
        let idle_turn_ms = self.calls.idle_turn_ms().filter(|_| is_known);
        let spread = self.cfg.retry_spread;
        let factor = self.rng.random_range(spread[0]..spread[1]);
        self.admissions
            .admit(&self.cfg, newcomer, engines, idle_turn_ms, factor, now)
    }
}

/// The balance as one decision sees it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    balance: &'a Balance,
    call_ms: f64,
    now: Moment,
}

impl View<'_> {
    /// Slowness of an engine, by its last report and the age of that.
    pub fn slowness(&self, engine: &str) -> f64 {
        let reports = &self.balance.reports;
        reports.slowness(engine, self.call_ms, self.now)
    }

    /// Whether an engine holds a call beside the others, as estimated from
    /// `others` requests of other hosts, of which `slots` run.
    #[allow(clippy::cast_precision_loss, reason = "engines hold few tokens")]
    pub fn fits(&self, engine: &str, demand: &Demand, others: f64, slots: f64) -> bool {
        let Some(memory) = demand.memory_tokens else {
            return true;
        };
        let calls = self.balance.calls.at(engine);
        let own = calls.held as f64;
        let needed = demand.held_tokens() as f64;
        // A call that needs nearly the whole memory fits only alone.
        if own == 0.0 && others < EMPTY_LOAD {
            return needed <= memory as f64;
        }
        let usual = memory as f64 / slots;
        // A host without a call would refuse its first one by other hosts' reports,
        // and never learn how much calls hold.
        let mean = self.balance.calls.mean_held(usual).unwrap_or_default();
        let share = match others + f64::from(calls.count) < slots / 2.0 {
            // Nothing is kept free while half of the slots are.
            true => self.balance.cfg.memory_share,
            false => self.balance.cfg.memory_share_of(demand.stage),
        };
        own + others * mean + needed <= share * memory as f64
    }

    /// Delay by the prompts that this host has placed at an engine and that it
    /// has yet to read, in milliseconds.
    #[allow(clippy::cast_precision_loss, reason = "prompts have few tokens")]
    pub fn unread_ms(&self, engine: &str) -> f64 {
        self.read_ms(engine, self.balance.calls.at(engine).unread as f64)
    }

    /// Time in which an engine reads prompt tokens, in milliseconds.
    pub fn read_ms(&self, engine: &str, tokens: f64) -> f64 {
        tokens / self.balance.cfg.read_tokens_per_ms * self.slowness(engine)
    }

    fn shared(&self, engine: &str, base: &BaseCost) -> Shared {
        let slowness = self.slowness(engine);
        Shared {
            call_ms: slowness * (base.idle_ms + base.load_ms()),
            load: base.load,
            slowness,
        }
    }

    /// Number of the `calls` that make up for an engine's advantage that other
    /// hosts are expected to leave. They divide theirs among all engines that are
    /// better than the mean.
    fn calls_left(&self, engine: &str, calls: f64, totals: &Totals) -> f64 {
        let reports = &self.balance.reports;
        let claims = reports.claims(engine, self.now) / totals.better.max(1.0);
        (calls - claims * totals.others_per_own()).max(0.0)
    }

    /// Cost of a call at an engine beyond its base cost, in milliseconds; less
    /// than 0 if the engine is faster than usual. `totals` are those of all
    /// engines that the call may use.
    pub fn extra_cost(
        &self,
        engine: &str,
        demand: &Demand,
        base: &BaseCost,
        totals: &Totals,
    ) -> f64 {
        let cfg = &self.balance.cfg;
        let usual_read_ms = base.unread_tokens / cfg.read_tokens_per_ms;
        let shared = self.shared(engine, base);
        let slowness = shared.slowness;
        let mut cost = (slowness - 1.0) * (base.idle_ms + base.load_ms() + usual_read_ms);
        let means = totals.means_without(&shared);
        let advantage_ms = means.call_ms - shared.call_ms;
        if advantage_ms > 0.0 {
            let calls = base.calls_for(advantage_ms / slowness);
            let taken = calls - self.calls_left(engine, calls, totals);
            cost += taken / calls * advantage_ms;
            cost += taken / calls * (means.slowness - slowness).max(0.0) * usual_read_ms;
            cost += taken.min((means.load - shared.load).max(0.0)) * base.interference_ms;
        }
        let unread_ms = self.unread_ms(engine);
        cost += unread_ms;
        if let Some(due) = cfg.first_event_due(demand) {
            let first_ms = unread_ms + slowness * (base.queued_ms() + usual_read_ms);
            let late_ms = first_ms - millis(due);
            cost += cfg.late_weight * late_ms.max(0.0);
        }
        if PromptSize::of(cfg, base.unread_tokens) == PromptSize::Long {
            let long_unread = self.balance.calls.at(engine).long_unread;
            cost += SECOND_LONG_COST * base.mean_ms * f64::from(long_unread);
        }
        cost
    }
}

impl BalanceConfig {
    /// Fraction of an engine's memory up to which it gets calls of a stage.
    fn memory_share_of(&self, stage: Stage) -> f64 {
        let share = match stage {
            Stage::New => self.new_memory_share,
            Stage::Begun => self.memory_share,
            Stage::Late => self.late_memory_share,
        };
        share.min(self.memory_share)
    }

    /// Factor by which a call takes longer at an engine with `load` requests for
    /// each slot than at an idle one, once it runs.
    fn stretch(&self, load: f64) -> f64 {
        1.0 + (self.full_slowdown - 1.0) * load.clamp(0.0, 1.0)
    }

    /// Time within which a call's first event is due: its objective, or what its
    /// program can spare if that is less.
    fn first_event_due(&self, demand: &Demand) -> Option<Duration> {
        let spare = demand
            .time_left
            .map(|left| left.mul_f64(1.0 - 1.0 / self.time_factor));
        match (demand.first_event, spare) {
            (Some(due), Some(spare)) => Some(due.min(spare)),
            (due, spare) => due.or(spare),
        }
    }
}

/// Length of a time in milliseconds.
fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}
