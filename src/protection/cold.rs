//! Requests that a cold endpoint takes, divided among the hosts.
//!
//! An endpoint is cold for some time after its start, and may become cold again
//! at any moment. It then takes few requests a second from all hosts together.
//! No host can rely on hearing from the others, so each sends a fixed share.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use crate::units::Moment;

/// Time for which a request counts. A request arrives within the time to connect
/// (250 ms) after its endpoint was chosen, so two requests that are chosen this
/// far apart do not arrive within one second.
const WINDOW: Duration = Duration::from_millis(1250);
/// Longest cold time that is believed. Endpoints with faults report numbers out
/// of range.
const MAX_REPORTED: Duration = Duration::from_secs(600);
/// Shortest time after a failed connection for which an endpoint counts as cold
/// unless it answers. It is longer than the longest ejection (8 s), so that calls
/// do not return together to an endpoint that may just have restarted.
const MIN_FAILED_TIME: Duration = Duration::from_secs(10);
/// Number of requests that are remembered of an endpoint that is not cold. They
/// count once it is.
const MAX_REMEMBERED: usize = 64;

/// What the endpoints of a service take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Requests a second from all hosts together.
    pub per_s: f64,
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
    /// Revision of the list of hosts among which the requests are divided; `None`
    /// while this host has no share.
    pub revision: Option<u64>,
}

/// Requests a second that hosts divide for a cold endpoint that takes `per_s`, and
/// may end above `bound` in one second. A host that goes on after a suspension sends
/// its share twice within a second. Alone, it has the whole rate, twice which may be
/// above the bound (40 requests instead of 35), so it uses half of the bound.
pub fn divided_per_s(per_s: f64, bound: f64, hosts: usize) -> f64 {
    match hosts {
        0 | 1 if bound > per_s => per_s.min(bound / 2.0),
        _ => per_s,
    }
}

impl ColdRule {
    /// Whole requests a second from all hosts together.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range first"
    )]
    fn requests(&self) -> usize {
        self.per_s.clamp(0.0, f64::from(u16::MAX)) as usize
    }
}

/// Position of a host in the order in which hosts share an endpoint's requests.
/// The greatest is the first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostOrder<'a> {
    /// Whether it is located in the endpoint's data centre.
    pub is_near: bool,
    /// Rendezvous hash of host and endpoint.
    pub hash: u64,
    /// Host name, which decides between equal hashes.
    pub name: &'a str,
}

/// Rank of this host among those that share an endpoint's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostRank {
    /// Number of hosts before this one.
    pub before: usize,
    /// Number of ranked hosts, including this one.
    pub hosts: usize,
}

impl HostRank {
    /// Ranks a host among all listed hosts, including itself.
    pub fn among<'a>(own: HostOrder<'_>, all: impl Iterator<Item = HostOrder<'a>>) -> Self {
        let start = Self {
            before: 0,
            hosts: 0,
        };
        all.fold(start, |rank, host| Self {
            before: rank.before + usize::from(host > own),
            hosts: rank.hosts + 1,
        })
    }

    /// Returns this host's share of whole requests: an equal one, and one more for
    /// the first hosts if they do not divide evenly.
    pub fn share(self, requests: usize) -> usize {
        let hosts = self.hosts.max(1);
        requests / hosts + usize::from(self.before < requests % hosts)
    }
}

/// Why an endpoint counts as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ColdCause {
    /// Its start time is new.
    Started,
    /// Its entry says so.
    Listed,
    /// One of its answers says so.
    Answered,
    /// It answered for the first time after a failed connection.
    Reconnected,
}

/// What this host knows of one endpoint's cold times, and the requests that it
/// has sent there.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    /// End of the time that the endpoint reported.
    reported_until: Moment,
    /// Start of the time for which this host assumes that it is cold.
    assumed_from: Option<Moment>,
    /// Last failed connection, unless the endpoint has answered since.
    failed_at: Option<Moment>,
    /// When this host sent it requests, for the length of the window.
    sent: VecDeque<Moment>,
    /// This host's rank and the revision of the list of hosts that it is from.
    rank: Option<(u64, HostRank)>,
}

impl ColdState {
    /// Returns the state for a new process of the endpoint. Requests to the one
    /// before go on counting.
    pub fn restarted(self) -> Self {
        Self {
            sent: self.sent,
            rank: self.rank,
            ..Self::default()
        }
    }

    /// Records for how long the endpoint is cold, as it reports. Returns whether
    /// it reported no cold time before.
    pub fn record_report(&mut self, cold: Duration, now: Moment) -> bool {
        let until = now + cold.min(MAX_REPORTED);
        let is_new = self.reported_until <= now && until > now;
        self.reported_until = self.reported_until.max(until);
        is_new
    }

    /// Records that the endpoint may have become cold, for the duration of its
    /// service.
    pub fn assume_cold(&mut self, now: Moment) {
        self.assumed_from = Some(now);
    }

    /// Records a connection that could not be opened.
    pub fn record_failure(&mut self, now: Moment) {
        self.failed_at = Some(now);
    }

    /// Records an answer. Returns whether it is the first after a failed
    /// connection: the endpoint may just have restarted.
    pub fn record_success(&mut self, now: Moment) -> bool {
        let is_first = self.failed_at.take().is_some();
        if is_first {
            self.assume_cold(now);
        }
        is_first
    }

    /// Returns the end of the cold time; `None` if the endpoint is not cold.
    pub fn cold_until(&self, rule: &ColdRule, now: Moment) -> Option<Moment> {
        let assumed = self.assumed_from.map(|from| from + rule.duration);
        let failed = self
            .failed_at
            .map(|at| at + rule.duration.max(MIN_FAILED_TIME));
        let until = [Some(self.reported_until), assumed, failed];
        until.into_iter().flatten().max().filter(|end| now < *end)
    }

    /// Whether the endpoint is cold and this host's rank is not known.
    pub fn needs_rank(&self, rule: &ColdRule, now: Moment) -> bool {
        let is_known = self.rank.map(|(revision, _)| revision) == rule.revision;
        !is_known && self.cold_until(rule, now).is_some()
    }

    /// Sets this host's rank in the list of hosts of the given revision.
    pub fn set_rank(&mut self, revision: u64, rank: HostRank) {
        self.rank = Some((revision, rank));
    }

    /// Requests that this host may send in any one second; 0 if its rank is not
    /// known.
    fn share(&self, rule: &ColdRule) -> usize {
        let rank = self
            .rank
            .filter(|(revision, _)| Some(*revision) == rule.revision);
        rank.map_or(0, |(_, rank)| rank.share(rule.requests()))
    }

    /// Returns the time until this host may send a request; `None` if it may send
    /// one now.
    pub fn wait(&self, rule: &ColdRule, now: Moment) -> Option<Duration> {
        let until = self.cold_until(rule, now)?;
        let share = self.share(rule);
        let first = self.sent.iter().position(|at| now < *at + WINDOW);
        let counted = first.map_or(0, |first| self.sent.len() - first);
        if counted < share {
            return None;
        }
        let wait = match share {
            0 => now.until(until),
            _ => now.until(self.sent[self.sent.len() - share] + WINDOW),
        };
        Some(wait.min(now.until(until)))
    }

    /// Counts a request to the endpoint.
    pub fn record_sent(&mut self, rule: &ColdRule, now: Moment) {
        self.sent.push_back(now);
        let kept = self.share(rule).max(rule.requests().min(MAX_REMEMBERED));
        while self.sent.len() > kept || self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
    }
}
