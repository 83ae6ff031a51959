//! Endpoints that end while they run a request, and what follows for the
//! request.

use std::io::ErrorKind;
use std::sync::Arc;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use serde::Serialize;

use super::attempt::Call;
use super::context::Cx;
use super::context::Gateway;
use super::directory::Endpoint;
use super::exchange;
use super::hop;
use super::paths;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::roster::KeeperCount;
use crate::connection::platform::Platform;
use crate::protection::fingerprint::Fingerprint;
use crate::protection::suspects::Crash;
use crate::protection::suspects::ProcessKey;
use crate::protection::suspects::Standing;
use crate::units::Moment;

/// Reports processes that ended under a request.
const CRASHED_METHOD: &str = "gateway.crashed";
/// Asks a host whether an endpoint's process has ended.
const HAS_ENDED_METHOD: &str = "gateway.has_ended";
/// Connections that the asked host opens one after the other at most.
const WITNESS_CONNECTIONS: u32 = 3;
/// Hosts that are told at once; the exchange tells the others.
const TOLD_AT_ONCE: KeeperCount = KeeperCount { local: 1, any: 1 };

#[derive(Serialize)]
struct CrashLine<'a> {
    request: &'a str,
    fingerprint: Fingerprint,
    family: Fingerprint,
    endpoint: &'a str,
    service: &'a str,
    /// Whether the endpoint had made events of the request's stream.
    is_midway: bool,
    /// Processes that have ended under the request, as far as is known here.
    crashes: usize,
    is_barred: bool,
}

#[derive(Serialize)]
struct BarredLine<'a> {
    request: &'a str,
    fingerprint: Fingerprint,
    crashes: usize,
    left_ms: u128,
}

/// Registers the methods that other hosts call to report crashes and to ask
/// about them.
///
/// # Errors
///
/// Returns an error if a method's name is taken.
pub fn register<P: Platform>(module: &mut RpcModule<Cx<P>>) -> Result<(), RegisterMethodError> {
    module.register_method(CRASHED_METHOD, |params, cx, _| {
        let told: Vec<Crash> = params.one()?;
        let now = Moment::now();
        let mut suspects = cx.suspects.lock();
        for crash in &told {
            suspects.record(crash, now);
        }
        let known = told
            .first()
            .map(|crash| suspects.crashes_of(crash.family, crash.request, now));
        Ok::<_, ErrorObjectOwned>(known.unwrap_or_default())
    })?;
    module.register_async_method(HAS_ENDED_METHOD, |params, cx, _| async move {
        let endpoint: Box<str> = params.one()?;
        Ok::<_, ErrorObjectOwned>(is_found_ended(&cx, &endpoint).await)
    })?;
    Ok(())
}

/// Returns what is known of a call's request.
pub fn standing<P>(cx: &Gateway<P>, call: &Call) -> Standing {
    let family = call.family();
    // The body is hashed only if there is something to compare it with.
    if !cx.suspects.lock().knows(family) {
        return Standing::Clear;
    }
    let request = call.fingerprint();
    let suspects = cx.suspects.lock();
    suspects.standing(family, request, Moment::now())
}

/// Records that an endpoint has answered a call completely. The first event of
/// a stream shows nothing yet: the endpoint may end after it.
pub fn record_answer<P>(cx: &Gateway<P>, call: &Call) {
    let family = call.family();
    if cx.suspects.lock().knows(family) {
        let request = call.fingerprint();
        let mut suspects = cx.suspects.lock();
        suspects.record_answer(family, request, Moment::now());
    }
}

/// Whether a call's request is barred.
pub fn is_barred<P>(cx: &Gateway<P>, call: &Call) -> bool {
    matches!(standing(cx, call), Standing::Barred { .. })
}

/// Refuses a call whose request is barred.
///
/// # Errors
///
/// Returns the refusal, with the time until the request is forgotten.
pub fn refuse_barred<P: Platform>(cx: &Gateway<P>, call: &Call) -> Result<(), Refusal> {
    let Standing::Barred { crashes, left } = standing(cx, call) else {
        return Ok(());
    };
    cx.metrics.barred.inc();
    let line = BarredLine {
        request: &call.meta.id,
        fingerprint: call.fingerprint(),
        crashes,
        left_ms: left.as_millis(),
    };
    cx.log.request("request-barred", &line);
    let detail = format!("{crashes} endpoints have crashed while they ran this request");
    Err(Refusal {
        retry_after: Some(left),
        ..Refusal::new(Outcome::NotRun, detail)
    })
}

