//! Reviews the caches of the engines that this host is the reviewer of.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_lock::Mutex;
use async_lock::MutexGuardArc;

use super::counters::increment;
use super::engine;
use super::owners;
use crate::connection::platform::Platform;
use crate::ids::DataCentre;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::process::context::Cx;
use crate::process::timers::Timers;
use crate::units::Moment;
use crate::version::catalogue::Snapshot;
use crate::version::engine_memory::CacheStatus;
use crate::version::engine_memory::ReleaseRequest;
use crate::version::engine_memory::Review;
use crate::version::engine_memory::select_reviewer;
use crate::version::objects::Endpoint;
use crate::version::objects::ServiceKind;
use crate::version::table::coordinator::HostInfo;

type Reviews = BTreeMap<EndpointId, Arc<Mutex<Review>>>;

/// Starts a review of each assigned engine in every review period.
pub(super) async fn run<P: Platform>(cx: Cx<P>, timers: Timers) {
    let ticks = timers.subscribe(cx.cfg.endpoints.review_period).await;
    let mut reviews = Reviews::new();
    while ticks.recv().await.is_ok() {
        let engines = assigned_engines(&cx);
        reviews.retain(|id, _| engines.contains_key(id));
        for (id, address) in engines {
            let review = reviews.entry(id).or_default();
            // Skips an engine whose previous review is still running.
            if let Some(review) = review.try_lock_arc() {
                cx.spawner
                    .detach(review_engine(Cx::clone(&cx), address, review));
            }
        }
    }
}

/// Returns the engines that this host is the reviewer of.
fn assigned_engines<P: Platform>(cx: &Cx<P>) -> BTreeMap<EndpointId, SocketAddr> {
    let snapshot = cx.configuration.snapshot();
    let hosts = cx.membership.hosts();
    let is_assigned = |id: &EndpointId, endpoint: &Endpoint| {
        let candidates = live_hosts(&hosts, &endpoint.data_centre);
        is_engine(&snapshot, endpoint) && select_reviewer(id, candidates) == Some(&cx.cfg.host)
    };
    let endpoints = snapshot.endpoints();
    let engines = endpoints.filter(|(id, endpoint)| is_assigned(id, endpoint));
    engines.map(|(id, e)| (id.clone(), e.address)).collect()
}

fn is_engine(snapshot: &Snapshot, endpoint: &Endpoint) -> bool {
    let services = endpoint.services.iter();
    let mut kinds = services.filter_map(|id| Some(snapshot.service(id)?.kind));
    kinds.any(|kind| kind == ServiceKind::Model)
}

/// Returns the live hosts of a data centre, or all live hosts if it has none.
fn live_hosts<'a>(hosts: &'a [HostInfo], data_centre: &DataCentre) -> Vec<&'a HostId> {
    let live = hosts.iter().filter(|host| host.live);
    let local = live.clone().filter(|host| host.data_centre == *data_centre);
    let local: Vec<&HostId> = local.map(|host| &host.host).collect();
    if local.is_empty() {
        live.map(|host| &host.host).collect()
    } else {
        local
    }
}

async fn review_engine<P: Platform>(
    cx: Cx<P>,
    engine: SocketAddr,
    mut review: MutexGuardArc<Review>,
) {
    let counters = &cx.endpoints.counters;
    increment(&counters.reviews);
    let Ok(listed) = engine::list_caches(&cx, engine).await else {
        increment(&counters.review_failures);
        return;
    };
    review.retain_listed(&listed);
    for (handle, status) in owners::query_status(&cx, &listed).await {
        if status == CacheStatus::Unknown {
            increment(&counters.caches_unknown);
        }
        review.record_status(Moment::now(), &handle, status);
    }
    for request in confirm_due(&cx, &mut review).await {
        release(&cx, engine, &request).await;
    }
}

/// Returns release requests for caches whose grace period has passed and whose
/// owners confirm that they are unused.
async fn confirm_due<P: Platform>(cx: &Cx<P>, review: &mut Review) -> Vec<ReleaseRequest> {
    let grace = cx.cfg.endpoints.release_grace;
    let due = review.due_caches(Moment::now(), grace);
    let statuses = owners::query_status(cx, &due).await.into_iter();
    let now = Moment::now();
    let requests =
        statuses.filter_map(|(handle, status)| review.confirm_release(now, grace, &handle, status));
    requests.collect()
}

async fn release<P: Platform>(cx: &Cx<P>, engine: SocketAddr, request: &ReleaseRequest) {
    increment(&cx.endpoints.counters.reviewer_releases);
    if engine::release_cache(cx, engine, request).await.is_err() {
        increment(&cx.endpoints.counters.release_failures);
    }
}
