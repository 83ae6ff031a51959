//! Which archive hosts are asked for a turn, and when.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::certainty;
use super::certainty::Verdict;
use super::placement;
use super::placement::ArchiveHost;
use super::placement::Demand;
use crate::configs::turns::TurnsConfig;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::units::Moment;

/// How far a search has gone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// The best host of the own data centre is asked.
    Nearest,
    /// The other hosts of the own data centre are asked, and those that hold the
    /// records of the program's turns from another data centre if all hosts were
    /// usable.
    Likely,
    /// All hosts are asked.
    All,
}

/// What a host has replied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reply {
    Awaited,
    Failed,
    /// It does not have the turn, and has held everything for this time.
    Absent(Duration),
}

/// A search for a turn at the archive hosts.
#[derive(Debug)]
pub struct Lookup {
    hosts: Arc<[ArchiveHost]>,
    /// Hosts in the order in which they are asked.
    order: Vec<usize>,
    nearest: usize,
    likely: usize,
    stage: Stage,
    /// When the stage began.
    since: Moment,
    /// Replies of the hosts that were asked, by index.
    replies: BTreeMap<usize, Reply>,
    near_timeout: Duration,
    far_timeout: Duration,
}

impl Lookup {
    /// Begins a search for a turn of a program. It does not begin at a host that
    /// does not answer, as far as is known.
    pub fn new(
        hosts: Arc<[ArchiveHost]>,
        program: &str,
        own: &DataCentre,
        demand: Demand,
        cfg: &TurnsConfig,
        answers: impl Fn(&HostId) -> bool,
        now: Moment,
    ) -> Self {
        let ranked = placement::rank(&hosts, program, own);
        let is_near = |index: &usize| hosts[*index].data_centre() == own;
        let answers = |index: &usize| answers(&hosts[*index].name);
        let best = ranked.iter().copied().find(|i| is_near(i) && answers(i));
        let near = ranked.iter().copied().filter(|i| is_near(i));
        let top = ranked.iter().copied().take(demand.hosts);
        let mut order: Vec<usize> = best.into_iter().collect();
        let nearest = order.len();
        let mut likely = nearest;
        for (is_likely, index) in near
            .chain(top)
            .map(|index| (true, index))
            .chain(ranked.iter().map(|index| (false, *index)))
        {
            if !order.contains(&index) {
                order.push(index);
                likely += usize::from(is_likely);
            }
        }
        Self {
            order,
            nearest,
            likely,
            hosts,
            stage: Stage::Nearest,
            since: now,
            replies: BTreeMap::new(),
            near_timeout: cfg.near_timeout,
            far_timeout: cfg.far_timeout,
        }
    }

    /// Returns a host that is to be asked.
    pub fn host(&self, index: usize) -> &ArchiveHost {
        &self.hosts[index]
    }

    /// Returns the hosts that are to be asked now, and counts them as asked.
    pub fn due(&mut self, now: Moment) -> Vec<usize> {
        let mut due = Vec::new();
        loop {
            let until = match self.stage {
                Stage::Nearest => self.nearest,
                Stage::Likely => self.likely,
                Stage::All => self.order.len(),
            };
            for index in &self.order[..until] {
                if !self.replies.contains_key(index) {
                    self.replies.insert(*index, Reply::Awaited);
                    due.push(*index);
                }
            }
            let is_over = !self.is_awaiting() || self.next_stage_at().is_some_and(|at| at <= now);
            if !is_over || self.stage == Stage::All {
                return due;
            }
            self.stage = match self.stage {
                Stage::Nearest => Stage::Likely,
                Stage::Likely | Stage::All => Stage::All,
            };
            self.since = now;
        }
    }

    /// How far the search has gone.
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// When further hosts are asked, whether or not the others have replied.
    pub fn next_stage_at(&self) -> Option<Moment> {
        match self.stage {
            Stage::Nearest => Some(self.since + self.near_timeout),
            Stage::Likely => Some(self.since + self.far_timeout),
            Stage::All => None,
        }
    }

    /// Whether a host that was asked has not replied yet.
    pub fn is_awaiting(&self) -> bool {
        self.replies.values().any(|reply| *reply == Reply::Awaited)
    }

    /// Records that a host does not have the turn.
    pub fn record_absent(&mut self, index: usize, whole_for: Duration) {
        self.replies.insert(index, Reply::Absent(whole_for));
    }

    /// Records that a host did not give a usable answer.
    pub fn record_failed(&mut self, index: usize) {
        self.replies.insert(index, Reply::Failed);
    }

    /// Adds the hosts of a newer list to those that are asked, also those that have
    /// restarted since.
    pub fn extend(&mut self, listed: &[ArchiveHost]) {
        let is_known = |host: &ArchiveHost| self.index_of(host).is_some();
        let added: Vec<ArchiveHost> = listed.iter().filter(|h| !is_known(h)).cloned().collect();
        if added.is_empty() {
            return;
        }
        let known = self.hosts.len();
        self.hosts = self.hosts.iter().cloned().chain(added).collect();
        self.order.extend(known..self.hosts.len());
    }

    /// Judges whether the turn does not exist, by a list that was read from the
    /// store after the request had arrived.
    pub fn judge(
        &self,
        listed: &[ArchiveHost],
        retention: Duration,
        unreadable: usize,
        tolerated: usize,
    ) -> Verdict {
        let whole_for = |host: &ArchiveHost| match self.replies.get(&self.index_of(host)?) {
            Some(Reply::Absent(whole_for)) => Some(*whole_for),
            Some(Reply::Awaited | Reply::Failed) | None => None,
        };
        let whole_for = listed.iter().map(whole_for);
        certainty::judge(whole_for, retention, unreadable, tolerated)
    }

    /// Returns the index of a host at its present address. What another process
    /// has replied says nothing about it.
    fn index_of(&self, host: &ArchiveHost) -> Option<usize> {
        let is_same = |known: &ArchiveHost| known.is_same_process(host);
        self.hosts.iter().position(is_same)
    }

    /// Number of hosts that were asked, and of those that gave no usable answer.
    pub fn counts(&self) -> (usize, usize) {
        let is_silent = |reply: &&Reply| !matches!(reply, Reply::Absent(_));
        let silent = self.replies.values().filter(is_silent).count();
        (self.replies.len(), silent)
    }
}
