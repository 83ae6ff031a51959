//! Calls of this host at the engines: the tokens that they hold, and the prompt
//! tokens that are still to be read.

use std::collections::HashMap;
use std::time::Duration;

use crate::configs::balance::BalanceConfig;
use crate::units::Moment;

/// Least weight of a new sample in the mean of recent calls.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Most tokens that one call counts with, so that sums over calls do not
/// overflow. Callers state the numbers.
pub const MAX_TOKENS: u64 = 1 << 32;
/// Number of samples from which a mean is used as it is.
const MIN_SAMPLES: f64 = 8.0;

/// How far the program of a call is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Stage {
    /// The call would begin it.
    New,
    /// It has begun, or the call belongs to none.
    #[default]
    Begun,
    /// Its time is over, so that it can only end late.
    Late,
}

/// What a call asks of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that the call generates.
    pub max_output: u64,
    /// Tokens that the memory of one engine holds; `None` if unknown.
    pub memory_tokens: Option<u64>,
    /// Time within which the first event is due; `None` if not stated.
    pub first_event: Option<Duration>,
    /// Time until the end of the program; `None` if not stated.
    pub time_left: Option<Duration>,
    /// How far the program is.
    pub stage: Stage,
}

impl Demand {
    /// Most tokens that the call holds at its engine.
    pub fn held_tokens(&self) -> u64 {
        let tokens = self.prompt_tokens.saturating_add(self.max_output);
        tokens.min(MAX_TOKENS)
    }
}

/// Whether a prompt is long, as far as its engine has not cached it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PromptSize {
    /// Read in less than [`BalanceConfig::long_read`].
    Short,
    /// Read in that time or more.
    Long,
}

impl PromptSize {
    /// Returns the size of a prompt with so many tokens to read.
    pub fn of(cfg: &BalanceConfig, unread_tokens: f64) -> Self {
        let read_ms = unread_tokens / cfg.read_tokens_per_ms;
        match read_ms >= super::millis(cfg.long_read) {
            true => Self::Long,
            false => Self::Short,
        }
    }

    /// Name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// Identifies a call that was placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    id: u64,
    /// Size of the prompt that the engine had to read.
    pub size: PromptSize,
    /// Slowness of the engine when the call was placed.
    pub slowness: f64,
}

#[derive(Debug)]
struct OpenCall {
    engine: Box<str>,
    held: u64,
    unread: u64,
    size: PromptSize,
    /// Factor by which the engine was expected to exceed its idle time.
    stretch: f64,
    begun: Option<Moment>,
    /// Time to read the missing prompt tokens at the usual speed, in
    /// milliseconds.
    read_ms: f64,
}

/// This host's calls at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineCalls {
    /// Most tokens that they hold.
    pub held: u64,
    /// Prompt tokens of calls whose first event has not been heard.
    pub unread: u64,
    /// Long prompts among them.
    pub long_unread: u32,
    /// Number of calls.
    pub count: u32,
}

/// A call as it is placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacedCall {
    /// Most tokens that it holds.
    pub held: u64,
    /// Prompt tokens that the engine must read.
    pub unread: u64,
    /// Time to read them at the usual speed, in milliseconds.
    pub read_ms: f64,
    /// Whether that is a long prompt.
    pub size: PromptSize,
    /// Slowness of the engine.
    pub slowness: f64,
    /// Factor by which calls at the engine take longer than at an idle one.
    pub stretch: f64,
}

/// This host's calls at a service's engines.
#[derive(Debug, Default)]
pub struct Calls {
    open: HashMap<u64, OpenCall>,
    engines: HashMap<Box<str>, EngineCalls>,
    last_id: u64,
    mean_held: Mean,
    idle_turn_ms: Mean,
}

/// Mean of recent samples; of all, while they are few.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    samples: f64,
    value: f64,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        self.samples += 1.0;
        self.value += SAMPLE_WEIGHT.max(1.0 / self.samples) * (sample - self.value);
    }

    fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.value)
    }
}

impl Calls {
    /// Counts a call at an engine until [`Self::end`].
    #[allow(clippy::cast_precision_loss, reason = "calls hold few tokens")]
    pub fn place(&mut self, engine: &str, call: &PlacedCall) -> Ticket {
        self.last_id += 1;
        self.mean_held.add(call.held as f64);
        let at_engine = self.engines.entry(engine.into()).or_default();
        at_engine.held += call.held;
        at_engine.unread += call.unread;
        at_engine.long_unread += u32::from(call.size == PromptSize::Long);
        at_engine.count += 1;
        let open = OpenCall {
            engine: engine.into(),
            held: call.held,
            unread: call.unread,
            size: call.size,
            stretch: call.stretch,
            begun: None,
            read_ms: call.read_ms,
        };
        self.open.insert(self.last_id, open);
        Ticket {
            id: self.last_id,
            size: call.size,
            slowness: call.slowness,
        }
    }

    /// Records that a call's first event was heard, so that its prompt is read.
    pub fn begin(&mut self, ticket: Ticket, now: Moment) {
        let Some(call) = self.open.get_mut(&ticket.id) else {
            return;
        };
        if call.begun.is_some() {
            return;
        }
        call.begun = Some(now);
        if let Some(engine) = self.engines.get_mut(&call.engine) {
            engine.unread -= call.unread;
            engine.long_unread -= u32::from(call.size == PromptSize::Long);
        }
    }

    /// Removes a call. The time of one that `is_complete` is a sample of the time
    /// that turns take at an idle engine.
    pub fn end(&mut self, ticket: Ticket, is_complete: bool, now: Moment) {
        let begun = self.open.get(&ticket.id).and_then(|call| call.begun);
        // A call that ends without an event has read nothing that is still owed.
        self.begin(ticket, now);
        let Some(call) = self.open.remove(&ticket.id) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&call.engine) {
            engine.held -= call.held;
            engine.count -= 1;
            if engine.count == 0 {
                self.engines.remove(&call.engine);
            }
        }
        if let Some(begun) = begun.filter(|_| is_complete) {
            let made_ms = now.since(begun).as_secs_f64() * 1000.0;
            let idle_ms = made_ms / (ticket.slowness * call.stretch) + call.read_ms;
            self.idle_turn_ms.add(idle_ms);
        }
    }

    /// This host's calls at an engine.
    pub fn at(&self, engine: &str) -> EngineCalls {
        self.engines.get(engine).copied().unwrap_or_default()
    }

    /// Mean of the tokens that recent calls hold at most; `None` before the first.
    /// While few are known, it is at most `usual`: a long first call does not stand
    /// for all.
    pub fn mean_held(&self, usual: f64) -> Option<f64> {
        let mean = self.mean_held.get()?;
        Some(match self.mean_held.samples < MIN_SAMPLES {
            true => mean.min(usual),
            false => mean,
        })
    }

    /// Mean time for which a turn occupies a slot of an idle engine, in
    /// milliseconds; `None` before the first has ended.
    pub fn idle_turn_ms(&self) -> Option<f64> {
        self.idle_turn_ms.get()
    }
}
