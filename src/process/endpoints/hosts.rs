//! Reads the platform's list of endpoint hosts and hands it to other hosts.
//!
//! One host of each data centre reads the list; the others take it over from
//! there and read it themselves only if that fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use parking_lot::Mutex;

use super::counters::count;
use crate::connection::peer;
use crate::connection::peer::NoParams;
use crate::connection::peer::Peers;
use crate::connection::platform::HostStatus;
use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::process::timers::Timers;
use crate::units::Moment;

/// Control call that gives the list; absent if it has not been read lately.
const LIST_METHOD: &str = "endpoints.hosts";
/// Periods after which a list is too old to be handed on.
const FRESH_PERIODS: u32 = 3;

/// When this host last read the list from the platform.
#[derive(Clone, Debug, Default)]
pub struct LastRead(Arc<Mutex<Option<Moment>>>);

impl LastRead {
    fn set(&self, now: Moment) {
        *self.0.lock() = Some(now);
    }

    fn is_within(&self, now: Moment, age: Duration) -> bool {
        self.0.lock().is_some_and(|read| now.since(read) <= age)
    }
}

/// Refreshes the list in every period.
pub(super) async fn run<P: Platform>(cx: Cx<P>, platform: P, timers: Timers) {
    let ticks = timers.subscribe(cx.cfg.endpoints.list_period).await;
    loop {
        refresh(&cx, &platform).await;
        if ticks.recv().await.is_err() {
            return;
        }
    }
}

async fn refresh<P: Platform>(cx: &Cx<P>, platform: &P) {
    let pulled = match watcher(cx) {
        Some(watcher) => pull(cx, watcher).await,
        None => None,
    };
    match pulled {
        Some(list) => {
            count(&cx.endpoints.counters.lists_pulled);
            apply(cx, list);
        }
        None => read(cx, platform).await,
    }
}

/// The host that reads the list for this data centre, if it is another.
fn watcher<P: Platform>(cx: &Cx<P>) -> Option<SocketAddr> {
    let delegate = cx.membership.delegate(&cx.cfg.data_centre)?;
    (delegate.host != cx.cfg.host).then_some(delegate.peer)
}

async fn pull<P: Platform>(cx: &Cx<P>, from: SocketAddr) -> Option<Vec<HostStatus>> {
    let pulled: peer::Result<Option<Vec<HostStatus>>> =
        cx.peers.call(from, LIST_METHOD, &NoParams {}).await;
    pulled.ok().flatten()
}

async fn read<P: Platform>(cx: &Cx<P>, platform: &P) {
    let counters = &cx.endpoints.counters;
    let asked = Moment::now();
    match platform.hosts().await {
        Ok(list) => {
            count(&counters.lists_read);
            apply(cx, list);
            cx.endpoints.last_read.set(asked);
        }
        Err(_) => count(&counters.list_failures),
    }
}

fn apply<P: Platform>(cx: &Cx<P>, list: Vec<HostStatus>) {
    if cx.endpoints.leaving.apply(list) {
        cx.placing.recheck_waiting();
    }
}

/// The list, if this host has read it lately.
fn list<P: Platform>(cx: &Cx<P>) -> Option<Vec<HostStatus>> {
    let age = cx.cfg.endpoints.list_period * FRESH_PERIODS;
    let is_fresh = cx.endpoints.last_read.is_within(Moment::now(), age);
    is_fresh.then(|| cx.endpoints.leaving.list())
}

pub(super) fn register<P: Platform>(
    module: &mut RpcModule<()>,
    cx: &Cx<P>,
) -> Result<(), RegisterMethodError> {
    let host = Cx::clone(cx);
    module.register_method(LIST_METHOD, move |_, _, _| {
        Ok::<_, ErrorObjectOwned>(list(&host))
    })?;
    Ok(())
}
