//! Cache event log with a configurable delay and gaps.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::cache::CacheChange;
use super::cache::CacheEntry;

/// Maximum number of events kept; the oldest are dropped first.
const MAX_EVENTS: usize = 10_000;

/// A change of the prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number, starting at 1; a missing number is an omitted event.
    pub number: u64,
    /// Kind of change.
    pub change: CacheChange,
    /// The affected entry.
    pub entry: CacheEntry,
}

/// Answer to `GET /cache/events`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Number of the last reported event; the requested number if there is none.
    pub upto: u64,
    /// Events in the order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// Events that become visible after a delay.
#[derive(Debug)]
pub(crate) struct EventLog {
    lag: Duration,
    gap_every: u64,
    last_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// Creates a log that reports events after `lag` and omits every
    /// `gap_every`-th event; 0 omits none.
    pub(crate) fn new(lag: Duration, gap_every: u64) -> Self {
        Self {
            lag,
            gap_every,
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Appends a change, or leaves a gap in its place.
    pub(crate) fn record(&mut self, change: CacheChange, entry: CacheEntry) {
        self.last_number += 1;
        if self.gap_every > 0 && self.last_number.is_multiple_of(self.gap_every) {
            return;
        }
        let event = CacheEvent {
            number: self.last_number,
            change,
            entry,
        };
        self.events.push_back((Instant::now() + self.lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events after `number`.
    pub(crate) fn since(&self, number: u64) -> CacheEvents {
        let now = Instant::now();
        let visible = self
            .events
            .iter()
            .filter(|(visible_at, _)| *visible_at <= now);
        let newer = visible
            .map(|(_, event)| event)
            .filter(|e| e.number > number);
        let events: Vec<CacheEvent> = newer.cloned().collect();
        CacheEvents {
            upto: events.last().map_or(number, |event| event.number),
            events,
        }
    }
}
