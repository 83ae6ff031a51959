//! Index of the engines that probably have a program's prompt prefix cached.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::units::Moment;

/// Maximum number of holders kept for one program.
const MAX_HOLDERS: usize = 3;

/// State of a program's prompt prefix at the chosen endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Prefix {
    /// The endpoint has the prefix cached.
    Held {
        /// Number of cached tokens, which need no prefill.
        tokens: u64,
    },
    /// Moving the prefix from another endpoint is cheaper than a prefill.
    Move {
        /// Endpoint that has the prefix cached.
        from: EndpointId,
        /// Number of tokens cached there.
        tokens: u64,
    },
    /// The endpoint has no part of the prefix.
    Cold,
}

/// An endpoint that has a program's prefix cached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Number of cached tokens.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    last_used: Moment,
    /// Most recently used first.
    holders: Vec<Holder>,
}

/// Holders by program, inferred from this host's calls and the token usage in
/// their answers; evicts the least recently used programs.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    entries: HashMap<ProgramId, Entry>,
    by_last_use: BTreeSet<(Moment, ProgramId)>,
}

impl PrefixIndex {
    /// Endpoints that have the program's prefix cached, most recent first.
    pub fn holders(&self, program: &ProgramId) -> &[Holder] {
        let entry = self.entries.get(program);
        entry.map_or(&[], |entry| entry.holders.as_slice())
    }

    /// Number of the program's tokens cached at an endpoint.
    pub fn cached_tokens(&self, program: &ProgramId, endpoint: &EndpointId) -> u64 {
        let mut holders = self.holders(program).iter();
        let holder = holders.find(|holder| holder.endpoint == *endpoint);
        holder.map_or(0, |holder| holder.tokens)
    }

    /// Records that an endpoint has `tokens` of the program cached; 0 removes
    /// the endpoint.
    ///
    /// Evicts the least recently used programs beyond `max_programs`.
    pub fn record(
        &mut self,
        now: Moment,
        program: &ProgramId,
        endpoint: &EndpointId,
        tokens: u64,
        max_programs: usize,
    ) {
        let entry = self.entries.entry(program.clone()).or_default();
        self.by_last_use.remove(&(entry.last_used, program.clone()));
        entry.last_used = now;
        entry.holders.retain(|holder| holder.endpoint != *endpoint);
        if tokens > 0 {
            let endpoint = endpoint.clone();
            entry.holders.insert(0, Holder { endpoint, tokens });
            entry.holders.truncate(MAX_HOLDERS);
        }
        if entry.holders.is_empty() {
            self.entries.remove(program);
        } else {
            self.by_last_use.insert((now, program.clone()));
        }
        self.evict_excess(max_programs);
    }

    /// Removes a program.
    pub fn remove(&mut self, program: &ProgramId) {
        if let Some(entry) = self.entries.remove(program) {
            self.by_last_use.remove(&(entry.last_used, program.clone()));
        }
    }

    /// Number of programs in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_excess(&mut self, max_programs: usize) {
        while self.entries.len() > max_programs {
            let Some((_, program)) = self.by_last_use.pop_first() else {
                return;
            };
            self.entries.remove(&program);
        }
    }
}
