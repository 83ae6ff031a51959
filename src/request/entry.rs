//! A call at the host that its caller reached.

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

/// Interval at which a call looks for its program's owner again.
const OWNER_RECHECK: Duration = Duration::from_millis(20);

/// Answers a call from a caller.
///
/// # Errors
///
/// A refusal; `not-run` unless the call was handed to an endpoint or to
/// another host.
pub async fn serve<P: Platform>(cx: &Cx<P>, req: Request<Incoming>) -> Result<Response<Body>> {
    let call = receive_call(cx, req).await?;
    admit(cx, &call).await?;
    match home(cx, &call)? {
        Some(partition) => hand_over(cx, call, &partition).await,
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
    let caller = identify(cx, &head.headers, &service)?;
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
        headers: headers::passed_on(&head.headers),
        body: receive::read_body(cfg, body).await?,
        deadline: received + service.deadline,
    })
}

fn identify<P: Platform>(
    cx: &Cx<P>,
    fields: &http::HeaderMap,
    service: &Service,
) -> Result<Caller> {
    if service.open {
        return Ok(Caller::Open);
    }
    identify_key(cx, fields).map(Caller::Customer)
}

/// The customer and key behind the `Authorization` header.
///
/// # Errors
///
/// An unauthorized refusal if it is missing, malformed, unknown or withdrawn.
pub fn identify_key<P: Platform>(cx: &Cx<P>, fields: &http::HeaderMap) -> Result<KeyRef> {
    let refuse = |detail: &str| Refusal::not_run(Reason::Unauthorized, detail);
    let secret = headers::bearer(fields)
        .ok_or_else(|| refuse("`Authorization: Bearer` with a key is required"))?;
    if !cx.distribution.accepts_keys(Moment::now()) {
        return Err(refuse("this host has been cut off too long to accept keys"));
    }
    let found = cx.configuration.identify(secret.as_bytes());
    found.ok_or_else(|| refuse("the key is unknown or withdrawn"))
}

async fn admit<P: Platform>(cx: &Cx<P>, call: &Call) -> Result<()> {
    let Some(customer) = call.caller.customer() else {
        return Ok(());
    };
    let started = Moment::now();
    let taken = cx.rates.take(customer).await;
    cx.metrics
        .observe(Stage::Rate, Moment::now().since(started));
    taken
}

/// The partition that decides about a call; absent if any host may.
fn home<P: Platform>(cx: &Cx<P>, call: &Call) -> Result<Option<PartitionId>> {
    if let Some(program) = &call.program {
        return Ok(Some(PartitionId::of(program)));
    }
    let Some(key) = &call.idempotency_key else {
        return Ok(None);
    };
    cx.home_of_key(call.account(), key.as_str()).map(Some)
}

/// Runs the call here if this host owns the partition, else at the owner.
///
/// While there is no owner that takes the call, waits for one.
async fn hand_over<P: Platform>(
    cx: &Cx<P>,
    call: Call,
    partition: &PartitionId,
) -> Result<Response<Body>> {
    let give_up = call.deadline.min(Moment::now() + cx.cfg.caller.owner_wait);
    let again = may_ask_again(cx, &call);
    loop {
        let refusal = match at_owner(cx, &call, partition, again).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        let is_lost = refusal.ran == Ran::Unknown && again;
        let may_move = is_lost || is_moved(&refusal);
        if !may_move || Moment::now() >= give_up {
            return Err(refusal);
        }
        Timer::after(OWNER_RECHECK).await;
    }
}

/// True if another host may run the call that this one refused.
pub fn is_moved(refusal: &Refusal) -> bool {
    let moved = matches!(refusal.reason, Reason::Draining | Reason::OwnerUnavailable);
    moved && refusal.ran == Ran::NotRun
}

/// True if the call may be sent to the owner again although it may have run:
/// it may run again, or the journal knows it by its name.
fn may_ask_again<P: Platform>(cx: &Cx<P>, call: &Call) -> bool {
    let service = cx.configuration.service(&call.service);
    service.is_some_and(|service| service.repeatable || once::key(call, &service).is_some())
}

async fn at_owner<P: Platform>(
    cx: &Cx<P>,
    call: &Call,
    partition: &PartitionId,
    again: bool,
) -> Result<Response<Body>> {
    let owner = owner(cx, partition)?;
    if owner.is_self {
        return run::run(cx, call.clone()).await;
    }
    let started = Moment::now();
    let answered = forward::forward(&cx.client, &cx.secret, owner.peer, call);
    let replaced = async {
        until_replaced(cx, partition, &owner, again).await;
        None
    };
    let response = future::or(async { Some(answered.await) }, replaced).await;
    cx.metrics
        .observe(Stage::Forward, Moment::now().since(started));
    match response {
        Some(Ok(response)) if forward::is_moved(&response) => Err(no_owner(cx)),
        Some(Ok(response)) => Ok(response),
        Some(Err(e)) if e.is_not_sent() => Err(no_owner(cx)),
        Some(Err(_)) | None => Err(lost()),
    }
}

/// The owner of a partition, as far as this host knows.
///
/// # Errors
///
/// A `not-run` refusal if there is none.
pub fn owner<P: Platform>(cx: &Cx<P>, partition: &PartitionId) -> Result<Owner> {
    let PartitionId {
        data_centre,
        partition,
    } = partition;
    let owner = cx.membership.owner(data_centre, *partition);
    owner.ok_or_else(|| no_owner(cx))
}

/// Waits until the partition has a later owner than `owner`; for ever if the
/// call may not be sent again.
async fn until_replaced<P: Platform>(
    cx: &Cx<P>,
    partition: &PartitionId,
    owner: &Owner,
    again: bool,
) {
    loop {
        Timer::after(OWNER_RECHECK).await;
        let now = self::owner(cx, partition);
        if again && now.is_ok_and(|now| now.epoch > owner.epoch) {
            return;
        }
    }
}

fn lost() -> Refusal {
    let detail = "the connection to the program's host was lost; the call may have run";
    Refusal::unknown(Reason::OwnerUnavailable, detail)
}

/// The refusal of a call whose program's host cannot be reached.
pub fn no_owner<P: Platform>(cx: &Cx<P>) -> Refusal {
    let detail = "the host that owns the program cannot be reached";
    Refusal::not_run(Reason::OwnerUnavailable, detail).retry_after(cx.cfg.caller.retry_after)
}
