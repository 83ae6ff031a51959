//! Chooses an endpoint for an attempt: the one with the least cost that has room
//! for the call, if it has announced a limit or is cold.

use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;
use serde::Serialize;

use super::attempt::Call;
use super::attempt::PlacementGuard;
use super::call::PromptPart;
use super::context::Gateway;
use super::crashes;
use super::limit_draws;
use super::placing::Criteria;
use super::placing::Pool;
use super::refusal;
use super::refusal::Refusal;
use super::routes::RouteKind;
use crate::balance::admission::Admission;
use crate::balance::admission::Reason;
use crate::balance::calls::Demand;
use crate::balance::calls::Stage;
use crate::connection::platform::Platform;
use crate::protection::cold::ColdRule;
use crate::protection::homes::HomeRule;
use crate::protection::limit_bucket::Draw;
use crate::protection::suspects::Standing;
use crate::units::Moment;

/// Number of endpoints whose limits are asked for room before only endpoints
/// without a limit are considered.
const MAX_DRAWS: usize = 4;
/// Longest time that the rest of a broken stream waits for an endpoint's limit.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct AtLimitLine<'a> {
    request: &'a str,
    endpoint: &'a str,
    service: &'a str,
    /// Limit that decided, in requests per second.
    per_s: f64,
    /// Time since the endpoint last confirmed it.
    limit_age_ms: u128,
    /// Time for which this host passes the endpoint over.
    wait_ms: u128,
}

#[derive(Serialize)]
struct RefusedProgramLine<'a> {
    request: &'a str,
    program: Option<&'a str>,
    customer: &'a str,
    service: &'a str,
    /// `time` or `share`.
    reason: &'a str,
    /// Least expected wait for a slot.
    wait_ms: f64,
    /// Time until the end of the program.
    left_ms: Option<u128>,
    retry_after_ms: u128,
}

/// Where a broken stream may go on.
#[derive(Clone, Copy, Debug)]
pub struct ResumeTarget<'a> {
    /// Version that made the first event of the stream; `None` before it.
    pub version: Option<&'a str>,
    /// Endpoint that broke the stream.
    pub failed_endpoint: &'a str,
    /// Endpoints that have ended or cannot be reached.
    pub gone: &'a [Box<str>],
    /// Number of endpoints that have run the call and may still run it.
    pub runs: usize,
}

/// Endpoints among which one is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Choice<'a> {
    /// The only version that may be chosen; `None` for any.
    pub version: Option<&'a str>,
    /// Ids of endpoints that may not be chosen.
    pub excluded: &'a [Box<str>],
    /// The only endpoint that may be chosen.
    pub only: Option<&'a str>,
}

impl<'a> Choice<'a> {
    /// Returns the choice among all endpoints of the call's version.
    pub fn of(call: &'a Call) -> Self {
        Self {
            version: call.version.as_deref(),
            ..Self::default()
        }
    }
}

/// Why no endpoint was chosen.
#[derive(Clone, Debug, PartialEq)]
pub enum NoChoice {
    /// No endpoint may be chosen.
    NoEndpoint,
    /// The memory of those that may be chosen may not hold the call.
    NoMemory,
    /// Those that may be chosen are at their limits, or cold and without room.
    AtLimit {
        /// Endpoint that will have room first.
        endpoint: Box<str>,
        /// Requests per second that it takes.
        per_s: f64,
        /// Time until it may have room.
        wait: Duration,
    },
}

/// Result of a choice.
pub type Result<T> = std::result::Result<T, NoChoice>;

/// Chooses an endpoint that resumes a broken stream.
///
/// If as many endpoints have run the call as the route allows, this is the
/// endpoint that broke the stream, unless it is gone or no longer listed. Waits
/// a short time for its limit.
pub async fn place_resume<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    target: &ResumeTarget<'_>,
) -> Option<PlacementGuard> {
    let failed = target.failed_endpoint;
    let is_listed = cx.pools.get(&call.service)?.lock().contains(failed);
    let is_gone = target.gone.iter().any(|id| **id == *failed);
    let max_runs = usize::try_from(call.route.max_runs).unwrap_or(usize::MAX);
    let only = (is_listed && !is_gone && target.runs >= max_runs).then_some(failed);
    let choice = Choice {
        version: target.version,
        excluded: target.gone,
        only,
    };
    let give_up = call.deadline.min(Moment::now() + MAX_RESUME_WAIT);
    loop {
        match place(cx, call, choice).await {
            Ok(placement) => return Some(placement),
            Err(NoChoice::AtLimit { wait, .. }) if Moment::now() + wait < give_up => {
                Timer::after(wait).await;
            }
            Err(_) => return None,
        }
    }
}

