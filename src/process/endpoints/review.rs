//! Reviews the memory of the engines that this host is the steward of.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_lock::Mutex;
use async_lock::MutexGuardArc;

use super::counters::count;
use super::engine;
use super::home;
use crate::connection::platform::Platform;
use crate::ids::DataCentre;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::process::context::Cx;
use crate::process::timers::Timers;
use crate::units::Moment;
use crate::version::catalogue::Snapshot;
use crate::version::engine_memory::ReleaseOrder;
use crate::version::engine_memory::Review;
use crate::version::engine_memory::Verdict;
use crate::version::engine_memory::steward;
use crate::version::objects::Endpoint;
use crate::version::objects::ServiceKind;
use crate::version::table::coordinator::HostInfo;

type Reviews = BTreeMap<EndpointId, Arc<Mutex<Review>>>;

/// Reviews the engines of this host in every period.
pub(super) async fn run<P: Platform>(cx: Cx<P>, timers: Timers) {
    let ticks = timers.subscribe(cx.cfg.endpoints.review_period).await;
    let mut reviews = Reviews::new();
    while ticks.recv().await.is_ok() {
        let engines = engines(&cx);
        reviews.retain(|id, _| engines.contains_key(id));
        for (id, address) in engines {
            let review = reviews.entry(id).or_default();
            // A review that is still running is not started again.
            if let Some(review) = review.try_lock_arc() {
                cx.spawner.detach(round(Cx::clone(&cx), address, review));
            }
        }
    }
}

/// The engines that this host is the steward of.
fn engines<P: Platform>(cx: &Cx<P>) -> BTreeMap<EndpointId, SocketAddr> {
    let snapshot = cx.configuration.snapshot();
    let hosts = cx.membership.hosts();
    let own = |id: &EndpointId, endpoint: &Endpoint| {
        let near = live_hosts(&hosts, &endpoint.data_centre);
        is_engine(&snapshot, endpoint) && steward(id, near) == Some(&cx.cfg.host)
    };
    let endpoints = snapshot.endpoints();
    let engines = endpoints.filter(|(id, endpoint)| own(id, endpoint));
    engines.map(|(id, e)| (id.clone(), e.address)).collect()
}

fn is_engine(snapshot: &Snapshot, endpoint: &Endpoint) -> bool {
    let services = endpoint.services.iter();
    let mut kinds = services.filter_map(|id| Some(snapshot.service(id)?.kind));
    kinds.any(|kind| kind == ServiceKind::Model)
}

/// The live hosts of a data centre, or of all if it has none.
fn live_hosts<'a>(hosts: &'a [HostInfo], data_centre: &DataCentre) -> Vec<&'a HostId> {
    let live = hosts.iter().filter(|host| host.live);
    let near = live.clone().filter(|host| host.data_centre == *data_centre);
    let near: Vec<&HostId> = near.map(|host| &host.host).collect();
    if near.is_empty() {
        live.map(|host| &host.host).collect()
    } else {
        near
    }
}

async fn round<P: Platform>(cx: Cx<P>, engine: SocketAddr, mut review: MutexGuardArc<Review>) {
    let counters = &cx.endpoints.counters;
    count(&counters.reviews);
    let Ok(held) = engine::list(&cx, engine).await else {
        count(&counters.review_failures);
        return;
    };
    review.listed(&held);
    for (handle, verdict) in home::ask(&cx, &held).await {
        if verdict == Verdict::Unknown {
            count(&counters.homes_unknown);
        }
        review.judged(Moment::now(), &handle, verdict);
    }
    for order in due(&cx, &mut review).await {
        release(&cx, engine, &order).await;
    }
}

/// Orders for caches whose grace has passed and whose homes still say that
/// they are unused.
async fn due<P: Platform>(cx: &Cx<P>, review: &mut Review) -> Vec<ReleaseOrder> {
    let grace = cx.cfg.endpoints.release_grace;
    let due = review.due(Moment::now(), grace);
    let verdicts = home::ask(cx, &due).await.into_iter();
    let now = Moment::now();
    let orders =
        verdicts.filter_map(|(handle, verdict)| review.confirm(now, grace, &handle, verdict));
    orders.collect()
}

async fn release<P: Platform>(cx: &Cx<P>, engine: SocketAddr, order: &ReleaseOrder) {
    count(&cx.endpoints.counters.steward_releases);
    if engine::release(cx, engine, order).await.is_err() {
        count(&cx.endpoints.counters.release_failures);
    }
}
