//! Whether the platform's store and other data centres answer this host.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::follow::WatchHandler;
use super::updates::ObjectKind;
use super::updates::OperatorsConfiguration;
use crate::connection::platform::Changes;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::platform::kinds;
use crate::units::Moment;

/// Pause between two probes of a store that does not answer, by a host that
/// follows it for others.
const SCOUT_PROBE_PERIOD: Duration = Duration::from_millis(400);
/// The same by another host, which hears of the store's return.
const OTHER_PROBE_PERIOD: Duration = Duration::from_millis(1600);
/// Pause between two looks at whether the store's return was heard of.
const REPORT_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time for which the word of a scout is relied upon.
const SCOUT_REPORT_TTL: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct StoreLine<'a> {
    why: &'a str,
}

/// Whether this host reaches the platform's store.
#[derive(Debug, Default)]
pub struct StoreContact {
    is_up: AtomicBool,
    was_ever_up: AtomicBool,
    is_probing: AtomicBool,
}

impl StoreContact {
    /// True if the last call had an answer.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Acquire)
    }

    /// True if any call since the start had an answer.
    pub fn was_ever_up(&self) -> bool {
        self.was_ever_up.load(Ordering::Acquire)
    }

    /// Starts a probe; false if one is under way.
    pub fn begin_probe(&self) -> bool {
        !self.is_probing.swap(true, Ordering::AcqRel)
    }

    /// Ends a probe; true if it has to go on, since another call failed
    /// meanwhile and began none.
    pub fn end_probe(&self) -> bool {
        self.is_probing.swap(false, Ordering::AcqRel);
        !self.is_up() && self.begin_probe()
    }

    /// Notes the outcome of a call; true if it differs from the one before.
    pub fn record_outcome(&self, is_up: bool) -> bool {
        if is_up {
            self.was_ever_up.store(true, Ordering::Release);
        }
        self.is_up.swap(is_up, Ordering::AcqRel) != is_up
    }
}

/// Signs of life from other data centres.
#[derive(Debug, Default)]
pub struct RemoteContact(Mutex<Moment>);

impl RemoteContact {
    /// Notes a message from a host of another data centre.
    pub fn record_message(&self, now: Moment) {
        *self.0.lock() = now;
    }

    /// Time since the last of them.
    pub fn silent_for(&self, now: Moment) -> Duration {
        now.since(*self.0.lock())
    }
}

/// What this host last heard from a scout that follows the store.
#[derive(Debug, Default)]
pub struct ScoutReports(Mutex<Option<Moment>>);

impl ScoutReports {
    /// Notes the word of a scout that reaches the store.
    pub fn record_report(&self, now: Moment) {
        *self.0.lock() = Some(now);
    }

    /// True if a scout has given such word since a moment.
    pub fn reported_since(&self, since: Moment) -> bool {
        self.0.lock().is_some_and(|reported| reported > since)
    }

    /// True if a scout has given such word lately.
    pub fn is_current(&self, now: Moment) -> bool {
        let reported = *self.0.lock();
        reported.is_some_and(|reported| now.since(reported) < SCOUT_REPORT_TTL)
    }
}

/// Notes that the store did not answer.
pub fn mark_store_lost<P: Platform>(cx: &Gateway<P>, error: &PlatformError) {
    if cx.contact.record_outcome(false) {
        let why = error.to_string();
        cx.log.state("store-lost", &StoreLine { why: &why });
    }
}

/// Notes that the store answers.
pub fn mark_store_reachable<P: Platform>(cx: &Gateway<P>) {
    if cx.contact.record_outcome(true) {
        let mut listed = cx.listed.lock();
        let grace = cx.cfg.lapse_grace;
        listed.directory.start_grace(Moment::now(), grace);
        cx.log.state("store-reached", &StoreLine { why: "" });
    }
}

/// Finds out whether the store answers this host, after a call without an
/// answer. A watch that waits would show it only much later.
pub fn check_store<P: Platform>(cx: &Cx<P>) {
    if cx.contact.begin_probe() {
        cx.spawner.detach(run_probe(Arc::clone(cx)));
    }
}

async fn run_probe<P: Platform>(cx: Cx<P>) {
    loop {
        let started = Moment::now();
        match cx.store.read(kinds::CONFIGURATION, kinds::CURRENT).await {
            Ok(object) => {
                mark_store_reachable(&cx);
                OperatorsConfiguration::apply(&cx, object.as_slice());
                if !cx.contact.end_probe() {
                    return;
                }
            }
            Err(e) => mark_store_lost(&cx, &e),
        }
        wait_for_next_probe(&cx, started).await;
    }
}

/// Waits for the time of the next probe, or until a scout tells that the store
/// answered it after the last one.
async fn wait_for_next_probe<P: Platform>(cx: &Gateway<P>, last: Moment) {
    let period = match cx.is_scout() {
        true => SCOUT_PROBE_PERIOD,
        false => OTHER_PROBE_PERIOD,
    };
    let next = Moment::now() + period;
    while Moment::now() < next && !cx.scouting.reported_since(last) {
        Timer::after(REPORT_CHECK_PERIOD).await;
    }
}

/// Follows a kind of objects while this host follows the store.
#[derive(Debug)]
pub struct KindWatcher<P, S> {
    cx: Cx<P>,
    kind: PhantomData<fn() -> S>,
}

impl<P, S> KindWatcher<P, S> {
    /// A follower for a host.
    pub fn new(cx: &Cx<P>) -> Self {
        Self {
            cx: Arc::clone(cx),
            kind: PhantomData,
        }
    }
}

impl<P: Platform, S: ObjectKind> WatchHandler for KindWatcher<P, S> {
    async fn on_list(&self, listed: Changes) {
        S::apply_list(&self.cx, listed);
    }

    async fn on_change(&self, changes: Changes) {
        S::apply_changes(&self.cx, changes);
    }

    fn on_error(&self, error: &PlatformError) {
        mark_store_lost(&self.cx, error);
        check_store(&self.cx);
    }

    fn on_success(&self) {
        mark_store_reachable(&self.cx);
    }

    fn is_store_reachable(&self) -> bool {
        self.cx.contact.is_up()
    }

    fn is_active(&self) -> bool {
        self.cx.follows_store()
    }

    fn batch_delay(&self) -> Duration {
        S::BATCH_DELAY
    }
}
