//! Counters of calls to the platform.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::PlatformError;
use super::Result;
use super::Written;

/// Kind of call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Lists the endpoint hosts.
    Hosts,
    /// Lists the objects of a kind.
    List,
    /// Reads an object.
    Read,
    /// Removes an object.
    Remove,
    /// Waits for changes to the objects of a kind.
    Watch,
    /// Writes an object.
    Write,
}

impl CallKind {
    /// All kinds, in the order of their variants.
    pub const ALL: [Self; 6] = [
        Self::Hosts,
        Self::List,
        Self::Read,
        Self::Remove,
        Self::Watch,
        Self::Write,
    ];

    /// Name of the kind in metric labels.
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

/// Outcome of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The object was not at the expected version.
    Conflict,
    /// The value was too large, or a name or stored value was malformed.
    Invalid,
    /// The call succeeded.
    Succeeded,
    /// The platform was unavailable or no longer stored the requested changes, and
    /// the call changed nothing.
    Unavailable,
    /// The outcome of a write could not be determined.
    Unknown,
}

impl CallOutcome {
    /// All outcomes, in the order of their variants.
    pub const ALL: [Self; 5] = [
        Self::Conflict,
        Self::Invalid,
        Self::Succeeded,
        Self::Unavailable,
        Self::Unknown,
    ];

    /// Name of the outcome in metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::Invalid => "invalid",
            Self::Succeeded => "succeeded",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
        }
    }

    const fn from_error(error: &PlatformError) -> Self {
        match error {
            PlatformError::Malformed { .. } | PlatformError::TooLarge(_) => Self::Invalid,
            PlatformError::HistoryLost | PlatformError::Unavailable(_) => Self::Unavailable,
            PlatformError::UnknownOutcome => Self::Unknown,
        }
    }
}

/// Counters of calls, requests and retries of a platform client.
#[derive(Debug, Default)]
pub struct PlatformCounters {
    outcomes: [[AtomicU64; CallOutcome::ALL.len()]; CallKind::ALL.len()],
    requests: [AtomicU64; CallKind::ALL.len()],
    read_backs: AtomicU64,
    resends: AtomicU64,
}

impl PlatformCounters {
    /// Number of calls of a kind with the given outcome.
    pub fn calls(&self, kind: CallKind, outcome: CallOutcome) -> u64 {
        self.outcomes[kind as usize][outcome as usize].load(Ordering::Relaxed)
    }

    /// Number of HTTP requests sent for calls of a kind, including retries. The
    /// platform counts requests, not calls.
    pub fn requests(&self, kind: CallKind) -> u64 {
        self.requests[kind as usize].load(Ordering::Relaxed)
    }

    /// Number of reads to determine the outcome of a write. They count as read or
    /// list requests too.
    pub fn read_backs(&self) -> u64 {
        self.read_backs.load(Ordering::Relaxed)
    }

    /// Number of writes sent again because a read back showed the object unchanged.
    pub fn resends(&self) -> u64 {
        self.resends.load(Ordering::Relaxed)
    }

    pub(crate) fn record<T>(&self, kind: CallKind, result: &Result<T>) {
        let outcome = match result {
            Ok(_) => CallOutcome::Succeeded,
            Err(error) => CallOutcome::from_error(error),
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
