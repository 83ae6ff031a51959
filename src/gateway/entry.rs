//! Handles callers' requests: authorization, limits, dispatch and refusals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::buffered::ReservedBytes;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use futures_lite::future;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request;
use hyper::body::Incoming;
use serde::Serialize;

use super::attempt;
use super::attempt::Call;
use super::call::CallMeta;
use super::call::Urgency;
use super::choice;
use super::context::Cx;
use super::context::Gateway;
use super::crashes;
use super::dispatch;
use super::lines;
use super::quota::ProgramStage;
use super::rate;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::refusal::Result;
use super::reservation;
use super::resumption;
use super::routes::Customer;
use super::routes::Route;
use super::routes::RouteKind;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::platform::ingress;
use crate::protection::homes::Homes;
use crate::turns::BegunTurn;
use crate::turns::MAX_ID_BYTES;
use crate::turns::TurnRequest;
use crate::turns::Unresolved;
use crate::units::Moment;

/// Retry time sent to callers while the host has no configuration.
const STARTING_RETRY: Duration = Duration::from_millis(500);
/// Retry time sent to callers while request bodies use all of their memory.
const MEMORY_RETRY: Duration = Duration::from_millis(500);
/// Retry time sent to callers while kept turns cannot be found or stored.
const TURNS_RETRY: Duration = Duration::from_millis(300);
/// Retry time of a request that comes too late in a drain. Other hosts serve it.
const DRAIN_RETRY: Duration = Duration::from_millis(50);
/// Retry time sent to callers whose request may be in no region. Only another
/// configuration can change that.
const NO_REGION_RETRY: Duration = Duration::from_millis(800);
/// Timeout of a caller that sends no deadline.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Serialize)]
struct RefusedLine<'a> {
    request: Option<&'a str>,
    customer: Option<&'a str>,
    program: Option<&'a str>,
    outcome: &'static str,
    why: &'a str,
    configuration: u64,
    configuration_age_ms: Option<u128>,
    retry_after_ms: Option<u128>,
    spent_ms: u128,
}

/// Serves callers' requests on the gateway's public port.
#[derive(Debug)]
pub struct CallerHandler<P: Platform>(pub Cx<P>);

impl<P: Platform> Clone for CallerHandler<P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<P: Platform> Handler for CallerHandler<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let received = Moment::now();
        let cx = &self.0;
        let (head, body) = req.into_parts();
        let meta = ingress::read(&head).map(Arc::new);
        let answer = match &meta {
            Ok(meta) => {
                let served = serve(cx, received, &head, Arc::clone(meta), body);
                future::or(served, out_of_time(cx)).await
            }
            Err(refusal) => Err(refusal.clone()),
        };
        let mut response = answer.unwrap_or_else(|refusal| {
            let meta = meta.as_deref().ok();
            log_refusal(cx, meta, &refusal, received);
            cx.metrics.count_refusal(&refusal);
            ingress::refusal_response(&refusal, meta.map(|meta| &*meta.id))
        });
        if cx.is_draining() || cx.diverts_callers().is_some() {
            // The caller's next request goes to a host that can serve it.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// Ends a request that a drain cannot wait for any longer.
async fn out_of_time<P>(cx: &Gateway<P>) -> Result<Response<Body>> {
    cx.drain_limit.wait().await;
    let detail = "the host is about to exit";
    Err(Refusal::new(Outcome::UnknownResult, detail))
}

fn log_refusal<P: Platform>(
    cx: &Gateway<P>,
    meta: Option<&CallMeta>,
    refusal: &Refusal,
    received: Moment,
) {
    let in_force = cx.in_force.load();
    let key = meta.and_then(|meta| meta.key.as_ref());
    let customer = key.and_then(|key| in_force.table.customer(key));
    let program = meta.and_then(|meta| meta.program.as_ref());
    let line = RefusedLine {
        request: meta.map(|meta| &*meta.id),
        customer: customer.map(|customer| &*customer.name),
        program: program.map(|program| &*program.id),
        outcome: refusal.outcome.as_str(),
        why: &refusal.detail,
        configuration: in_force.table.version,
        configuration_age_ms: cx.configuration_age_ms(),
        retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis()),
        spent_ms: Moment::now().since(received).as_millis(),
    };
    cx.log.request("refused", &line);
}

