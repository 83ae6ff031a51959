//! Whether a turn that was not found certainly does not exist.
//!
//! An acknowledged record was stored on one archive host more than may be lost at
//! the same time. If all listed hosts but as many as may be lost say that they do
//! not have it and have held everything for the time of its retention, none of
//! them ever had it.

use std::time::Duration;

/// Result of a search that did not find the turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The turn does not exist.
    Absent,
    /// The turn may exist.
    Unsure {
        /// Number of listed hosts that may have it.
        unknown: usize,
        /// Number of listed hosts.
        listed: usize,
    },
}

/// Judges the answers of the hosts of a list that was read from the store after
/// the request had arrived.
///
/// For each listed host, `whole_for` has for how long it has held everything that
/// it acknowledged, if it says that it does not have the turn; `None` if it has not
/// answered. `retention` is
/// that of the turn, plus the time since the request arrived. `unreadable` is the
/// number of listed hosts whose entries cannot be read, and `tolerated` the number
/// of hosts that may be lost at the same time.
pub fn judge(
    whole_for: impl IntoIterator<Item = Option<Duration>>,
    retention: Duration,
    unreadable: usize,
    tolerated: usize,
) -> Verdict {
    let mut hosts = unreadable;
    let mut unknown = unreadable;
    for whole_for in whole_for {
        hosts += 1;
        let has_all = whole_for.is_some_and(|whole_for| whole_for >= retention);
        unknown += usize::from(!has_all);
    }
    // A shorter list cannot have all hosts that had the record.
    if hosts > tolerated && unknown <= tolerated {
        return Verdict::Absent;
    }
    Verdict::Unsure {
        unknown,
        listed: hosts,
    }
}
