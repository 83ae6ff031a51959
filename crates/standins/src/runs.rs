//! Log of the calls that an endpoint stand-in ran.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use http::HeaderMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::headers;

/// Runs that are kept; the counts cover all.
const KEPT_RUNS: usize = 10_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The caller closed the connection first.
    Cancelled,
    /// It ran to its end.
    Completed,
    /// A switch ended it early.
    Died,
}

/// One header of a received request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value; bytes that are not text are replaced.
    pub value: String,
}

/// End of a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// Position in the order of all starts and ends.
    pub at: u64,
    /// How it ended.
    pub how: End,
}

/// One run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Number of the run, from 1.
    pub number: u64,
    /// Position of the start in the order of all starts and ends.
    pub started: u64,
    /// End of the run; absent while it runs.
    pub ended: Option<Ended>,
    /// Path of the request.
    pub path: String,
    /// Program that the call belongs to.
    pub program: Option<String>,
    /// Position of the call within its program.
    pub ordinal: Option<u64>,
    /// Fencing number that came with the call.
    pub fence: Option<u64>,
    /// Key of a call that must not run twice.
    pub idempotency_key: Option<String>,
    /// SHA-256 of the body in hexadecimal.
    pub body_digest: String,
    /// All headers that came with the call.
    pub headers: Vec<Header>,
}

impl Run {
    /// Value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.name == name);
        found.map(|header| header.value.as_str())
    }
}

/// Runs of one call of a program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRuns {
    /// Program that the call belongs to.
    pub program: Option<String>,
    /// Position of the call within its program.
    pub ordinal: Option<u64>,
    /// Runs so far.
    pub runs: u64,
}

/// Runs under one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRuns {
    /// The key.
    pub key: String,
    /// Runs so far.
    pub runs: u64,
}

/// Counts of all runs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// Runs started.
    pub runs: u64,
    /// Runs whose caller closed the connection first.
    pub cancelled: u64,
    /// Runs that ran to their end.
    pub completed: u64,
    /// Runs that a switch ended early.
    pub died: u64,
    /// Runs by program and ordinal.
    pub calls: Vec<CallRuns>,
    /// Runs by idempotency key.
    pub keys: Vec<KeyRuns>,
}

impl RunCounts {
    /// Runs under an idempotency key.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        let found = self.keys.iter().find(|runs| runs.key == key);
        found.map_or(0, |found| found.runs)
    }
}

#[derive(Debug, Default)]
struct State {
    events: u64,
    started: u64,
    cancelled: u64,
    completed: u64,
    died: u64,
    runs: VecDeque<Run>,
    calls: BTreeMap<(Option<String>, Option<u64>), u64>,
    keys: BTreeMap<String, u64>,
}

impl State {
    fn next_event(&mut self) -> u64 {
        self.events += 1;
        self.events
    }
}

/// Log of runs; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunLog {
    state: Arc<Mutex<State>>,
}

/// A run in progress; it counts as cancelled if dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    log: RunLog,
    number: u64,
    how: End,
}

impl RunLog {
    /// Records the start of a run.
    pub(crate) fn start(&self, path: &str, headers: &HeaderMap, body_digest: String) -> RunGuard {
        let mut state = self.state.lock();
        state.started += 1;
        let run = Run {
            number: state.started,
            started: state.next_event(),
            ended: None,
            path: path.to_owned(),
            program: headers::text(headers, headers::PROGRAM).map(str::to_owned),
            ordinal: headers::number(headers, headers::CALL),
            fence: headers::number(headers, headers::FENCE),
            idempotency_key: headers::text(headers, headers::IDEMPOTENCY_KEY).map(str::to_owned),
            body_digest,
            headers: headers.iter().map(Header::from).collect(),
        };
        let call = (run.program.clone(), run.ordinal);
        *state.calls.entry(call).or_default() += 1;
        if let Some(key) = run.idempotency_key.clone() {
            *state.keys.entry(key).or_default() += 1;
        }
        let number = run.number;
        state.runs.push_back(run);
        if state.runs.len() > KEPT_RUNS {
            state.runs.pop_front();
        }
        RunGuard {
            log: self.clone(),
            number,
            how: End::Cancelled,
        }
    }

    /// The last runs, in order of their start.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.iter().cloned().collect()
    }

    /// Counts of all runs.
    pub(crate) fn counts(&self) -> RunCounts {
        let state = self.state.lock();
        let call = |((program, ordinal), runs): (&(Option<String>, Option<u64>), &u64)| CallRuns {
            program: program.clone(),
            ordinal: *ordinal,
            runs: *runs,
        };
        let key = |(key, runs): (&String, &u64)| KeyRuns {
            key: key.clone(),
            runs: *runs,
        };
        RunCounts {
            runs: state.started,
            cancelled: state.cancelled,
            completed: state.completed,
            died: state.died,
            calls: state.calls.iter().map(call).collect(),
            keys: state.keys.iter().map(key).collect(),
        }
    }

    fn end(&self, number: u64, how: End) {
        let mut state = self.state.lock();
        match how {
            End::Cancelled => state.cancelled += 1,
            End::Completed => state.completed += 1,
            End::Died => state.died += 1,
        }
        let at = state.next_event();
        let run = state.runs.iter_mut().rev().find(|run| run.number == number);
        if let Some(run) = run {
            run.ended = Some(Ended { at, how });
        }
    }
}

impl RunGuard {
    /// Number of the run.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Records how the run ended.
    pub(crate) fn end(mut self, how: End) {
        self.how = how;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.log.end(self.number, self.how);
    }
}

impl From<(&http::HeaderName, &http::HeaderValue)> for Header {
    fn from((name, value): (&http::HeaderName, &http::HeaderValue)) -> Self {
        Self {
            name: name.as_str().to_owned(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        }
    }
}
