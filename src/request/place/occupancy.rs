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
    local: u32,
    /// Number of local calls after each change, oldest first.
    history: VecDeque<(Moment, u32)>,
    /// Arrival time of the last report and the calls of other hosts in it.
    remote: Option<(Moment, u32)>,
    reserved: bool,
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
    pub fn local_calls(&self) -> u32 {
        self.state.lock().local
    }

    /// Estimated number of calls of other hosts, running or queued; 0 without a
    /// recent load report.
    pub fn remote_calls(&self, now: Moment) -> u32 {
        self.state.lock().remote_calls(now)
    }

    /// Whether some slots are reserved for interactive calls.
    pub fn is_reserved(&self) -> bool {
        self.state.lock().reserved
    }

    /// Sets whether some slots are reserved for interactive calls, as at an
    /// endpoint that serves both interactive and other services.
    pub fn set_reserved(&self, reserved: bool) {
        self.state.lock().reserved = reserved;
    }

    /// Whether a call of this host is in progress or ended within `span`.
    pub fn is_used_within(&self, now: Moment, span: Duration) -> bool {
        let state = self.state.lock();
        let last = state.history.back();
        state.local > 0 || last.is_some_and(|(at, _)| now.since(*at) <= span)
    }

    /// Acquires a slot if fewer than `max_calls` calls of this host are in
    /// progress; returns whether it did.
    pub fn try_acquire(&self, now: Moment, max_calls: u32) -> bool {
        let mut state = self.state.lock();
        if state.local >= max_calls {
            return false;
        }
        state.local += 1;
        state.record_change(now, self.lag);
        true
    }

    /// Releases a slot.
    ///
    /// # Panics
    ///
    /// If no call is in progress.
    pub fn release(&self, now: Moment) {
        let mut state = self.state.lock();
        let local = state.local.checked_sub(1);
        state.local = local.expect("invariant: each slot is released once");
        state.record_change(now, self.lag);
    }

    /// Records a load report.
    ///
    /// The calls of other hosts are the reported calls minus those that this
    /// host had in progress when the endpoint took the measurement.
    pub fn record_report(&self, now: Moment, report: LoadReport) {
        let mut state = self.state.lock();
        let taken = Moment::from_start(now.since_start().saturating_sub(self.lag));
        let local = state.local_at(taken);
        let remote = (report.running + report.queued).saturating_sub(local);
        state.remote = Some((now, remote));
    }
}

impl State {
    fn remote_calls(&self, now: Moment) -> u32 {
        match self.remote {
            Some((at, remote)) if now.since(at) < STALE_AFTER => remote,
            _ => 0,
        }
    }

    fn record_change(&mut self, now: Moment, lag: Duration) {
        let taken = Moment::from_start(now.since_start().saturating_sub(lag));
        while self.history.get(1).is_some_and(|(at, _)| *at <= taken) {
            self.history.pop_front();
        }
        self.history.push_back((now, self.local));
    }

    fn local_at(&self, moment: Moment) -> u32 {
        let mut newest_first = self.history.iter().rev();
        let entry = newest_first.find(|(at, _)| *at <= moment);
        entry.map_or(0, |(_, local)| *local)
    }
}
