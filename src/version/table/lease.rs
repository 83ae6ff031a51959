//! Lease rules: a host's own lease and its observations of others' heartbeats.
//!
//! A host's own lease starts when it sends a heartbeat that is later committed to
//! the table. Other hosts start the lease when they first see that heartbeat in
//! the table, which is never earlier, and add a drift margin. Clocks of different
//! hosts are never compared.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::rows::HostRow;
use super::rows::Table;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Sequence;
use crate::units::Moment;

/// A host's own lease.
#[derive(Clone, Debug, Default)]
pub struct OwnLease {
    sent: VecDeque<(Sequence, Moment)>,
    until: Option<Moment>,
}

impl OwnLease {
    /// Records the moment at which a heartbeat is sent.
    pub fn record_sent(&mut self, sequence: Sequence, now: Moment, ttl: Duration) {
        while self.sent.front().is_some_and(|(_, at)| *at + ttl <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
    }

    /// Extends the lease to `ttl` after a committed heartbeat was sent.
    pub fn confirm(&mut self, sequence: Sequence, ttl: Duration) {
        let Some((_, at)) = self.sent.iter().find(|(sent, _)| *sent == sequence) else {
            return;
        };
        self.until = self.until.max(Some(*at + ttl));
    }

    /// Whether the lease is valid at `now`.
    pub fn is_held(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Expiry of the lease. `None` if no heartbeat has been committed.
    pub fn until(&self) -> Option<Moment> {
        self.until
    }

    /// Clears the lease when the host takes a new incarnation.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

#[derive(Clone, Debug)]
struct Observation {
    incarnation: Incarnation,
    sequence: Sequence,
    lapsed: bool,
    heartbeat_seen_at: Moment,
    incarnation_seen_at: Moment,
}

/// When this host first saw the newest heartbeat of each host.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    hosts: BTreeMap<HostId, Observation>,
}

impl Observations {
    /// Records the heartbeats of a committed table. Returns whether any row is
    /// new, has a new heartbeat or a changed lapsed flag.
    pub fn observe(&mut self, now: Moment, table: &Table) -> bool {
        self.hosts.retain(|host, _| table.hosts.contains_key(host));
        let mut changed = false;
        for (host, row) in &table.hosts {
            changed |= self.observe_row(now, host, row);
        }
        changed
    }

    fn observe_row(&mut self, now: Moment, host: &HostId, row: &HostRow) -> bool {
        let known = self.hosts.get(host);
        let same_incarnation = known.filter(|s| s.incarnation == row.incarnation);
        // The lapsed flag changes when a host adopts the table again; its
        // observation then starts anew.
        let same = |s: &Observation| s.sequence == row.sequence && s.lapsed == row.lapsed;
        if same_incarnation.is_some_and(same) {
            return false;
        }
        let observation = Observation {
            incarnation: row.incarnation,
            sequence: row.sequence,
            lapsed: row.lapsed,
            heartbeat_seen_at: now,
            incarnation_seen_at: same_incarnation.map_or(now, |s| s.incarnation_seen_at),
        };
        self.hosts.insert(host.clone(), observation);
        true
    }

    /// Time since a row's heartbeat was first seen; zero if it has not been seen.
    pub fn heartbeat_age(&self, now: Moment, host: &HostId, row: &HostRow) -> Duration {
        match self.hosts.get(host) {
            Some(s) if s.incarnation == row.incarnation && s.sequence == row.sequence => {
                now.since(s.heartbeat_seen_at)
            }
            _ => Duration::ZERO,
        }
    }

    /// Time since a row's incarnation was first seen; zero if it has not been
    /// seen.
    pub fn incarnation_age(&self, now: Moment, host: &HostId, row: &HostRow) -> Duration {
        match self.hosts.get(host) {
            Some(s) if s.incarnation == row.incarnation => now.since(s.incarnation_seen_at),
            _ => Duration::ZERO,
        }
    }
}
