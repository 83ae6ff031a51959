//! Texts of recent turns, bounded in memory.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bytes::Bytes;

use super::key::TurnKey;
use crate::ids::HostId;
use crate::protection::homes::Homes;
use crate::units::Moment;

/// Fraction of the cache that one turn may use, as a divisor.
const MAX_ENTRY_DIVISOR: usize = 4;
/// Memory of an entry beside its text and names, in bytes.
const ENTRY_BYTES: usize = 256;

/// The whole text of a turn: what its engine received, and its output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedTurn {
    /// Texts before the output.
    pub input: Bytes,
    /// Output of the turn.
    pub output: Bytes,
    /// Archive hosts that have its record.
    pub holders: Vec<HostId>,
    /// Regions in which the texts must stay.
    pub homes: Homes,
    /// Tokens of the text; `None` if they are not known.
    pub tokens: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    turn: CachedTurn,
    expires: Moment,
    /// Position in the order of use.
    used: u64,
    bytes: usize,
}

/// Turns by customer and id. The least recently used ones make room for new ones.
#[derive(Debug)]
pub struct TurnCache {
    max_bytes: usize,
    bytes: usize,
    entries: HashMap<TurnKey, Entry>,
    by_use: BTreeMap<u64, TurnKey>,
    uses: u64,
}

impl TurnCache {
    /// Creates a cache of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Memory that is used now, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns a turn of a customer, unless it has expired.
    pub fn get(&mut self, customer: &str, id: &str, now: Moment) -> Option<CachedTurn> {
        let key = TurnKey::new(customer, id);
        let entry = self.entries.get_mut(&key)?;
        if entry.expires <= now {
            self.remove(&key);
            return None;
        }
        self.uses += 1;
        self.by_use.remove(&entry.used);
        entry.used = self.uses;
        self.by_use.insert(entry.used, key);
        Some(entry.turn.clone())
    }

    /// Adds a turn, unless it would take too large a part of the cache.
    pub fn insert(&mut self, customer: &str, id: &str, turn: CachedTurn, expires: Moment) {
        let key = TurnKey::new(customer, id);
        let bytes = turn.input.len() + turn.output.len() + key.bytes() + ENTRY_BYTES;
        self.remove(&key);
        if bytes > self.max_bytes / MAX_ENTRY_DIVISOR {
            return;
        }
        while self.bytes + bytes > self.max_bytes {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.remove(&oldest);
        }
        self.uses += 1;
        self.bytes += bytes;
        self.by_use.insert(self.uses, key.clone());
        let entry = Entry {
            turn,
            expires,
            used: self.uses,
            bytes,
        };
        self.entries.insert(key, entry);
    }

    /// Removes the least recently used turns that have expired.
    pub fn expire(&mut self, now: Moment) {
        while let Some((_, key)) = self.by_use.first_key_value() {
            if self.entries.get(key).is_some_and(|e| e.expires > now) {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &TurnKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry.bytes;
            self.by_use.remove(&entry.used);
        }
    }
}
