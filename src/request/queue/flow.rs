//! Waiting calls of one customer, and the keys that order them.

use std::collections::BTreeSet;
use std::time::Duration;

use super::fair::Ticket;
use crate::units::Moment;

/// Virtual time: attained service divided by weight, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct VirtualTime(u64);

impl VirtualTime {
    /// Virtual time advanced by `service` at `weight`.
    #[must_use]
    pub fn advanced_by(self, service: Duration, weight: f64) -> Self {
        Self(self.0.saturating_add(virtual_nanos(service, weight)))
    }

    /// Virtual time moved back by `service` at `weight`.
    #[must_use]
    pub fn moved_back_by(self, service: Duration, weight: f64) -> Self {
        Self(self.0.saturating_sub(virtual_nanos(service, weight)))
    }

    /// Virtual time elapsed since `earlier`; 0 if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

fn virtual_nanos(service: Duration, weight: f64) -> u64 {
    (service.as_secs_f64() * 1e9 / weight) as u64
}

/// Class of calls that may use a free slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Every call.
    Any,
    /// Interactive calls only.
    Interactive,
}

/// Rank of a waiting call among the interactive or the ordinary calls of its
/// customer; the lowest rank starts first.
///
/// The rank is fixed when the call is queued: the attained service of its
/// program plus the time of queueing multiplied by the ageing rate. Each second
/// of waiting therefore has the same weight for all calls. A later call of the
/// same kind can overtake a call only if it is queued within a limited time
/// after it: the attained service of the earlier call's program divided by the
/// ageing rate.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(u64);

impl Rank {
    /// Rank of a call that is queued at `now`.
    pub fn new(now: Moment, attained: Duration, ageing: f64) -> Self {
        let aged = now.since_start().as_secs_f64() * ageing;
        let nanos = (aged + attained.as_secs_f64()) * 1e9;
        Self(nanos as u64)
    }
}

/// Waiting calls of one customer.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// Share relative to other customers.
    pub(super) weight: f64,
    pub(super) virtual_time: VirtualTime,
    interactive: BTreeSet<(Rank, Ticket)>,
    ordinary: BTreeSet<(Rank, Ticket)>,
}

impl Flow {
    pub(super) fn new(weight: f64, virtual_time: VirtualTime) -> Self {
        Self {
            weight,
            virtual_time,
            interactive: BTreeSet::new(),
            ordinary: BTreeSet::new(),
        }
    }

    /// Number of waiting calls.
    pub(super) fn len(&self) -> usize {
        self.interactive.len() + self.ordinary.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn has_interactive(&self) -> bool {
        !self.interactive.is_empty()
    }

    /// Number of waiting calls per unit of weight.
    pub(super) fn weighted_length(&self) -> f64 {
        self.len() as f64 / self.weight
    }

    pub(super) fn insert(&mut self, interactive: bool, rank: Rank, ticket: Ticket) {
        self.calls_mut(interactive).insert((rank, ticket));
    }

    pub(super) fn remove(&mut self, interactive: bool, rank: Rank, ticket: Ticket) {
        let was_queued = self.calls_mut(interactive).remove(&(rank, ticket));
        assert!(
            was_queued,
            "invariant: a waiting call is in the flow of its customer"
        );
    }

    /// Waiting calls of a class in the order in which they should start:
    /// interactive calls before ordinary ones, each by rank.
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

    /// The call that would start last.
    pub(super) fn last(&self) -> Option<Ticket> {
        let last = self.ordinary.last().or_else(|| self.interactive.last());
        last.map(|(_, ticket)| *ticket)
    }

    /// Whether more than `count` calls would start before one of this rank.
    pub(super) fn has_more_ahead(&self, interactive: bool, rank: Rank, count: usize) -> bool {
        let bound = (rank, Ticket(u64::MAX));
        let same_class = if interactive {
            &self.interactive
        } else {
            &self.ordinary
        };
        let interactive_ahead = if interactive {
            0
        } else {
            self.interactive.len()
        };
        interactive_ahead + same_class.range(..bound).take(count + 1).count() > count
    }

    fn calls_mut(&mut self, interactive: bool) -> &mut BTreeSet<(Rank, Ticket)> {
        if interactive {
            &mut self.interactive
        } else {
            &mut self.ordinary
        }
    }
}
