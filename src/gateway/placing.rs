//! Chooses an endpoint for a call by its estimated cost at each one.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::departures::Departures;
use super::directory::Endpoint;
use super::directory::EndpointState;
use super::load_curve::LoadCurve;
use super::prefixes::Prefixes;
use crate::balance::Balance;
use crate::balance::BaseCost;
use crate::balance::Totals;
use crate::balance::View;
use crate::balance::admission::Admission;
use crate::balance::admission::EngineState;
use crate::balance::admission::Newcomer;
use crate::balance::calls::Demand;
use crate::balance::calls::PromptSize;
use crate::balance::calls::Ticket;
use crate::balance::shared::EngineLoad;
use crate::balance::shared::SharedReport;
use crate::gateway::call::PromptPart;
use crate::protection::announced_limit::AnnouncedLimit;
use crate::protection::announced_limit::LimitChange;
use crate::protection::announced_limit::LimitNotice;
use crate::protection::announced_limit::SharedLimit;
use crate::protection::cold::ColdCause;
use crate::protection::cold::ColdRule;
use crate::protection::cold::ColdState;
use crate::protection::cold::HostRank;
use crate::protection::evacuation::Evacuated;
use crate::protection::fingerprint::Fingerprint;
use crate::protection::homes::HomeRule;
use crate::protection::limit_bucket::KnownLimit;
use crate::protection::paths::ServicePath;
use crate::units::Moment;

/// Time after which a reported load is no longer used.
const LOAD_TTL: Duration = Duration::from_secs(2);
/// Time for which an endpoint is ejected after its first failure.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Maximum time for which an endpoint is ejected after repeated failures.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Requests for each slot above which a report is taken for a fault of the engine.
/// Without a bound it would count as load at all engines without a report.
const MAX_REQUESTS_PER_SLOT: u32 = 64;
/// Weight of a new report in the mean load of a data centre's endpoints.
const MEAN_LOAD_WEIGHT: f64 = 0.2;
/// Assumed time of a call before any has ended.
const INITIAL_CALL_MS: f64 = 100.0;
/// Assumed growth of a call's time at a full endpoint, as a fraction of its
/// mean time; used until there are samples.
const DEFAULT_LOAD_GROWTH: f64 = 0.25;
/// Assumed prefill speed. Engines prefill some tens to a hundred tokens per
/// millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Delay of each running request while a prompt is prefilled, as a fraction of
/// the prefill time. Engines prefill in chunks between decode steps.
const PREFILL_INTERFERENCE: f64 = 0.25;
/// Weight of a new call in an endpoint's latency ratio and error rate.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Latency ratio above which an endpoint counts as slow. The times of single
/// calls vary by up to this factor.
const SLOW_LATENCY_RATIO: f64 = 1.5;
/// Minimum latency ratio of an endpoint that reports that it is still slow
/// after its start.
const COLD_LATENCY_RATIO: f64 = 2.0;
/// Maximum latency ratio of a sample, so that the estimate recovers quickly.
const MAX_LATENCY_RATIO: f64 = 8.0;
/// Time constant of the exponential decay of estimated error rates and latency
/// ratios.
const ESTIMATE_DECAY: Duration = Duration::from_secs(4);
/// Cost of a failed call, in calls: the call is repeated, or its program fails.
const ERROR_COST: f64 = 10.0;
/// Added to the cost of an endpoint in another data centre, as a fraction of a
/// call's time without load. Local calls are not lost when the connection
/// between the data centres fails.
const REMOTE_COST: f64 = 0.2;
/// Added to the cost of an ejected endpoint, in calls. It is chosen only if all
/// other endpoints are ejected as well.
const EJECTED_COST: f64 = 1e3;
/// Added to the cost of an unreachable endpoint, in calls. Even an ejected
/// endpoint is chosen before it.
const UNREACHABLE_COST: f64 = 1e6;
/// Time for which the state of an endpoint that is no longer listed is kept.
/// Entries that lapse in an outage of the store return within it, and their
/// endpoints have not restarted.
const FORMER_TTL: Duration = Duration::from_secs(600);
/// Maximum number of such endpoints: more than the largest deployments have
/// (2,400), so that all of them may lapse.
const MAX_FORMER: usize = 4096;
/// Costs that differ by less than this count as equal.
const TIE_MS: f64 = 0.5;

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub slots: u32,
    /// How long work takes on its machine at the moment, relative to the usual;
    /// `None` if it does not say.
    pub slowness: Option<f64>,
}

/// How an attempt ended, as evidence of the endpoint's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The endpoint answered.
    Answered,
    /// The endpoint answered with a server error or not in time.
    Errored,
    /// The endpoint refused the call because it had no room.
    Full,
    /// The endpoint failed or sent an invalid answer.
    Failed,
    /// The caller disconnected or the host ended the attempt. Not evidence of
    /// the endpoint's health.
    Abandoned,
}