/// How far an endpoint had got with a call whose connection was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Nothing of the answer had arrived, or nothing but its head.
    Nothing,
    /// The endpoint had made events of a stream.
    Events,
}

/// Records that a call's connection was lost before its answer was complete, if
/// the endpoint's process has ended.
pub async fn record_lost<P: Platform>(
    cx: &Cx<P>,
    call: &Call,
    endpoint: &Endpoint,
    progress: Progress,
) {
    let pool = cx.pools.get(&call.service);
    let is_leaving = pool.is_none_or(|pool| pool.lock().is_leaving(endpoint));
    if is_leaving || !has_ended(cx, endpoint).await {
        return;
    }
    let crash = Crash {
        family: call.family(),
        request: call.fingerprint(),
        process: ProcessKey(super::hash_of(&format!(
            "{} {}",
            endpoint.id, endpoint.started_ms
        ))),
        age_ms: 0,
        is_midway: progress == Progress::Events,
    };
    let now = Moment::now();
    let (standing, known) = {
        let mut suspects = cx.suspects.lock();
        suspects.record(&crash, now);
        let known = suspects.crashes_of(crash.family, crash.request, now);
        let standing = suspects.standing(crash.family, crash.request, now);
        (standing, known)
    };
    cx.metrics.crashes.inc();
    let line = CrashLine {
        request: &call.meta.id,
        fingerprint: crash.request,
        family: crash.family,
        endpoint: &endpoint.id,
        service: &endpoint.service,
        is_midway: crash.is_midway,
        crashes: known.len(),
        is_barred: matches!(standing, Standing::Barred { .. }),
    };
    cx.log.request("endpoint-crashed", &line);
    tell_at_once(cx, known).await;
}

/// Tells hosts that outlive this one, and learns what they know of the request.
async fn tell_at_once<P: Platform>(cx: &Cx<P>, crashes: Vec<Crash>) {
    let Some(request) = crashes.first().map(|crash| crash.request) else {
        return;
    };
    let now = Moment::now();
    let local = &cx.cfg.place.data_centre;
    let keepers = cx
        .roster
        .lock()
        .keepers(request.0, local, TOLD_AT_ONCE, now);
    let calls = keepers.into_iter().map(|keeper| {
        let (cx, crashes) = (Arc::clone(cx), crashes.clone());
        cx.spawner.clone().spawn(async move {
            let told =
                exchange::call_peer::<_, _, Vec<Crash>>(&cx, &keeper, CRASHED_METHOD, &crashes);
            for crash in told.await.unwrap_or_default() {
                cx.suspects.lock().record(&crash, Moment::now());
            }
        })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        call.await;
    }
}

/// Whether an endpoint's process is gone: its machine refuses connections,
/// while the host that tries reaches other endpoints. A host that is cut off
/// asks another.
async fn has_ended<P: Platform>(cx: &Gateway<P>, endpoint: &Endpoint) -> bool {
    let pool = cx.pools.get(&endpoint.service);
    let is_cut_off = pool.is_some_and(|pool| pool.lock().path.is_cut_off());
    if !is_cut_off {
        if !refuses_connections(cx, endpoint).await {
            return false;
        }
        if paths::reaches_another(cx, endpoint).await {
            // The cut may have ended in between.
            return refuses_connections(cx, endpoint).await;
        }
    }
    let Some(witness) = hop::choose_host(cx, endpoint, None) else {
        return false;
    };
    let limit = cx.cfg.connect_timeout * WITNESS_CONNECTIONS;
    let reply = exchange::call_peer_within::<_, _, bool>(
        cx,
        &witness,
        HAS_ENDED_METHOD,
        &endpoint.id,
        limit,
    );
    reply.await.unwrap_or_default()
}

/// Whether this host, by its own paths, finds that an endpoint's process is
/// gone.
async fn is_found_ended<P: Platform>(cx: &Gateway<P>, id: &str) -> bool {
    let endpoint = cx.endpoint_list.lock().directory.get(id).cloned();
    let Some(endpoint) = endpoint else {
        return false;
    };
    refuses_connections(cx, &endpoint).await
        && paths::reaches_another(cx, &endpoint).await
        && refuses_connections(cx, &endpoint).await
}

async fn refuses_connections<P>(cx: &Gateway<P>, endpoint: &Endpoint) -> bool {
    let connect = async { TcpStream::connect(endpoint.address).await.map(drop) };
    let expire = async {
        Timer::after(cx.cfg.connect_timeout).await;
        Err(ErrorKind::TimedOut.into())
    };
    let connected = future::or(connect, expire).await;
    connected.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}