async fn serve<P: Platform>(
    cx: &Cx<P>,
    received: Moment,
    head: &request::Parts,
    meta: Arc<CallMeta>,
    body: Incoming,
) -> Result<Response<Body>> {
    let Authorized {
        configuration,
        route,
        customer,
        homes,
    } = authorize(cx, head, &meta)?;
    let caller_timeout = meta.time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let caller_deadline = received + caller_timeout;
    let deadline = received
        + route
            .timeout
            .min(caller_timeout.saturating_sub(cx.cfg.answer_margin));
    check_turn(cx, &route, &meta, &homes)?;
    let receiving = server::receive_body(&head.extensions);
    let (body, body_memory) = read_body(cx, body, deadline).await?;
    drop(receiving);
    let (body, body_memory, turn) = match route.retention {
        Some(retention) => {
            let times = TurnTimes {
                retention,
                received,
                deadline,
            };
            let customer = customer.as_deref();
            begin_turn(cx, &meta, customer, &homes, times, body, body_memory).await?
        }
        None => (body, body_memory, None),
    };
    let homes = turn.as_ref().map_or(homes, |turn| turn.homes().clone());
    let balanced = turn.as_ref().filter(|_| cx.cfg.balance.is_some());
    let chain = balanced.and_then(attempt::chain_part);
    let service = Arc::clone(&route.target(target_seed(&meta)).service);
    let call = Call {
        method: head.method.clone(),
        target: head.uri.path_and_query().map_or("/", |p| p.as_str()).into(),
        body,
        body_memory,
        configuration,
        service,
        version: None,
        urgency: urgency(&route, customer.as_deref(), &meta),
        route,
        customer,
        homes,
        received,
        deadline,
        caller_deadline,
        is_first_turn: false,
        chain,
        turn,
        meta,
    };
    run(cx, call).await
}

/// Refuses a request whose turn cannot be kept. Only a complete stream is a turn,
/// so that other answers need no room for one.
fn check_turn<P: Platform>(
    cx: &Gateway<P>,
    route: &Route,
    meta: &CallMeta,
    homes: &Homes,
) -> Result<()> {
    if route.retention.is_none() || !matches!(route.kind, RouteKind::Stream { .. }) {
        return Ok(());
    }
    if meta.id.is_empty() || meta.id.len() > MAX_ID_BYTES {
        let detail = "the request's id is too short or too long for a turn that is kept";
        return Err(Refusal::new(Outcome::Malformed, detail));
    }
    if meta.resumes_stream() {
        // The events that the caller has are not here, so that the turn could not be
        // stored as a whole.
        let detail = "a stream whose turn is kept cannot be taken up midway";
        return Err(Refusal::new(Outcome::NotRun, detail));
    }
    if !cx.turns.can_store(homes) {
        cx.metrics.turns.unservable.inc();
        let detail = "too few archive hosts can store the turn";
        let wait = cx.retry_elsewhere(TURNS_RETRY);
        return Err(Refusal::not_run(detail, wait));
    }
    Ok(())
}

/// Times of a request on a route that keeps its turns.
struct TurnTimes {
    retention: Duration,
    received: Moment,
    deadline: Moment,
}

