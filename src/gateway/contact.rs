//! Reachability of the platform's store and of other hosts.

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
use super::roster;
use super::updates::ObjectKind;
use crate::connection::platform::Changes;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::ids::HostId;
use crate::ids::Version;
use crate::units::Moment;

/// Interval of the probes that a scout sends to an unreachable store, and the
/// first interval of other hosts, which double it with each failed probe.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Maximum interval between the probes of a host that is not a scout, in a
/// small fleet. Scouts report the store's return to it.
const MAX_PROBE_PERIOD: Duration = Duration::from_millis(1600);
/// Maximum number of probes a second that all hosts other than scouts send.
const MAX_PROBES_PER_S: u32 = 40;
/// Interval at which a host that waits for its next probe checks for a scout's
/// report.
const REPORT_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Maximum factor of the random jitter, which spreads the probes of hosts.
const MAX_JITTER: f64 = 1.25;
/// Time for which a scout's report is valid: a few exchanges of a host that
/// follows the scouts, some of which go to other hosts.
const SCOUT_REPORT_TTL: Duration = Duration::from_millis(1500);

#[derive(Serialize)]
struct StoreLine<'a> {
    why: &'a str,
}

#[derive(Serialize)]
struct StoreCallLine<'a> {
    /// Objects that were listed, watched or probed.
    kind: &'a str,
    why: &'a str,
}

/// Whether the platform's store is reachable from this host.
#[derive(Debug, Default)]
pub struct StoreContact {
    is_up: AtomicBool,
    is_probing: AtomicBool,
    answered_at: Mutex<Moment>,
}

impl StoreContact {
    /// Whether the store responded to the last call.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Acquire)
    }

    /// Marks a probe as running; `false` if one already is.
    pub fn begin_probe(&self) -> bool {
        !self.is_probing.swap(true, Ordering::AcqRel)
    }

    /// Marks the probe as ended. Returns `true` if it has to continue, since a
    /// call that failed in the meantime started no probe of its own.
    pub fn end_probe(&self) -> bool {
        self.is_probing.swap(false, Ordering::AcqRel);
        !self.is_up() && self.begin_probe()
    }

    /// Whether the store has responded after `since`; `true` without a time.
    pub fn answered_since(&self, since: Option<Moment>) -> bool {
        let answered_at = *self.answered_at.lock();
        since.is_none_or(|since| answered_at > since)
    }

    /// Records the outcome of a call; `true` if it differs from the previous
    /// one.
    pub fn record_outcome(&self, is_up: bool) -> bool {
        if is_up {
            *self.answered_at.lock() = Moment::now();
        }
        self.is_up.swap(is_up, Ordering::AcqRel) != is_up
    }
}

/// Time of the last message from any of a group of hosts.
#[derive(Debug, Default)]
pub struct HostContact(Mutex<Moment>);

impl HostContact {
    /// Records a message from one of the hosts.
    pub fn record_message(&self, now: Moment) {
        *self.0.lock() = now;
    }

    /// Returns the time since the last message; before the first one, the time
    /// since the machine booted.
    pub fn silent_for(&self, now: Moment) -> Duration {
        now.since(*self.0.lock())
    }
}

/// Times of the reports from scouts that reach the store; `None` before the
/// first.
#[derive(Debug, Default)]
pub struct ScoutReports(Mutex<Option<ScoutReport>>);

#[derive(Clone, Debug)]
struct ScoutReport {
    /// Scout that sent the last report; `None` once it reports otherwise.
    from: Option<HostId>,
    last: Moment,
    /// First report after a time without valid ones.
    resumed: Moment,
}

impl ScoutReport {
    fn is_current(&self, now: Moment) -> bool {
        now.since(self.last) < SCOUT_REPORT_TTL
    }
}

impl ScoutReports {
    /// Records a report from a scout that reaches the store.
    pub fn record_report(&self, from: &HostId, now: Moment) {
        let mut last = self.0.lock();
        let resumed = last
            .as_ref()
            .filter(|report| report.is_current(now))
            .map_or(now, |report| report.resumed);
        *last = Some(ScoutReport {
            from: Some(from.clone()),
            last: now,
            resumed,
        });
    }

    /// Records that a host did not answer, or does not reach the store as a
    /// scout.
    pub fn record_failure(&self, host: &HostId) {
        if let Some(report) = &mut *self.0.lock() {
            report.from.take_if(|from| from == host);
        }
    }

    /// Returns the scout that reported last, unless it has failed since.
    pub fn source(&self) -> Option<HostId> {
        self.0.lock().as_ref()?.from.clone()
    }

    /// Whether the scouts' reports resumed after `since`, which shows that an
    /// outage of the store has ended. A host that the store turns away while it
    /// serves the scouts learns nothing from their reports.
    pub fn resumed_since(&self, since: Moment) -> bool {
        let report = self.0.lock();
        report.as_ref().is_some_and(|report| report.resumed > since)
    }

