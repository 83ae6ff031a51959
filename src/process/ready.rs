//! Makes a starting host ready for callers, and catches up on configuration
//! when its lease has lapsed and is held again.

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

/// Interval at which a starting host checks its lease and retries to catch up
/// on configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits for a lease, catches up on configuration, waits until the customers'
/// buckets refill if the host holds a lease, then sets the host ready.
pub async fn become_ready<P: Platform>(cx: Cx<P>, timers: Timers, limiter_ready: LimiterReady) {
    wait_for_lease(&cx).await;
    let mut term = cx.distribution.hosts().term();
    let mut standing = cx.distribution.catch_up().await;
    while standing == Standing::Starting {
        Timer::after(POLL_INTERVAL).await;
        term = cx.distribution.hosts().term();
        standing = cx.distribution.catch_up().await;
    }
    cx.distribution.start(&timers);
    cx.spawner
        .detach(run_catch_up(Cx::clone(&cx), timers, term));
    // Without the platform there is no lease to wait for; the host then serves
    // what it can.
    if standing == Standing::Current {
        let token_ttl = cx.cfg.limit.token_ttl;
        let known_at = Moment::now();
        wait_while_leased(&cx, || {
            limiter_ready.is_ready() && Moment::now() >= known_at + token_ttl
        })
        .await;
        // Not read again: customers that are added all the time would delay it
        // without end.
        let refills_from = cx.rates.refills_from();
        wait_while_leased(&cx, || Moment::now() >= refills_from).await;
    }
    cx.readiness.set(true);
    log::info!("host ready host={} configuration={standing:?}", cx.cfg.host);
}

/// Catches up on configuration whenever a lapsed lease is held again, since
/// changes may have come into force without this host.
async fn run_catch_up<P: Platform>(cx: Cx<P>, timers: Timers, mut last_term: Option<Term>) {
    let ticks = timers.subscribe(cx.cfg.membership.heartbeat_period).await;
    while ticks.recv().await.is_ok() {
        let term = cx.distribution.hosts().term();
        if term.is_some() && term != last_term {
            cx.distribution.catch_up().await;
            last_term = term;
        }
    }
}

/// Waits until this host holds a lease, because other hosts list it from then
/// on. Gives up after the time in which a host acquires a lease if the platform
/// answers.
async fn wait_for_lease<P: Platform>(cx: &Cx<P>) {
    let deadline = Moment::now() + cx.cfg.membership.lapse_after();
    while !has_lease(cx) && Moment::now() < deadline {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits for a condition as long as this host holds a lease.
async fn wait_while_leased<P: Platform>(cx: &Cx<P>, is_met: impl Fn() -> bool) {
    while has_lease(cx) && !is_met() {
        Timer::after(POLL_INTERVAL).await;
    }
}

fn has_lease<P: Platform>(cx: &Cx<P>) -> bool {
    let until = cx.membership.snapshot().lease_until;
    until.is_some_and(|until| Moment::now() < until)
}
