//! Counters of the calls to the platform.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::PlatformError;
use super::Result;
use super::Written;

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The list of endpoint hosts.
    Hosts,
    /// The objects of a kind.
    List,
    /// One object.
    Read,
    /// The removal of an object.
    Remove,
    /// The changes of a kind.
    Watch,
    /// The storing of an object.
    Write,
}

impl CallKind {
    /// Every kind, in order.
    pub const ALL: [Self; 6] = [
        Self::Hosts,
        Self::List,
        Self::Read,
        Self::Remove,
        Self::Watch,
        Self::Write,
    ];

    /// The kind as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::List => "list",
            Self::Read => "read",
            Self::Remove => "remove",
            Self::Watch => "watch",
            Self::Write => "write",
        }
    }
}

/// How a call to the platform ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The object was not at the expected version.
    Conflict,
    /// The request or the stored value was not acceptable.
    Invalid,
    /// It was carried out.
    Succeeded,
    /// No answer, and nothing changed.
    Unavailable,
    /// A write whose outcome could not be learnt.
    Unknown,
}

impl CallOutcome {
    /// Every outcome, in order.
    pub const ALL: [Self; 5] = [
        Self::Conflict,
        Self::Invalid,
        Self::Succeeded,
        Self::Unavailable,
        Self::Unknown,
    ];

    /// The outcome as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::Invalid => "invalid",
            Self::Succeeded => "succeeded",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
        }
    }

    const fn of_error(error: &PlatformError) -> Self {
        match error {
            PlatformError::Malformed { .. } | PlatformError::TooLarge(_) => Self::Invalid,
            PlatformError::HistoryLost | PlatformError::Unavailable(_) => Self::Unavailable,
            PlatformError::UnknownOutcome => Self::Unknown,
        }
    }
}

/// Counters of the calls to the platform.
#[derive(Debug, Default)]
pub struct PlatformCounters {
    outcomes: [[AtomicU64; CallOutcome::ALL.len()]; CallKind::ALL.len()],
    requests: [AtomicU64; CallKind::ALL.len()],
    read_backs: AtomicU64,
    resends: AtomicU64,
}

impl PlatformCounters {
    /// Calls of a kind that ended in an outcome.
    pub fn calls(&self, kind: CallKind, outcome: CallOutcome) -> u64 {
        self.outcomes[kind as usize][outcome as usize].load(Ordering::Relaxed)
    }

    /// HTTP requests made for calls of a kind, which is what the platform counts.
    pub fn requests(&self, kind: CallKind) -> u64 {
        self.requests[kind as usize].load(Ordering::Relaxed)
    }

    /// Reads made to learn the outcome of a write; counted as reads too.
    pub fn read_backs(&self) -> u64 {
        self.read_backs.load(Ordering::Relaxed)
    }

    /// Writes sent again after a read back showed the object unchanged.
    pub fn resends(&self) -> u64 {
        self.resends.load(Ordering::Relaxed)
    }

    pub(crate) fn record<T>(&self, kind: CallKind, result: &Result<T>) {
        let outcome = match result {
            Ok(_) => CallOutcome::Succeeded,
            Err(error) => CallOutcome::of_error(error),
        };
        self.add_outcome(kind, outcome);
    }

    pub(crate) fn record_write(&self, kind: CallKind, result: &Result<Written>) {
        match result {
            Ok(Written::Conflict) => self.add_outcome(kind, CallOutcome::Conflict),
            _ => self.record(kind, result),
        }
    }

    pub(crate) fn add_request(&self, kind: CallKind) {
        self.requests[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_read_back(&self) {
        self.read_backs.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_resend(&self) {
        self.resends.fetch_add(1, Ordering::Relaxed);
    }

    fn add_outcome(&self, kind: CallKind, outcome: CallOutcome) {
        self.outcomes[kind as usize][outcome as usize].fetch_add(1, Ordering::Relaxed);
    }
}
