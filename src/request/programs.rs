//! Opens and ends programs for callers, and cancels them for operators.

use chicoryarch_net::Body;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use super::entry;
use super::entry::owner;
use super::entry::owner_unreachable;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::permit;
use super::receive;
use crate::connection::headers;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::CustomerId;
use crate::ids::ProgramId;
use crate::process::context::Cx;
use crate::units::Tokens;
use crate::utils::json;
use crate::version::history::HistoryMode;
use crate::version::journal::PartitionId;
use crate::version::journal::ProgramSpec;

/// RPC method that opens a program at its partition's owner.
const OPEN_METHOD: &str = "program.open";
/// RPC method that ends a program at its partition's owner.
const END_METHOD: &str = "program.end";

/// RPC method that cancels a program at its partition's owner, for an operator.
const CANCEL_METHOD: &str = "program.cancel";

/// Body of a request to open a program.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct OpenBody {
    budget: Option<Tokens>,
    parent: Option<ProgramId>,
    history: HistoryMode,
}

/// Body of the response to a request to open a program.
#[derive(Clone, Debug, Serialize)]
struct Opened {
    id: ProgramId,
}

/// Parameters of [`OPEN_METHOD`].
#[derive(Clone, Debug, Deserialize, Serialize)]
struct OpenParams {
    partition: PartitionId,
    customer: CustomerId,
    budget: Option<Tokens>,
    parent: Option<ProgramId>,
    history: HistoryMode,
}

/// Parameters of [`END_METHOD`].
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EndParams {
    program: ProgramId,
    customer: CustomerId,
}

/// Opens a program for the customer identified by the request's key.
///
/// # Errors
///
/// Returns a `not-run` refusal if the request is invalid or unauthorized, or if
/// no owner opens the program.
pub async fn open<P: Platform>(cx: &Cx<P>, req: Request<Incoming>) -> Result<Response<Body>> {
    let (head, body) = req.into_parts();
    receive::check_headers(&cx.cfg.caller, &head.headers)?;
    let key = entry::authenticate(cx, &head.headers)?;
    let memory = &cx.door.request_memory;
    let body = receive::read_body(&cx.cfg.caller, memory, &head.extensions, body).await?;
    let requested = parse_open_body(&body)?;
    let budget = initial_budget(cx, &key.customer, &requested)?;
    let partition = match &requested.parent {
        Some(parent) => PartitionId::of(parent),
        None => choose_partition(cx)?,
    };
    let params = OpenParams {
        partition,
        customer: key.customer,
        budget,
        parent: requested.parent,
        history: requested.history,
    };
    let id = open_at_owner(cx, params).await?;
    Ok(created_response(&Opened { id }))
}

fn parse_open_body(body: &[u8]) -> Result<OpenBody> {
    if body.is_empty() {
        return Ok(OpenBody::default());
    }
    json::parse_object(body).map_err(|e| {
        let detail = format!("the body does not describe a program: {e}");
        Refusal::not_run(Reason::BadRequest, detail)
    })
}

/// Returns the budget of a new program: the requested one, else the customer's
/// maximum; `None` if a child program requests none.
///
/// # Errors
///
/// Returns a bad-request refusal if the request exceeds the customer's maximum.
fn initial_budget<P: Platform>(
    cx: &Cx<P>,
    customer: &CustomerId,
    requested: &OpenBody,
) -> Result<Option<Tokens>> {
    let limit = cx.configuration.customer(customer).map(|c| c.max_budget);
    let limit = limit.unwrap_or_default();
    match requested.budget {
        Some(budget) if budget > limit => {
            let detail = format!("a program's budget is at most {} tokens", limit.0);
            Err(Refusal::not_run(Reason::BadRequest, detail))
        }
        Some(budget) => Ok(Some(budget)),
        None if requested.parent.is_some() => Ok(None),
        None => Ok(Some(limit)),
    }
}

/// Picks a partition for a new program at random: from those that this host
/// serves if there are any, else from all in its data centre.
fn choose_partition<P: Platform>(cx: &Cx<P>) -> Result<PartitionId> {
    let owned: Vec<PartitionId> = cx
        .membership
        .own_partitions()
        .into_iter()
        .filter(|held| held.active)
        .map(|held| PartitionId {
            data_centre: held.data_centre,
            partition: held.partition,
        })
        .filter(|partition| permit::check_owner(cx, partition, false).is_ok())
        .collect();
    if let Some(partition) = pick_random(&owned) {
        return Ok(partition.clone());
    }
    let data_centre = &cx.cfg.data_centre;
    let table = cx
        .membership
        .table(data_centre)
        .ok_or_else(|| owner_unreachable(cx))?;
    let all: Vec<PartitionId> = table
        .numbered_partitions()
        .map(|(partition, _)| PartitionId {
            data_centre: data_centre.clone(),
            partition,
        })
        .collect();
    pick_random(&all)
        .cloned()
        .ok_or_else(|| owner_unreachable(cx))
}

