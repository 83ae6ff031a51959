//! Tokens borrowed from other hosts.

use std::time::Duration;

use crate::ids::HostId;
use crate::request::limit::amount::Amount;
use crate::request::limit::message::GrantReport;
use crate::units::Moment;

/// A grant held by this host.
#[derive(Clone, Debug)]
struct HeldGrant {
    sequence: u64,
    lender: HostId,
    held: Amount,
    used_at: Moment,
    expires: Moment,
    unreported: bool,
}

/// Grants held by this host for one customer, ordered by expiry.
#[derive(Clone, Debug, Default)]
pub struct BorrowedTokens {
    grants: Vec<HeldGrant>,
}

impl BorrowedTokens {
    /// Tokens that can be spent at `now`.
    pub fn level(&self, now: Moment) -> Amount {
        let live = self.grants.iter().filter(|grant| now < grant.expires);
        live.map(|grant| grant.held).sum()
    }

    /// Tokens borrowed from `lender` that can be spent at `now`.
    pub fn level_from(&self, now: Moment, lender: &HostId) -> Amount {
        let live = self.grants.iter().filter(|grant| now < grant.expires);
        let grants = live.filter(|grant| grant.lender == *lender);
        grants.map(|grant| grant.held).sum()
    }

    /// Adds the tokens of a grant.
    pub fn add(
        &mut self,
        now: Moment,
        lender: &HostId,
        sequence: u64,
        held: Amount,
        expires: Moment,
    ) {
        self.grants.push(HeldGrant {
            sequence,
            lender: lender.clone(),
            held,
            used_at: now,
            expires,
            unreported: false,
        });
        self.grants.sort_by_key(|grant| grant.expires);
    }

    /// Removes up to `wanted` tokens, those that expire first, and returns the
    /// removed amount.
    pub fn take_up_to(&mut self, now: Moment, wanted: Amount) -> Amount {
        let mut taken = Amount::ZERO;
        for grant in self.grants.iter_mut().filter(|grant| now < grant.expires) {
            let part = grant.held.split_off(wanted.saturating_sub(taken));
            if part > Amount::ZERO {
                taken += part;
                grant.used_at = now;
                grant.unreported = true;
            }
        }
        taken
    }

    /// Drops expired grants and returns the tokens lost with them.
    pub fn remove_expired(&mut self, now: Moment) -> Amount {
        let expired = self.grants.iter().filter(|grant| grant.expires <= now);
        let lost = expired.map(|grant| grant.held).sum();
        self.grants.retain(|grant| now < grant.expires);
        lost
    }

    /// Returns reports on the grants of `lender` used since the last report, and
    /// drops grants that are spent and reported.
    pub fn take_reports(&mut self, lender: &HostId) -> Vec<GrantReport> {
        let mut reports = Vec::new();
        for grant in self
            .grants
            .iter_mut()
            .filter(|grant| grant.lender == *lender)
        {
            if std::mem::take(&mut grant.unreported) {
                reports.push(GrantReport {
                    sequence: grant.sequence,
                    held: grant.held,
                    returned: Amount::ZERO,
                });
            }
        }
        self.grants
            .retain(|grant| grant.unreported || grant.held > Amount::ZERO);
        reports
    }

    /// Removes grants that are spent or have not been used for `idle`, and
    /// returns a report for the lender of each. Until a lender receives the
    /// report, the grant counts against the capacity of its bucket.
    pub fn remove_idle(&mut self, now: Moment, idle: Duration) -> Vec<(HostId, GrantReport)> {
        let is_idle = |grant: &HeldGrant| {
            let unused = grant.held == Amount::ZERO || now.since(grant.used_at) >= idle;
            now < grant.expires && unused
        };
        let returned = self
            .grants
            .iter()
            .filter(|grant| is_idle(grant))
            .map(|grant| {
                let report = GrantReport {
                    sequence: grant.sequence,
                    held: Amount::ZERO,
                    returned: grant.held,
                };
                (grant.lender.clone(), report)
            });
        let returned = returned.collect();
        self.grants.retain(|grant| !is_idle(grant));
        returned
    }
}
