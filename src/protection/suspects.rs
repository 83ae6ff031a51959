//! Requests that crash the endpoints that run them.
//!
//! A host records which endpoint processes ended under which requests and tells
//! the other hosts. A request under which several processes have ended is
//! barred for a time, and so are all requests of its family (one caller's to
//! one path that begin alike) once several of them end processes and none is
//! answered.
//!
//! What else ran on an endpoint that ended is not to blame: a complete answer
//! clears a request and its family, and the processes that ended under a barred
//! request count against no other. A stream that has made events runs for long
//! and is likely to be present at other requests' crashes, so such a crash
//! counts for less than one before the first event.

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
/// Number of ended processes that bar a request if it had made events at some of
/// them. One attempt of a caller is present at three at most.
const MIDWAY_CRASHES_TO_BAR: usize = 4;
/// Number of ended processes that make a request suspect that had made events.
const MIDWAY_CRASHES_TO_SUSPECT: usize = 2;
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
/// Maximum number of requests of one family that are remembered. More than run
/// on an endpoint, so that those beside a request do not displace it.
const MAX_REQUESTS: usize = 128;
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
    /// Whether it had made events of the request's stream. Hosts of earlier
    /// releases do not tell it.
    #[serde(default)]
    pub is_midway: bool,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// No process has ended under it or its family of late.
    Clear,
    /// Some have, but it may have been a bystander. All hosts choose the same
    /// endpoint for suspects with the same hash.
    Suspect(Fingerprint),
    /// It is not sent to any endpoint.
    Barred {
        /// Number of processes that ended under what is barred.
        crashes: usize,
        /// Time until it is no longer barred.
        left: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct EndedProcess {
    at: Moment,
    is_midway: bool,
}

#[derive(Clone, Debug, Default)]
struct Record {
    ended: BTreeMap<ProcessKey, EndedProcess>,
    /// When the request was last answered completely. Crashes before are not
    /// counted, also if another host tells them later.
    answered_at: Option<Moment>,
}

impl Record {
    fn last(&self) -> Moment {
        let ended = self.ended.values().map(|ended| ended.at);
        ended.chain(self.answered_at).max().unwrap_or_default()
    }

    /// Number of processes that ended before they had made an event.
    fn early_crashes(&self) -> usize {
        self.ended.values().filter(|ended| !ended.is_midway).count()
    }

    fn is_barred(&self) -> bool {
        self.early_crashes() >= CRASHES_TO_BAR || self.ended.len() >= MIDWAY_CRASHES_TO_BAR
    }

    fn is_suspect(&self) -> bool {
        self.early_crashes() > 0 || self.ended.len() >= MIDWAY_CRASHES_TO_SUSPECT
    }

    /// Returns the part of the record that is later than `since`.
    fn after(&self, since: Moment) -> Self {
        let later = self.ended.iter().filter(|(_, ended)| ended.at > since);
        Self {
            ended: later.map(|(process, ended)| (*process, *ended)).collect(),
            answered_at: self.answered_at,
        }
    }

    /// Number of crashes that count against the request's family.
    fn crashes_for_family(&self) -> usize {
        match self.is_barred() {
            true => self.ended.len(),
            false => self.early_crashes(),
        }
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
        let has_ended =
            |record: &&Record| record.after(answered_at).crashes_for_family() >= crashes;
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

    /// Drops the request that says least, to make room for another.
    fn drop_weakest(&mut self) {
        let weight = |record: &Record| (record.is_barred(), record.ended.len(), record.last());
        let weakest = self.requests.iter().min_by_key(|(_, r)| weight(r));
        if let Some(request) = weakest.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
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
            family.drop_weakest();
        }
        let record = family.requests.entry(crash.request).or_default();
        let is_answered = record.answered_at.is_some_and(|answered| at <= answered);
        let is_known = record.ended.contains_key(&crash.process);
        if is_answered || is_known || record.ended.len() >= MAX_PROCESSES {
            return false;
        }
        let ended = EndedProcess {
            at,
            is_midway: crash.is_midway,
        };
        record.ended.insert(crash.process, ended);
        if record.is_barred() {
            self.explain(crash.family, crash.request);
        }
        true
    }

    /// Records that an endpoint has answered a request completely, which clears
    /// it.
    pub fn record_answer(&mut self, family: Fingerprint, request: Fingerprint, now: Moment) {
        if let Some(family) = self.families.get_mut(&family) {
            family.answered_at = Some(now);
            if let Some(record) = family.requests.get_mut(&request) {
                record.answered_at = Some(now);
                record.ended.clear();
            }
        }
    }

    /// Returns what is known of a request.
    pub fn standing(&self, family: Fingerprint, request: Fingerprint, now: Moment) -> Standing {
        let family_key = family;
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
        match own.filter(|record| record.is_suspect()) {
            _ if is_family_suspect => Standing::Suspect(family_key),
            Some(record) if record.early_crashes() > 0 => Standing::Suspect(family_key),
            // Apart from its family, part of which shared the crashes only.
            Some(_) => Standing::Suspect(request),
            None => Standing::Clear,
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
                // The keepers of other requests have been told.
                if is_barred || (is_recent && record.is_suspect()) {
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
        let crashes = ended.map(|(process, ended)| Crash {
            family,
            request,
            process: *process,
            age_ms: u64::try_from(now.since(ended.at).as_millis()).unwrap_or(u64::MAX),
            is_midway: ended.is_midway,
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