fn pick_random<T>(all: &[T]) -> Option<&T> {
    use rand::seq::IndexedRandom;

    all.choose(&mut rand::rng())
}

async fn open_at_owner<P: Platform>(cx: &Cx<P>, params: OpenParams) -> Result<ProgramId> {
    let owner = owner(cx, &params.partition)?;
    if owner.is_self {
        return open_locally(cx, params).await;
    }
    let opened = cx.peers.call(owner.peer, OPEN_METHOD, &params).await;
    // If the response is lost, the program may be open under an id that nobody
    // has; it ends when it has been idle for too long.
    opened.unwrap_or_else(|_| Err(owner_unreachable(cx)))
}

async fn open_locally<P: Platform>(cx: &Cx<P>, params: OpenParams) -> Result<ProgramId> {
    permit::check_owner(cx, &params.partition, false)?;
    let spec = ProgramSpec {
        customer: params.customer,
        budget: params.budget,
        parent: params.parent,
        history: params.history,
    };
    cx.journals.open_program(&params.partition, spec).await
}

/// Ends a program of the customer identified by the request's key.
///
/// # Errors
///
/// Returns a `not-run` refusal if the request is unauthorized, the program is
/// unknown or its owner cannot be reached.
pub async fn end<P: Platform>(cx: &Cx<P>, fields: &HeaderMap, id: &str) -> Result<Response<Body>> {
    let key = entry::authenticate(cx, fields)?;
    let program: ProgramId = id.parse().map_err(|e: crate::ids::IdError| {
        Refusal::not_run(Reason::UnknownProgram, e.to_string())
    })?;
    let params = EndParams {
        program,
        customer: key.customer,
    };
    let owner = owner(cx, &PartitionId::of(&params.program))?;
    if owner.is_self {
        end_locally(cx, &params).await?;
    } else {
        let ended: crate::connection::peer::Result<Result<()>> =
            cx.peers.call(owner.peer, END_METHOD, &params).await;
        ended.unwrap_or_else(|_| Err(owner_unreachable(cx)))?;
    }
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    Ok(response)
}

async fn end_locally<P: Platform>(cx: &Cx<P>, params: &EndParams) -> Result<()> {
    let EndParams { program, customer } = params;
    cx.journals.end_program(program, customer).await.map(|_| ())
}

/// Cancels a program of any customer, for an operator.
///
/// # Errors
///
/// Returns a refusal; `unknown` if the owner's response was lost.
pub async fn cancel<P: Platform>(cx: &Cx<P>, program: &ProgramId) -> Result<()> {
    let owner = owner(cx, &PartitionId::of(program))?;
    if owner.is_self {
        return cancel_locally(cx, program).await;
    }
    let cancelled: crate::connection::peer::Result<Result<()>> =
        cx.peers.call(owner.peer, CANCEL_METHOD, program).await;
    cancelled.unwrap_or_else(|e| {
        let detail = format!("the program's host did not answer: {e}");
        Err(Refusal::unknown(Reason::OwnerUnavailable, detail))
    })
}

async fn cancel_locally<P: Platform>(cx: &Cx<P>, program: &ProgramId) -> Result<()> {
    let summary = cx.journals.program_summary(program).ok_or_else(|| {
        let detail = "there is no such program";
        Refusal::not_run(Reason::UnknownProgram, detail)
    })?;
    let ended = cx.journals.end_program(program, &summary.customer).await;
    ended.map(|_| ())
}

fn created_response(opened: &Opened) -> Response<Body> {
    let body = serde_json::to_vec(opened).expect("an id always serializes to JSON");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::CREATED;
    let json = headers::value("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Registers the RPC methods that open, end and cancel programs.
///
/// # Errors
///
/// Returns an error if a method of the same name is already registered.
pub fn register<P: Platform>(
    module: &mut RpcModule<()>,
    cx: &Cx<P>,
) -> std::result::Result<(), RegisterMethodError> {
    let host = Cx::clone(cx);
    module.register_async_method(OPEN_METHOD, move |params, _, _| {
        let cx = Cx::clone(&host);
        async move {
            let params: OpenParams = params.one()?;
            Ok::<_, ErrorObjectOwned>(open_locally(&cx, params).await)
        }
    })?;
    let host = Cx::clone(cx);
    module.register_async_method(END_METHOD, move |params, _, _| {
        let cx = Cx::clone(&host);
        async move {
            let params: EndParams = params.one()?;
            Ok::<_, ErrorObjectOwned>(end_locally(&cx, &params).await)
        }
    })?;
    let host = Cx::clone(cx);
    module.register_async_method(CANCEL_METHOD, move |params, _, _| {
        let cx = Cx::clone(&host);
        async move {
            let program: ProgramId = params.one()?;
            Ok::<_, ErrorObjectOwned>(cancel_locally(&cx, &program).await)
        }
    })?;
    Ok(())
}