    /// Returns the time up to which the last report is valid; `None` before the
    /// first.
    pub fn valid_until(&self) -> Option<Moment> {
        let report = self.0.lock();
        report.as_ref().map(|report| report.last + SCOUT_REPORT_TTL)
    }

    /// Whether the last report is still valid.
    pub fn is_current(&self, now: Moment) -> bool {
        let report = self.0.lock();
        report.as_ref().is_some_and(|report| report.is_current(now))
    }
}

/// Returns the time from a host's probe to its next, after `failed` probes in
/// sequence. `hosts` is the size of the fleet: the number of probes a second
/// that reach the store does not grow with it.
pub fn probe_period(is_scout: bool, failed: u32, hosts: usize) -> Duration {
    if is_scout {
        return MIN_PROBE_PERIOD;
    }
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let spread = Duration::from_secs(1).saturating_mul(hosts) / MAX_PROBES_PER_S;
    let doubled = MIN_PROBE_PERIOD.saturating_mul(2u32.saturating_pow(failed.saturating_sub(1)));
    doubled.min(MAX_PROBE_PERIOD.max(spread))
}

/// Records that a call to the store failed.
pub fn mark_store_lost<P: Platform>(cx: &Gateway<P>, error: &PlatformError) {
    if cx.store_contact.record_outcome(false) {
        let why = error.to_string();
        cx.log.state("store-lost", &StoreLine { why: &why });
    }
}

/// Records that the store responded. After an outage, starts the grace period
/// of endpoints whose entries are missing.
pub fn mark_store_reachable<P: Platform>(cx: &Gateway<P>) {
    if cx.store_contact.record_outcome(true) {
        let mut listed = cx.endpoint_list.lock();
        let grace = cx.cfg.lapse_grace;
        listed.directory.start_grace(Moment::now(), grace);
        cx.log.state("store-reached", &StoreLine { why: "" });
    }
}

/// Probes the store after a call without a response, since a pending watch
/// would show the outage only much later.
pub fn check_store<P: Platform>(cx: &Cx<P>) {
    if cx.store_contact.begin_probe() {
        cx.spawner.detach(run_probe(Arc::clone(cx)));
    }
}

async fn run_probe<P: Platform>(cx: Cx<P>) {
    let mut failed = 0;
    loop {
        let started = Moment::now();
        // A small object: a large one may not arrive over a link that is full.
        let own = cx.cfg.place.host.as_str();
        match cx.store.read(roster::KIND, own).await {
            Ok(_) | Err(PlatformError::Malformed { .. }) => {
                mark_store_reachable(&cx);
                if !cx.store_contact.end_probe() {
                    return;
                }
                failed = 0;
            }
            Err(e) => {
                let why = e.to_string();
                let line = StoreCallLine {
                    kind: "probe",
                    why: &why,
                };
                cx.log.request("store-call-failed", &line);
                mark_store_lost(&cx, &e);
                failed += 1;
            }
        }
        wait_for_next_probe(&cx, started, failed).await;
    }
}

/// Waits until the next probe is due, or until the scouts reach the store again.
async fn wait_for_next_probe<P: Platform>(cx: &Gateway<P>, last: Moment, failed: u32) {
    let hosts = cx.roster.lock().len();
    let period = probe_period(cx.is_scout(), failed, hosts);
    let next = Moment::now() + period.mul_f64(rand::random_range(1.0..=MAX_JITTER));
    while Moment::now() < next && !cx.scout_reports.resumed_since(last) {
        Timer::after(REPORT_CHECK_PERIOD).await;
    }
}

/// Applies changes of a kind of objects while this host watches the store.
#[derive(Debug)]
pub struct KindWatcher<P, S> {
    cx: Cx<P>,
    kind: PhantomData<fn() -> S>,
}

impl<P, S> KindWatcher<P, S> {
    /// Creates the handler of a host.
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

    fn on_unchanged(&self, upto: Version) {
        S::confirm(&self.cx, upto);
    }

    fn known_version(&self) -> Option<Version> {
        S::known_version(&self.cx)
    }

    fn on_error(&self, error: &PlatformError) {
        let why = error.to_string();
        let line = StoreCallLine {
            kind: S::NAME,
            why: &why,
        };
        self.cx.log.request("store-call-failed", &line);
        // A store whose answer cannot be read has answered.
        if !matches!(error, PlatformError::Malformed { .. }) {
            mark_store_lost(&self.cx, error);
            check_store(&self.cx);
        }
    }

    fn on_success(&self) {
        mark_store_reachable(&self.cx);
    }

    fn is_store_reachable(&self) -> bool {
        self.cx.store_contact.is_up()
    }

    fn is_active(&self) -> bool {
        let is_listed = S::is_listed(&self.cx);
        S::is_wanted(&self.cx) && self.cx.follow_state(is_listed).calls_store()
    }

    fn prefers_list(&self) -> bool {
        S::PREFERS_LIST
    }

    fn batch_delay(&self) -> Duration {
        S::BATCH_DELAY
    }
}
