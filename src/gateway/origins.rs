//! Engine versions that began streams.
//!
//! The events of two software versions do not fit together, and engines do not
//! check where a stream began. A caller may take up a stream at any host, also
//! after the host of its first attempt has failed. The host that forwards the
//! first event therefore tells two other hosts which version made it, one of
//! them in its own data centre, in case that is cut off.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use super::attempt::Call;
use super::context::Cx;
use super::context::Gateway;
use super::exchange;
use super::exchange::ORIGIN_METHOD;
use super::exchange::STREAMS_BEGUN_METHOD;
use super::roster::KeeperCount;
use super::roster::Peer;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::units::Moment;

/// Time for which an origin is kept at least. A stream can be resumed until its
/// caller's deadline.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of origins in one generation, to bound the memory.
const MAX_ORIGINS: usize = 1 << 16;
/// Hosts that are told where a stream began.
pub const REPORTED_TO: KeeperCount = KeeperCount { local: 1, any: 1 };
/// Hosts that are asked where a stream began: those that may have been told,
/// also if the host that told them is among the first or some have failed.
pub const ASKED: KeeperCount = KeeperCount { local: 2, any: 3 };
/// Service and software version whose engine made the first event of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the engine's software.
    pub version: Arc<str>,
}

/// Tells another host where a stream began.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StreamBegun {
    /// Key of the stream, from [`stream_key`].
    pub stream: u64,
    /// Where it began.
    pub origin: StreamOrigin,
}

#[derive(Debug, Default)]
struct Generations {
    recent: HashMap<u64, StreamOrigin>,
    previous: HashMap<u64, StreamOrigin>,
    /// When `recent` was started.
    started: Moment,
}

/// Origins of streams by their keys.
#[derive(Debug, Default)]
pub struct Origins(Mutex<Generations>);

impl Origins {
    /// Records where a stream began.
    pub fn record(&self, stream: u64, origin: StreamOrigin, now: Moment) {
        let mut kept = self.0.lock();
        let is_over = now.since(kept.started) >= RETENTION;
        if is_over || kept.recent.len() >= MAX_ORIGINS {
            kept.previous = std::mem::take(&mut kept.recent);
            kept.started = now;
        }
        kept.recent.insert(stream, origin);
    }

    /// Returns where a stream began, if that is known here.
    pub fn get(&self, stream: u64) -> Option<StreamOrigin> {
        let kept = self.0.lock();
        let found = kept.recent.get(&stream);
        found.or_else(|| kept.previous.get(&stream)).cloned()
    }

    /// Returns all streams that are known here.
    pub fn all(&self) -> Vec<StreamBegun> {
        let kept = self.0.lock();
        let known = kept.recent.iter().chain(&kept.previous);
        let begun = known.map(|(stream, origin)| StreamBegun {
            stream: *stream,
            origin: origin.clone(),
        });
        begun.collect()
    }
}

/// Returns the key of a call's stream, which is equal on every host and for all
/// attempts of the caller.
pub fn stream_key(call: &Call) -> u64 {
    super::hash_of(call.meta.stream_id())
}

/// Records that an engine of a version made the first event of an answer, here
/// and at other hosts.
pub fn report<P: Platform>(cx: &Cx<P>, call: &Call, version: &Arc<str>) {
    let begun = StreamBegun {
        stream: stream_key(call),
        origin: StreamOrigin {
            service: Arc::clone(&call.service),
            version: Arc::clone(version),
        },
    };
    let now = Moment::now();
    let local = &cx.cfg.place.data_centre;
    let keepers = cx
        .roster
        .lock()
        .keepers(begun.stream, local, REPORTED_TO, now);
    cx.origins.record(begun.stream, begun.origin.clone(), now);
    for keeper in keepers {
        send_report(cx, keeper, vec![begun.clone()]).detach();
    }
}

/// Sends a report in the background. Without it, a resume has to rely on the
/// other copies.
fn send_report<P: Platform>(cx: &Cx<P>, keeper: Peer, begun: Vec<StreamBegun>) -> Task<()> {
    let context = Arc::clone(cx);
    cx.spawner.spawn(async move {
        let _reply: Option<()> =
            exchange::call_peer(&context, &keeper, STREAMS_BEGUN_METHOD, &begun).await;
    })
}

/// Records the report of another host.
pub fn receive_report<P>(cx: &Gateway<P>, begun: Vec<StreamBegun>) {
    let now = Moment::now();
    for StreamBegun { stream, origin } in begun {
        cx.origins.record(stream, origin, now);
    }
}

/// Hands the origins that are known here over to other hosts at shutdown, so
/// that they outlast a restart of all hosts in turn.
pub async fn hand_over<P: Platform>(cx: &Cx<P>) {
    let now = Moment::now();
    let local = &cx.cfg.place.data_centre;
    let mut reports: HashMap<HostId, (Peer, Vec<StreamBegun>)> = HashMap::new();
    for begun in cx.origins.all() {
        let keepers = cx
            .roster
            .lock()
            .keepers(begun.stream, local, REPORTED_TO, now);
        for keeper in keepers {
            let host = keeper.host.clone();
            let (_, report) = reports.entry(host).or_insert_with(|| (keeper, Vec::new()));
            report.push(begun.clone());
        }
    }
    let reports = reports.into_values();
    let sent: Vec<_> = reports
        .map(|(keeper, begun)| send_report(cx, keeper, begun))
        .collect();
    for report in sent {
        report.await;
    }
}

/// Finds where a stream began, asking other hosts if this one does not know.
pub async fn find<P: Platform>(cx: &Cx<P>, stream: u64) -> Option<StreamOrigin> {
    if let Some(origin) = cx.origins.get(stream) {
        return Some(origin);
    }
    let local = &cx.cfg.place.data_centre;
    let asked: Vec<Peer> = cx
        .roster
        .lock()
        .keepers(stream, local, ASKED, Moment::now());
    let (tx, rx) = async_channel::bounded(asked.len().max(1));
    for peer in asked {
        let (cx, tx) = (Arc::clone(cx), tx.clone());
        cx.spawner.clone().detach(async move {
            let reply: Option<Option<StreamOrigin>> =
                exchange::call_peer(&cx, &peer, ORIGIN_METHOD, &stream).await;
            if let Some(Some(origin)) = &reply {
                cx.origins.record(stream, origin.clone(), Moment::now());
            }
            // The first answer that names the origin is enough.
            let _enough = tx.try_send(reply.flatten());
        });
    }
    drop(tx);
    while let Ok(reply) = rx.recv().await {
        if reply.is_some() {
            return reply;
        }
    }
    None
}