/// Puts the texts of the turns that a request continues in front of its body.
async fn begin_turn<P: Platform>(
    cx: &Gateway<P>,
    meta: &CallMeta,
    customer: Option<&Customer>,
    homes: &Homes,
    times: TurnTimes,
    body: Bytes,
    memory: ReservedBytes,
) -> Result<(Bytes, ReservedBytes, Option<BegunTurn>)> {
    let request = TurnRequest {
        id: &meta.id,
        customer: customer.map_or("", |customer| &customer.name),
        program: meta.program.as_ref().map(|program| &*program.id),
        previous: meta.previous_turn.as_deref(),
        homes,
        prompt_tokens: meta.stated_tokens().filter(|_| cx.cfg.balance.is_some()),
        retention: times.retention,
        longest_retention: cx
            .in_force
            .load()
            .table
            .longest_retention()
            .unwrap_or_default(),
        received: times.received,
        deadline: times.deadline,
    };
    match cx.turns.begin(request, body, memory).await {
        Ok(assembled) => Ok((assembled.body, assembled.memory, Some(assembled.turn))),
        Err(e @ Unresolved::Absent) => Err(Refusal::new(Outcome::NoTurn, e.to_string())),
        Err(e @ Unresolved::Unsure { .. }) => Err(Refusal::not_run(e.to_string(), TURNS_RETRY)),
        Err(e @ Unresolved::TooLarge) => Err(Refusal::new(Outcome::TooLarge, e.to_string())),
    }
}

async fn run<P: Platform>(cx: &Cx<P>, call: Call) -> Result<Response<Body>> {
    if !cx.drain_limit.admits(Moment::now(), call.deadline) {
        let detail = "the host exits before the request may end";
        return Err(Refusal::not_run(detail, cx.retry_elsewhere(DRAIN_RETRY)));
    }
    crashes::refuse_barred(cx, &call)?;
    let call = match resumption::required_origin(cx, &call).await? {
        Some(origin) => Call {
            service: origin.service,
            version: Some(origin.version),
            ..call
        },
        None => call,
    };
    let mut reservation = reserve(cx, &call).await?;
    if let Some(reservation) = &reservation {
        lines::expect_cached(cx, &call, &reservation.cached_at);
    }
    let stage = match &reservation {
        Some(reservation) if reservation.is_first_turn => ProgramStage::New,
        _ => ProgramStage::Started,
    };
    let urgency = match stage {
        ProgramStage::New => {
            if let Err(refusal) = choice::admit(cx, &call) {
                if let Some(reservation) = &mut reservation {
                    reservation.is_refused = true;
                }
                return Err(refusal);
            }
            call.urgency
        }
        ProgramStage::Started if reservation.is_some() => urgency_in_progress(cx, &call),
        ProgramStage::Started => call.urgency,
    };
    let customer = call.customer.clone();
    if let Some(customer) = &customer {
        rate::admit(cx, customer, stage, call.deadline).await?;
    }
    let call = Call {
        is_first_turn: stage == ProgramStage::New,
        urgency,
        ..call
    };
    let answer = dispatch::run(cx, Arc::new(call), reservation).await;
    if let (Err(refusal), Some(customer)) = (&answer, &customer)
        && refusal.outcome == Outcome::NotRun
    {
        rate::refund(cx, customer);
    }
    answer
}

async fn reserve<P: Platform>(
    cx: &Cx<P>,
    call: &Call,
) -> Result<Option<reservation::Reservation<P>>> {
    let (Some(program), Some(prompt)) = (&call.meta.program, &call.meta.prompt) else {
        return Ok(None);
    };
    let Some(budget) = program.budget else {
        return Ok(None);
    };
    let session = lines::session_key(program);
    reservation::reserve(cx, &program.id, budget, prompt.max_output, session)
        .await
        .map(Some)
}

/// Route and customer of a request.
struct Authorized {
    /// Version of the configuration that names them.
    configuration: u64,
    route: Arc<Route>,
    customer: Option<Arc<Customer>>,
    /// Regions in which the request must stay.
    homes: Homes,
}

