//! Calls at one endpoint, over all services and hosts.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;

use crate::units::Moment;

/// Time after which a load report is not used any more.
const STALE_AFTER: Duration = Duration::from_secs(5);

/// What an endpoint reports of its load, as it was when it was taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
}

#[derive(Debug, Default)]
struct State {
    own: u32,
    /// Numbers of own calls from each moment on, oldest first.
    history: VecDeque<(Moment, u32)>,
    /// Calls of other hosts by the last report, and when it arrived.
    others: Option<(Moment, u32)>,
    interactive: bool,
}

/// Calls at one endpoint, shared by the pools of all its services.
#[derive(Debug, Default)]
pub struct Occupancy {
    state: Mutex<State>,
    lag: Duration,
}

impl Occupancy {
    /// No calls; reports are `lag` old when they arrive.
    pub fn new(lag: Duration) -> Self {
        Self {
            state: Mutex::default(),
            lag,
        }
    }

    /// Own calls that run.
    pub fn own(&self) -> u32 {
        self.state.lock().own
    }

    /// Calls of other hosts that are believed to run or wait.
    pub fn others(&self, now: Moment) -> u32 {
        self.state.lock().others(now)
    }

    /// True if some places are kept for interactive calls.
    pub fn is_reserved(&self) -> bool {
        self.state.lock().interactive
    }

    /// Says whether the endpoint serves interactive routes beside others.
    pub fn set_reserved(&self, reserved: bool) {
        self.state.lock().interactive = reserved;
    }

    /// True if an own call runs or ended within `span`.
    pub fn is_used_within(&self, now: Moment, span: Duration) -> bool {
        let state = self.state.lock();
        let last = state.history.back();
        state.own > 0 || last.is_some_and(|(at, _)| now.since(*at) <= span)
    }

    /// Takes a place if fewer than `most` own calls run.
    pub fn enter(&self, now: Moment, most: u32) -> bool {
        let mut state = self.state.lock();
        if state.own >= most {
            return false;
        }
        state.own += 1;
        state.record(now, self.lag);
        true
    }

    /// Gives a place back.
    pub fn leave(&self, now: Moment) {
        let mut state = self.state.lock();
        let own = state.own.checked_sub(1);
        state.own = own.expect("invariant: a place is given back once");
        state.record(now, self.lag);
    }

    /// Takes up a load report: what it says beyond the calls that this host
    /// had when the report was taken are the calls of others.
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
