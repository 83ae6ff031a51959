//! Handles a call at the host that received it from the caller.

use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use futures_lite::future;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use super::call::Call;
use super::call::Caller;
use super::once;
use super::outcome::Ran;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::receive;
use super::run;
use crate::connection::forward;
use crate::connection::headers;
use crate::connection::headers::CallHeaders;
use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::process::metrics::Stage;
use crate::units::Moment;
use crate::version::journal::PartitionId;
use crate::version::objects::KeyRef;
use crate::version::objects::Service;
use crate::version::table::coordinator::Owner;

/// Interval at which a waiting call looks up the owner of its partition.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves a call from a caller.
///
/// # Errors
///
/// Returns a refusal; `not-run` unless the call was handed to an endpoint or to
/// another host.
pub async fn serve<P: Platform>(cx: &Cx<P>, req: Request<Incoming>) -> Result<Response<Body>> {
    let call = receive_call(cx, req).await?;
    take_rate_token(cx, &call).await?;
    match partition_of(cx, &call)? {
        Some(partition) => run_at_owner(cx, call, &partition).await,
        None => run::run(cx, call).await,
    }
}

async fn receive_call<P: Platform>(cx: &Cx<P>, req: Request<Incoming>) -> Result<Call> {
    let received = Moment::now();
    let (head, body) = req.into_parts();
    let cfg = &cx.cfg.caller;
    receive::check_headers(cfg, &head.headers)?;
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let (service_id, path) = forward::split_path(target)?;
    let service = cx.configuration.service(&service_id);
    let service = service.ok_or_else(|| {
        let detail = format!("there is no service `{service_id}`");
        Refusal::not_run(Reason::UnknownService, detail)
    })?;
    let caller = identify_caller(cx, &head.headers, &service)?;
    let fields = CallHeaders::read(&head.headers)?;
    Ok(Call {
        caller,
        method: head.method,
        service: service_id,
        path,
        program: fields.program,
        ordinal: fields.ordinal,
        after: fields.after,
        idempotency_key: fields.idempotency_key,
        headers: headers::forwardable(&head.headers),
        body: receive::read_body(cfg, &cx.door.request_memory, &head.extensions, body).await?,
        deadline: received + service.deadline,
    })
}

fn identify_caller<P: Platform>(
    cx: &Cx<P>,
    fields: &http::HeaderMap,
    service: &Service,
) -> Result<Caller> {
    if service.open {
        return Ok(Caller::Open);
    }
    authenticate(cx, fields).map(Caller::Customer)
}

/// Returns the customer and key identified by the `Authorization` header.
///
/// # Errors
///
/// Returns an unauthorized refusal if the key is missing, malformed, unknown or
/// withdrawn, or if this host has been cut off too long to accept keys.
pub fn authenticate<P: Platform>(cx: &Cx<P>, fields: &http::HeaderMap) -> Result<KeyRef> {
    let refuse = |detail: &str| Refusal::not_run(Reason::Unauthorized, detail);
    let secret = headers::bearer_token(fields)
        .ok_or_else(|| refuse("`Authorization: Bearer` with a key is required"))?;
    if !cx.distribution.accepts_keys(Moment::now()) {
        return Err(refuse("this host has been cut off too long to accept keys"));
    }
    let found = cx.configuration.identify(secret.as_bytes());
    found.ok_or_else(|| refuse("the key is unknown or withdrawn"))
}

async fn take_rate_token<P: Platform>(cx: &Cx<P>, call: &Call) -> Result<()> {
    let Some(customer) = call.caller.customer() else {
        return Ok(());
    };
    let started = Moment::now();
    let taken = cx.rates.take(customer).await;
    cx.metrics
        .observe(Stage::Rate, Moment::now().since(started));
    taken
}

/// Returns the partition whose owner runs the call; `None` if any host may run
/// it.
fn partition_of<P: Platform>(cx: &Cx<P>, call: &Call) -> Result<Option<PartitionId>> {
    if let Some(program) = &call.program {
        return Ok(Some(PartitionId::of(program)));
    }
    let Some(key) = &call.idempotency_key else {
        return Ok(None);
    };
    cx.partition_of_key(call.account(), key.as_str()).map(Some)
}

