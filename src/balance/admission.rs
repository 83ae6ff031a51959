//! Admission of programs while all engines are full.

use std::time::Duration;

use super::calls::Demand;
use super::millis;
use super::shares::Shares;
use crate::configs::balance::BalanceConfig;
use crate::units::Moment;

/// Time without a refusal after which the next one is the start of a new period
/// of insufficient capacity.
const QUIET_TIME: Duration = Duration::from_secs(5);

/// First turn of a program that asks to begin.
#[derive(Clone, Copy, Debug)]
pub struct Newcomer<'a> {
    /// Name of the customer; empty if the call needs no key.
    pub customer: &'a str,
    /// What the turn asks of an engine.
    pub demand: Demand,
}

/// A usable engine as the admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct EngineState {
    /// Expected number of requests.
    pub load: f64,
    /// Requests that run at the same time.
    pub slots: f64,
    /// How long work takes at the moment; 1 is usual.
    pub slowness: f64,
    /// Delay by prompts that this host has placed there, in milliseconds.
    pub unread_ms: f64,
    /// Time to read the newcomer's prompt, in milliseconds.
    pub read_ms: f64,
    /// Whether its memory holds the turn.
    pub has_memory: bool,
}

impl EngineState {
    /// Whether a turn can run there without waiting, or nobody waits.
    fn has_room(&self) -> bool {
        self.has_memory && self.load < self.slots + 1.0
    }

    /// Time until a slot is free for the turn, in milliseconds.
    fn wait_ms(&self, cfg: &BalanceConfig, idle_turn_ms: f64) -> f64 {
        let turn_ms = idle_turn_ms * self.slowness * cfg.full_slowdown;
        let queued = (self.load + 1.0 - self.slots).max(0.0);
        // Memory is released as turns end, like slots.
        let queued = match self.has_memory {
            true => queued,
            false => queued.max(1.0),
        };
        queued / self.slots * turn_ms + self.unread_ms
    }

    /// Time that a program of `time_left` takes there, in milliseconds.
    ///
    /// Only its first turn waits for a slot, since later ones come before first
    /// turns of others. All of them are slowed.
    fn program_ms(&self, cfg: &BalanceConfig, idle_turn_ms: f64, time_left: Duration) -> f64 {
        let idle_ms = millis(time_left) / cfg.time_factor;
        let slowed_ms = idle_ms * self.slowness * cfg.stretch(self.load / self.slots);
        self.wait_ms(cfg, idle_turn_ms) + slowed_ms.max(self.read_ms)
    }
}

/// Why a program may not begin now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No engine can complete it in its time.
    Time,
    /// Its customer has had more than its share, and others wait.
    Share,
}

impl Reason {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::Share => "share",
        }
    }
}

/// Decision about a first turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The program begins.
    Admitted,
    /// It does not run.
    Refused {
        /// Why.
        reason: Reason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
        /// Least expected wait for a slot, in milliseconds.
        wait_ms: f64,
        /// Whether no program was refused for some seconds before.
        is_first: bool,
    },
}

/// State of the admission at this host.
#[derive(Debug, Default)]
pub struct Admissions {
    shares: Shares,
    refused_at: Option<Moment>,
}

impl Admissions {
    /// Decides about a first turn. `idle_turn_ms` is the time of a turn at an
    /// idle engine, or `None` if too little is known to refuse anything;
    /// `retry_factor` is the random factor of the retry time.
    pub fn admit(
        &mut self,
        cfg: &BalanceConfig,
        newcomer: &Newcomer<'_>,
        engines: &[EngineState],
        idle_turn_ms: Option<f64>,
        retry_factor: f64,
        now: Moment,
    ) -> Admission {
        let refused = match idle_turn_ms {
            Some(idle_turn_ms)
                if !engines.is_empty() && !engines.iter().any(EngineState::has_room) =>
            {
                let reason = self.reason(cfg, newcomer, engines, idle_turn_ms, now);
                reason.map(|reason| (reason, idle_turn_ms))
            }
            _ => None,
        };
        let Some((reason, idle_turn_ms)) = refused else {
            #[allow(clippy::cast_precision_loss, reason = "calls hold few tokens")]
            let tokens = newcomer.demand.held_tokens() as f64;
            self.shares
                .record_admitted(newcomer.customer, tokens, cfg.share_decay, now);
            return Admission::Admitted;
        };
        self.shares
            .record_refused(newcomer.customer, cfg.share_decay, now);
        let is_first = self
            .refused_at
            .is_none_or(|last| now.since(last) > QUIET_TIME);
        self.refused_at = Some(now);
        let left_ms = newcomer.demand.time_left.map_or(0.0, millis);
        let over_ms = |engine: &EngineState| {
            let time_left = newcomer.demand.time_left.unwrap_or_default();
            let late_ms = engine.program_ms(cfg, idle_turn_ms, time_left) - left_ms;
            late_ms.max(0.0) + idle_turn_ms * engine.slowness / engine.slots
        };
        let [soonest, latest] = cfg.retry_bounds;
        let retry_ms = least(engines, over_ms) * retry_factor;
        let soonest_ms = millis(soonest) * retry_factor;
        let retry_ms = retry_ms.clamp(soonest_ms, millis(latest).max(soonest_ms));
        Admission::Refused {
            reason,
            retry_after: Duration::from_secs_f64(retry_ms / 1000.0),
            wait_ms: least(engines, |engine| engine.wait_ms(cfg, idle_turn_ms)),
            is_first,
        }
    }

    /// Why a first turn may not run while all engines are full; `None` if it
    /// may.
    fn reason(
        &self,
        cfg: &BalanceConfig,
        newcomer: &Newcomer<'_>,
        engines: &[EngineState],
        idle_turn_ms: f64,
        now: Moment,
    ) -> Option<Reason> {
        let time_left = newcomer.demand.time_left?;
        let is_in_time = |engine: &EngineState| {
            let time_ms = engine.program_ms(cfg, idle_turn_ms, time_left);
            engine.has_memory && time_ms <= millis(time_left)
        };
        if !engines.iter().any(is_in_time) {
            return Some(Reason::Time);
        }
        let (decay, window) = (cfg.share_decay, cfg.demand_window);
        let is_over = self.shares.is_over(newcomer.customer, decay, window, now);
        is_over.then_some(Reason::Share)
    }
}

/// Least time among the engines, of which there is at least one.
fn least(engines: &[EngineState], ms: impl Fn(&EngineState) -> f64) -> f64 {
    engines.iter().map(ms).fold(f64::INFINITY, f64::min)
}
