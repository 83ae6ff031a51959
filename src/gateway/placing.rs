//! Choice of an endpoint by what this host knows of each one's load.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::directory::Endpoint;
use super::directory::EndpointState;
use super::load_curve::LoadCurve;
use super::prefixes::Prefixes;
use crate::gateway::call::PromptPart;
use crate::units::Moment;

/// Time after which a told load says nothing any more.
const LOAD_LIFE: Duration = Duration::from_secs(2);
/// Time for which an endpoint that failed is passed over.
const AVOID: Duration = Duration::from_secs(1);
/// Longest time for which an endpoint that keeps failing is passed over.
const MAX_AVOID: Duration = Duration::from_secs(8);
/// Weight of the newest value in the mean load of a data centre's endpoints.
const MEAN_WEIGHT: f64 = 0.2;
/// Work that a call is taken to be before any has ended, in milliseconds.
const FIRST_WORK_MS: f64 = 100.0;
/// Part of a call's time that a full endpoint is taken to add, before calls
/// show how it grows.
const ASSUMED_GROWTH: f64 = 0.25;
/// Prompt tokens that an engine is taken to read in a millisecond; engines
/// read some tens to a hundred.
const PREFILL_PER_MS: f64 = 40.0;
/// Part of a prompt's reading by which each running request is held up: it is
/// read in chunks between their tokens.
const HELD_UP: f64 = 0.25;
/// Weight of the newest call in an endpoint's pace and error rate.
const MEMBER_WEIGHT: f64 = 0.15;
/// Pace above which an endpoint counts as slow: calls differ by that much.
const SLOW_PACE: f64 = 1.5;
/// Pace that an endpoint is taken to have at least while it says that it is
/// still slow after its start.
const COLD_PACE: f64 = 2.0;
/// Highest pace that is learnt, so that an endpoint recovers soon.
const MAX_PACE: f64 = 8.0;
/// Time in which a learnt error rate or pace loses most of its weight.
const LEARNT_LIFE: Duration = Duration::from_secs(4);
/// Cost of a failed call, in calls: it is repeated, or its program is lost.
const ERROR_COST: f64 = 10.0;
/// Added to the cost of an endpoint in another data centre, as a part of a
/// call's time without load. Calls that stay are not lost when the data
/// centres part.
const CROSSING_SHARE: f64 = 0.2;
/// Added to the cost of an endpoint that is passed over, in calls: it is chosen
/// only if all others are.
const AVOIDED_COST: f64 = 1e3;
/// Added to the cost of an endpoint that is out of reach, in calls: even one
/// that is passed over goes before it.
const OUT_OF_REACH_COST: f64 = 1e6;
/// Costs that differ by less count as equal, in milliseconds.
const TIE_MS: f64 = 0.5;

/// Load that an endpoint told in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// How an attempt ended, as far as the endpoint's health goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// It answered.
    Answered,
    /// It answered with an error of its own.
    Errored,
    /// It refused because it had no room.
    Full,
    /// It failed, hung or answered wrongly.
    Failed,
    /// The caller left or the host gave up; nothing is learnt.
    Abandoned,
}

/// Which endpoints a call may use, and the prompt that it brings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// Parts of its prompt in order.
    pub parts: &'a [PromptPart],
    /// Endpoints that were tried.
    pub tried: &'a [Box<str>],
    /// The one endpoint that may run it, leaving or not.
    pub only: Option<&'a str>,
    /// True if endpoints in other data centres are unreachable.
    pub is_isolated: bool,
}

#[derive(Debug)]
struct Member {
    endpoint: Arc<Endpoint>,
    /// Requests of this host under way.
    running: u32,
    /// Requests of other hosts when it last told its load.
    others: u32,
    told: Option<Moment>,
    avoid_until: Moment,
    failures: u32,
    /// End of the time in which it is slow after its start.
    cold_until: Moment,
    /// Time of its calls against the mean of the service.
    pace: f64,
    /// Part of its calls that failed lately.
    error_rate: f64,
    learnt: Moment,
    prefixes: Prefixes,
}

