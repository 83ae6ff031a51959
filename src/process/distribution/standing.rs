//! How much a host's configuration can be relied on.

use std::sync::Arc;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// Number of an uninterrupted period during which a host is listed as live.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Term(pub u64);

/// How much a host's configuration can be relied on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Nothing yet: the host cannot serve.
    #[default]
    Starting,
    /// From a saved file, its own or another host's, or from before the host's
    /// lease lapsed: sound, but changes in force may be missing.
    Saved,
    /// From the platform, or from a host that is current itself.
    Current,
}

/// The standing that a host gained, and in which term.
///
/// A host that is not listed is not asked whether it applies a change. What it
/// learned before therefore does not count as current in a later term.
#[derive(Clone, Copy, Debug, Default)]
pub struct TermStanding {
    standing: Standing,
    term: Option<Term>,
}

impl TermStanding {
    /// The standing in the present term, if the host is listed.
    pub fn in_term(self, term: Option<Term>) -> Standing {
        if term.is_some() && term == self.term {
            return self.standing;
        }
        self.standing.min(Standing::Saved)
    }

    /// Takes what a source gives that was asked in `asked` and has answered in
    /// the present term.
    ///
    /// A host that is starting vouches for nothing, so two hosts that start
    /// together do not take each other for a source.
    #[must_use]
    pub fn with_source(self, source: Standing, asked: Option<Term>, current: Option<Term>) -> Self {
        let listed = asked.is_some() && asked == current;
        let gained = match listed {
            true => source,
            false => source.min(Standing::Saved),
        };
        Self {
            standing: self.in_term(current).max(gained),
            term: current,
        }
    }
}

/// A host's standing, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct StandingCell(Arc<Mutex<TermStanding>>);

impl StandingCell {
    /// The standing in the present term.
    pub(super) fn in_term(&self, term: Option<Term>) -> Standing {
        self.0.lock().in_term(term)
    }

    /// Takes what a source gives.
    pub(super) fn raise(&self, source: Standing, asked: Option<Term>, current: Option<Term>) {
        let mut standing = self.0.lock();
        *standing = standing.with_source(source, asked, current);
    }
}
