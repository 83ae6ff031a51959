//! Following the objects of a kind in the platform's store.

use std::future::Future;
use std::time::Duration;

use async_io::Timer;

use crate::connection::platform;
use crate::connection::platform::Changes;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::ids::Version;
use crate::units::Moment;

/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Least part of a pause that is left by chance, so that hosts spread.
const MIN_JITTER: f64 = 0.6;
/// Pause between two looks at whether this host follows a store that answers.
const RECHECK_PERIOD: Duration = Duration::from_millis(100);

/// Takes up what is followed.
pub trait WatchHandler: Send + Sync + 'static {
    /// All objects of the kind.
    fn on_list(&self, listed: Changes) -> impl Future<Output = ()> + Send;

    /// What has changed since.
    fn on_change(&self, changes: Changes) -> impl Future<Output = ()> + Send;

    /// The store did not answer.
    fn on_error(&self, error: &PlatformError);

    /// The store answers.
    fn on_success(&self);

    /// False while it is known from elsewhere that the store does not answer.
    fn is_store_reachable(&self) -> bool {
        true
    }

    /// True while this host follows the store itself.
    fn is_active(&self) -> bool {
        true
    }

    /// Pause after a change, in which further ones gather.
    fn batch_delay(&self) -> Duration {
        Duration::ZERO
    }
}

/// Follows a kind until the process ends, with watches that wait as long as told.
pub async fn watch_kind<P: Platform, F: WatchHandler>(
    store: P,
    kind: &'static str,
    watch_wait: Duration,
    handler: F,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        wait_until_active(&handler).await;
        // A version of its own listing is known while this is set.
        let mut since = match store.list(kind, "").await {
            Ok(listed) => {
                handler.on_success();
                let upto = listed.upto;
                handler.on_list(listed).await;
                backoff = MIN_BACKOFF;
                Some(upto)
            }
            Err(e) => {
                handler.on_error(&e);
                back_off(&handler, &mut backoff).await;
                None
            }
        };
        while let Some(version) = since {
            wait_until_active(&handler).await;
            since = {
                let watch = store.watch(kind, version, watch_wait);
                poll_watch(watch, &handler, version, &mut backoff).await
            };
        }
    }
}

/// One watch; gives the version to go on from, or `None` to list again.
async fn poll_watch<F: WatchHandler>(
    watch: impl Future<Output = platform::Result<Changes>>,
    handler: &F,
    since: Version,
    backoff: &mut Duration,
) -> Option<Version> {
    let started = Moment::now();
    match watch.await {
        Ok(changes) => {
            handler.on_success();
            *backoff = MIN_BACKOFF;
            let upto = changes.upto.max(since);
            let is_empty = changes.objects.is_empty() && changes.removed.is_empty();
            if !is_empty {
                handler.on_change(changes).await;
                Timer::after(handler.batch_delay()).await;
            }
            // A store that answers at once with nothing is not asked in a tight loop.
            if is_empty && Moment::now().since(started) < MIN_BACKOFF {
                Timer::after(MIN_BACKOFF).await;
            }
            Some(upto)
        }
        Err(PlatformError::HistoryLost) => None,
        Err(e) => {
            handler.on_error(&e);
            back_off(handler, backoff).await;
            Some(since)
        }
    }
}

async fn wait_until_active(handler: &impl WatchHandler) {
    while !handler.is_active() {
        Timer::after(RECHECK_PERIOD).await;
    }
}

/// Waits after a failed call, until the store may answer again.
async fn back_off(handler: &impl WatchHandler, backoff: &mut Duration) {
    let jitter = rand::random_range(MIN_JITTER..=1.0);
    Timer::after(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
    while !handler.is_store_reachable() {
        Timer::after(RECHECK_PERIOD).await;
    }
}
