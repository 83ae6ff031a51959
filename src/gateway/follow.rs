//! Lists and watches the objects of a kind in the platform's store.

use std::future::Future;
use std::time::Duration;

use async_io::Timer;

use crate::connection::platform;
use crate::connection::platform::Changes;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::ids::Version;
use crate::units::Moment;

/// Backoff after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Minimum factor of the random jitter, which spreads the retries of hosts.
const MIN_JITTER: f64 = 0.6;
/// Interval at which [`WatchHandler::is_active`] and
/// [`WatchHandler::is_store_reachable`] are polled.
const RECHECK_PERIOD: Duration = Duration::from_millis(100);

/// Receives the objects of a watched kind.
pub trait WatchHandler: Send + Sync + 'static {
    /// Called with all objects of the kind after each listing.
    fn on_list(&self, listed: Changes) -> impl Future<Output = ()> + Send;

    /// Called with the changes since the previous call.
    fn on_change(&self, changes: Changes) -> impl Future<Output = ()> + Send;

    /// Called when a watch ended without a change up to a store version.
    fn on_unchanged(&self, _upto: Version) {}

    /// Store version up to which the objects are known from elsewhere, from which
    /// a watch can go on.
    fn known_version(&self) -> Option<Version> {
        None
    }

    /// Called when a call to the store failed.
    fn on_error(&self, error: &PlatformError);

    /// Called when the store responded to a call.
    fn on_success(&self);

    /// Whether the store is reachable, as far as is known from other calls. No
    /// call is retried while this is `false`.
    fn is_store_reachable(&self) -> bool {
        true
    }

    /// Whether this host watches the store itself.
    fn is_active(&self) -> bool {
        true
    }

    /// Whether a list is smaller than the changes that a watch returns when it
    /// lags behind. The objects are listed again then, and after a failed watch.
    fn prefers_list(&self) -> bool {
        false
    }

    /// Delay after a change, so that further changes arrive in one batch.
    fn batch_delay(&self) -> Duration {
        Duration::ZERO
    }
}

/// Lists a kind and watches its changes until the process ends. The store holds
/// each watch open for up to `watch_wait`.
pub async fn watch_kind<P: Platform, F: WatchHandler>(
    store: P,
    kind: &'static str,
    watch_wait: Duration,
    handler: F,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        wait_until_active(&handler).await;
        // Version to watch from; `None` if the objects must be listed again.
        let mut since = match store.list(kind, "").await {
            Ok(listed) => {
                handler.on_success();
                let upto = listed.upto;
                handler.on_list(listed).await;
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
            // While others watched, this host may have learned of later changes.
            let version = handler
                .known_version()
                .max(Some(version))
                .unwrap_or(version);
            since = {
                let watch = store.watch(kind, version, watch_wait);
                poll_watch(watch, &handler, version, &mut backoff).await
            };
        }
    }
}

/// Runs one watch. Returns the version to continue from, or `None` if the
/// objects must be listed again.
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
            let is_behind = changes.has_superseded && handler.prefers_list();
            if is_empty {
                handler.on_unchanged(upto);
            } else {
                handler.on_change(changes).await;
                Timer::after(handler.batch_delay()).await;
            }
            // Prevents a busy loop if the store returns empty changes at once.
            if is_empty && Moment::now().since(started) < MIN_BACKOFF {
                Timer::after(MIN_BACKOFF).await;
            }
            (!is_behind).then_some(upto)
        }
        Err(PlatformError::HistoryLost) => {
            // The new list is useless if its history is lost, too.
            back_off(handler, backoff).await;
            None
        }
        Err(e) => {
            handler.on_error(&e);
            back_off(handler, backoff).await;
            (!handler.prefers_list()).then_some(since)
        }
    }
}

async fn wait_until_active(handler: &impl WatchHandler) {
    while !handler.is_active() {
        Timer::after(RECHECK_PERIOD).await;
    }
}

/// Waits after a failed call, and until the store may be reachable again.
async fn back_off(handler: &impl WatchHandler, backoff: &mut Duration) {
    let jitter = rand::random_range(MIN_JITTER..=1.0);
    Timer::after(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
    while !handler.is_store_reachable() {
        Timer::after(RECHECK_PERIOD).await;
    }
}