/// Which endpoints a call may use, and the prompt that it brings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// Parts of the call's prompt, in order.
    pub parts: &'a [PromptPart],
    /// Ids of endpoints that may not be chosen.
    pub excluded: &'a [Box<str>],
    /// The only endpoint that may be chosen, even if it is draining.
    pub only: Option<&'a str>,
    /// The only version of the software that may be chosen; `None` for any.
    pub version: Option<&'a str>,
    /// When the call was received. A call that came after the endpoint gave
    /// notice of its shutdown may not use it, not even as the only one.
    pub received: Moment,
    /// Whether endpoints in other data centres are unreachable.
    pub is_isolated: bool,
    /// Whether endpoints that have announced a limit are passed over.
    pub skips_limited: bool,
    /// Set for a request that may crash its endpoint. All hosts then choose the
    /// same endpoint for it, so that it ends one at a time.
    pub suspect: Option<Fingerprint>,
    /// What the service's endpoints take while they are cold; `None` if they need
    /// no care.
    pub cold: Option<&'a ColdRule>,
    /// Data centres whose endpoints may not be chosen, not even as the only one;
    /// `None` if operators evacuate none.
    pub evacuated: Option<&'a Evacuated>,
    /// Regions in which the call must stay, also with the only endpoint; `None` if
    /// it may run anywhere.
    pub homes: Option<HomeRule<'a>>,
    /// What the call asks of an engine; used only by the balance.
    pub demand: Demand,
}

impl Criteria<'_> {
    fn allows(&self, member: &Member, departures: &Departures) -> bool {
        let endpoint = &member.endpoint;
        let is_version = self
            .version
            .is_none_or(|version| *version == *endpoint.version);
        let is_evacuated = self
            .evacuated
            .is_some_and(|evacuated| evacuated.contains(&endpoint.data_centre));
        is_version
            && !is_evacuated
            && self
                .homes
                .is_none_or(|homes| homes.contains(&endpoint.data_centre))
            && !(self.skips_limited && member.limit.per_s().is_some())
            && match self.only {
                Some(only) => {
                    *endpoint.id == *only && !departures.has_left_before(endpoint, self.received)
                }
                None => {
                    member.is_ready()
                        && !departures.has_left(endpoint)
                        && !self.excluded.contains(&endpoint.id)
                }
            }
    }
}

/// An endpoint with its load and health, as estimated by this host.
#[derive(Debug)]
struct Member {
    endpoint: Arc<Endpoint>,
    /// This host's requests in flight.
    running: u32,
    /// Requests of other hosts at the last load report.
    other_requests: u32,
    reported_at: Option<Moment>,
    ejected_until: Moment,
    failures: u32,
    /// End of the slow period after the endpoint's start.
    cold_until: Moment,
    /// Ratio of the time of its calls to the time expected for their load.
    latency_ratio: f64,
    /// Fraction of its recent calls that failed.
    error_rate: f64,
    updated_at: Moment,
    prefixes: Prefixes,
    limit: AnnouncedLimit,
    /// The endpoint's limit has no room for calls of this host before this time.
    at_limit_until: Moment,
    /// Calls that this host has placed there since the limit last changed.
    placed: u64,
    /// Its cold times, and what this host has sent there.
    cold: ColdState,
}

impl Member {
    fn new(endpoint: Arc<Endpoint>, cold: ColdState, now: Moment) -> Self {
        Self {
            cold_until: now + Duration::from_millis(endpoint.cold_ms),
            endpoint,
            running: 0,
            other_requests: 0,
            reported_at: None,
            ejected_until: Moment::default(),
            failures: 0,
            latency_ratio: 1.0,
            error_rate: 0.0,
            updated_at: Moment::default(),
            prefixes: Prefixes::default(),
            limit: AnnouncedLimit::default(),
            at_limit_until: Moment::default(),
            placed: 0,
            cold,
        }
    }

    fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// The limit that is in force; `None` if there is none.
    fn known_limit(&self) -> Option<KnownLimit> {
        Some(KnownLimit {
            per_s: self.limit.per_s()?,
            answered_at: self.limit.answered_at()?,
        })
    }

    /// Time until its limit may have room for a call of this host; `None` if it
    /// may have some now.
    fn limit_wait(&self, now: Moment) -> Option<Duration> {
        let wait = now.until(self.at_limit_until);
        (self.limit.per_s().is_some() && !wait.is_zero()).then_some(wait)
    }

    /// Time until this host may send it a request although it is cold; `None` if
    /// it may send one now.
    fn cold_wait(&self, criteria: &Criteria<'_>, now: Moment) -> Option<Duration> {
        self.cold.wait(criteria.cold?, now)
    }

    /// Replaces the entry by one of the same process. Returns whether it reports
    /// a cold time that is not known yet.
    fn update(&mut self, endpoint: Arc<Endpoint>, now: Moment) -> bool {
        let before = std::mem::replace(&mut self.endpoint, endpoint);
        let endpoint = &self.endpoint;
        let is_rewritten = before.written.is_some()
            && endpoint.written.is_some()
            && before.written != endpoint.written;
        // The same entry that is read or sent again is as old as it was.
        let is_report = before.cold_ms != endpoint.cold_ms || is_rewritten;
        let cold = Duration::from_millis(endpoint.cold_ms);
        is_report && self.cold.record_report(cold, now)
    }

