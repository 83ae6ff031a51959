//! Requests that crash the endpoints that run them.
//!
//! A host records which endpoint processes ended under which requests and tells
//! the other hosts. A request under which several processes have ended is
//! barred for a time, and so are all requests of its family (one caller's to
//! one path that begin alike) once several of them end processes and none is
//! answered.
//!
//! What else ran on an endpoint that ended is not to blame: an answer clears a
//! request and its family, and the processes that ended under a barred request
//! count against no other.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::fingerprint::Fingerprint;
use crate::units::Moment;

/// Number of ended processes that bar a request. A bystander may be present at
/// one or two crashes.
const CRASHES_TO_BAR: usize = 3;
/// Number of ended processes that make a request count against its family.
const CRASHES_TO_COUNT: usize = 2;
/// Number of such requests that bar a family.
const REQUESTS_TO_BAR: usize = 2;
/// Time after the last crash for which a request stays suspect.
const SUSPECT_TIME: Duration = Duration::from_secs(60);
/// Time after the last crash for which a request stays barred.
const BARRED_TIME: Duration = Duration::from_secs(600);
/// Time after the last crash for which a family stays barred. It is shorter,
/// since requests that were never sent share it.
const FAMILY_BARRED_TIME: Duration = Duration::from_secs(120);
/// Maximum number of families that are remembered.
const MAX_FAMILIES: usize = 1024;
/// Number of families that are dropped at once when there are too many.
const DROPPED_FAMILIES: usize = 128;
/// Interval at which what is over is forgotten.
const FORGET_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of requests of one family that are remembered.
const MAX_REQUESTS: usize = 16;
/// Maximum number of ended processes that are remembered of one request.
const MAX_PROCESSES: usize = 8;
/// Age up to which the crashes of suspects are told to other hosts.
const TELL_TIME: Duration = Duration::from_secs(10);
/// Maximum number of crashes in one message.
const MAX_TOLD: usize = 128;

/// Hash of the id and the start of an endpoint's process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProcessKey(pub u64);

/// A process that ended under a request, as one host tells another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Family of the request.
    pub family: Fingerprint,
    /// Request that the process ran.
    pub request: Fingerprint,
    /// Process that ended.
    pub process: ProcessKey,
    /// Time in milliseconds since it ended.
    pub age_ms: u64,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// No process has ended under it or its family of late.
    Clear,
    /// Some have, but it may have been a bystander.
    Suspect,
    /// It is not sent to any endpoint.
    Barred {
        /// Number of processes that ended under what is barred.
        crashes: usize,
        /// Time until it is no longer barred.
        left: Duration,
    },
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// When each process ended.
    ended: BTreeMap<ProcessKey, Moment>,
}

impl Record {
    fn last(&self) -> Moment {
        self.ended.values().copied().max().unwrap_or_default()
    }

    fn is_barred(&self) -> bool {
        self.ended.len() >= CRASHES_TO_BAR
    }

    fn left(&self, now: Moment) -> Duration {
        let kept = match self.is_barred() {
            true => BARRED_TIME,
            false => SUSPECT_TIME,
        };
        now.until(self.last() + kept)
    }
}

/// Requests of one caller to one path that begin alike.
#[derive(Clone, Debug, Default)]
struct Family {
    requests: BTreeMap<Fingerprint, Record>,
    /// When one of them was last answered.
    answered_at: Option<Moment>,
}

impl Family {
    fn last(&self) -> Moment {
        let records = self.requests.values();
        records.map(Record::last).max().unwrap_or_default()
    }

    /// Number of requests under which at least `crashes` processes have ended
    /// since one of the family was answered.
    fn requests_with(&self, crashes: usize) -> usize {
        let answered_at = self.answered_at.unwrap_or_default();
        let has_ended = |record: &&Record| {
            let later = record.ended.values().filter(|at| **at > answered_at);
            later.count() >= crashes
        };
        self.requests.values().filter(has_ended).count()
    }

    fn is_barred(&self) -> bool {
        // Variants of a barred request are barred sooner.
        let crashes = match self.requests_with(CRASHES_TO_BAR) {
            0 => CRASHES_TO_COUNT,
            _ => 1,
        };
        self.requests_with(crashes) >= REQUESTS_TO_BAR
    }

    /// Whether it or one of its requests is barred.
    fn has_barred(&self) -> bool {
        self.requests.values().any(Record::is_barred) || self.is_barred()
    }

    fn crashes(&self) -> usize {
        self.requests.values().map(|r| r.ended.len()).sum()
    }

    fn forget(&mut self, now: Moment) {
        self.requests
            .retain(|_, record| !record.left(now).is_zero());
    }
}

/// Requests under which processes have ended.
#[derive(Debug, Default)]
pub struct Suspects {
    families: HashMap<Fingerprint, Family>,
    /// Barred request, after its family, that each process ended under.
    explained: HashMap<ProcessKey, (Fingerprint, Fingerprint)>,
    forgotten_at: Moment,
}

impl Suspects {
    /// Whether anything is known of a request or its family.
    pub fn knows(&self, family: Fingerprint) -> bool {
        self.families.contains_key(&family)
    }

