//! What an engine is likely to hold of prompts, from what was sent to it.

use std::collections::HashMap;
use std::time::Duration;

use super::call::PromptPart;
use crate::units::Moment;

/// Time after which an unused part is taken to have been evicted.
const PART_LIFE: Duration = Duration::from_secs(60);
/// Parts that are remembered for each engine.
const MAX_PARTS: usize = 4096;

/// Parts of prompts that were sent to one engine.
#[derive(Debug, Default)]
pub struct Prefixes {
    parts: HashMap<u64, Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    used: Moment,
}

impl Prefixes {
    /// Tokens of a prompt that the engine would have to read.
    pub fn missing(&self, parts: &[PromptPart], now: Moment) -> u64 {
        let mut missing = 0;
        let mut is_cached = true;
        for part in parts {
            let held = self
                .parts
                .get(&part.id)
                .filter(|held| is_cached && now.since(held.used) < PART_LIFE);
            let tokens = held.map_or(0, |held| held.tokens.min(part.tokens));
            is_cached = tokens == part.tokens;
            missing += part.tokens - tokens;
        }
        missing
    }

    /// Notes that a prompt is read by the engine.
    pub fn touch(&mut self, parts: &[PromptPart], now: Moment) {
        for part in parts {
            let held = Held {
                tokens: part.tokens,
                used: now,
            };
            self.parts.insert(part.id, held);
        }
        if self.parts.len() > MAX_PARTS {
            self.forget(now);
        }
    }

    /// Forgets the older half of the parts.
    fn forget(&mut self, now: Moment) {
        let mut ages: Vec<Duration> = self.parts.values().map(|h| now.since(h.used)).collect();
        let middle = ages.len() / 2;
        let (_, limit, _) = ages.select_nth_unstable(middle);
        let limit = *limit;
        self.parts.retain(|_, held| now.since(held.used) <= limit);
    }
}