    /// Updates the estimates with a call. Earlier estimates decay with time.
    fn update_estimates(&mut self, latency_ratio: Option<f64>, is_error: bool, now: Moment) {
        let decay = self.decay(now);
        self.error_rate *= decay;
        self.latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay;
        let error = if is_error { 1.0 } else { 0.0 };
        self.error_rate += SAMPLE_WEIGHT * (error - self.error_rate);
        if let Some(latency_ratio) = latency_ratio {
            self.latency_ratio +=
                SAMPLE_WEIGHT * (latency_ratio.min(MAX_LATENCY_RATIO) - self.latency_ratio);
        }
        self.updated_at = now;
    }

    /// Remaining weight of the estimates.
    fn decay(&self, now: Moment) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / ESTIMATE_DECAY.as_secs_f64();
        (-age).exp()
    }

    /// Estimated number of requests. As the last report ages, the estimate
    /// moves to the mean load of the endpoints in the same data centre.
    fn load(&self, mean_load: f64, now: Moment) -> f64 {
        let age = self
            .reported_at
            .map_or(LOAD_TTL, |reported_at| now.since(reported_at));
        let freshness = 1.0 - age.as_secs_f64() / LOAD_TTL.as_secs_f64();
        let freshness = freshness.max(0.0);
        let other_requests =
            f64::from(self.other_requests) * freshness + mean_load * (1.0 - freshness);
        f64::from(self.running) + other_requests
    }
}

/// A choice of an endpoint, with the request counted there.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The chosen endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Its limit, of which the call needs a token; `None` if there is none.
    pub limit: Option<KnownLimit>,
    /// Estimated requests per slot at the time of the choice.
    load: f64,
    /// The call in the balance; `None` without one.
    ticket: Option<Ticket>,
}

impl Placement {
    /// Size of the prompt that the endpoint has to read; `None` without a balance.
    pub fn prompt_size(&self) -> Option<PromptSize> {
        self.ticket.map(|ticket| ticket.size)
    }
}

/// An endpoint that is no longer listed.
#[derive(Debug)]
struct Former {
    started_ms: u64,
    gone_at: Moment,
    cold: ColdState,
}

