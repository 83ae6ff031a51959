//! Prefix cache of the model engine stand-in.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::chat;
use crate::digest;

/// A cached message, represented by its digest and token count.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CachedMessage {
    /// SHA-256 of the message in hexadecimal.
    pub digest: String,
    /// Number of tokens in the message.
    pub tokens: u64,
}

impl From<&Value> for CachedMessage {
    fn from(message: &Value) -> Self {
        Self {
            digest: digest::sha256_hex(message.to_string().as_bytes()),
            tokens: chat::message_tokens(message),
        }
    }
}

/// Summary of the prefix cached under one handle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEntry {
    /// Cache handle from the call's `chicoryarch-cache` header or an import.
    pub handle: String,
    /// Number of cached tokens.
    pub tokens: u64,
}

/// Contents of the prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheContents {
    /// Capacity in tokens.
    pub capacity: u64,
    /// Number of cached tokens.
    pub used: u64,
    /// All entries, sorted by handle.
    pub entries: Vec<CacheEntry>,
}

/// Kind of a cache change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// Evicted to free space.
    Evicted,
    /// Removed by a release order.
    Released,
    /// Stored, or replaced under the same handle.
    Stored,
}

#[derive(Debug)]
struct Prefix {
    messages: Vec<CachedMessage>,
    tokens: u64,
    last_use: u64,
}

/// LRU cache of prompt prefixes by handle.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: u64,
    used: u64,
    use_count: u64,
    prefixes: BTreeMap<String, Prefix>,
}

/// Cache changes with the affected entries.
pub(crate) type Changes = Vec<(CacheChange, CacheEntry)>;

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    pub(crate) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            use_count: 0,
            prefixes: BTreeMap::new(),
        }
    }

    /// Returns the number of cached tokens.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of leading prompt tokens cached under the handle.
    pub(crate) fn cached_tokens(&mut self, handle: &str, prompt: &[CachedMessage]) -> u64 {
        self.use_count += 1;
        let Some(prefix) = self.prefixes.get_mut(handle) else {
            return 0;
        };
        prefix.last_use = self.use_count;
        let pairs = prefix.messages.iter().zip(prompt);
        let matching = pairs.take_while(|(cached, wanted)| cached == wanted);
        matching.map(|(cached, _)| cached.tokens).sum()
    }

    /// Stores a prefix under the handle and replaces an earlier one.
    ///
    /// A prefix larger than the whole cache is not stored.
    pub(crate) fn store(&mut self, handle: &str, messages: Vec<CachedMessage>) -> Changes {
        let tokens = messages.iter().map(|message| message.tokens).sum();
        self.remove(handle);
        if tokens > self.capacity {
            return Changes::new();
        }
        let mut changes = self.evict_until_fits(tokens);
        self.use_count += 1;
        self.used += tokens;
        let prefix = Prefix {
            messages,
            tokens,
            last_use: self.use_count,
        };
        self.prefixes.insert(handle.to_owned(), prefix);
        changes.push((CacheChange::Stored, entry(handle, tokens)));
        changes
    }

    /// Removes the prefix cached under the handle, if any.
    pub(crate) fn release(&mut self, handle: &str) -> Changes {
        let removed = self.remove(handle);
        let change = removed.map(|prefix| (CacheChange::Released, entry(handle, prefix.tokens)));
        change.into_iter().collect()
    }

    /// Returns the messages cached under the handle.
    pub(crate) fn export(&self, handle: &str) -> Option<Vec<CachedMessage>> {
        let prefix = self.prefixes.get(handle)?;
        Some(prefix.messages.clone())
    }

    /// Returns the contents of the cache.
    pub(crate) fn contents(&self) -> CacheContents {
        let entries = self.prefixes.iter();
        CacheContents {
            capacity: self.capacity,
            used: self.used,
            entries: entries.map(|(h, prefix)| entry(h, prefix.tokens)).collect(),
        }
    }

    fn evict_until_fits(&mut self, tokens: u64) -> Changes {
        let mut changes = Changes::new();
        while self.used + tokens > self.capacity {
            let Some(handle) = self.least_recently_used() else {
                return changes;
            };
            if let Some(prefix) = self.remove(&handle) {
                changes.push((CacheChange::Evicted, entry(&handle, prefix.tokens)));
            }
        }
        changes
    }

    fn least_recently_used(&self) -> Option<String> {
        let oldest = self.prefixes.iter().min_by_key(|(_, p)| p.last_use);
        oldest.map(|(handle, _)| handle.clone())
    }

    fn remove(&mut self, handle: &str) -> Option<Prefix> {
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
