//! Which engine is believed to hold the prefix of which program.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::units::Moment;

/// Holders remembered for one program.
const MAX_HOLDERS: usize = 3;

/// What a chosen endpoint has of the program's prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Prefix {
    /// It holds this many tokens of it.
    Held {
        /// Tokens that need no processing.
        tokens: u64,
    },
    /// Moving it from another endpoint is cheaper than processing it again.
    Move {
        /// Endpoint that holds it.
        from: EndpointId,
        /// Tokens held there.
        tokens: u64,
    },
    /// Nothing.
    Cold,
}

/// A prefix held at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Tokens held.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    used: Moment,
    /// The one that was used last comes first.
    holders: Vec<Holder>,
}

/// Holders by program, from own dispatches and what answers reported.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    entries: HashMap<ProgramId, Entry>,
    by_use: BTreeSet<(Moment, ProgramId)>,
}

impl Prefixes {
    /// Endpoints that hold a prefix of the program.
    pub fn holders(&self, program: &ProgramId) -> &[Holder] {
        let entry = self.entries.get(program);
        entry.map_or(&[], |entry| entry.holders.as_slice())
    }

    /// Tokens of the program that an endpoint holds.
    pub fn held(&self, program: &ProgramId, endpoint: &EndpointId) -> u64 {
        let mut holders = self.holders(program).iter();
        let holder = holders.find(|holder| holder.endpoint == *endpoint);
        holder.map_or(0, |holder| holder.tokens)
    }

    /// Records that an endpoint holds `tokens` of the program, or nothing.
    ///
    /// Of more than `most` programs the one unused for longest is forgotten.
    pub fn set(
        &mut self,
        now: Moment,
        program: &ProgramId,
        endpoint: &EndpointId,
        tokens: u64,
        most: usize,
    ) {
        let entry = self.entries.entry(program.clone()).or_default();
        self.by_use.remove(&(entry.used, program.clone()));
        entry.used = now;
        entry.holders.retain(|holder| holder.endpoint != *endpoint);
        if tokens > 0 {
            let endpoint = endpoint.clone();
            entry.holders.insert(0, Holder { endpoint, tokens });
            entry.holders.truncate(MAX_HOLDERS);
        }
        if entry.holders.is_empty() {
            self.entries.remove(program);
        } else {
            self.by_use.insert((now, program.clone()));
        }
        self.shrink(most);
    }

    /// Forgets everything about a program.
    pub fn forget(&mut self, program: &ProgramId) {
        if let Some(entry) = self.entries.remove(program) {
            self.by_use.remove(&(entry.used, program.clone()));
        }
    }

    /// Number of programs that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no program is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn shrink(&mut self, most: usize) {
        while self.entries.len() > most {
            let Some((_, program)) = self.by_use.pop_first() else {
                return;
            };
            self.entries.remove(&program);
        }
    }
}
