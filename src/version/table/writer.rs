//! Selection of the host that writes a table.
//!
//! The writer is the first live host by name, with adopters last. A host that
//! cannot reach it, or whose heartbeats it does not commit, selects the next one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::rows::HostRow;
use super::rows::Table;
use crate::ids::HostId;
use crate::ids::Sequence;
use crate::units::Moment;

/// Failed sends within one heartbeat period after which this host writes the
/// table itself.
const MAX_FAILURES: u32 = 3;

/// Consecutive replies without a newly committed heartbeat after which the
/// writer is suspected.
const MAX_STALLED_REPLIES: u32 = 3;

/// Selects the writer, excluding hosts suspected of having failed.
#[derive(Clone, Debug, Default)]
pub struct WriterSelector {
    suspects: BTreeMap<HostId, Moment>,
    failures: u32,
    committed: Sequence,
    stalled_replies: u32,
}

impl WriterSelector {
    /// Starts a heartbeat period.
    pub fn tick(&mut self, now: Moment) {
        self.failures = 0;
        self.suspects.retain(|_, until| now < *until);
    }

    /// Excludes a host as writer until the given moment.
    pub fn suspect(&mut self, host: HostId, until: Moment) {
        self.suspects.insert(host, until);
    }

    /// Excludes a host that did not reply. Returns whether this host should now
    /// write the table itself.
    pub fn record_failure(&mut self, host: HostId, until: Moment) -> bool {
        self.suspect(host, until);
        self.failures += 1;
        self.failures >= MAX_FAILURES
    }

    /// Records the committed heartbeat reported by a reply. Returns whether the
    /// writer is stalled: it has committed no new heartbeat for too many replies.
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

    /// Clears the committed sequence when the host takes a new incarnation.
    pub fn reset(&mut self) {
        self.committed = Sequence(0);
    }

    /// The current writer. `None` if that is `own` or there is no candidate.
    pub fn writer(&self, table: Option<&Table>, own: &HostId) -> Option<(HostId, SocketAddr)> {
        let (host, row) = self.candidates(table?, own).next()?;
        (host != own).then(|| (host.clone(), row.peer))
    }

    /// The first candidate other than `own`.
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
        let adopters = table.hosts.iter().filter(|(_, row)| table.is_foreign(row));
        home.chain(adopters).filter(move |(host, row)| {
            *host == own || !row.lapsed && !self.suspects.contains_key(*host)
        })
    }
}