/// Runs the call here if this host owns the partition, else at the owner.
///
/// Retries a refused or lost call where that is safe, until the owner wait
/// elapses or the call's deadline passes.
async fn run_at_owner<P: Platform>(
    cx: &Cx<P>,
    call: Call,
    partition: &PartitionId,
) -> Result<Response<Body>> {
    let give_up_at = call.deadline.min(Moment::now() + cx.cfg.caller.owner_wait);
    let is_resendable = may_resend(cx, &call);
    loop {
        let refusal = match try_owner(cx, &call, partition, is_resendable).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        let is_lost = refusal.ran == Ran::Unknown && is_resendable;
        let is_retryable = is_lost || may_run_elsewhere(&refusal);
        if !is_retryable || Moment::now() >= give_up_at {
            return Err(refusal);
        }
        Timer::after(OWNER_POLL_INTERVAL).await;
    }
}

/// Whether another host may run a call refused with `refusal`: the refusing host
/// is handing the partition over or is not the owner, and the call has not run.
pub fn may_run_elsewhere(refusal: &Refusal) -> bool {
    let moved = matches!(refusal.reason, Reason::Draining | Reason::OwnerUnavailable);
    moved && refusal.ran == Ran::NotRun
}

/// Whether the call may be sent to the owner again although it may have run:
/// the service is repeatable, or the journal detects the duplicate by its key.
fn may_resend<P: Platform>(cx: &Cx<P>, call: &Call) -> bool {
    let service = cx.configuration.service(&call.service);
    service.is_some_and(|service| service.repeatable || once::key(call, &service).is_some())
}

async fn try_owner<P: Platform>(
    cx: &Cx<P>,
    call: &Call,
    partition: &PartitionId,
    is_resendable: bool,
) -> Result<Response<Body>> {
    let owner = owner(cx, partition)?;
    if owner.is_self {
        return run::run(cx, call.clone()).await;
    }
    let started = Moment::now();
    let forwarded = forward::forward(&cx.client, &cx.secret, owner.peer, call);
    let replaced = async {
        wait_until_replaced(cx, partition, &owner, is_resendable).await;
        None
    };
    let response = future::or(async { Some(forwarded.await) }, replaced).await;
    cx.metrics
        .observe(Stage::Forward, Moment::now().since(started));
    match response {
        Some(Ok(response)) if forward::is_moved(&response) => Err(owner_unreachable(cx)),
        Some(Ok(response)) => Ok(response),
        Some(Err(e)) if e.is_not_sent() => Err(owner_unreachable(cx)),
        Some(Err(_)) | None => Err(connection_lost()),
    }
}

/// Returns the owner of a partition according to this host's membership table.
///
/// # Errors
///
/// Returns a `not-run` refusal if the table lists no owner.
pub fn owner<P: Platform>(cx: &Cx<P>, partition: &PartitionId) -> Result<Owner> {
    let PartitionId {
        data_centre,
        partition,
    } = partition;
    let owner = cx.membership.owner(data_centre, *partition);
    owner.ok_or_else(|| owner_unreachable(cx))
}

/// Waits until the partition has an owner with a later epoch than `owner`; never
/// returns if the call may not be sent again.
async fn wait_until_replaced<P: Platform>(
    cx: &Cx<P>,
    partition: &PartitionId,
    owner: &Owner,
    is_resendable: bool,
) {
    loop {
        Timer::after(OWNER_POLL_INTERVAL).await;
        let current = self::owner(cx, partition);
        if is_resendable && current.is_ok_and(|current| current.epoch > owner.epoch) {
            return;
        }
    }
}

fn connection_lost() -> Refusal {
    let detail = "the connection to the program's host was lost; the call may have run";
    Refusal::unknown(Reason::OwnerUnavailable, detail)
}

/// Returns the refusal of a call whose owner is unknown or unreachable.
pub fn owner_unreachable<P: Platform>(cx: &Cx<P>) -> Refusal {
    let detail = "the host that owns the program cannot be reached";
    Refusal::not_run(Reason::OwnerUnavailable, detail).retry_after(cx.cfg.caller.retry_after)
}
