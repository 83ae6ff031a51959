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
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Least part of a pause that is left by chance, so that hosts spread.
const MIN_JITTER: f64 = 0.6;
/// Pause between two looks at whether this host follows a store that answers.
const RECHECK: Duration = Duration::from_millis(100);

/// Takes up what is followed.
pub trait Follower: Send + Sync + 'static {
    /// All objects of the kind.
    fn listed(&self, listed: Changes) -> impl Future<Output = ()> + Send;

    /// What has changed since.
    fn changed(&self, changes: Changes) -> impl Future<Output = ()> + Send;

    /// The store did not answer.
    fn lost(&self, error: &PlatformError);

    /// The store answers.
    fn regained(&self);

    /// False while it is known from elsewhere that the store does not answer.
    fn is_reachable(&self) -> bool {
        true
    }

    /// True while this host follows the store itself.
    fn is_wanted(&self) -> bool {
        true
    }

    /// Pause after a change, in which further ones gather.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
}

/// Follows a kind until the process ends, with watches that wait as long as told.
pub async fn follow<P: Platform, F: Follower>(
    store: P,
    kind: &'static str,
    watch_wait: Duration,
    follower: F,
) {
    let mut pause = FIRST_PAUSE;
    loop {
        until_wanted(&follower).await;
        // A version of its own listing is known while this is set.
        let mut since = match store.list(kind, "").await {
            Ok(listed) => {
                follower.regained();
                let upto = listed.upto;
                follower.listed(listed).await;
                pause = FIRST_PAUSE;
                Some(upto)
            }
            Err(e) => {
                follower.lost(&e);
                wait(&follower, &mut pause).await;
                None
            }
        };
        while let Some(version) = since {
            until_wanted(&follower).await;
            since = {
                let watch = store.watch(kind, version, watch_wait);
                take_up(watch, &follower, version, &mut pause).await
            };
        }
    }
}

/// One watch; gives the version to go on from, or `None` to list again.
async fn take_up<F: Follower>(
    watch: impl Future<Output = platform::Result<Changes>>,
    follower: &F,
    since: Version,
    pause: &mut Duration,
) -> Option<Version> {
    let started = Moment::now();
    match watch.await {
        Ok(changes) => {
            follower.regained();
            *pause = FIRST_PAUSE;
            let upto = changes.upto.max(since);
            let is_empty = changes.objects.is_empty() && changes.removed.is_empty();
            if !is_empty {
                follower.changed(changes).await;
                Timer::after(follower.pause()).await;
            }
            // A store that answers at once with nothing is not asked in a tight loop.
            if is_empty && Moment::now().since(started) < FIRST_PAUSE {
                Timer::after(FIRST_PAUSE).await;
            }
            Some(upto)
        }
        Err(PlatformError::HistoryLost) => None,
        Err(e) => {
            follower.lost(&e);
            wait(follower, pause).await;
            Some(since)
        }
    }
}

async fn until_wanted(follower: &impl Follower) {
    while !follower.is_wanted() {
        Timer::after(RECHECK).await;
    }
}

/// Waits after a failed call, until the store may answer again.
async fn wait(follower: &impl Follower, pause: &mut Duration) {
    let jitter = rand::random_range(MIN_JITTER..=1.0);
    Timer::after(pause.mul_f64(jitter)).await;
    *pause = (*pause * 2).min(MAX_PAUSE);
    while !follower.is_reachable() {
        Timer::after(RECHECK).await;
    }
}
