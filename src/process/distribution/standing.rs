//! How current a host's configuration is.

use std::sync::Arc;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// Number of an uninterrupted period during which a host is listed as live.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Term(pub u64);

/// How current a host's configuration is, in ascending order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// No configuration is loaded yet, so the host cannot serve.
    #[default]
    Starting,
    /// Loaded from a saved file, its own or another host's, or before the host's
    /// lease lapsed: valid, but changes that are in force may be missing.
    Saved,
    /// Loaded from the platform or from a host that is current itself.
    Current,
}

/// A standing with the term in which it was reached.
///
/// Changes come into force without the confirmation of a host that is not
/// listed as live. Configuration from an earlier term is therefore not current.
#[derive(Clone, Copy, Debug, Default)]
pub struct TermStanding {
    standing: Standing,
    term: Option<Term>,
}

impl TermStanding {
    /// The standing if the current term is `term`, which is `None` while the
    /// host is not listed.
    pub fn in_term(self, term: Option<Term>) -> Standing {
        if term.is_some() && term == self.term {
            return self.standing;
        }
        self.standing.min(Standing::Saved)
    }

    /// Returns the standing after an answer in the current term from a source
    /// that was queried in the term `queried_in`.
    ///
    /// A source that is [`Standing::Starting`] raises nothing, so two hosts that
    /// start together do not count each other as a source.
    #[must_use]
    pub fn with_source(
        self,
        source: Standing,
        queried_in: Option<Term>,
        current: Option<Term>,
    ) -> Self {
        let same_term = queried_in.is_some() && queried_in == current;
        let granted = match same_term {
            true => source,
            false => source.min(Standing::Saved),
        };
        Self {
            standing: self.in_term(current).max(granted),
            term: current,
        }
    }
}

/// Standing of a host, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedStanding(Arc<Mutex<TermStanding>>);

impl SharedStanding {
    /// The standing if the current term is `term`.
    pub(super) fn in_term(&self, term: Option<Term>) -> Standing {
        self.0.lock().in_term(term)
    }

    /// Raises the standing after a source has answered.
    pub(super) fn raise(&self, source: Standing, queried_in: Option<Term>, current: Option<Term>) {
        let mut standing = self.0.lock();
        *standing = standing.with_source(source, queried_in, current);
    }
}
