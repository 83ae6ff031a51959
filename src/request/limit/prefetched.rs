//! Tokens that other hosts granted to this one.

use std::time::Duration;

use crate::ids::HostId;
use crate::request::limit::amount::Amount;
use crate::request::limit::message::GrantReport;
use crate::units::Moment;

/// Tokens of one grant.
#[derive(Clone, Debug)]
struct Lot {
    sequence: u64,
    giver: HostId,
    held: Amount,
    used_at: Moment,
    expires: Moment,
    unreported: bool,
}

/// Granted tokens, the first to expire first.
#[derive(Clone, Debug, Default)]
pub struct Prefetched {
    lots: Vec<Lot>,
}

impl Prefetched {
    /// Tokens that can be spent now.
    pub fn level(&self, now: Moment) -> Amount {
        let live = self.lots.iter().filter(|lot| now < lot.expires);
        live.map(|lot| lot.held).sum()
    }

    /// Tokens of one granting host that can be spent now.
    pub fn level_from(&self, now: Moment, giver: &HostId) -> Amount {
        let live = self.lots.iter().filter(|lot| now < lot.expires);
        let lots = live.filter(|lot| lot.giver == *giver);
        lots.map(|lot| lot.held).sum()
    }

    /// Adds the tokens of a grant.
    pub fn add(
        &mut self,
        now: Moment,
        giver: &HostId,
        sequence: u64,
        held: Amount,
        expires: Moment,
    ) {
        self.lots.push(Lot {
            sequence,
            giver: giver.clone(),
            held,
            used_at: now,
            expires,
            unreported: false,
        });
        self.lots.sort_by_key(|lot| lot.expires);
    }

    /// Removes up to `wanted` tokens and returns how many.
    pub fn drain(&mut self, now: Moment, wanted: Amount) -> Amount {
        let mut taken = Amount::ZERO;
        for lot in self.lots.iter_mut().filter(|lot| now < lot.expires) {
            let part = lot.held.split_off(wanted.saturating_sub(taken));
            if part > Amount::ZERO {
                taken += part;
                lot.used_at = now;
                lot.unreported = true;
            }
        }
        taken
    }

    /// Drops expired lots and returns the tokens that they still held.
    pub fn expire(&mut self, now: Moment) -> Amount {
        let expired = self.lots.iter().filter(|lot| lot.expires <= now);
        let lost = expired.map(|lot| lot.held).sum();
        self.lots.retain(|lot| now < lot.expires);
        lost
    }

    /// Reports for a granting host; spent lots are forgotten.
    pub fn reports(&mut self, giver: &HostId) -> Vec<GrantReport> {
        let mut reports = Vec::new();
        for lot in self.lots.iter_mut().filter(|lot| lot.giver == *giver) {
            if std::mem::take(&mut lot.unreported) {
                reports.push(GrantReport {
                    sequence: lot.sequence,
                    held: lot.held,
                    returned: Amount::ZERO,
                });
            }
        }
        self.lots
            .retain(|lot| lot.unreported || lot.held > Amount::ZERO);
        reports
    }

    /// Takes out spent lots and those unused for `idle`, as reports by granting
    /// host; until then they count against the granting bucket's capacity.
    pub fn return_idle(&mut self, now: Moment, idle: Duration) -> Vec<(HostId, GrantReport)> {
        let is_idle = |lot: &Lot| {
            let unused = lot.held == Amount::ZERO || now.since(lot.used_at) >= idle;
            now < lot.expires && unused
        };
        let returned = self.lots.iter().filter(|lot| is_idle(lot)).map(|lot| {
            let report = GrantReport {
                sequence: lot.sequence,
                held: Amount::ZERO,
                returned: lot.held,
            };
            (lot.giver.clone(), report)
        });
        let returned = returned.collect();
        self.lots.retain(|lot| !is_idle(lot));
        returned
    }
}