    /// Records that a process ended under a request. Returns whether that was
    /// not known.
    pub fn record(&mut self, crash: &Crash, now: Moment) -> bool {
        let at = now.minus(Duration::from_millis(crash.age_ms));
        let culprit = self.explained.get(&crash.process);
        let is_explained = culprit.is_some_and(|(_, culprit)| *culprit != crash.request);
        if is_explained || now.since(at) >= BARRED_TIME {
            return false;
        }
        self.forget(now);
        let family = self.families.entry(crash.family).or_default();
        if family.requests.len() >= MAX_REQUESTS && !family.requests.contains_key(&crash.request) {
            return false;
        }
        let record = family.requests.entry(crash.request).or_default();
        if record.ended.contains_key(&crash.process) || record.ended.len() >= MAX_PROCESSES {
            return false;
        }
        record.ended.insert(crash.process, at);
        if record.is_barred() {
            self.explain(crash.family, crash.request);
        }
        true
    }

    /// Records that an endpoint has answered a request, which clears it.
    pub fn record_answer(&mut self, family: Fingerprint, request: Fingerprint, now: Moment) {
        if let Some(family) = self.families.get_mut(&family) {
            family.answered_at = Some(now);
            family.requests.remove(&request);
        }
    }

    /// Returns what is known of a request.
    pub fn standing(&self, family: Fingerprint, request: Fingerprint, now: Moment) -> Standing {
        let Some(family) = self.families.get(&family) else {
            return Standing::Clear;
        };
        let own = family.requests.get(&request);
        let own = own.filter(|record| !record.left(now).is_zero());
        if let Some(record) = own.filter(|record| record.is_barred()) {
            return Standing::Barred {
                crashes: record.ended.len(),
                left: record.left(now),
            };
        }
        let left = now.until(family.last() + FAMILY_BARRED_TIME);
        if family.is_barred() && !left.is_zero() {
            let crashes = family.crashes();
            return Standing::Barred { crashes, left };
        }
        // One crash at which another request of the family was present says
        // nothing of this one.
        let is_family_suspect = family.requests_with(CRASHES_TO_COUNT) > 0 && !left.is_zero();
        match own.is_some() || is_family_suspect {
            true => Standing::Suspect,
            false => Standing::Clear,
        }
    }

    /// Returns the crashes to tell other hosts: those of barred requests and
    /// families, and those of the latest suspects.
    pub fn to_tell(&self, now: Moment) -> Vec<Crash> {
        let mut told = Vec::new();
        for (key, family) in &self.families {
            let is_family_barred = family.is_barred();
            for (request, record) in &family.requests {
                let is_barred = is_family_barred || record.is_barred();
                let is_recent = now.since(record.last()) < TELL_TIME;
                if is_barred || is_recent {
                    told.push((!is_barred, now.since(record.last()), *key, *request));
                }
            }
        }
        told.sort_unstable();
        let crashes = told
            .into_iter()
            .flat_map(|(_, _, family, request)| self.crashes_of(family, request, now));
        crashes.take(MAX_TOLD).collect()
    }

    /// Returns the crashes of one request.
    pub fn crashes_of(&self, family: Fingerprint, request: Fingerprint, now: Moment) -> Vec<Crash> {
        let known = self.families.get(&family);
        let record = known.and_then(|family| family.requests.get(&request));
        let ended = record.into_iter().flat_map(|record| &record.ended);
        let crashes = ended.map(|(process, at)| Crash {
            family,
            request,
            process: *process,
            age_ms: u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX),
        });
        crashes.collect()
    }

    /// Counts the processes that ended under a barred request against no other.
    fn explain(&mut self, family: Fingerprint, culprit: Fingerprint) {
        let known = self.families.get(&family);
        let Some(record) = known.and_then(|family| family.requests.get(&culprit)) else {
            return;
        };
        let processes: Vec<_> = record.ended.keys().copied().collect();
        for family in self.families.values_mut() {
            for record in family.requests.values_mut() {
                if !record.is_barred() {
                    record
                        .ended
                        .retain(|process, _| !processes.contains(process));
                }
            }
        }
        let culprit = (family, culprit);
        let explained = processes.into_iter().map(|process| (process, culprit));
        self.explained.extend(explained);
    }

    fn forget(&mut self, now: Moment) {
        let is_full = self.families.len() >= MAX_FAMILIES;
        if !is_full && now.since(self.forgotten_at) < FORGET_PERIOD {
            return;
        }
        self.forgotten_at = now;
        for family in self.families.values_mut() {
            family.forget(now);
        }
        self.families
            .retain(|_, family| !family.requests.is_empty());
        if self.families.len() >= MAX_FAMILIES {
            let mut oldest: Vec<_> = self
                .families
                .iter()
                .map(|(key, family)| (family.has_barred(), family.last(), *key))
                .collect();
            oldest.sort_unstable();
            for (_, _, key) in oldest.into_iter().take(DROPPED_FAMILIES) {
                self.families.remove(&key);
            }
        }
        let families = &self.families;
        self.explained.retain(|_, (family, culprit)| {
            let family = families.get(family);
            family.is_some_and(|family| family.requests.contains_key(culprit))
        });
    }
}
