//! Estimates which parts of prompts an engine has cached, from the calls that
//! this host has sent to it.

use std::collections::HashMap;
use std::time::Duration;

use super::call::PromptPart;
use crate::units::Moment;

/// Time after which an unused part counts as evicted from the engine's cache.
const PART_TTL: Duration = Duration::from_secs(60);
/// Maximum number of parts tracked for each engine.
const MAX_PARTS: usize = 4096;

/// Prompt parts that one engine is likely to have cached.
#[derive(Debug, Default)]
pub struct Prefixes {
    parts: HashMap<u64, CachedPart>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    used_at: Moment,
}

impl Prefixes {
    /// Number of prompt tokens that are not cached and must be prefilled.
    pub fn missing_tokens(&self, parts: &[PromptPart], now: Moment) -> u64 {
        let mut missing_tokens = 0;
        let mut is_cached = true;
        for part in parts {
            let cached = self
                .parts
                .get(&part.id)
                .filter(|cached| is_cached && now.since(cached.used_at) < PART_TTL);
            let tokens = cached.map_or(0, |cached| cached.tokens.min(part.tokens));
            is_cached = tokens == part.tokens;
            missing_tokens += part.tokens - tokens;
        }
        missing_tokens
    }

    /// Records that a prompt was sent to the engine.
    pub fn record_prompt(&mut self, parts: &[PromptPart], now: Moment) {
        for part in parts {
            let cached = CachedPart {
                tokens: part.tokens,
                used_at: now,
            };
            self.parts.insert(part.id, cached);
        }
        if self.parts.len() > MAX_PARTS {
            self.evict_older_half(now);
        }
    }

    /// Evicts the half of the parts that was not used for the longest time.
    fn evict_older_half(&mut self, now: Moment) {
        let mut ages: Vec<Duration> = self.parts.values().map(|p| now.since(p.used_at)).collect();
        let middle = ages.len() / 2;
        let (_, median_age, _) = ages.select_nth_unstable(middle);
        let median_age = *median_age;
        self.parts
            .retain(|_, cached| now.since(cached.used_at) <= median_age);
    }
}