/// Endpoints of one service, with the estimates that the choice uses.
#[derive(Debug)]
pub struct Pool {
    /// Ordered by id, so that a seed determines the choices.
    members: BTreeMap<Box<str>, Member>,
    /// Time of a call as a function of the load.
    curve: LoadCurve,
    /// Mean number of other hosts' requests per endpoint, by data centre.
    mean_load: HashMap<Box<str>, f64>,
    /// Endpoints that have given notice of their shutdown.
    departures: Departures,
    /// Whether this host has known a list of endpoints before.
    is_listed: bool,
    /// Endpoints that were listed before, by id.
    former: HashMap<Box<str>, Former>,
    /// Calls that have passed over a cold endpoint since the last count.
    cold_passed_over: u64,
    /// This host's own paths to the endpoints.
    pub path: ServicePath,
    /// Breaks ties between endpoints of equal cost.
    rng: ChaCha8Rng,
    /// Balance of uneven load; `None` if the deployment has no use for it.
    balance: Option<Balance>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl Pool {
    /// Creates an empty pool. The seed determines how ties are broken.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            members: BTreeMap::new(),
            curve: LoadCurve::new(INITIAL_CALL_MS, DEFAULT_LOAD_GROWTH),
            mean_load: HashMap::new(),
            departures: Departures::default(),
            is_listed: false,
            former: HashMap::new(),
            cold_passed_over: 0,
            path: ServicePath::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            balance: None,
        }
    }

    /// Balances uneven load from now on.
    pub fn set_balance(&mut self, balance: Balance) {
        self.balance = Some(balance);
    }

    /// Whether uneven load is balanced.
    pub const fn has_balance(&self) -> bool {
        self.balance.is_some()
    }

    /// Records that the first event of a call was heard.
    pub fn record_begun(&mut self, placement: &Placement, now: Moment) {
        if let (Some(balance), Some(ticket)) = (&mut self.balance, placement.ticket) {
            balance.begin(ticket, now);
        }
    }

    /// Creates an empty pool of a service that was not listed before, while others
    /// were: all its endpoints are new.
    pub fn of_new_service() -> Self {
        Self {
            is_listed: true,
            ..Self::default()
        }
    }

    /// Replaces the list of endpoints. Estimates are kept for endpoints that
    /// have not restarted. Returns the endpoints that have become cold.
    ///
    /// Endpoints of the first list are not taken for new ones: this host is.
    pub fn replace(
        &mut self,
        endpoints: impl Iterator<Item = Arc<Endpoint>>,
        now: Moment,
    ) -> Vec<(Arc<Endpoint>, ColdCause)> {
        let is_first = !std::mem::replace(&mut self.is_listed, true);
        let mut kept = BTreeMap::new();
        let mut newly_cold = Vec::new();
        for endpoint in endpoints {
            let before = self.members.remove(&endpoint.id);
            let (member, cause) = match before {
                Some(mut member) if member.endpoint.started_ms == endpoint.started_ms => {
                    let is_cold = member.update(endpoint, now);
                    (member, is_cold.then_some(ColdCause::Listed))
                }
                before => self.begin_member(before, endpoint, is_first, now),
            };
            newly_cold.extend(cause.map(|cause| (Arc::clone(&member.endpoint), cause)));
            kept.insert(member.endpoint.id.clone(), member);
        }
        let gone = std::mem::replace(&mut self.members, kept);
        if let Some(balance) = &mut self.balance {
            balance.retain(|id| self.members.contains_key(id));
        }
        self.former
            .retain(|_, former| now.since(former.gone_at) < FORMER_TTL);
        let room = MAX_FORMER.saturating_sub(self.former.len());
        self.former
            .extend(gone.into_iter().take(room).map(|(id, member)| {
                let former = Former {
                    started_ms: member.endpoint.started_ms,
                    gone_at: now,
                    cold: member.cold,
                };
                (id, former)
            }));
        newly_cold
    }

    /// Begins to estimate an endpoint: one that is new, has restarted, or is listed
    /// again.
    fn begin_member(
        &mut self,
        before: Option<Member>,
        endpoint: Arc<Endpoint>,
        is_first: bool,
        now: Moment,
    ) -> (Member, Option<ColdCause>) {
        let started_ms = endpoint.started_ms;
        let former = self.former.remove(&endpoint.id);
        let returns = started_ms != 0
            && before.is_none()
            && former.as_ref().map(|former| former.started_ms) == Some(started_ms);
        let cold = before.map(|before| before.cold);
        let cold = cold
            .or(former.map(|former| former.cold))
            .unwrap_or_default();
        let cold = match returns {
            true => cold,
            false => cold.restarted(),
        };
        let mut member = Member::new(endpoint, cold, now);
        let reported = Duration::from_millis(member.endpoint.cold_ms);
        let is_reported = member.cold.record_report(reported, now);
        if !is_first && !returns {
            member.cold.assume_cold(now);
            return (member, Some(ColdCause::Started));
        }
        (member, is_reported.then_some(ColdCause::Listed))
    }

    /// Chooses the endpoint with the least cost and counts a request there.
    ///
    /// `local` is the data centre of this host. Returns `None` if no endpoint
    /// meets the criteria.
    pub fn choose(
        &mut self,
        criteria: &Criteria<'_>,
        local: &str,
        now: Moment,
    ) -> Option<Placement> {
        let model = CostModel {
            curve: &self.curve,
            mean_load: &self.mean_load,
            balance: self
                .balance
                .as_ref()
                .map(|balance| balance.view(self.curve.mean_ms(), now)),
            totals: Totals::default(),
            local,
            now,
        };
        let departures = &self.departures;
        let allowed = self.members.values();
        let allowed = allowed.filter(|member| criteria.allows(member, departures));
        let model = CostModel {
            totals: model.totals(allowed),
            ..model
        };
        let rng = &mut self.rng;
        let mut is_cold_passed_over = false;
        let usable = self.members.values_mut().filter(|member| {
            let is_open = criteria.allows(member, departures)
                && member.limit_wait(now).is_none()
                && model.has_memory(member, criteria);
            if !is_open {
                return false;
            }
            let has_room = member.cold_wait(criteria, now).is_none();
            is_cold_passed_over |= !has_room;
            has_room
        });
        // Random noise spreads calls over endpoints of equal cost.
        let mut cost = |member: &Member| match criteria.suspect {
            Some(suspect) => model.rank(member, suspect, criteria),
            None => model.cost(member, criteria) + rng.random_range(0.0..TIE_MS),
        };
        let best = usable
            .map(|member| (cost(member), member))
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        self.cold_passed_over += u64::from(is_cold_passed_over);
        let (_, member) = best?;
        let load = model.load(member) / f64::from(member.endpoint.slots);
        let unread_tokens = model.unread_tokens(member, criteria);
        let id = &member.endpoint.id;
        let slowness = model.balance.map_or(1.0, |balance| balance.slowness(id));
        let ticket = self
            .balance
            .as_mut()
            .map(|balance| balance.place(id, &criteria.demand, slowness, load, unread_tokens, now));
        member.running += 1;
        member.placed += 1;
        if let Some(rule) = criteria.cold {
            member.cold.record_sent(rule, now);
        }
        let limit = member.known_limit();
        if limit.is_none() {
            member.prefixes.record_prompt(criteria.parts, now);
        }
        let endpoint = Arc::clone(&member.endpoint);
        Some(Placement {
            endpoint,
            limit,
            load,
            ticket,
        })
    }

    /// Decides whether a program may begin. Endpoints that are ejected,
    /// unreachable or at their limit do not count.
    pub fn admit(
        &mut self,
        criteria: &Criteria<'_>,
        customer: &str,
        local: &str,
        now: Moment,
    ) -> Admission {
        let Some(balance) = &mut self.balance else {
            return Admission::Admitted;
        };
        let view = balance.view(self.curve.mean_ms(), now);
        let model = CostModel {
            curve: &self.curve,
            mean_load: &self.mean_load,
            balance: Some(view),
            totals: Totals::default(),
            local,
            now,
        };
        let usable = self.members.values().filter(|member| {
            let is_remote = *member.endpoint.data_centre != *local;
            criteria.allows(member, &self.departures)
                && now >= member.ejected_until
                && member.limit_wait(now).is_none()
                && !(criteria.is_isolated && is_remote)
        });
        let engines: Vec<EngineState> = usable
            .map(|member| EngineState {
                load: model.load(member),
                slots: f64::from(member.endpoint.slots),
                slowness: view.slowness(&member.endpoint.id),
                unread_ms: view.unread_ms(&member.endpoint.id),
                read_ms: view.read_ms(&member.endpoint.id, model.unread_tokens(member, criteria)),
                has_memory: model.has_memory(member, criteria),
            })
            .collect();
        let newcomer = Newcomer {
            customer,
            demand: criteria.demand,
        };
        balance.admit(&newcomer, &engines, now)
    }

    /// Whether an endpoint that meets the criteria is passed over, since its
    /// memory may not hold the call.
    pub fn lacks_memory(&self, criteria: &Criteria<'_>, now: Moment) -> bool {
        let model = CostModel {
            curve: &self.curve,
            mean_load: &self.mean_load,
            balance: self
                .balance
                .as_ref()
                .map(|balance| balance.view(self.curve.mean_ms(), now)),
            totals: Totals::default(),
            local: "",
            now,
        };
        let mut allowed = self.members.values();
        allowed.any(|member| {
            criteria.allows(member, &self.departures) && !model.has_memory(member, criteria)
        })
    }

    /// Returns the endpoint that will have room first for a call with these
    /// criteria, with the requests a second that it takes and the time until then.
    /// `None` if no endpoint is passed over for its limit or since it is cold.
    pub fn next_within_limit(
        &self,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Option<(&Endpoint, f64, Duration)> {
        let allowed = self.members.values();
        let allowed = allowed.filter(|member| criteria.allows(member, &self.departures));
        let waits = allowed.filter_map(|member| {
            let limit = member.limit_wait(now).zip(member.limit.per_s());
            let cold = member.cold_wait(criteria, now);
            let cold = cold.zip(criteria.cold.map(|rule| rule.per_s));
            let later = limit.into_iter().chain(cold);
            let (wait, per_s) = later.max_by_key(|(wait, _)| *wait)?;
            Some((&*member.endpoint, per_s, wait))
        });
        waits.min_by_key(|(_, _, wait)| *wait)
    }

    /// Whether a call with these criteria passes over an endpoint only because it is
    /// outside the call's homes.
    pub fn is_outside_homes(&self, criteria: &Criteria<'_>) -> bool {
        let Some(homes) = criteria.homes else {
            return false;
        };
        let anywhere = Criteria {
            homes: None,
            ..*criteria
        };
        self.members.values().any(|member| {
            !homes.contains(&member.endpoint.data_centre)
                && anywhere.allows(member, &self.departures)
        })
    }

    /// Returns the cold endpoints for which this host's rank is not known.
    pub fn cold_without_rank(&self, rule: &ColdRule, now: Moment) -> Vec<Arc<Endpoint>> {
        let members = self.members.values();
        members
            .filter(|member| member.cold.needs_rank(rule, now))
            .map(|member| Arc::clone(&member.endpoint))
            .collect()
    }

    /// Sets this host's rank for an endpoint in the list of hosts of a revision.
    pub fn set_cold_rank(&mut self, id: &str, revision: u64, rank: HostRank) {
        if let Some(member) = self.members.get_mut(id) {
            member.cold.set_rank(revision, rank);
        }
    }

    /// Returns the number of calls that have passed over a cold endpoint since the
    /// last call of this method.
    pub fn take_cold_passed_over(&mut self) -> u64 {
        std::mem::take(&mut self.cold_passed_over)
    }

    /// Records an answer of an endpoint, with the cold time that it reports.
    /// Returns why the endpoint has become cold, if it has.
    pub fn record_answer(
        &mut self,
        endpoint: &Endpoint,
        cold: Option<Duration>,
        now: Moment,
    ) -> Option<ColdCause> {
        let member = self.members.get_mut(&endpoint.id)?;
        if member.endpoint.started_ms != endpoint.started_ms {
            return None;
        }
        let is_first = member.cold.record_success(now);
        let is_reported = cold.is_some_and(|cold| member.cold.record_report(cold, now));
        match is_reported {
            true => Some(ColdCause::Answered),
            false => is_first.then_some(ColdCause::Reconnected),
        }
    }

    /// Records that no connection to an endpoint could be opened.
    pub fn record_connection_failed(&mut self, id: &str, now: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            member.cold.record_failure(now);
        }
    }

    /// Records that the evacuation of a data centre has ended: its endpoints may
    /// have become cold.
    pub fn record_evacuation_end(&mut self, data_centre: &str, now: Moment) {
        for member in self.members.values_mut() {
            if *member.endpoint.data_centre == *data_centre {
                member.cold.assume_cold(now);
            }
        }
    }

    /// Records that an endpoint's limit has no room for calls of this host for
    /// a time.
    pub fn record_at_limit(&mut self, id: &str, wait: Duration, now: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            member.at_limit_until = now + wait;
        }
    }

    /// Records the load that an endpoint reported.
    pub fn record_load(&mut self, id: &str, load: ReportedLoad, now: Moment) {
        let load = EngineLoad {
            running: load.running,
            waiting: load.waiting,
            slowness: load.slowness,
        };
        self.record_report(id, load, now);
    }

    /// Records the load that an endpoint reported at `at`.
    fn record_report(&mut self, id: &str, load: EngineLoad, at: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            let mut own = member.running;
            if let Some(balance) = &mut self.balance {
                balance.record_report(id, load, at);
                // The report of another host is older than this host's last calls.
                own = own.saturating_sub(balance.placed(id));
            }
            let most = member.endpoint.slots.saturating_mul(MAX_REQUESTS_PER_SLOT);
            let all = load.running.saturating_add(load.waiting).min(most);
            member.other_requests = all.saturating_sub(own);
            member.reported_at = Some(at);
            let data_centre = member.endpoint.data_centre.clone();
            let mean_load = self.mean_load.entry(data_centre).or_default();
            *mean_load += MEAN_LOAD_WEIGHT * (f64::from(member.other_requests) - *mean_load);
        }
    }

    /// Returns the reports to send to other hosts; none without a balance.
    pub fn recent_reports(&self, now: Moment) -> Vec<SharedReport> {
        let Some(balance) = &self.balance else {
            return Vec::new();
        };
        let reports = balance.recent_reports(now).filter_map(|(id, load, age)| {
            let member = self.members.get(id)?;
            Some(SharedReport {
                service: Arc::clone(&member.endpoint.service),
                engine: id.into(),
                running: load.running,
                waiting: load.waiting,
                slowness: load.slowness,
                // Rounded up, so that no report gets younger on its way.
                age_ms: u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX),
            })
        });
        reports.collect()
    }

    /// Records an endpoint's report to another host, unless this host knows a later
    /// one or a value is invalid. Returns whether it did.
    pub fn learn_report(&mut self, told: &SharedReport, now: Moment) -> bool {
        let (Some(balance), Some((load, at))) = (&self.balance, told.read(now)) else {
            return false;
        };
        let Some(member) = self.members.get(&told.engine) else {
            return false;
        };
        let known = member.reported_at.max(balance.heard_at(&told.engine));
        let is_later = known.is_none_or(|known| known < at);
        if is_later {
            self.record_report(&told.engine, load, at);
        }
        is_later
    }

    /// Removes a request that [`Pool::choose`] counted and updates the
    /// estimates with its result.
    pub fn record_end(
        &mut self,
        placement: &Placement,
        ended: AttemptEnd,
        spent: Duration,
        now: Moment,
    ) {
        let spent_ms = spent.as_secs_f64() * 1000.0;
        if let (Some(balance), Some(ticket)) = (&mut self.balance, placement.ticket) {
            balance.end(ticket, ended == AttemptEnd::Answered, now);
        }
        // A known slowness is no evidence of another.
        let slowness = placement.ticket.map_or(1.0, |ticket| ticket.slowness);
        let latency_ratio = (ended == AttemptEnd::Answered).then(|| {
            let expected_ms = self.curve.time_ms(placement.load) * slowness;
            self.curve.add(placement.load, spent_ms);
            spent_ms / expected_ms.max(1.0)
        });
        let Some(member) = self.members.get_mut(&placement.endpoint.id) else {
            return;
        };
        member.running = member.running.saturating_sub(1);
        match ended {
            AttemptEnd::Answered => {
                member.failures = 0;
                member.update_estimates(latency_ratio, false, now);
            }
            AttemptEnd::Errored => member.update_estimates(None, true, now),
            AttemptEnd::Abandoned => (),
            AttemptEnd::Full => {
                member.other_requests = member.other_requests.max(member.endpoint.slots);
                member.reported_at = Some(now);
            }
            AttemptEnd::Failed => {
                member.failures += 1;
                member.update_estimates(None, true, now);
                let doubled = MIN_EJECTION * 2u32.saturating_pow(member.failures.min(4) - 1);
                member.ejected_until = now + doubled.min(MAX_EJECTION);
            }
        }
    }

    /// Forgets the failures of all endpoints: those of a host that is cut off
    /// say nothing about them.
    pub fn forgive(&mut self) {
        for member in self.members.values_mut() {
            member.failures = 0;
            member.ejected_until = Moment::default();
            member.error_rate = 0.0;
        }
    }

    /// Counts the parts of a prompt as cached at an endpoint, as another host
    /// reports.
    pub fn expect_cached(&mut self, id: &str, parts: &[PromptPart], now: Moment) {
        if let Some(member) = self.members.get_mut(id) {
            member.prefixes.record_prompt(parts, now);
        }
    }

    /// Records that an endpoint gave notice of its shutdown. Returns `false` if
    /// it already had. From then on only calls that were received before, and
    /// for which it is the only endpoint, are placed there.
    pub fn record_departure(&mut self, endpoint: &Endpoint, now: Moment) -> bool {
        self.departures.record(endpoint, now)
    }

    /// Records what an answer of an endpoint says about its limit. Returns the
    /// change, if there is any, with the number of calls that this host has
    /// placed there since the change before.
    pub fn record_limit(
        &mut self,
        endpoint: &Endpoint,
        notice: LimitNotice,
        now: Moment,
    ) -> Option<(LimitChange, u64)> {
        let member = self.members.get_mut(&endpoint.id)?;
        if member.endpoint.started_ms != endpoint.started_ms {
            return None;
        }
        let change = member.limit.record(notice, now)?;
        Some((change, std::mem::take(&mut member.placed)))
    }

    /// Returns the limits that endpoints have confirmed within `max_age`.
    pub fn limits(&self, max_age: Duration, now: Moment) -> Vec<SharedLimit> {
        let shared = self.members.values().filter_map(|member| {
            let limit = member.known_limit()?;
            let age = now.since(limit.answered_at);
            let endpoint = &member.endpoint;
            (age < max_age).then(|| SharedLimit {
                service: Arc::clone(&endpoint.service),
                endpoint: endpoint.id.clone(),
                started_ms: endpoint.started_ms,
                per_s: limit.per_s,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
        });
        shared.collect()
    }

    /// Records a limit that another host tells, unless this host knows a later
    /// answer of the endpoint. Returns whether the limit is another than before.
    pub fn learn_limit(&mut self, told: &SharedLimit, now: Moment) -> bool {
        let Some(member) = self.members.get_mut(&told.endpoint) else {
            return false;
        };
        let is_rate = told.per_s.is_finite() && told.per_s >= 0.0;
        if !is_rate || member.endpoint.started_ms != told.started_ms {
            return false;
        }
        let answered_at = now.minus(Duration::from_millis(told.age_ms));
        let notice = LimitNotice::PerSecond(told.per_s);
        member.limit.record(notice, answered_at).is_some()
    }

    /// Whether an endpoint has given notice of its shutdown.
    pub fn has_left(&self, endpoint: &Endpoint) -> bool {
        self.departures.has_left(endpoint)
    }

    /// Whether an endpoint is shutting down, as it or the list has announced.
    /// Some are removed from the list when they begin to.
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let member = self.members.get(&endpoint.id);
        !member.is_some_and(Member::is_ready) || self.departures.has_left(endpoint)
    }

    /// Returns endpoints whose reachability shows that of the service: random
    /// ones of as many data centres as possible, `local` first.
    pub fn probe_targets(&mut self, local: &str, count: usize) -> Vec<Arc<Endpoint>> {
        let ready = self.members.values().filter(|member| member.is_ready());
        let mut ready: Vec<_> = ready.map(|member| &member.endpoint).collect();
        ready.shuffle(&mut self.rng);
        let mut seen: HashMap<&str, usize> = HashMap::new();
        let mut ranked: Vec<(usize, bool, &Arc<Endpoint>)> = Vec::new();
        for endpoint in ready {
            let rank = seen.entry(&endpoint.data_centre).or_default();
            ranked.push((*rank, *endpoint.data_centre != *local, endpoint));
            *rank += 1;
        }
        ranked.sort_by_key(|(rank, is_remote, _)| (*rank, *is_remote));
        ranked.truncate(count);
        let targets = ranked.into_iter().map(|(_, _, endpoint)| endpoint);
        targets.cloned().collect()
    }

    /// Whether an endpoint is listed, even if it is draining.
    pub fn contains(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }
}

