//! The waiting calls of one customer.

use std::collections::BTreeSet;
use std::time::Duration;

use super::fair::Ticket;
use crate::units::Moment;

/// Service divided by weight, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct VirtualTime(u64);

impl VirtualTime {
    /// This time after `service` at `weight`.
    #[must_use]
    pub fn after(self, service: Duration, weight: f64) -> Self {
        Self(self.0.saturating_add(nanos(service, weight)))
    }

    /// This time before `service` at `weight`.
    #[must_use]
    pub fn before(self, service: Duration, weight: f64) -> Self {
        Self(self.0.saturating_sub(nanos(service, weight)))
    }

    /// Virtual time since an earlier one.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

fn nanos(service: Duration, weight: f64) -> u64 {
    (service.as_secs_f64() * 1e9 / weight) as u64
}

/// Which calls a free place is open to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Every call.
    Any,
    /// Calls on interactive routes only.
    Interactive,
}

/// Rank of a waiting call among those of its customer; the least goes first.
///
/// It is fixed when the call joins: the service that its program had attained,
/// plus the time of joining at the ageing rate. Every second of waiting is
/// thus worth the same to all calls, and a call is passed only by calls that
/// join within the program's attained service divided by the ageing rate.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u64);

impl Rank {
    /// The rank of a call that joins now.
    pub fn new(now: Moment, attained: Duration, ageing: f64) -> Self {
        let aged = now.since_start().as_secs_f64() * ageing;
        let nanos = (aged + attained.as_secs_f64()) * 1e9;
        Self(nanos as u64)
    }
}

/// The waiting calls of one customer.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// Share relative to other customers.
    pub(super) weight: f64,
    /// Virtual time of the customer.
    pub(super) time: VirtualTime,
    interactive: BTreeSet<(Rank, Ticket)>,
    ordinary: BTreeSet<(Rank, Ticket)>,
}

impl Flow {
    /// A customer without waiting calls.
    pub(super) fn new(weight: f64, time: VirtualTime) -> Self {
        Self {
            weight,
            time,
            interactive: BTreeSet::new(),
            ordinary: BTreeSet::new(),
        }
    }

    /// Number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.interactive.len() + self.ordinary.len()
    }

    /// True if no call waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// True if an interactive call waits.
    pub(super) fn has_interactive(&self) -> bool {
        !self.interactive.is_empty()
    }

    /// Waiting calls for each unit of weight.
    pub(super) fn length_by_weight(&self) -> f64 {
        self.len() as f64 / self.weight
    }

    /// Adds a call.
    pub(super) fn insert(&mut self, interactive: bool, rank: Rank, ticket: Ticket) {
        self.set(interactive).insert((rank, ticket));
    }

    /// Removes a call.
    pub(super) fn remove(&mut self, interactive: bool, rank: Rank, ticket: Ticket) {
        let was_there = self.set(interactive).remove(&(rank, ticket));
        assert!(was_there, "invariant: a waiting call is in its flow");
    }

    /// Waiting calls in their order.
    pub(super) fn calls(&self, class: Class) -> impl Iterator<Item = Ticket> {
        let ordinary = match class {
            Class::Any => Some(&self.ordinary),
            Class::Interactive => None,
        };
        let all = self
            .interactive
            .iter()
            .chain(ordinary.into_iter().flatten());
        all.map(|(_, ticket)| *ticket)
    }

    /// The call that would go last.
    pub(super) fn last(&self) -> Option<Ticket> {
        let last = self.ordinary.last().or_else(|| self.interactive.last());
        last.map(|(_, ticket)| *ticket)
    }

    /// True if more than `count` calls go before one of this rank.
    pub(super) fn has_ahead(&self, interactive: bool, rank: Rank, count: usize) -> bool {
        let bound = (rank, Ticket(u64::MAX));
        let own = if interactive {
            &self.interactive
        } else {
            &self.ordinary
        };
        let before = if interactive {
            0
        } else {
            self.interactive.len()
        };
        before + own.range(..bound).take(count + 1).count() > count
    }

    fn set(&mut self, interactive: bool) -> &mut BTreeSet<(Rank, Ticket)> {
        if interactive {
            &mut self.interactive
        } else {
            &mut self.ordinary
        }
    }
}
