//! Order of the calls of one program.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::call::RequestId;
use crate::ids::Ordinal;

/// Reason why a call cannot be inserted into the order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderError {
    /// A call of the same ordinal is waiting or running.
    InFlight,
    /// A call of this or a later ordinal has started.
    Passed,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: RequestId,
    ordinal: Ordinal,
    previous: Ordinal,
    is_assigned: bool,
}

/// A call that waits for its turn.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: RequestId,
    is_assigned: bool,
}

/// Order of the calls of one program; one runs at a time.
///
/// Invariant `starts-in-order`: no call starts after one of a higher ordinal,
/// and a call of the same ordinal starts only to repeat a finished one.
#[derive(Debug, Default)]
pub(super) struct Sequence {
    last_started: Ordinal,
    is_recovered: bool,
    running: Option<Running>,
    waiting: BTreeMap<Ordinal, Waiting>,
    skipped: BTreeSet<Ordinal>,
}

impl Sequence {
    /// Restores the order of a program from a journal.
    pub(super) fn recover(high_water: Ordinal) -> Self {
        Self {
            last_started: high_water,
            is_recovered: true,
            ..Self::default()
        }
    }

    pub(super) fn running(&self) -> Option<RequestId> {
        self.running.map(|running| running.request)
    }

    pub(super) fn waiting(&self) -> impl Iterator<Item = RequestId> {
        self.waiting.values().map(|waiting| waiting.request)
    }

    pub(super) fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_none() && self.waiting.is_empty()
    }

    /// Inserts a call among the waiting ones; returns its ordinal.
    ///
    /// Without a given ordinal it takes the next one after all known calls.
    pub(super) fn insert(
        &mut self,
        request: RequestId,
        ordinal: Option<Ordinal>,
        repeats: bool,
    ) -> Result<Ordinal, OrderError> {
        let position = match ordinal {
            Some(ordinal) => self.check(ordinal, repeats)?,
            None => self.highest_ordinal().next(),
        };
        self.skipped.remove(&position);
        let is_assigned = ordinal.is_none();
        self.waiting.insert(
            position,
            Waiting {
                request,
                is_assigned,
            },
        );
        Ok(position)
    }

    fn check(&self, ordinal: Ordinal, repeats: bool) -> Result<Ordinal, OrderError> {
        let running = self.running.map(|running| running.ordinal);
        if running == Some(ordinal) || self.waiting.contains_key(&ordinal) {
            return Err(OrderError::InFlight);
        }
        let is_repeat = repeats && ordinal == self.last_started && self.running.is_none();
        if ordinal > self.last_started.max(running.unwrap_or_default()) || is_repeat {
            return Ok(ordinal);
        }
        Err(OrderError::Passed)
    }

    fn highest_ordinal(&self) -> Ordinal {
        let waiting = self.waiting.keys().next_back().copied().unwrap_or_default();
        let running = self
            .running
            .map(|running| running.ordinal)
            .unwrap_or_default();
        self.last_started.max(waiting).max(running)
    }

    /// Removes the next call from the waiting ones and marks it as running;
    /// `None` if a call runs, none waits, or the next ordinal is missing.
    pub(super) fn take_next(&mut self) -> Option<RequestId> {
        if self.running.is_some() {
            return None;
        }
        self.advance_past_skipped();
        let (&ordinal, &waiting) = self.waiting.first_key_value()?;
        if ordinal > self.last_started.next() {
            return None;
        }
        self.waiting.remove(&ordinal);
        self.running = Some(Running {
            request: waiting.request,
            ordinal,
            previous: self.last_started,
            is_assigned: waiting.is_assigned,
        });
        Some(waiting.request)
    }

    fn advance_past_skipped(&mut self) {
        while self.skipped.remove(&self.last_started.next()) {
            self.last_started = self.last_started.next();
        }
    }

    /// Whether calls wait for earlier ordinals that have not arrived.
    pub(super) fn has_gap(&self) -> bool {
        self.running.is_none() && !self.waiting.is_empty()
    }

    /// Skips missing ordinals that may have run at an earlier owner, so that the
    /// lowest waiting call is next; returns whether it skipped any.
    pub(super) fn skip_gap(&mut self) -> bool {
        let Some(&ordinal) = self.waiting.keys().next() else {
            return false;
        };
        let can_skip = self.is_recovered && self.running.is_none();
        if can_skip {
            self.last_started = Ordinal(ordinal.0.saturating_sub(1)).max(self.last_started);
        }
        can_skip
    }

    /// Records that the running call is about to be dispatched.
    pub(super) fn start(&mut self, request: RequestId) {
        let running = self.running.expect("starts-in-order");
        assert!(
            running.request == request && running.ordinal >= self.last_started,
            "starts-in-order"
        );
        self.last_started = running.ordinal;
        self.is_recovered = false;
    }

    /// Records that the running call has ended after its dispatch; returns its
    /// ordinal, `None` if another call runs.
    pub(super) fn finish(&mut self, request: RequestId) -> Option<Ordinal> {
        let running = self.running.take_if(|running| running.request == request)?;
        self.last_started = self.last_started.max(running.ordinal);
        self.is_recovered = false;
        Some(running.ordinal)
    }

    /// Removes a call that has not run; a retry may use its ordinal unless it was
    /// assigned here.
    pub(super) fn remove(&mut self, request: RequestId) {
        if let Some(running) = self.running.take_if(|running| running.request == request) {
            self.last_started = running.previous;
            self.record_skipped(running.ordinal, running.is_assigned);
            return;
        }
        let found = self
            .waiting
            .iter()
            .find(|(_, waiting)| waiting.request == request);
        let Some((&ordinal, &waiting)) = found else {
            return;
        };
        self.waiting.remove(&ordinal);
        self.record_skipped(ordinal, waiting.is_assigned);
    }

    /// Marks an assigned ordinal as skipped, since no retry can name it.
    fn record_skipped(&mut self, ordinal: Ordinal, is_assigned: bool) {
        if is_assigned {
            self.skipped.insert(ordinal);
        }
    }
}