/// Inputs of the cost estimate for one choice.
struct CostModel<'a> {
    curve: &'a LoadCurve,
    mean_load: &'a HashMap<Box<str>, f64>,
    balance: Option<View<'a>>,
    totals: Totals,
    local: &'a str,
    now: Moment,
}

impl CostModel<'_> {
    /// Estimated number of requests at an endpoint.
    fn load(&self, member: &Member) -> f64 {
        let mean_load = self.mean_load.get(&member.endpoint.data_centre);
        member.load(mean_load.copied().unwrap_or_default(), self.now)
    }

    /// Costs of a call at an endpoint as the balance sees them.
    fn base_cost(&self, member: &Member, unread_tokens: f64) -> BaseCost {
        BaseCost {
            idle_ms: self.curve.idle_ms(),
            mean_ms: self.curve.mean_ms(),
            growth_ms: self.curve.growth_ms(),
            load: self.load(member),
            slots: f64::from(member.endpoint.slots),
            unread_tokens,
            interference_ms: unread_tokens / PREFILL_TOKENS_PER_MS * PREFILL_INTERFERENCE,
        }
    }

    /// Sums over the endpoints that a call may use; zero without a balance.
    fn totals<'m>(&self, members: impl Iterator<Item = &'m Member>) -> Totals {
        let Some(balance) = &self.balance else {
            return Totals::default();
        };
        let engines = members.map(|member| {
            let base = self.base_cost(member, 0.0);
            (&*member.endpoint.id, f64::from(member.running), base)
        });
        Totals::of(balance, engines)
    }

    /// Whether an engine's memory holds the call; `true` without a balance.
    fn has_memory(&self, member: &Member, criteria: &Criteria<'_>) -> bool {
        self.balance.as_ref().is_none_or(|balance| {
            let others = self.load(member) - f64::from(member.running);
            let slots = f64::from(member.endpoint.slots);
            balance.fits(&member.endpoint.id, &criteria.demand, others, slots)
        })
    }

    /// Prompt tokens that an engine has to read for the call.
    #[allow(clippy::cast_precision_loss, reason = "prompts have few tokens")]
    fn unread_tokens(&self, member: &Member, criteria: &Criteria<'_>) -> f64 {
        // The parts of other calls are objects, not tokens.
        if criteria.demand.prompt_tokens == 0 {
            return 0.0;
        }
        let unknown = criteria
            .parts
            .iter()
            .fold(criteria.demand.prompt_tokens, |left, part| {
                left.saturating_sub(part.tokens)
            });
        let missing = member.prefixes.missing_tokens(criteria.parts, self.now);
        missing.saturating_add(unknown) as f64
    }

    /// Expected delay of a call at an endpoint, including the delay that its
    /// prefill causes to other requests, in milliseconds.
    fn cost(&self, member: &Member, criteria: &Criteria<'_>) -> f64 {
        let now = self.now;
        let idle_ms = self.curve.idle_ms();
        let slots = f64::from(member.endpoint.slots);
        let load = self.load(member);
        let queued = (load + 1.0 - slots).max(0.0);
        let decay = member.decay(now);
        let mut latency_ratio = 1.0 + (member.latency_ratio - 1.0) * decay;
        let is_cold = |rule: &ColdRule| member.cold.cold_until(rule, now).is_some();
        if now < member.cold_until || criteria.cold.is_some_and(is_cold) {
            latency_ratio = latency_ratio.max(COLD_LATENCY_RATIO);
        }
        let slowed_ms = self.curve.growth_ms() * load / slots;
        let queued_ms = self.curve.mean_ms() * queued / slots;
        let mut cost = latency_ratio.max(1.0) * (slowed_ms + queued_ms);
        cost += idle_ms * (latency_ratio - SLOW_LATENCY_RATIO).max(0.0);
        cost += idle_ms * ERROR_COST * member.error_rate * decay;
        if !criteria.parts.is_empty() {
            let missing_tokens = member.prefixes.missing_tokens(criteria.parts, now);
            #[allow(clippy::cast_precision_loss, reason = "prompts have few tokens")]
            let missing_tokens = missing_tokens as f64;
            // Prefill also delays the requests that are running.
            cost += missing_tokens / PREFILL_TOKENS_PER_MS * (1.0 + PREFILL_INTERFERENCE * load);
        }
        let is_remote = *member.endpoint.data_centre != *self.local;
        if is_remote {
            cost += REMOTE_COST * idle_ms;
        }
        if is_remote && criteria.is_isolated {
            cost += UNREACHABLE_COST * self.curve.mean_ms();
        }
        if now < member.ejected_until {
            cost += EJECTED_COST * self.curve.mean_ms();
        }
        if let Some(balance) = &self.balance {
            let base = self.base_cost(member, self.unread_tokens(member, criteria));
            let id = &member.endpoint.id;
            cost += balance.extra_cost(id, &criteria.demand, &base, &self.totals);
        }
        cost
    }

    /// Rank of an endpoint for a suspect: an order by rendezvous hash, with
    /// endpoints that have failed last.
    fn rank(&self, member: &Member, suspect: Fingerprint, criteria: &Criteria<'_>) -> f64 {
        let hash = super::hash_of(&format!("{} {}", suspect.0, member.endpoint.id));
        let is_remote = *member.endpoint.data_centre != *self.local;
        let is_unreachable = is_remote && criteria.is_isolated;
        let is_ejected = self.now < member.ejected_until;
        super::fraction(hash)
            + if is_unreachable { 2.0 } else { 0.0 }
            + if is_ejected { 1.0 } else { 0.0 }
    }
}
