//! Whether the load balancer should send callers to other hosts. Decisions
//! without I/O or clocks.
//!
//! A host that is cut off refuses requests that hosts elsewhere could serve. The
//! load balancer uses a data centre as long as one of its hosts is ready, so a
//! host diverts its callers only for reasons that hold for its whole data centre,
//! or if it knows that others can serve them.

use std::time::Duration;

use parking_lot::Mutex;
use serde::Serialize;

use crate::units::Moment;

/// Time after which the load balancer has noticed that a host is not ready: it
/// checks once a second and takes a host out after two failures.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);
/// Age up to which another host's word that it can store turns makes a host
/// divert its callers.
const STORAGE_REPORT_TTL: Duration = Duration::from_secs(2);
/// Age of that word up to which a host goes on to divert them. It is longer, since a
/// host hears from few others, and one answer to the load balancer would bring
/// the callers back.
const DIVERTED_REPORT_TTL: Duration = Duration::from_secs(6);
/// Time for which a decision is used again.
const DECISION_TTL: Duration = Duration::from_millis(100);

/// Why a host diverts its callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Neither the store nor any other host has answered it for some time.
    OutOfContact,
    /// Its data centre is isolated and has refused turns for lack of tokens.
    TokensRefused,
    /// It cannot store turns that other hosts can store.
    TurnsNotStored,
}

/// What a host knows about its own connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Conditions {
    /// Whether neither the store nor any other host answers.
    pub is_out_of_contact: bool,
    /// Whether neither the store nor any other data centre answers.
    pub is_isolated: bool,
    /// Whether this data centre stays in service if all are cut off from each
    /// other.
    pub is_fallback: bool,
    /// Whether a route keeps its turns, and the hosts that store them are known.
    pub keeps_turns: bool,
    /// Whether turns can be stored in as many places as are required.
    pub can_store: bool,
}

/// Whether a host diverts its callers, since when, and what other hosts said.
#[derive(Debug, Default)]
pub struct Readiness(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Whether a turn was refused for lack of tokens during this isolation.
    has_refused: bool,
    /// When another host last said that it can store turns.
    others_store: Option<Moment>,
    diverting: Option<(Reason, Moment)>,
    decided_at: Option<Moment>,
}

impl State {
    fn reason(&self) -> Option<Reason> {
        self.diverting.map(|(reason, _)| reason)
    }

    fn others_store(&self, now: Moment) -> bool {
        let ttl = match self.reason() {
            Some(Reason::TurnsNotStored) => DIVERTED_REPORT_TTL,
            _ => STORAGE_REPORT_TTL,
        };
        self.others_store.is_some_and(|said| now.since(said) < ttl)
    }
}

/// Whether and why callers are diverted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Reason; `None` if callers are welcome.
    pub reason: Option<Reason>,
    /// Whether the reason differs from that of the previous verdict.
    pub has_changed: bool,
}

impl Readiness {
    /// Records that an isolated host, this one or another of its data centre, has
    /// refused a turn for lack of tokens.
    pub fn record_token_refusal(&self) {
        let mut state = self.0.lock();
        if !state.has_refused {
            state.has_refused = true;
            state.decided_at = None;
        }
    }

    /// Returns the last reason if it was decided a moment ago, so that not every
    /// request needs a decision.
    pub fn recent(&self, now: Moment) -> Option<Option<Reason>> {
        let state = self.0.lock();
        let is_recent = now.since(state.decided_at?) < DECISION_TTL;
        is_recent.then(|| state.reason())
    }

    /// Whether a turn was refused for lack of tokens during this isolation.
    pub fn has_refused_tokens(&self) -> bool {
        self.0.lock().has_refused
    }

    /// Records whether another host says that it can store turns.
    pub fn record_storage_report(&self, can_store: bool, now: Moment) {
        if can_store {
            self.0.lock().others_store = Some(now);
        }
    }

    /// Decides whether callers are diverted.
    pub fn decide(&self, at: &Conditions, now: Moment) -> Verdict {
        let mut state = self.0.lock();
        if !at.is_isolated {
            state.has_refused = false;
        }
        let leaves_service = at.is_isolated && !at.is_fallback;
        let others_store = state.others_store(now);
        let reason = if at.is_out_of_contact {
            Some(Reason::OutOfContact)
        } else if leaves_service && state.has_refused {
            Some(Reason::TokensRefused)
        } else if at.keeps_turns && !at.can_store && (leaves_service || others_store) {
            Some(Reason::TurnsNotStored)
        } else {
            None
        };
        state.decided_at = Some(now);
        let previous = state.diverting;
        state.diverting = reason.map(|reason| {
            let since = previous.map_or(now, |(_, since)| since);
            (reason, since)
        });
        Verdict {
            reason,
            has_changed: previous.map(|(reason, _)| reason) != reason,
        }
    }

    /// Returns the time until the load balancer sends callers elsewhere; `None` if
    /// they are not diverted.
    pub fn diverted_in(&self, now: Moment) -> Option<Duration> {
        let (_, since) = self.0.lock().diverting?;
        Some(now.until(since + BALANCER_DELAY))
    }
}
