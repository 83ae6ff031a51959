//! Which host has the turn to write a table.
//!
//! The first live host in order writes. A host that does not reach it, or
//! whose heartbeats it does not commit, tries the next one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::rows::HostRow;
use super::rows::Table;
use crate::ids::HostId;
use crate::ids::Sequence;
use crate::units::Moment;

/// Hosts tried in one period before this host writes by itself.
const MAX_FAILURES: u32 = 3;

/// Replies without a newly committed heartbeat after which another writer is
/// tried.
const MAX_STALLED_REPLIES: u32 = 3;

/// What a host knows about the other hosts as writers.
#[derive(Clone, Debug, Default)]
pub struct WriterSelector {
    suspects: BTreeMap<HostId, Moment>,
    failures: u32,
    committed: Sequence,
    stalled_replies: u32,
}

impl WriterSelector {
    /// Begins a heartbeat period.
    pub fn tick(&mut self, now: Moment) {
        self.failures = 0;
        self.suspects.retain(|_, until| now < *until);
    }

    /// Passes a host over for a time.
    pub fn suspect(&mut self, host: HostId, until: Moment) {
        self.suspects.insert(host, until);
    }

    /// Passes over a host that gave no answer; true if this host should now
    /// write by itself.
    pub fn record_failure(&mut self, host: HostId, until: Moment) -> bool {
        self.suspect(host, until);
        self.failures += 1;
        self.failures >= MAX_FAILURES
    }

    /// Takes the newest committed heartbeat that a reply shows; true if the
    /// writer has committed none for too long.
    pub fn record_reply(&mut self, committed: Option<Sequence>) -> bool {
        match committed {
            Some(sequence) if sequence > self.committed => {
                self.committed = sequence;
                self.stalled_replies = 0;
            }
            _ => self.stalled_replies += 1,
        }
        let is_stalled = self.stalled_replies >= MAX_STALLED_REPLIES;
        if is_stalled {
            self.stalled_replies = 0;
        }
        is_stalled
    }

    /// Forgets the committed heartbeats, for a new incarnation.
    pub fn reset(&mut self) {
        self.committed = Sequence(0);
    }

    /// The host with the turn to write; absent if that is `own`.
    pub fn writer(&self, table: Option<&Table>, own: &HostId) -> Option<(HostId, SocketAddr)> {
        let (host, row) = self.candidates(table?, own).next()?;
        (host != own).then(|| (host.clone(), row.peer))
    }

    /// The first host other than `own` that may write.
    pub fn fallback(&self, table: Option<&Table>, own: &HostId) -> Option<(HostId, SocketAddr)> {
        let mut candidates = self.candidates(table?, own);
        let (host, row) = candidates.find(|(host, _)| *host != own)?;
        Some((host.clone(), row.peer))
    }

    fn candidates<'a>(
        &'a self,
        table: &'a Table,
        own: &'a HostId,
    ) -> impl Iterator<Item = (&'a HostId, &'a HostRow)> {
        let home = table.hosts.iter().filter(|(_, row)| !table.is_foreign(row));
        let guests = table.hosts.iter().filter(|(_, row)| table.is_foreign(row));
        home.chain(guests).filter(move |(host, row)| {
            *host == own || !row.lapsed && !self.suspects.contains_key(*host)
        })
    }
}
