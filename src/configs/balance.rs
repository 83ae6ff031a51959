//! Settings of the balance of uneven load over a service's engines.

use std::time::Duration;

use super::Result;
use super::check_range;
use super::require;

/// Settings of the balance of uneven load over a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct BalanceConfig {
    /// Time in which the slowness of a load report fades to the usual one. It
    /// changes many times a second, so that an old report says little.
    pub report_fade: Duration,
    /// Time constant of the changes of an engine's slowness, which are several in
    /// a second. A report says less of a call that takes longer.
    pub slowness_persistence: Duration,
    /// Fraction of an engine's memory above which it gets no further call, from
    /// 0 to 1. An engine ends if it holds more than its memory, and other hosts'
    /// calls are only estimated.
    pub memory_share: f64,
    /// The same for first turns of programs. The rest is for later turns of programs
    /// that have begun, and for what engines keep cached between their turns: an
    /// engine without room for that reads the whole text of each turn again, and
    /// stays overloaded after a burst has ended. About as many programs wait for
    /// their tools as have a turn running, so both get half.
    pub new_memory_share: f64,
    /// The same for turns of programs whose time is over, which give way to those
    /// that can still end in time.
    pub late_memory_share: f64,
    /// Prompt tokens that an engine reads in a millisecond: the slowest of the
    /// known ones, which read 38 to 55.
    pub read_tokens_per_ms: f64,
    /// Time to read a prompt from which it counts as long: half of the shortest
    /// objective for a first token, so that a short prompt behind it is late.
    pub long_read: Duration,
    /// Cost of a millisecond by which a first token misses its objective, in
    /// milliseconds of delay within it.
    pub late_weight: f64,
    /// Time of a call at an engine whose slots are all in use, as a multiple of
    /// its time at an idle one. Each running request adds to the step that
    /// produces a token.
    pub full_slowdown: f64,
    /// Time that a program has, as a multiple of its time on idle engines.
    pub time_factor: f64,
    /// Age of the latest load report above which no first turn is refused.
    pub evidence_max_age: Duration,
    /// Bounds of the random factor of the retry time, which spreads the return
    /// of refused callers.
    pub retry_spread: [f64; 2],
    /// Bounds of the retry time. Below them callers add load without a chance of
    /// admission; above them a program with a short time cannot return.
    pub retry_bounds: [Duration; 2],
    /// Time constant of the decay of customers' admitted tokens.
    pub share_decay: Duration,
    /// Time for which a refused customer counts as waiting.
    pub demand_window: Duration,
    /// Ranks by which the urgency of a turn of a program in progress is raised
    /// at the engine.
    pub begun_urgency: u8,
    /// Bytes of engines' reports that this host sends to others in a second, over
    /// all messages. Processor time for messages is scarce.
    pub report_bytes_per_s: f64,
}

impl Default for BalanceConfig {
    fn default() -> Self {
        Self {
            report_fade: Duration::from_secs(1),
            slowness_persistence: Duration::from_millis(150),
            memory_share: 0.9,
            new_memory_share: 0.45,
            late_memory_share: 0.65,
            read_tokens_per_ms: 38.0,
            long_read: Duration::from_millis(100),
            late_weight: 2.0,
            full_slowdown: 1.5,
            time_factor: 2.0,
            evidence_max_age: Duration::from_secs(1),
            retry_spread: [0.75, 1.75],
            retry_bounds: [Duration::from_millis(100), Duration::from_secs(2)],
            share_decay: Duration::from_secs(5),
            demand_window: Duration::from_secs(1),
            begun_urgency: 1,
            report_bytes_per_s: 2000.0,
        }
    }
}

impl BalanceConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let spans = [
            ("balance.report_fade", self.report_fade),
            ("balance.slowness_persistence", self.slowness_persistence),
            ("balance.long_read", self.long_read),
            ("balance.evidence_max_age", self.evidence_max_age),
            ("balance.share_decay", self.share_decay),
            ("balance.demand_window", self.demand_window),
        ];
        for (field, span) in spans {
            check_range(field, span, MIN_SPAN, MAX_SPAN)?;
        }
        check_range("balance.memory_share", self.memory_share, 0.1, 1.0)?;
        check_range("balance.new_memory_share", self.new_memory_share, 0.1, 1.0)?;
        check_range(
            "balance.late_memory_share",
            self.late_memory_share,
            0.1,
            1.0,
        )?;
        check_range(
            "balance.read_tokens_per_ms",
            self.read_tokens_per_ms,
            0.1,
            1e4,
        )?;
        check_range("balance.late_weight", self.late_weight, 0.0, 100.0)?;
        check_range("balance.full_slowdown", self.full_slowdown, 1.0, 10.0)?;
        check_range("balance.time_factor", self.time_factor, 1.0, 100.0)?;
        check_range("balance.begun_urgency", self.begun_urgency, 0, 3)?;
        check_range(
            "balance.report_bytes_per_s",
            self.report_bytes_per_s,
            0.0,
            1e6,
        )?;
        let [least, most] = self.retry_spread;
        require(
            "balance.retry_spread",
            0.1 <= least && least < most && most <= 10.0,
            || "two increasing factors from 0.1 to 10",
        )?;
        let [least, most] = self.retry_bounds;
        require(
            "balance.retry_bounds",
            MIN_SPAN <= least && least < most && most <= MAX_SPAN,
            || "two increasing times from 1 ms to 1 min",
        )
    }
}

const MIN_SPAN: Duration = Duration::from_millis(1);
const MAX_SPAN: Duration = Duration::from_secs(60);
