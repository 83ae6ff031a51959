//! Prefix cache of the model engine stand-in.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::chat;
use crate::digest;

/// One cached message: its digest and its tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CachedMessage {
    /// SHA-256 of the message in hexadecimal.
    pub digest: String,
    /// Tokens of the message.
    pub tokens: u64,
}

impl From<&Value> for CachedMessage {
    fn from(message: &Value) -> Self {
        Self {
            digest: digest::hex(message.to_string().as_bytes()),
            tokens: chat::tokens_of(message),
        }
    }
}

/// What the cache holds under one handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEntry {
    /// Handle that the call gave.
    pub handle: String,
    /// Tokens held.
    pub tokens: u64,
}

/// What the cache holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheContents {
    /// Tokens that it can hold.
    pub capacity: u64,
    /// Tokens that it holds.
    pub used: u64,
    /// All entries in order of handle.
    pub entries: Vec<CacheEntry>,
}

/// What changed in the cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// Removed to make room.
    Evicted,
    /// Removed by an order.
    Released,
    /// Stored or extended.
    Stored,
}

#[derive(Debug)]
struct Prefix {
    messages: Vec<CachedMessage>,
    tokens: u64,
    last_use: u64,
}

/// Prefixes by handle; the least recently used go first when space is short.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: u64,
    used: u64,
    uses: u64,
    prefixes: BTreeMap<String, Prefix>,
}

/// Changes of the cache with the entries that they concern.
pub(crate) type Changes = Vec<(CacheChange, CacheEntry)>;

impl PrefixCache {
    /// An empty cache of a size in tokens.
    pub(crate) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            uses: 0,
            prefixes: BTreeMap::new(),
        }
    }

    /// Tokens held.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    /// Tokens of the prompt that are held under the handle.
    pub(crate) fn cached_tokens(&mut self, handle: &str, prompt: &[CachedMessage]) -> u64 {
        self.uses += 1;
        let Some(prefix) = self.prefixes.get_mut(handle) else {
            return 0;
        };
        prefix.last_use = self.uses;
        let both = prefix.messages.iter().zip(prompt);
        let same = both.take_while(|(held, wanted)| held == wanted);
        same.map(|(held, _)| held.tokens).sum()
    }

    /// Stores a prefix under the handle, in place of an earlier one.
    pub(crate) fn store(&mut self, handle: &str, messages: Vec<CachedMessage>) -> Changes {
        let tokens = messages.iter().map(|message| message.tokens).sum();
        self.take(handle);
        if tokens > self.capacity {
            return Changes::new();
        }
        let mut changes = self.make_room(tokens);
        self.uses += 1;
        self.used += tokens;
        let prefix = Prefix {
            messages,
            tokens,
            last_use: self.uses,
        };
        self.prefixes.insert(handle.to_owned(), prefix);
        changes.push((CacheChange::Stored, entry(handle, tokens)));
        changes
    }

    /// Removes what is held under the handle.
    pub(crate) fn release(&mut self, handle: &str) -> Changes {
        let removed = self.take(handle);
        let change = removed.map(|prefix| (CacheChange::Released, entry(handle, prefix.tokens)));
        change.into_iter().collect()
    }

    /// The messages held under the handle.
    pub(crate) fn export(&self, handle: &str) -> Option<Vec<CachedMessage>> {
        let prefix = self.prefixes.get(handle)?;
        Some(prefix.messages.clone())
    }

    /// What the cache holds.
    pub(crate) fn contents(&self) -> CacheContents {
        let entries = self.prefixes.iter();
        CacheContents {
            capacity: self.capacity,
            used: self.used,
            entries: entries.map(|(h, prefix)| entry(h, prefix.tokens)).collect(),
        }
    }

    fn make_room(&mut self, tokens: u64) -> Changes {
        let mut changes = Changes::new();
        while self.used + tokens > self.capacity {
            let Some(handle) = self.least_recently_used() else {
                return changes;
            };
            if let Some(prefix) = self.take(&handle) {
                changes.push((CacheChange::Evicted, entry(&handle, prefix.tokens)));
            }
        }
        changes
    }

    fn least_recently_used(&self) -> Option<String> {
        let oldest = self.prefixes.iter().min_by_key(|(_, p)| p.last_use);
        oldest.map(|(handle, _)| handle.clone())
    }

    fn take(&mut self, handle: &str) -> Option<Prefix> {
        let prefix = self.prefixes.remove(handle)?;
        self.used -= prefix.tokens;
        Some(prefix)
    }
}

fn entry(handle: &str, tokens: u64) -> CacheEntry {
    CacheEntry {
        handle: handle.to_owned(),
        tokens,
    }
}
