//! Cache events, reported late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::cache::CacheChange;
use super::cache::CacheEntry;

/// Events that are kept.
const KEPT_EVENTS: usize = 10_000;

/// One cache event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event, from 1; a missing number is a gap.
    pub number: u64,
    /// What changed.
    pub change: CacheChange,
    /// The entry that changed.
    pub entry: CacheEntry,
}

/// Answer to a request for events.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Number of the last event that is reported.
    pub upto: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// Events that become visible after a delay.
#[derive(Debug)]
pub(crate) struct EventLog {
    lag: Duration,
    gap_every: u64,
    last: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// A log that reports after `lag` and omits one event of `gap_every`.
    pub(crate) fn new(lag: Duration, gap_every: u64) -> Self {
        Self {
            lag,
            gap_every,
            last: 0,
            events: VecDeque::new(),
        }
    }

    /// Records a change.
    pub(crate) fn record(&mut self, change: CacheChange, entry: CacheEntry) {
        self.last += 1;
        if self.gap_every > 0 && self.last.is_multiple_of(self.gap_every) {
            return;
        }
        let event = CacheEvent {
            number: self.last,
            change,
            entry,
        };
        self.events.push_back((Instant::now() + self.lag, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// The visible events after a number.
    pub(crate) fn since(&self, number: u64) -> CacheEvents {
        let now = Instant::now();
        let visible = self.events.iter().filter(|(due, _)| *due <= now);
        let wanted = visible
            .map(|(_, event)| event)
            .filter(|e| e.number > number);
        let events: Vec<CacheEvent> = wanted.cloned().collect();
        CacheEvents {
            upto: events.last().map_or(number, |event| event.number),
            events,
        }
    }
}
