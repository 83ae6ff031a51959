//! Times of the repair of lost copies, as parts of the time within which a
//! deployment expects them back.
//!
//! From the moment of a loss, five twelfths pass until it is noticed (silence, and
//! the time to the next check), three more if a host that was to take the records
//! is lost as well. The rest is left to read, send, write and sync them.

use std::time::Duration;

use crate::units::Moment;

/// Rate at which records arrive at least, in bytes a second.
const MIN_BYTES_PER_S: u32 = 1_000_000;

/// Times of the repair of lost copies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepairTimes {
    catch_up: Duration,
}

impl RepairTimes {
    /// Creates the times of a deployment that expects lost copies back within
    /// `catch_up`.
    pub const fn new(catch_up: Duration) -> Self {
        Self { catch_up }
    }

    /// Interval at which the other hosts are probed, and lost ones are looked for.
    pub fn check_period(self) -> Duration {
        self.catch_up / 12
    }

    /// Time after which the holders of a new record are checked, and those of a
    /// record that needs further copies are checked again.
    pub fn check_delay(self) -> Duration {
        self.catch_up / 3
    }

    /// Time within which a host refills a disk that it has lost, in milliseconds.
    pub fn refill_ms(self) -> u64 {
        u64::try_from(self.catch_up.as_millis()).unwrap_or(u64::MAX)
    }

    /// Time for the answer to a probe.
    pub fn probe_timeout(self) -> Duration {
        self.catch_up / 6
    }

    /// Silence after which a host gets no records if another one can take them.
    pub fn doubt(self) -> Duration {
        self.catch_up / 6
    }

    /// Silence after which a host counts as lost.
    pub fn silence(self) -> Duration {
        self.catch_up / 3
    }

    /// Time for a call with records of this size.
    pub fn call_timeout(self, bytes: usize) -> Duration {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.catch_up / 4 + Duration::from_secs(1) * bytes / MIN_BYTES_PER_S
    }

    /// Pause after records were sent, so that serving gets at least half of the
    /// host's time, disk and link. There is none any more once the time is short.
    pub fn pause(self, since_loss: Duration, took: Duration) -> Duration {
        match since_loss < self.catch_up * 3 / 4 {
            true => took.min(self.check_period()),
            false => Duration::ZERO,
        }
    }

    /// Time since a loss that was noticed at the start of a repair.
    pub fn since_loss(self, started: Moment, now: Moment) -> Duration {
        self.silence() + now.since(started)
    }
}
