//! The most frequent of many texts, in bounded memory.

use std::collections::HashMap;

/// Number of texts that remain after the rarer ones are removed.
const RETAINED: usize = 1000;
/// Number of texts at which the rarer ones are removed.
const MAX_TEXTS: usize = 2 * RETAINED;
/// Maximum length of a text, in characters.
const MAX_CHARS: usize = 160;

/// Counts of texts that differ in more than numbers.
#[derive(Clone, Debug, Default)]
pub struct FrequentTexts {
    counts: HashMap<String, u64>,
    removed: u64,
}

impl FrequentTexts {
    /// Counts a text. Numbers in it are replaced by `N`, and its end is cut off if it
    /// is long.
    pub fn add(&mut self, text: &str) {
        let text = without_numbers(text);
        *self.counts.entry(text).or_default() += 1;
        if self.counts.len() >= MAX_TEXTS {
            self.remove_rare();
        }
    }

    fn remove_rare(&mut self) {
        let mut counts: Vec<u64> = self.counts.values().copied().collect();
        let excess = counts.len() - RETAINED;
        let (rarer, limit, _) = counts.select_nth_unstable(excess);
        let limit = *limit;
        // Of texts that are as frequent as the limit, any are removed.
        let mut equal = rarer.iter().filter(|count| **count == limit).count();
        let rare = self.counts.extract_if(|_, count| {
            let is_equal = *count == limit && equal > 0;
            equal -= usize::from(is_equal);
            *count < limit || is_equal
        });
        self.removed += rare.map(|(_, count)| count).sum::<u64>();
    }

    /// Returns the most frequent texts with their counts, and the number of texts
    /// that were removed and are in no count.
    pub fn top(&self, number: usize) -> (Vec<(&str, u64)>, u64) {
        let mut counts: Vec<(&str, u64)> = self
            .counts
            .iter()
            .map(|(text, count)| (text.as_str(), *count))
            .collect();
        counts.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        counts.truncate(number);
        (counts, self.removed)
    }
}

fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    let mut is_number = false;
    for c in text.chars().take(MAX_CHARS) {
        if !c.is_ascii_digit() {
            out.push(c);
        } else if !is_number {
            out.push('N');
        }
        is_number = c.is_ascii_digit();
    }
    out
}
