//! Log of the runs of the engine and service stand-ins.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use http::HeaderMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::headers;

/// Maximum number of runs kept; the counters include dropped ones.
const MAX_RUNS: usize = 10_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The caller closed the connection first.
    Cancelled,
    /// The run completed.
    Completed,
    /// A fault switch ended the run early.
    Died,
}

/// Header of a received request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Header name in lower case.
    pub name: String,
    /// Header value; invalid UTF-8 is replaced by U+FFFD.
    pub value: String,
}

/// End of a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// Position in the sequence of all starts and ends.
    pub at: u64,
    /// How the run ended.
    pub how: End,
}

/// A run of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Sequence number of the run, starting at 1.
    pub number: u64,
    /// Position of the start in the sequence of all starts and ends.
    pub started: u64,
    /// End of the run; `None` while it is running.
    pub ended: Option<Ended>,
    /// Path of the request.
    pub path: String,
    /// Program id from the `chicoryarch-program` header; `None` if absent.
    pub program: Option<String>,
    /// Ordinal from the `chicoryarch-call` header; `None` if absent or invalid.
    pub ordinal: Option<u64>,
    /// Number from the `chicoryarch-fence` header; `None` if absent or invalid.
    pub fence: Option<u64>,
    /// Value of the `idempotency-key` header; `None` if absent.
    pub idempotency_key: Option<String>,
    /// SHA-256 of the request body in hexadecimal.
    pub body_digest: String,
    /// All request headers.
    pub headers: Vec<Header>,
}

impl Run {
    /// Returns the first value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.name == name);
        found.map(|header| header.value.as_str())
    }
}

/// Number of runs of one call of a program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRuns {
    /// Program id from the `chicoryarch-program` header; `None` if absent.
    pub program: Option<String>,
    /// Ordinal from the `chicoryarch-call` header; `None` if absent or invalid.
    pub ordinal: Option<u64>,
    /// Number of started runs.
    pub runs: u64,
}

/// Number of runs with one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRuns {
    /// The idempotency key.
    pub key: String,
    /// Number of started runs.
    pub runs: u64,
}

/// Counters of all runs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// Number of started runs.
    pub runs: u64,
    /// Number of runs whose caller closed the connection first.
    pub cancelled: u64,
    /// Number of completed runs.
    pub completed: u64,
    /// Number of runs ended early by a fault switch.
    pub died: u64,
    /// Run counts by program and ordinal.
    pub calls: Vec<CallRuns>,
    /// Run counts by idempotency key.
    pub keys: Vec<KeyRuns>,
}

impl RunCounts {
    /// Returns the number of runs with an idempotency key.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        let found = self.keys.iter().find(|runs| runs.key == key);
        found.map_or(0, |found| found.runs)
    }
}

#[derive(Debug, Default)]
struct State {
    event_count: u64,
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
        self.event_count += 1;
        self.event_count
    }
}

/// Log of runs; clones refer to the same log.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunLog {
    state: Arc<Mutex<State>>,
}

/// A run in progress; dropping it records the run as cancelled.
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
        if state.runs.len() > MAX_RUNS {
            state.runs.pop_front();
        }
        RunGuard {
            log: self.clone(),
            number,
            how: End::Cancelled,
        }
    }

    /// Returns the most recent runs in start order.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.iter().cloned().collect()
    }

    /// Returns the counters of all runs.
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
    /// Returns the sequence number of the run.
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
