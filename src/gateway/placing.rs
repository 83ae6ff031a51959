//! Choice of an endpoint by what this host knows of each one's load.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::directory::Endpoint;
use super::directory::EndpointState;
use super::prefixes::Prefixes;
use crate::gateway::call::PromptPart;
use crate::units::Moment;

/// Time after which a told load says nothing any more.
const LOAD_LIFE: Duration = Duration::from_secs(2);
/// Time for which an endpoint that failed is passed over.
const AVOID: Duration = Duration::from_secs(1);
/// Longest time for which an endpoint that keeps failing is passed over.
const MAX_AVOID: Duration = Duration::from_secs(8);
/// Weight of the newest value in a running mean.
const MEAN_WEIGHT: f64 = 0.2;
/// Work that a call is taken to be before any has ended, in milliseconds.
const FIRST_WORK_MS: f64 = 100.0;
/// Prompt tokens that an engine is taken to read in a millisecond; engines
/// read some tens to a hundred.
const PREFILL_PER_MS: f64 = 40.0;
/// Weight of the newest call in an endpoint's pace and error rate.
const MEMBER_WEIGHT: f64 = 0.15;
/// Pace above which an endpoint counts as slow: calls differ by that much.
const SLOW_PACE: f64 = 1.5;
/// Highest pace that is learnt, so that an endpoint recovers soon.
const MAX_PACE: f64 = 8.0;
/// Time in which a learnt error rate or pace loses most of its weight.
const LEARNT_LIFE: Duration = Duration::from_secs(4);
/// Cost of a failed call, in calls: it is repeated, or its program is lost.
const ERROR_COST: f64 = 10.0;
/// Added to the cost of an endpoint in another data centre, as a part of a
/// call's time. Calls that stay are not lost when the data centres part.
const CROSSING_SHARE: f64 = 0.15;

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
    /// It refused for want of room.
    Full,
    /// It failed, hung or answered wrongly.
    Failed,
    /// The caller left or the host gave up; nothing is learnt.
    Abandoned,
}

/// What a call wants of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Want<'a> {
    /// Parts of its prompt in order.
    pub parts: &'a [PromptPart],
    /// Hash of the object that it concerns.
    pub affinity: Option<u64>,
    /// Endpoints that were tried.
    pub tried: &'a [Box<str>],
    /// The one endpoint that may run it, leaving or not.
    pub only: Option<&'a str>,
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
    /// Time of its calls against the mean of the service.
    pace: f64,
    /// Part of its calls that failed lately.
    error_rate: f64,
    learnt: Moment,
    prefixes: Prefixes,
}

impl Member {
    fn new(endpoint: Arc<Endpoint>) -> Self {
        Self {
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

    /// Requests there, with the told part fading as it grows old.
    fn load(&self, now: Moment) -> f64 {
        let age = self.told.map_or(LOAD_LIFE, |told| now.since(told));
        let fresh = 1.0 - age.as_secs_f64() / LOAD_LIFE.as_secs_f64();
        f64::from(self.running) + f64::from(self.others) * fresh.max(0.0)
    }
}

/// Endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    members: HashMap<Box<str>, Member>,
    /// Running mean of a call's time at an endpoint, in milliseconds.
    work_ms: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            members: HashMap::new(),
            work_ms: FIRST_WORK_MS,
        }
    }
}

impl Pool {
    /// Takes up the endpoints of the service.
    pub fn replace(&mut self, endpoints: impl Iterator<Item = Arc<Endpoint>>) {
        let mut kept = HashMap::new();
        for endpoint in endpoints {
            let same = self
                .members
                .remove(&endpoint.id)
                .filter(|member| member.endpoint.started_ms == endpoint.started_ms);
            let member = match same {
                Some(member) => Member { endpoint, ..member },
                None => Member::new(endpoint),
            };
            kept.insert(member.endpoint.id.clone(), member);
        }
        self.members = kept;
    }

    /// Chooses an endpoint and counts a request there.
    pub fn choose(&mut self, want: &Want<'_>, home: &str, now: Moment) -> Option<Arc<Endpoint>> {
        let work_ms = self.work_ms;
        let usable = self.members.values_mut().filter(|member| {
            let id = &member.endpoint.id;
            match want.only {
                Some(only) => **id == *only,
                None => member.is_ready() && !want.tried.contains(id),
            }
        });
        let cost = |member: &Member| cost(member, want, home, work_ms, now);
        let best = usable
            .map(|member| (cost(member), member))
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        let (_, member) = best?;
        member.running += 1;
        member.prefixes.touch(want.parts, now);
        Some(Arc::clone(&member.endpoint))
    }

    /// Takes up the load that an endpoint told.
    pub fn told(&mut self, id: &str, load: ReportedLoad, now: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            member.others = (load.running + load.waiting).saturating_sub(member.running);
            member.told = Some(now);
        }
    }

    /// Ends a request that [`Pool::choose`] counted.
    pub fn ended(&mut self, id: &str, ended: Ended, spent: Duration, now: Moment) {
        let spent_ms = spent.as_secs_f64() * 1000.0;
        let pace = (ended == Ended::Answered).then(|| spent_ms / self.work_ms.max(1.0));
        if pace.is_some() {
            self.work_ms += MEAN_WEIGHT * (spent_ms - self.work_ms);
        }
        let Some(member) = self.members.get_mut(id) else {
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

    /// Part of the service's places that are taken, as far as this host knows.
    pub fn taken(&self, now: Moment) -> f64 {
        let ready = || {
            let members = self.members.values();
            members.filter(|member| member.is_ready())
        };
        let slots: f64 = ready().map(|m| f64::from(m.endpoint.slots)).sum();
        let load: f64 = ready().map(|member| member.load(now)).sum();
        if slots > 0.0 { load / slots } else { 1.0 }
    }

    /// True if no endpoint takes work.
    pub fn is_empty(&self) -> bool {
        !self.members.values().any(Member::is_ready)
    }

    /// True if an endpoint is listed, leaving or not.
    pub fn has(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }
}

/// Expected delay of a call at an endpoint, in milliseconds.
fn cost(member: &Member, want: &Want<'_>, home: &str, work_ms: f64, now: Moment) -> f64 {
    let slots = f64::from(member.endpoint.slots);
    let load = member.load(now);
    let queued = (load + 1.0 - slots).max(0.0);
    let fade = member.fade(now);
    let pace = 1.0 + (member.pace - 1.0) * fade;
    let mut cost = work_ms * pace.max(1.0) * (queued + 0.25 * load) / slots;
    cost += work_ms * (pace - SLOW_PACE).max(0.0);
    cost += work_ms * ERROR_COST * member.error_rate * fade;
    if !want.parts.is_empty() {
        let missing = member.prefixes.missing(want.parts, now);
        #[allow(clippy::cast_precision_loss, reason = "prompts have few tokens")]
        let missing = missing as f64;
        cost += missing / PREFILL_PER_MS;
    }
    if &*member.endpoint.data_centre != home {
        cost += CROSSING_SHARE * work_ms;
    }
    if now < member.avoid_until {
        cost += 1000.0 * work_ms;
    }
    // Equal endpoints share the calls at random rather than by their order.
    cost + super::fraction(rand::random()) * 0.5
}
