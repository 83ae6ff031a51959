//! Whether a host's own paths lead to the endpoints of a service.
//!
//! An endpoint that cannot be reached may be down, and one that is silent may
//! be busy. A host is cut off from a service only if it reaches none of the
//! endpoints while another host does.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use serde::Serialize;

use crate::units::Moment;

/// Time for which no endpoint of a service has sent anything, although calls
/// wait, after which the paths are checked.
const SILENCE: Duration = Duration::from_millis(400);
/// Maximum of that time: it doubles with each check that reaches an endpoint
/// before any has sent something.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Time for which the result of a check holds.
const CHECK_TTL: Duration = Duration::from_millis(200);
/// Interval between the probes of a host that is cut off.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time for which all probes must reach an endpoint before a host that was cut
/// off uses its own paths again.
const MIN_HOLD: Duration = Duration::from_millis(400);
/// Maximum of that time: it doubles with each cut that soon follows another.
const MAX_HOLD: Duration = Duration::from_secs(3);
/// Time after the end of a cut within which the next one counts as following
/// it.
const RELAPSE: Duration = Duration::from_secs(10);

/// Result of probes of several endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Probed {
    /// A connection to an endpoint was opened.
    Reached,
    /// All connections were refused. Open ones may still work.
    Refused,
    /// None was opened, and some not refused either.
    Silent,
}

/// What is due for the paths of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Check whether the host is cut off.
    Check,
    /// Probe whether the host reaches the endpoints again.
    Probe,
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    since: Moment,
    is_silent: bool,
    probed_at: Moment,
    /// First of the uninterrupted probes that reached an endpoint.
    reached_since: Option<Moment>,
}

/// A host's own paths to the endpoints of one service.
#[derive(Debug)]
pub struct ServicePath {
    /// When an endpoint last sent something.
    heard_at: Option<Moment>,
    /// When an endpoint last sent something or was reached by a probe.
    reached_at: Option<Moment>,
    /// Calls that wait for something from an endpoint.
    waiting: u32,
    waiting_since: Moment,
    silence: Duration,
    is_checking: bool,
    checked_at: Option<Moment>,
    cut: Option<Cut>,
    hold: Duration,
    regained_at: Option<Moment>,
    check_lock: Arc<async_lock::Mutex<()>>,
    /// Closed while the host is cut off and its open connections are silent.
    silent_tx: Sender<()>,
    silent_rx: Receiver<()>,
}

impl Default for ServicePath {
    fn default() -> Self {
        let (silent_tx, silent_rx) = async_channel::bounded(1);
        Self {
            heard_at: None,
            reached_at: None,
            waiting: 0,
            waiting_since: Moment::default(),
            silence: SILENCE,
            is_checking: false,
            checked_at: None,
            cut: None,
            hold: MIN_HOLD,
            regained_at: None,
            check_lock: Arc::default(),
            silent_tx,
            silent_rx,
        }
    }
}

impl ServicePath {
    /// Records that a call begins to wait for an endpoint.
    pub fn begin_wait(&mut self, now: Moment) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting += 1;
    }

    /// Records that a call no longer waits.
    pub const fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that an endpoint has sent something.
    pub const fn record_heard(&mut self, now: Moment) {
        self.heard_at = Some(now);
        self.reached_at = Some(now);
        self.silence = SILENCE;
    }

    /// Number of calls that wait for an endpoint.
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Time since an endpoint last sent something; `None` if none ever did.
    pub fn silent_for(&self, now: Moment) -> Option<Duration> {
        self.heard_at.map(|heard_at| now.since(heard_at))
    }

    /// Whether the host is cut off from the service.
    pub const fn is_cut_off(&self) -> bool {
        self.cut.is_some()
    }

    /// Whether the last probe of a host that is cut off reached an endpoint.
    pub fn is_reached_again(&self) -> bool {
        self.cut.is_some_and(|cut| cut.reached_since.is_some())
    }

    /// Whether an endpoint was reached within a time.
    pub fn is_reached_within(&self, span: Duration, now: Moment) -> bool {
        let reached_at = self.reached_at;
        reached_at.is_some_and(|reached_at| now.since(reached_at) < span)
    }

    /// Whether the last check is recent enough to hold.
    pub fn is_checked(&self, now: Moment) -> bool {
        let checked_at = self.checked_at;
        checked_at.is_some_and(|checked_at| now.since(checked_at) < CHECK_TTL)
    }

    /// Lock that admits one check at a time.
    pub fn check_lock(&self) -> Arc<async_lock::Mutex<()>> {
        Arc::clone(&self.check_lock)
    }

    /// Returns a receiver that fails once the host is cut off and its open
    /// connections are silent.
    pub fn silent_cut(&self) -> Receiver<()> {
        self.silent_rx.clone()
    }

    /// Returns what is due, and counts it as begun.
    pub fn begin_due(&mut self, now: Moment) -> Option<Due> {
        if let Some(cut) = &mut self.cut {
            let is_due = now.since(cut.probed_at) >= PROBE_PERIOD;
            if is_due {
                cut.probed_at = now;
            }
            return is_due.then_some(Due::Probe);
        }
        let has_cause = self.is_unproven() || self.is_silent(now);
        let is_due = has_cause && !self.is_checking;
        self.is_checking |= is_due;
        is_due.then_some(Due::Check)
    }

    /// Whether nothing is known of the paths yet, after the start.
    const fn is_unproven(&self) -> bool {
        self.reached_at.is_none() && self.checked_at.is_none()
    }

    fn is_silent(&self, now: Moment) -> bool {
        let last = [self.heard_at, self.checked_at];
        let last = last.into_iter().flatten().max();
        let since = last.map_or(self.waiting_since, |last| last.max(self.waiting_since));
        self.waiting > 0 && now.since(since) >= self.silence
    }

    /// Records the result of a check. `is_reached_by_others` tells whether
    /// another host reaches the endpoints. Returns whether this host is found
    /// to be cut off.
    pub fn record_check(
        &mut self,
        probed: Probed,
        is_reached_by_others: bool,
        now: Moment,
    ) -> bool {
        self.is_checking = false;
        self.checked_at = Some(now);
        if probed == Probed::Reached {
            self.reached_at = Some(now);
            self.silence = (self.silence * 2).min(MAX_SILENCE);
            return false;
        }
        if !is_reached_by_others || self.cut.is_some() {
            return false;
        }
        let relapses = self.regained_at.is_some_and(|at| now.since(at) < RELAPSE);
        self.hold = match relapses {
            true => (self.hold * 2).min(MAX_HOLD),
            false => MIN_HOLD,
        };
        let is_silent = probed == Probed::Silent;
        self.cut = Some(Cut {
            since: now,
            is_silent,
            probed_at: now,
            reached_since: None,
        });
        if is_silent {
            self.silent_tx.close();
        }
        true
    }

    /// Records the result of a probe while the host is cut off. Returns the
    /// length of the cut once it has ended.
    pub fn record_probe(&mut self, probed: Probed, now: Moment) -> Option<Duration> {
        let cut = self.cut.as_mut()?;
        if probed != Probed::Reached {
            cut.reached_since = None;
            return None;
        }
        let reached_since = *cut.reached_since.get_or_insert(now);
        if now.since(reached_since) < self.hold {
            return None;
        }
        let length = now.since(cut.since);
        if cut.is_silent {
            (self.silent_tx, self.silent_rx) = async_channel::bounded(1);
        }
        self.cut = None;
        self.regained_at = Some(now);
        self.reached_at = Some(now);
        self.checked_at = Some(now);
        self.silence = SILENCE;
        Some(length)
    }
}