/// Chooses the best endpoint for a call and draws a token of its limit.
///
/// # Errors
///
/// Returns why there is none.
pub async fn place<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    choice: Choice<'_>,
) -> Result<PlacementGuard> {
    let pool = cx.pools.get(&call.service).ok_or(NoChoice::NoEndpoint)?;
    let parts = call.cacheable_parts();
    let cold = cx.cold_rule(&call.service);
    let criteria = Criteria {
        cold: cold.as_ref(),
        ..criteria(cx, call, choice, &parts)
    };
    // Calls through another host gain nothing from an endpoint nearby.
    let local = match pool.lock().path.is_cut_off() {
        true => "",
        false => cx.cfg.place.data_centre.as_str(),
    };
    for draws in 0..=MAX_DRAWS {
        // A draw takes time, in which an evacuation may begin.
        let evacuated = cx.evacuated();
        let criteria = Criteria {
            evacuated: evacuated.as_ref(),
            skips_limited: draws == MAX_DRAWS,
            ..criteria
        };
        if let Some(rule) = &cold {
            rank_for_cold(cx, &pool, rule);
        }
        let chosen = {
            let mut pool = pool.lock();
            let chosen = pool.choose(&criteria, local, Moment::now());
            if draws == 0 && pool.is_outside_homes(&criteria) {
                cx.metrics.homes_passed_over.inc();
            }
            cx.metrics
                .cold_passed_over
                .inc_by(pool.take_cold_passed_over());
            chosen
        };
        let Some(chosen) = chosen else {
            break;
        };
        let limit = chosen.limit;
        // From here on, the guard counts the call at the endpoint.
        let placement = PlacementGuard::new(pool.clone(), chosen);
        let Some(limit) = limit else {
            return Ok(placement);
        };
        let endpoint = placement.endpoint();
        let draw = limit_draws::draw(cx, endpoint, limit, call.is_first_turn).await;
        let now = Moment::now();
        match draw {
            Draw::Granted if cx.is_evacuated(&endpoint.data_centre) => (),
            Draw::Granted => {
                pool.lock().expect_cached(&endpoint.id, &parts, now);
                return Ok(placement);
            }
            Draw::Denied { wait } => {
                pool.lock().record_at_limit(&endpoint.id, wait, now);
                cx.metrics.limit_denials.inc();
                let line = AtLimitLine {
                    request: &call.meta.id,
                    endpoint: &endpoint.id,
                    service: &endpoint.service,
                    per_s: limit.per_s,
                    limit_age_ms: now.since(limit.answered_at).as_millis(),
                    wait_ms: wait.as_millis(),
                };
                cx.log.request("endpoint-at-limit", &line);
            }
        }
    }
    let evacuated = cx.evacuated();
    let criteria = Criteria {
        evacuated: evacuated.as_ref(),
        ..criteria
    };
    let now = Moment::now();
    let pool = pool.lock();
    Err(match pool.next_within_limit(&criteria, now) {
        Some((endpoint, per_s, wait)) => NoChoice::AtLimit {
            endpoint: endpoint.id.clone(),
            per_s,
            wait,
        },
        None if pool.lacks_memory(&criteria, now) => {
            cx.metrics.memory_refusals.inc();
            NoChoice::NoMemory
        }
        None => NoChoice::NoEndpoint,
    })
}

fn criteria<'a, P: Platform>(
    cx: &'a Gateway<P>,
    call: &'a Call,
    choice: Choice<'a>,
    parts: &'a [PromptPart],
) -> Criteria<'a> {
    Criteria {
        parts,
        excluded: choice.excluded,
        only: choice.only,
        version: choice.version,
        received: call.received,
        is_isolated: cx.is_isolated(),
        skips_limited: false,
        suspect: match crashes::standing(cx, call) {
            Standing::Clear => None,
            Standing::Suspect(key) => Some(key),
            Standing::Barred { .. } => Some(call.family()),
        },
        demand: demand(cx, call),
        cold: None,
        evacuated: None,
        homes: HomeRule::new(&call.homes, &cx.cfg.regions),
    }
}

