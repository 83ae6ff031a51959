//! Number of calls at one endpoint, across all services and hosts.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;

use crate::units::Moment;

/// Age at which a load report is ignored.
const STALE_AFTER: Duration = Duration::from_secs(5);

/// Load reported by an endpoint, as of the time of the measurement.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of calls in progress.
    pub running: u32,
    /// Number of calls queued at the endpoint.
    pub queued: u32,
}

#[derive(Debug, Default)]
struct State {
    own: u32,
    /// Number of local calls after each change, oldest first.
    history: VecDeque<(Moment, u32)>,
    /// Arrival time of the last report and the calls of other hosts in it.
    others: Option<(Moment, u32)>,
    interactive: bool,
}

/// Number of calls at one endpoint, shared by the pools of all its services.
#[derive(Debug, Default)]
pub struct Occupancy {
    state: Mutex<State>,
    lag: Duration,
}

impl Occupancy {
    /// Creates a count of 0; load reports are `lag` old when they arrive.
    pub fn new(lag: Duration) -> Self {
        Self {
            state: Mutex::default(),
            lag,
        }
    }

    /// Number of calls of this host in progress.
    pub fn own(&self) -> u32 {
        self.state.lock().own
    }

    /// Estimated number of calls of other hosts, running or queued; 0 without a
    /// recent load report.
    pub fn others(&self, now: Moment) -> u32 {
        self.state.lock().others(now)
    }

    /// Whether some slots are reserved for interactive calls.
    pub fn is_reserved(&self) -> bool {
        self.state.lock().interactive
    }

    /// Sets whether some slots are reserved for interactive calls, as at an
    /// endpoint that serves both interactive and other services.
    pub fn set_reserved(&self, reserved: bool) {
        self.state.lock().interactive = reserved;
    }

    /// Whether a call of this host is in progress or ended within `span`.
    pub fn is_used_within(&self, now: Moment, span: Duration) -> bool {
        let state = self.state.lock();
        let last = state.history.back();
        state.own > 0 || last.is_some_and(|(at, _)| now.since(*at) <= span)
    }

    /// Acquires a slot if fewer than `most` calls of this host are in progress;
    /// returns whether it did.
    pub fn enter(&self, now: Moment, most: u32) -> bool {
        let mut state = self.state.lock();
        if state.own >= most {
            return false;
        }
        state.own += 1;
        state.record(now, self.lag);
        true
    }

    /// Releases a slot.
    ///
    /// # Panics
    ///
    /// If no call is in progress.
    pub fn leave(&self, now: Moment) {
        let mut state = self.state.lock();
        let own = state.own.checked_sub(1);
        state.own = own.expect("invariant: each slot is released once");
        state.record(now, self.lag);
    }

    /// Records a load report.
    ///
    /// The calls of other hosts are the reported calls minus those that this
    /// host had in progress when the endpoint took the measurement.
    pub fn report(&self, now: Moment, report: LoadReport) {
        let mut state = self.state.lock();
        let taken = Moment::from_start(now.since_start().saturating_sub(self.lag));
        let own = state.own_at(taken);
        let others = (report.running + report.queued).saturating_sub(own);
        state.others = Some((now, others));
    }
}

impl State {
    fn others(&self, now: Moment) -> u32 {
        match self.others {
            Some((at, others)) if now.since(at) < STALE_AFTER => others,
            _ => 0,
        }
    }

    fn record(&mut self, now: Moment, lag: Duration) {
        let taken = Moment::from_start(now.since_start().saturating_sub(lag));
        while self.history.get(1).is_some_and(|(at, _)| *at <= taken) {
            self.history.pop_front();
        }
        self.history.push_back((now, self.own));
    }

    fn own_at(&self, moment: Moment) -> u32 {
        let mut before = self.history.iter().rev();
        let entry = before.find(|(at, _)| *at <= moment);
        entry.map_or(0, |(_, own)| *own)
    }
}