impl Member {
    fn new(endpoint: Arc<Endpoint>, now: Moment) -> Self {
        Self {
            cold_until: now + Duration::from_millis(endpoint.cold_ms),
            endpoint,
            running: 0,
            others: 0,
            told: None,
            avoid_until: Moment::default(),
            failures: 0,
            pace: 1.0,
            error_rate: 0.0,
            learnt: Moment::default(),
            prefixes: Prefixes::default(),
        }
    }

    fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Learns from a call; what was learnt before fades with time.
    fn learn(&mut self, pace: Option<f64>, is_error: bool, now: Moment) {
        let fade = self.fade(now);
        self.error_rate *= fade;
        self.pace = 1.0 + (self.pace - 1.0) * fade;
        let error = if is_error { 1.0 } else { 0.0 };
        self.error_rate += MEMBER_WEIGHT * (error - self.error_rate);
        if let Some(pace) = pace {
            self.pace += MEMBER_WEIGHT * (pace.min(MAX_PACE) - self.pace);
        }
        self.learnt = now;
    }

    /// Weight that is left of what was learnt.
    fn fade(&self, now: Moment) -> f64 {
        let age = now.since(self.learnt).as_secs_f64() / LEARNT_LIFE.as_secs_f64();
        (-age).exp()
    }

    /// Requests there. As what it told grows old, it is taken to be as loaded
    /// as the endpoints around it.
    fn load(&self, around: f64, now: Moment) -> f64 {
        let age = self.told.map_or(LOAD_LIFE, |told| now.since(told));
        let fresh = 1.0 - age.as_secs_f64() / LOAD_LIFE.as_secs_f64();
        let fresh = fresh.max(0.0);
        let others = f64::from(self.others) * fresh + around * (1.0 - fresh);
        f64::from(self.running) + others
    }
}

/// A request that is counted at an endpoint.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Requests there for each of its slots, as far as this host knew.
    load: f64,
}

/// Endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    /// In the order of their ids, so that a seed gives the same choices.
    members: BTreeMap<Box<str>, Member>,
    /// Time of calls by load.
    curve: LoadCurve,
    /// Mean number of requests of other hosts at an endpoint, by data centre.
    around: HashMap<Box<str>, f64>,
    /// Decides among equal endpoints.
    rng: ChaCha8Rng,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl Pool {
    /// A pool whose choices among equal endpoints follow from a seed.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            members: BTreeMap::new(),
            curve: LoadCurve::new(FIRST_WORK_MS, ASSUMED_GROWTH),
            around: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes up the endpoints of the service.
    pub fn replace(&mut self, endpoints: impl Iterator<Item = Arc<Endpoint>>, now: Moment) {
        let mut kept = BTreeMap::new();
        for endpoint in endpoints {
            let same = self
                .members
                .remove(&endpoint.id)
                .filter(|member| member.endpoint.started_ms == endpoint.started_ms);
            let member = match same {
                Some(member) => Member { endpoint, ..member },
                None => Member::new(endpoint, now),
            };
            kept.insert(member.endpoint.id.clone(), member);
        }
        self.members = kept;
    }

    /// Chooses an endpoint and counts a request there.
    pub fn choose(&mut self, criteria: &Criteria<'_>, home: &str, now: Moment) -> Option<Placed> {
        let view = View {
            curve: &self.curve,
            around: &self.around,
            home,
            now,
        };
        let rng = &mut self.rng;
        let usable = self.members.values_mut().filter(|member| {
            let id = &member.endpoint.id;
            match criteria.only {
                Some(only) => **id == *only,
                None => member.is_ready() && !criteria.tried.contains(id),
            }
        });
        // Equal endpoints share the calls at random rather than by their order.
        let mut cost =
            |member: &Member| view.cost(member, criteria) + rng.random_range(0.0..TIE_MS);
        let best = usable
            .map(|member| (cost(member), member))
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        let (_, member) = best?;
        let load = view.load(member) / f64::from(member.endpoint.slots);
        member.running += 1;
        member.prefixes.touch(criteria.parts, now);
        let endpoint = Arc::clone(&member.endpoint);
        Some(Placed { endpoint, load })
    }

    /// Takes up the load that an endpoint told.
    pub fn told(&mut self, id: &str, load: ReportedLoad, now: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            member.others = (load.running + load.waiting).saturating_sub(member.running);
            member.told = Some(now);
            let place = member.endpoint.data_centre.clone();
            let around = self.around.entry(place).or_default();
            *around += MEAN_WEIGHT * (f64::from(member.others) - *around);
        }
    }

    /// Ends a request that [`Pool::choose`] counted.
    pub fn ended(&mut self, placed: &Placed, ended: Ended, spent: Duration, now: Moment) {
        let spent_ms = spent.as_secs_f64() * 1000.0;
        let pace = (ended == Ended::Answered).then(|| {
            let expected_ms = self.curve.time_ms(placed.load);
            self.curve.add(placed.load, spent_ms);
            spent_ms / expected_ms.max(1.0)
        });
        let Some(member) = self.members.get_mut(&placed.endpoint.id) else {
            return;
        };
        member.running = member.running.saturating_sub(1);
        match ended {
            Ended::Answered => {
                member.failures = 0;
                member.learn(pace, false, now);
            }
            Ended::Errored => member.learn(None, true, now),
            Ended::Abandoned => (),
            Ended::Full => {
                member.others = member.others.max(member.endpoint.slots);
                member.told = Some(now);
            }
            Ended::Failed => {
                member.failures += 1;
                member.learn(None, true, now);
                let doubled = AVOID * 2u32.saturating_pow(member.failures.min(4) - 1);
                member.avoid_until = now + doubled.min(MAX_AVOID);
            }
        }
    }

    /// True if an endpoint is listed, leaving or not.
    pub fn has(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }
}

