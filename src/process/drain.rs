//! Graceful shutdown: the host reports that it is not ready, hands over its
//! partitions and completes open requests before the process ends.

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

/// Interval at which the progress of a drain is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the host reports itself ready for new callers; clones share the
/// flag.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Whether the host has completed its start and no drain has begun.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Sets whether the host is ready.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }
}

/// Outcome of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainOutcome {
    /// Every request was answered in full.
    Completed,
    /// A second signal or the time limit ended the drain; holds the number of
    /// requests that were aborted.
    Aborted(usize),
}

/// Controls of the servers that a drain stops.
#[derive(Clone, Debug, Default)]
pub struct Ports {
    /// Server for callers.
    pub callers: ServerControl,
    /// Server for other hosts.
    pub peers: ServerControl,
    /// Server for operators; a drain does not wait for its requests.
    pub operators: ServerControl,
}

impl Ports {
    fn open_requests(&self) -> usize {
        self.callers.requests() + self.peers.requests()
    }
}

/// Waits for the first signal to stop, or until operators retire the host,
/// then drains it.
///
/// # Errors
///
/// The error of the subscription to signals.
pub async fn run_until_drained<P: Platform>(
    cx: &Cx<P>,
    ports: &Ports,
) -> std::io::Result<DrainOutcome> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    let first = async {
        let _first = signals.next().await;
    };
    future::or(first, wait_retired(cx)).await;
    log::info!("drain started requests={}", ports.open_requests());
    cx.readiness.set(false);
    let drained = async {
        drain(cx, ports).await;
        DrainOutcome::Completed
    };
    let second = async {
        let _second = signals.next().await;
        DrainOutcome::Aborted(ports.open_requests())
    };
    let limit = async {
        Timer::after(cx.cfg.drain.limit).await;
        DrainOutcome::Aborted(ports.open_requests())
    };
    let outcome = future::or(drained, future::or(second, limit)).await;
    log_outcome(outcome);
    Ok(outcome)
}

/// Waits until operators retire this host.
async fn wait_retired<P: Platform>(cx: &Cx<P>) {
    let changes = cx.configuration.subscribe();
    while !cx.configuration.is_retired(&cx.cfg.host) {
        if changes.recv().await.is_err() {
            return;
        }
    }
}

fn log_outcome(outcome: DrainOutcome) {
    match outcome {
        DrainOutcome::Completed => log::info!("drain completed; every request was answered"),
        DrainOutcome::Aborted(requests) => log::warn!("drain ended early requests_cut={requests}"),
    }
}

async fn drain<P: Platform>(cx: &Cx<P>, ports: &Ports) {
    Timer::after(cx.cfg.drain.notice).await;
    cx.membership.begin_drain();
    wait_until(|| cx.membership.is_drained()).await;
    ports.callers.stop();
    wait_until(|| ports.callers.is_closed()).await;
    ports.peers.stop();
    wait_until(|| ports.peers.is_closed()).await;
    release_remaining(cx).await;
    ports.operators.stop();
}

/// Releases the partitions that no other host has taken over.
async fn release_remaining<P: Platform>(cx: &Cx<P>) {
    for held in cx.membership.own_partitions() {
        let partition = PartitionId {
            data_centre: held.data_centre,
            partition: held.partition,
        };
        cx.journals.release(&partition).await;
    }
}

async fn wait_until(is_done: impl Fn() -> bool) {
    while !is_done() {
        Timer::after(POLL_INTERVAL).await;
    }
}
