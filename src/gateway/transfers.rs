//! Transfers of the operators' configuration between hosts.
//!
//! A configuration may be nearly a megabyte large. A host sends it to one host
//! at a time, which gets it at the full rate of the link and then sends it on
//! itself. The time until all hosts have it thus grows with the logarithm of
//! their number.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodySender;
use futures_lite::future;
use http::Response;
use http::StatusCode;
use http::Uri;
use parking_lot::Mutex;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::context::InForce;
use super::roster::Peer;
use super::updates;
use crate::connection::peer::PeerError;
use crate::connection::platform::Platform;
use crate::units::Moment;

/// Path of the configuration on the port for other hosts.
pub const PATH: &str = "/configuration";
/// Query parameter with the version that the asking host has.
const NEWER_THAN: &str = "newer_than=";

/// Maximum time without progress of a transfer, which ends it so that it does
/// not keep other hosts waiting.
const MAX_SEND_PAUSE: Duration = Duration::from_secs(1);
/// Size of the parts in which the configuration is sent, in bytes.
const PART_BYTES: usize = 32 << 10;
/// Pause between two requests of a host that is behind, if the first one did
/// not get it the configuration.
const RETRY_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of hosts with a newer version that are remembered.
const MAX_SOURCES: usize = 16;
/// Maximum number of such requests until the next host reports a newer version.
const MAX_REQUESTS: u32 = 100;

/// Transfers of this host, and the newest version that it has heard of.
#[derive(Debug, Default)]
pub struct Transfers {
    newest: AtomicU64,
    /// Newest version that this host cannot decode.
    invalid: AtomicU64,
    /// Hosts that have reported a newer version since the last fetch, each asked
    /// once before others are asked at random.
    sources: Mutex<Vec<Peer>>,
    is_fetching: AtomicBool,
    is_sending: AtomicBool,
}

#[derive(Serialize)]
struct BehindLine<'a> {
    version: u64,
    newest: u64,
    from: &'a str,
    configuration_age_ms: Option<u128>,
}

#[derive(Serialize)]
struct FailedLine<'a> {
    version: u64,
    newest: u64,
    from: &'a str,
    why: &'a str,
}

/// Permission to send the configuration; given back on drop.
struct SendPermit<P: Platform>(Cx<P>);

impl<P: Platform> SendPermit<P> {
    /// Returns the permission unless another transfer has it.
    fn take(cx: &Cx<P>) -> Option<Self> {
        let is_sending = cx.transfers.is_sending.swap(true, Ordering::AcqRel);
        (!is_sending).then(|| Self(Arc::clone(cx)))
    }
}

impl<P: Platform> Drop for SendPermit<P> {
    fn drop(&mut self) {
        self.0.transfers.is_sending.store(false, Ordering::Release);
    }
}

/// Sends the configuration to a host that asks for one newer than its own: 404
/// if this host has none, 503 while it sends it to another host.
pub fn respond<P: Platform>(cx: &Cx<P>, uri: &Uri) -> Response<Body> {
    let known = uri
        .query()
        .and_then(|query| query.strip_prefix(NEWER_THAN)?.parse::<u64>().ok());
    let in_force = cx.in_force.load_full();
    if known.is_none_or(|known| in_force.table.version <= known) {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let Some(permit) = SendPermit::take(cx) else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let (tx, body) = Body::channel(1);
    cx.spawner.detach(async move {
        let _permit = permit;
        send_parts(tx, &in_force).await;
    });
    Response::new(body)
}

async fn send_parts(tx: BodySender, in_force: &InForce) {
    for part in in_force.text.as_bytes().chunks(PART_BYTES) {
        let send = async { tx.send(Bytes::copy_from_slice(part)).await.is_ok() };
        let expire = async {
            Timer::after(MAX_SEND_PAUSE).await;
            false
        };
        if !future::or(send, expire).await {
            return;
        }
    }
    tx.finish().await;
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}

/// Records that another host has a version, and fetches it if it is newer.
pub fn learn<P: Platform>(cx: &Cx<P>, version: u64, from: Peer) {
    let own = cx.in_force.load().table.version;
    let invalid = cx.transfers.invalid.load(Ordering::Acquire);
    if version <= own.max(invalid) {
        return;
    }
    if cx.transfers.newest.fetch_max(version, Ordering::AcqRel) < version {
        let line = BehindLine {
            version: own,
            newest: version,
            from: from.host.as_str(),
            configuration_age_ms: cx.configuration_age_ms(),
        };
        cx.log.state("configuration-behind", &line);
    }
    {
        let mut sources = cx.transfers.sources.lock();
        let is_known = sources.iter().any(|source| source.host == from.host);
        if !is_known && sources.len() < MAX_SOURCES {
            sources.push(from);
        }
    }
    // One transfer at a time: several would share the link.
    if !cx.transfers.is_fetching.swap(true, Ordering::AcqRel) {
        cx.spawner.detach(catch_up(Arc::clone(cx)));
    }
}

fn is_behind<P>(cx: &Gateway<P>) -> bool {
    let Transfers {
        newest, invalid, ..
    } = &cx.transfers;
    let own = cx.in_force.load().table.version;
    own.max(invalid.load(Ordering::Acquire)) < newest.load(Ordering::Acquire)
}

/// Asks the hosts that have reported a newer version, and then others, until
/// this host is no longer behind.
async fn catch_up<P: Platform>(cx: Cx<P>) {
    for _ in 0..MAX_REQUESTS {
        if let Some(source) = next_source(&cx) {
            fetch(&cx, &source).await;
        }
        if !is_behind(&cx) {
            break;
        }
        let jitter = rand::random_range(0.7..=1.3);
        Timer::after(RETRY_PERIOD.mul_f64(jitter)).await;
    }
    cx.transfers.sources.lock().clear();
    cx.transfers.is_fetching.store(false, Ordering::Release);
}

fn next_source<P>(cx: &Gateway<P>) -> Option<Peer> {
    let reported = cx.transfers.sources.lock().pop();
    reported.or_else(|| {
        let data_centre = &cx.cfg.place.data_centre;
        cx.roster.lock().random_host(data_centre, Moment::now())
    })
}

/// Fetches the configuration from a host that has a newer one and is free to send it.
async fn fetch<P: Platform>(cx: &Cx<P>, source: &Peer) {
    let version = cx.in_force.load().table.version;
    let newest = cx.transfers.newest.load(Ordering::Acquire);
    let path = format!("{PATH}?{NEWER_THAN}{version}");
    let why = match cx.peers.fetch(source.address, &path).await {
        Ok(Some(bytes)) => match std::str::from_utf8(&bytes) {
            Ok(text) => {
                if !updates::apply_configuration(cx, text, source.host.as_str()) {
                    cx.transfers.invalid.fetch_max(newest, Ordering::AcqRel);
                }
                return;
            }
            Err(e) => e.to_string(),
        },
        Ok(None) => return,
        Err(e) => {
            if matches!(e, PeerError::Unreachable(_)) {
                cx.roster.lock().mark_suspect(&source.host, Moment::now());
            }
            e.to_string()
        }
    };
    let line = FailedLine {
        version,
        newest,
        from: source.host.as_str(),
        why: &why,
    };
    cx.log.request("configuration-not-received", &line);
}