/// What a host knows when it chooses.
struct View<'a> {
    curve: &'a LoadCurve,
    around: &'a HashMap<Box<str>, f64>,
    home: &'a str,
    now: Moment,
}

impl View<'_> {
    /// Requests at an endpoint.
    fn load(&self, member: &Member) -> f64 {
        let around = self.around.get(&member.endpoint.data_centre);
        member.load(around.copied().unwrap_or_default(), self.now)
    }

    /// Expected delay of a call at an endpoint, in milliseconds, and of those
    /// that wait while its prompt is read.
    fn cost(&self, member: &Member, criteria: &Criteria<'_>) -> f64 {
        let now = self.now;
        let idle_ms = self.curve.idle_ms();
        let slots = f64::from(member.endpoint.slots);
        let load = self.load(member);
        let queued = (load + 1.0 - slots).max(0.0);
        let fade = member.fade(now);
        let mut pace = 1.0 + (member.pace - 1.0) * fade;
        if now < member.cold_until {
            pace = pace.max(COLD_PACE);
        }
        let slowed_ms = self.curve.growth_ms() * load / slots;
        let queued_ms = self.curve.mean_ms() * queued / slots;
        let mut cost = pace.max(1.0) * (slowed_ms + queued_ms);
        cost += idle_ms * (pace - SLOW_PACE).max(0.0);
        cost += idle_ms * ERROR_COST * member.error_rate * fade;
        if !criteria.parts.is_empty() {
            let missing = member.prefixes.missing(criteria.parts, now);
            #[allow(clippy::cast_precision_loss, reason = "prompts have few tokens")]
            let missing = missing as f64;
            // Those that run wait while the prompt is read.
            cost += missing / PREFILL_PER_MS * (1.0 + HELD_UP * load);
        }
        let crosses = *member.endpoint.data_centre != *self.home;
        if crosses {
            cost += CROSSING_SHARE * idle_ms;
        }
        if crosses && criteria.is_isolated {
            cost += OUT_OF_REACH_COST * self.curve.mean_ms();
        }
        if now < member.avoid_until {
            cost += AVOIDED_COST * self.curve.mean_ms();
        }
        cost
    }
}
