//! Reads the platform's list of endpoint hosts and serves it to other hosts.
//!
//! One delegate per data centre reads the list. The other hosts pull it from
//! the delegate and read it from the platform only if the pull fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use parking_lot::Mutex;

use super::counters::increment;
use crate::connection::peer;
use crate::connection::peer::NoParams;
use crate::connection::peer::Peers;
use crate::connection::platform::HostStatus;
use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::process::timers::Timers;
use crate::units::Moment;

/// RPC method that returns the list, or null if the host has not read it
/// recently.
const LIST_METHOD: &str = "endpoints.hosts";
/// Age, in list periods, up to which a host serves its list to others.
const MAX_AGE_PERIODS: u32 = 3;

/// When this host last read the list from the platform.
#[derive(Clone, Debug, Default)]
pub struct LastRead(Arc<Mutex<Option<Moment>>>);

impl LastRead {
    fn set(&self, now: Moment) {
        *self.0.lock() = Some(now);
    }

    fn is_within(&self, now: Moment, age: Duration) -> bool {
        self.0
            .lock()
            .is_some_and(|read_at| now.since(read_at) <= age)
    }
}

/// Refreshes the list at the start and in every list period.
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
    let pulled = match other_delegate(cx) {
        Some(delegate) => pull_list(cx, delegate).await,
        None => None,
    };
    match pulled {
        Some(list) => {
            increment(&cx.endpoints.counters.lists_pulled);
            apply_list(cx, list);
        }
        None => read_list(cx, platform).await,
    }
}

/// Returns the address of this data centre's delegate; `None` if this host is
/// the delegate or there is none.
fn other_delegate<P: Platform>(cx: &Cx<P>) -> Option<SocketAddr> {
    let delegate = cx.membership.delegate(&cx.cfg.data_centre)?;
    (delegate.host != cx.cfg.host).then_some(delegate.peer)
}

async fn pull_list<P: Platform>(cx: &Cx<P>, from: SocketAddr) -> Option<Vec<HostStatus>> {
    let pulled: peer::Result<Option<Vec<HostStatus>>> =
        cx.peers.call(from, LIST_METHOD, &NoParams {}).await;
    pulled.ok().flatten()
}

async fn read_list<P: Platform>(cx: &Cx<P>, platform: &P) {
    let counters = &cx.endpoints.counters;
    let started = Moment::now();
    match platform.hosts().await {
        Ok(list) => {
            increment(&counters.lists_read);
            apply_list(cx, list);
            cx.endpoints.last_read.set(started);
        }
        Err(_) => increment(&counters.list_failures),
    }
}

fn apply_list<P: Platform>(cx: &Cx<P>, list: Vec<HostStatus>) {
    if cx.endpoints.draining.apply(list) {
        cx.placing.recheck_waiting();
    }
}

/// Returns the list if this host has read it recently.
fn recent_list<P: Platform>(cx: &Cx<P>) -> Option<Vec<HostStatus>> {
    let max_age = cx.cfg.endpoints.list_period * MAX_AGE_PERIODS;
    let is_recent = cx.endpoints.last_read.is_within(Moment::now(), max_age);
    is_recent.then(|| cx.endpoints.draining.list())
}

pub(super) fn register<P: Platform>(
    module: &mut RpcModule<()>,
    cx: &Cx<P>,
) -> Result<(), RegisterMethodError> {
    let cx = Cx::clone(cx);
    module.register_method(LIST_METHOD, move |_, _, _| {
        Ok::<_, ErrorObjectOwned>(recent_list(&cx))
    })?;
    Ok(())
}