/// Finds the route of a request and the customer that holds its key.
fn authorize<P: Platform>(
    cx: &Gateway<P>,
    head: &request::Parts,
    meta: &CallMeta,
) -> Result<Authorized> {
    let in_force = cx.in_force.load();
    let table = &in_force.table;
    if table.is_unknown() {
        let detail = "no configuration is known yet";
        return Err(Refusal::not_run(detail, STARTING_RETRY));
    }
    if headers::section_bytes(&head.headers) > table.limits.max_header_bytes {
        return Err(Refusal::new(Outcome::TooLarge, "the headers are too large"));
    }
    let route = table
        .route(&meta.host, head.uri.path())
        .ok_or_else(|| Refusal::new(Outcome::NoRoute, "no route leads there"))?;
    let customer = if route.is_public || !table.requires_keys() {
        None
    } else {
        let customer = meta.key.as_ref().and_then(|key| table.customer(key));
        let unknown = || Refusal::new(Outcome::UnknownKey, "no customer holds the key");
        Some(Arc::clone(customer.ok_or_else(unknown)?))
    };
    let homes = match &customer {
        Some(customer) => route.homes.and(&customer.homes),
        None => route.homes.clone(),
    };
    if homes.is_nowhere() {
        let detail = format!(
            "route {} and the customer have no allowed region in common",
            route.name
        );
        return Err(Refusal::not_run(detail, NO_REGION_RETRY));
    }
    Ok(Authorized {
        configuration: table.version,
        route: Arc::clone(route),
        customer,
        homes,
    })
}

async fn read_body<P: Platform>(
    cx: &Gateway<P>,
    body: Incoming,
    deadline: Moment,
) -> Result<(Bytes, ReservedBytes)> {
    let limit = cx.in_force.load().table.limits.max_body_bytes;
    let read = async {
        let read = BufferedBody::read_contiguous(body, &cx.request_memory, limit).await;
        read.map_err(|e| match e {
            BodyError::TooLarge(_) => Refusal::new(Outcome::TooLarge, "the body is too large"),
            BodyError::MemoryFull(_) => {
                Refusal::not_run("too many bodies are being received", MEMORY_RETRY)
            }
            e => Refusal::new(Outcome::Malformed, format!("the body broke off: {e}")),
        })
    };
    let expire = async {
        async_io::Timer::after(Moment::now().until(deadline)).await;
        Err(Refusal::new(
            Outcome::SlowSender,
            "the body did not arrive in time",
        ))
    };
    future::or(read, expire).await
}

/// Seed for the choice of a target on a split route. All calls of a program's
/// session have the same seed and so go to the same target.
fn target_seed(meta: &CallMeta) -> u64 {
    let session = meta.program.as_ref().map(|program| &*program.session);
    super::hash_of(session.unwrap_or(&meta.id))
}

/// Urgency of a call at an engine, from the customer's priority or else the
/// route's.
fn urgency(route: &Route, customer: Option<&Customer>, meta: &CallMeta) -> Option<Urgency> {
    meta.prompt.as_ref()?;
    let priority = customer.and_then(|customer| customer.priority);
    let priority = priority.unwrap_or(route.priority);
    Some(Urgency(
        priority.saturating_add(BASE_URGENCY).min(MAX_URGENCY),
    ))
}

/// Urgency of a turn of a program in progress: higher than that of first turns,
/// if load is balanced, and the lowest once the program's time is over.
fn urgency_in_progress<P>(cx: &Gateway<P>, call: &Call) -> Option<Urgency> {
    let Some(balance) = &cx.cfg.balance else {
        return call.urgency;
    };
    call.urgency.map(|Urgency(rank)| match call.meta.is_late() {
        true => Urgency(MAX_URGENCY),
        false => Urgency(rank.saturating_sub(balance.begun_urgency)),
    })
}

/// Urgency of priority 0. Lower values are reserved for calls whose urgency was
/// raised.
const BASE_URGENCY: u8 = 3;
/// The least urgent value.
const MAX_URGENCY: u8 = 9;
