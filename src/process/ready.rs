//! Brings a starting host to the point where it asks for callers, and keeps its
//! configuration current after a lapsed lease.

use std::time::Duration;

use async_io::Timer;

use super::context::Cx;
use super::distribution::Hosts;
use super::distribution::Standing;
use super::distribution::standing::Term;
use super::limit_view::LimiterReady;
use super::timers::Timers;
use crate::connection::platform::Platform;
use crate::units::Moment;

/// Pause before configuration is looked for again by a starting host.
const CATCH_UP_RETRY: Duration = Duration::from_millis(100);

/// Collects the configuration, then reports the host as ready.
pub async fn become_ready<P: Platform>(cx: Cx<P>, timers: Timers, settled: LimiterReady) {
    until_listed(&cx).await;
    let mut term = cx.distribution.hosts().term();
    let mut standing = cx.distribution.catch_up().await;
    while standing == Standing::Starting {
        Timer::after(CATCH_UP_RETRY).await;
        term = cx.distribution.hosts().term();
        standing = cx.distribution.catch_up().await;
    }
    cx.distribution.start(&timers);
    cx.spawner
        .detach(catch_up_again(Cx::clone(&cx), timers, term));
    // Without the platform there is no lease to wait for; the host then
    // serves what it can.
    while standing == Standing::Current && has_lease(&cx) && !settled.is_ready() {
        Timer::after(CATCH_UP_RETRY).await;
    }
    cx.readiness.set(true);
    log::info!("host ready host={} configuration={standing:?}", cx.cfg.host);
}

/// Collects the configuration again whenever a lapsed lease is held again:
/// changes may have come into force without this host.
async fn catch_up_again<P: Platform>(cx: Cx<P>, timers: Timers, mut caught_up: Option<Term>) {
    let ticks = timers.subscribe(cx.cfg.membership.heartbeat_period).await;
    while ticks.recv().await.is_ok() {
        let term = cx.distribution.hosts().term();
        if term.is_some() && term != caught_up {
            cx.distribution.catch_up().await;
            caught_up = term;
        }
    }
}

/// Waits until the other hosts can know this one, as long as a lease may take
/// if the platform answers.
async fn until_listed<P: Platform>(cx: &Cx<P>) {
    let give_up = Moment::now() + cx.cfg.membership.lapse_after();
    while !has_lease(cx) && Moment::now() < give_up {
        Timer::after(CATCH_UP_RETRY).await;
    }
}

fn has_lease<P: Platform>(cx: &Cx<P>) -> bool {
    let until = cx.membership.snapshot().lease_until;
    until.is_some_and(|until| Moment::now() < until)
}
