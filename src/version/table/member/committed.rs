//! Applies newer committed tables to a member.

use super::Member;
use crate::ids::Incarnation;
use crate::ids::Sequence;
use crate::units::Moment;
use crate::version::table::effect::Effect;
use crate::version::table::effect::PartitionEvent;
use crate::version::table::identity::incarnation_above;
use crate::version::table::message::Committed;
use crate::version::table::rows::Table;

impl Member {
    /// Applies a committed table if its version is newer.
    pub fn on_committed(&mut self, now: Moment, committed: Committed) -> Vec<Effect> {
        if let Some(known) = &self.committed {
            if committed.version <= known.version {
                return Vec::new();
            }
            committed.table.assert_follows(&known.table);
        }
        self.observations.observe(now, &committed.table);
        self.check_incarnation(now, &committed.table);
        let events = self.update_holdings(&committed.table);
        self.committed = Some(committed);
        events.into_iter().map(Effect::Notify).collect()
    }

    fn update_holdings(&mut self, table: &Table) -> Vec<PartitionEvent> {
        if self.superseded {
            return self.holdings.drop_all();
        }
        let own = table.owned_by(&self.identity.host, self.incarnation);
        self.holdings.update(own)
    }

    fn check_incarnation(&mut self, now: Moment, table: &Table) {
        let Some(row) = table.hosts.get(&self.identity.host) else {
            return;
        };
        // The first table seen by a process cannot contain its own row.
        let may_be_own = self.incarnation_committed || self.committed.is_some();
        let is_sent = row.incarnation == self.incarnation && row.sequence <= self.sequence;
        if may_be_own && is_sent {
            self.incarnation_committed = true;
            self.lease.confirm(row.sequence, self.cfg.lease_ttl);
        } else if self.incarnation_committed {
            self.superseded |= row.incarnation >= self.incarnation;
        } else if row.incarnation >= self.incarnation {
            self.advance_incarnation(now, row.incarnation);
        }
    }

    /// Switches to an incarnation above one used by an earlier process.
    fn advance_incarnation(&mut self, now: Moment, used: Incarnation) {
        self.incarnation = incarnation_above(used, self.incarnation);
        self.writer_selector.reset();
        self.sequence = Sequence(1);
        self.lease.reset();
        self.lease
            .record_sent(self.sequence, now, self.cfg.lease_ttl);
    }
}
