//! Token budget of one program: reserved in the journal, spent in memory.

use std::collections::VecDeque;

use crate::units::Tokens;

/// Minimum number of slices in a budget; a small budget has smaller slices.
const MIN_SLICES: u64 = 8;

/// An increase of the reservation that is not yet known to be durable.
#[derive(Clone, Copy, Debug)]
struct Growth {
    revision: u64,
    reserved: Tokens,
}

/// The owner's account of one budget.
///
/// Invariant `spent-within-budget`: spent <= reserved <= budget, and what
/// permitted calls may spend never exceeds what is durably reserved.
#[derive(Debug)]
pub(super) struct Account {
    budget: Tokens,
    reserved: Tokens,
    durable: Tokens,
    spent: Tokens,
    growths: VecDeque<Growth>,
}

/// How a charge is covered; its call may start once the covering reservation
/// is durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Coverage {
    /// The durable reservation covers it.
    Durable,
    /// The reservation of this journal revision covers it.
    Revision(u64),
    /// The reservation has to increase to this many tokens.
    Grow(Tokens),
}

impl Account {
    /// Restores an account from a journal.
    ///
    /// The whole reservation counts as spent, since an earlier owner may have
    /// spent it.
    pub(super) fn recover(budget: Tokens, reserved: Tokens) -> Self {
        assert!(reserved <= budget, "spent-within-budget");
        Self {
            budget,
            reserved,
            durable: reserved,
            spent: reserved,
            growths: VecDeque::new(),
        }
    }

    pub(super) fn spent(&self) -> Tokens {
        self.spent
    }

    /// Whether the budget covers a charge.
    pub(super) fn can_charge(&self, cost: Tokens) -> bool {
        self.spent
            .0
            .checked_add(cost.0)
            .is_some_and(|sum| sum <= self.budget.0)
    }

    /// Charges a call's maximum cost.
    ///
    /// Panics if [`Self::can_charge`] is false.
    pub(super) fn charge(&mut self, cost: Tokens, slice: Tokens) -> Coverage {
        assert!(self.can_charge(cost), "spent-within-budget");
        self.spent = self.spent.saturating_add(cost);
        if self.spent <= self.durable {
            return Coverage::Durable;
        }
        let covering = self
            .growths
            .iter()
            .find(|growth| self.spent <= growth.reserved);
        match covering {
            Some(growth) => Coverage::Revision(growth.revision),
            None => Coverage::Grow(self.next_reservation(slice)),
        }
    }

    /// The reservation to request in advance, so that later calls need not wait
    /// for a journal write.
    ///
    /// `None` while at least half a slice is left, nothing is spent, or the whole
    /// budget is reserved.
    pub(super) fn prefetch_target(&self, slice: Tokens) -> Option<Tokens> {
        let slice = self.slice_size(slice);
        let left = self.reserved.saturating_sub(self.spent);
        let is_low = left.0 < slice.0 / 2 && self.spent > Tokens(0);
        (is_low && self.reserved < self.budget).then(|| self.next_reservation(slice))
    }

    /// Records a larger reservation, written with this journal revision.
    pub(super) fn grow(&mut self, reserved: Tokens, revision: u64) {
        assert!(
            self.reserved <= reserved && reserved <= self.budget,
            "spent-within-budget"
        );
        self.reserved = reserved;
        self.growths.push_back(Growth { revision, reserved });
    }

    /// Records that the journal is durable up to a revision.
    pub(super) fn confirm(&mut self, durable: u64) {
        while let Some(growth) = self.growths.front().copied() {
            if growth.revision > durable {
                return;
            }
            self.durable = growth.reserved;
            self.growths.pop_front();
        }
    }

    /// Replaces a charge by the call's actual cost, capped at the charge.
    pub(super) fn settle(&mut self, charged: Tokens, cost: Tokens) {
        let refund = charged.saturating_sub(cost);
        self.spent = self.spent.saturating_sub(refund);
    }

    fn slice_size(&self, slice: Tokens) -> Tokens {
        let share = Tokens((self.budget.0 / MIN_SLICES).max(1));
        slice.min(share)
    }

    fn next_reservation(&self, slice: Tokens) -> Tokens {
        let wanted = self.spent.max(self.reserved);
        wanted
            .saturating_add(self.slice_size(slice))
            .min(self.budget)
    }
}
