//! Graceful shutdown: readiness fails, partitions are handed over, open
//! requests finish, then the process ends.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use chicoryarch_net::server::ServerControl;
use futures_lite::StreamExt;
use futures_lite::future;

use super::context::Cx;
use crate::connection::platform::Platform;
use crate::version::journal::PartitionId;

/// Interval at which open requests are counted while draining.
const RECOUNT: Duration = Duration::from_millis(20);

/// Whether the host still asks for new callers.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// True from the start of the service until the drain begins.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Says whether the host is ready.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }
}

/// How a drain ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drained {
    /// Every request was answered to its end.
    Whole,
    /// This many requests were cut off by a second signal or the limit.
    Cut(usize),
}

/// Ports whose requests a drain waits for.
#[derive(Clone, Debug, Default)]
pub struct Ports {
    /// The callers' port.
    pub callers: ServerControl,
    /// The other hosts' port.
    pub peers: ServerControl,
    /// The operators' port.
    pub operators: ServerControl,
}

impl Ports {
    fn requests(&self) -> usize {
        self.callers.requests() + self.peers.requests()
    }
}

/// Waits for the first signal to stop, or until operators retire the host,
/// then drains.
///
/// # Errors
///
/// What the system answered to the subscription to signals.
pub async fn until_drained<P: Platform>(cx: &Cx<P>, ports: &Ports) -> std::io::Result<Drained> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    let first = async {
        let _first = signals.next().await;
    };
    future::or(first, until_retired(cx)).await;
    log::info!("drain started requests={}", ports.requests());
    cx.readiness.set(false);
    let drained = async {
        drain(cx, ports).await;
        Drained::Whole
    };
    let second = async {
        let _second = signals.next().await;
        Drained::Cut(ports.requests())
    };
    let limit = async {
        Timer::after(cx.cfg.drain.limit).await;
        Drained::Cut(ports.requests())
    };
    let outcome = future::or(drained, future::or(second, limit)).await;
    report(outcome);
    Ok(outcome)
}

/// Waits until operators retire this host.
async fn until_retired<P: Platform>(cx: &Cx<P>) {
    let changes = cx.configuration.subscribe();
    while !cx.configuration.is_retired(&cx.cfg.host) {
        if changes.recv().await.is_err() {
            return;
        }
    }
}

fn report(outcome: Drained) {
    match outcome {
        Drained::Whole => log::info!("drain ended; every request was answered"),
        Drained::Cut(requests) => log::warn!("drain cut short requests_cut={requests}"),
    }
}

async fn drain<P: Platform>(cx: &Cx<P>, ports: &Ports) {
    Timer::after(cx.cfg.drain.notice).await;
    cx.membership.begin_drain();
    until(|| cx.membership.is_drained()).await;
    ports.callers.stop();
    until(|| ports.callers.requests() == 0).await;
    ports.peers.stop();
    until(|| ports.peers.requests() == 0).await;
    release_rest(cx).await;
    ports.operators.stop();
}

/// Flushes the partitions that no other host could take.
async fn release_rest<P: Platform>(cx: &Cx<P>) {
    for held in cx.membership.own_partitions() {
        let partition = PartitionId {
            data_centre: held.data_centre,
            partition: held.partition,
        };
        cx.journals.release(&partition).await;
    }
}

async fn until(is_done: impl Fn() -> bool) {
    while !is_done() {
        Timer::after(RECOUNT).await;
    }
}