/// What a call asks of an engine; nothing if load is not balanced or the call
/// generates no tokens.
fn demand<P>(cx: &Gateway<P>, call: &Call) -> Demand {
    let (Some(_), Some(prompt)) = (&cx.cfg.balance, &call.meta.prompt) else {
        return Demand::default();
    };
    let in_force = cx.in_force.load();
    let service = in_force.table.service(&call.service);
    let engine = service.and_then(|service| service.engine);
    let is_stream = matches!(call.route.kind, RouteKind::Stream { .. });
    let program = call.meta.program.as_ref();
    let left = program.and_then(|program| program.time_left);
    let spent = Moment::now().since(call.received);
    let time_left = left.map(|left| left.saturating_sub(spent));
    Demand {
        prompt_tokens: call.prompt_tokens().unwrap_or_default(),
        max_output: prompt.max_output,
        memory_tokens: engine.and_then(|engine| engine.memory_tokens),
        first_event: is_stream.then_some(call.route.objective),
        time_left,
        stage: match time_left == Some(Duration::ZERO) {
            true => Stage::Late,
            false => Stage::Begun,
        },
    }
}

/// Refuses the first turn of a program that the engines cannot complete in time.
///
/// # Errors
///
/// A refusal with the time after which a retry may succeed.
pub fn admit<P: Platform>(cx: &Gateway<P>, call: &Call) -> refusal::Result<()> {
    if cx.cfg.balance.is_none() {
        return Ok(());
    }
    let Some(pool) = cx.pools.get(&call.service) else {
        return Ok(());
    };
    let parts = call.cacheable_parts();
    let cold = cx.cold_rule(&call.service);
    let evacuated = cx.evacuated();
    let mut criteria = Criteria {
        cold: cold.as_ref(),
        evacuated: evacuated.as_ref(),
        ..criteria(cx, call, Choice::of(call), &parts)
    };
    criteria.demand.stage = Stage::New;
    let customer = call.customer.as_ref();
    let customer = customer.map_or("", |customer| &*customer.name);
    let local = cx.cfg.place.data_centre.as_str();
    let decision = pool.lock().admit(&criteria, customer, local, Moment::now());
    let Admission::Refused {
        reason,
        retry_after,
        wait_ms,
        is_first,
    } = decision
    else {
        return Ok(());
    };
    cx.metrics.count_refused_program(reason.as_str());
    let program = call.meta.program.as_ref();
    let line = RefusedProgramLine {
        request: &call.meta.id,
        program: program.map(|program| &*program.id),
        customer,
        service: &call.service,
        reason: reason.as_str(),
        wait_ms: wait_ms.round(),
        left_ms: criteria.demand.time_left.map(|left| left.as_millis()),
        retry_after_ms: retry_after.as_millis(),
    };
    cx.log.request("program-refused", &line);
    if is_first {
        cx.log.state("capacity-insufficient", &line);
    }
    let detail = match reason {
        Reason::Time => "no engine can complete the program in its time",
        Reason::Share => "the engines are full, and other customers come first",
    };
    Err(Refusal::not_run(detail, retry_after))
}

/// Determines this host's rank for the cold endpoints for which it is not known.
fn rank_for_cold<P>(cx: &Gateway<P>, pool: &Mutex<Pool>, rule: &ColdRule) {
    let Some(revision) = rule.revision else {
        return;
    };
    let unranked = pool.lock().cold_without_rank(rule, Moment::now());
    if unranked.is_empty() {
        return;
    }
    let ranked: Vec<_> = {
        let roster = cx.roster.lock();
        let ranks = unranked.iter().map(|endpoint| {
            let key = super::hash_of(&endpoint.id);
            (&endpoint.id, roster.own_rank(key, &endpoint.data_centre))
        });
        ranks.collect()
    };
    let mut pool = pool.lock();
    for (id, rank) in ranked {
        if let Some(rank) = rank {
            pool.set_cold_rank(id, revision, rank);
        }
    }
}
