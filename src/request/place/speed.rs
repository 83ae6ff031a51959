//! Speed estimates of an endpoint and of a service as a whole.

use std::time::Duration;

use super::average::Average;
use crate::configs::place::PlaceConfig;
use crate::request::answer::Usage;
use crate::units::Moment;

/// Initial estimate of the processing time of a prompt token, in seconds.
const DEFAULT_PREFILL: f64 = 0.000_2;
/// Initial estimate of the generation time of a token, in seconds.
const DEFAULT_DECODE: f64 = 0.02;
/// Initial estimate of the duration of a plain call, in seconds.
const DEFAULT_PLAIN: f64 = 0.05;
/// Initial estimate of the generated tokens of a call.
const DEFAULT_COMPLETION: f64 = 200.0;
/// Initial estimate of the size of a prompt token, in bytes.
const DEFAULT_BYTES_PER_TOKEN: f64 = 4.0;
/// Minimum number of uncached prompt tokens for a prefill sample.
const MIN_PREFILL_TOKENS: u64 = 32;

/// Measured durations of one call.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From dispatch to the start of the answer; `None` if the start was not
    /// recorded.
    pub time_to_answer: Option<Duration>,
    /// From dispatch to the end of the answer.
    pub total: Duration,
    /// Network round trip to the endpoint.
    pub round_trip: Duration,
}

/// Time per unit of work, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Per prompt token that is not cached.
    pub prefill: f64,
    /// Per generated token.
    pub decode: f64,
    /// Per call of a plain service.
    pub plain: f64,
}

impl Rates {
    /// Initial estimates, used before the first sample.
    pub const DEFAULT: Self = Self {
        prefill: DEFAULT_PREFILL,
        decode: DEFAULT_DECODE,
        plain: DEFAULT_PLAIN,
    };
}

/// Moving averages of the time per unit of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    prefill: Average,
    decode: Average,
    plain: Average,
}

impl SpeedEstimate {
    /// Adds an answered call and returns its latency sample in seconds: the
    /// time per generated token, or the duration of a plain call.
    ///
    /// `None` if a model call generated no tokens.
    pub fn record(
        &mut self,
        now: Moment,
        timing: &Timing,
        usage: Option<Usage>,
        cfg: &PlaceConfig,
    ) -> Option<f64> {
        let total = timing.total.saturating_sub(timing.round_trip);
        let Some(usage) = usage else {
            let seconds = total.as_secs_f64();
            self.plain.add(now, seconds, cfg.smoothing);
            return Some(seconds);
        };
        let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        let time_to_answer = timing
            .time_to_answer
            .unwrap_or_else(|| self.expected_prefill(uncached));
        let time_to_answer = time_to_answer.saturating_sub(timing.round_trip).min(total);
        if timing.time_to_answer.is_some() && uncached >= MIN_PREFILL_TOKENS {
            let prefill = time_to_answer.as_secs_f64() / uncached as f64;
            self.prefill.add(now, prefill, cfg.smoothing);
        }
        if usage.completion_tokens == 0 {
            return None;
        }
        let decode = (total - time_to_answer).as_secs_f64() / usage.completion_tokens as f64;
        self.decode.add(now, decode, cfg.smoothing);
        Some(decode)
    }

    /// Current estimates; those without recent samples decay towards `mean`.
    pub fn rates(&self, now: Moment, mean: Rates, cfg: &PlaceConfig) -> Rates {
        let half_life = cfg.half_life;
        Rates {
            prefill: self.prefill.decayed_towards(now, mean.prefill, half_life),
            decode: self.decode.decayed_towards(now, mean.decode, half_life),
            plain: self.plain.decayed_towards(now, mean.plain, half_life),
        }
    }

    /// The averages, or the initial estimates before the first sample.
    pub fn means(&self) -> Rates {
        Rates {
            prefill: self.prefill.get().unwrap_or(DEFAULT_PREFILL),
            decode: self.decode.get().unwrap_or(DEFAULT_DECODE),
            plain: self.plain.get().unwrap_or(DEFAULT_PLAIN),
        }
    }

    fn expected_prefill(&self, uncached: u64) -> Duration {
        let prefill = self.prefill.get().unwrap_or(DEFAULT_PREFILL);
        Duration::from_secs_f64(prefill * uncached as f64)
    }
}

/// Moving averages of the size of a service's calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallSize {
    completion: Average,
    bytes_per_token: Average,
}

impl CallSize {
    /// Adds the token usage reported by an engine for a call.
    pub fn record(&mut self, now: Moment, prompt_bytes: usize, usage: &Usage, smoothing: f64) {
        let generated = usage.completion_tokens as f64;
        self.completion.add(now, generated, smoothing);
        if usage.prompt_tokens > 0 {
            let ratio = prompt_bytes as f64 / usage.prompt_tokens as f64;
            self.bytes_per_token.add(now, ratio, smoothing);
        }
    }

    /// Expected number of generated tokens of a call.
    pub fn completion(&self) -> f64 {
        self.completion.get().unwrap_or(DEFAULT_COMPLETION)
    }

    /// Expected number of tokens in a prompt of `bytes` bytes.
    pub fn prompt_tokens(&self, bytes: usize) -> u64 {
        let ratio = self.bytes_per_token.get();
        let ratio = ratio.unwrap_or(DEFAULT_BYTES_PER_TOKEN).max(0.1);
        (bytes as f64 / ratio) as u64
    }
}
