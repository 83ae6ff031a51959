//! Request rates that endpoints in need announce in their answers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::units::Moment;

/// What one answer of an endpoint says about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// It announces none, so an earlier one has ended.
    Absent,
    /// Requests per second that it takes from all hosts together; finite and
    /// not negative.
    PerSecond(f64),
    /// It announces one that is not a rate. An earlier one stays in force.
    Unreadable,
}

/// Difference that a notice makes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before, in requests per second; `None` if there was none.
    pub before: Option<f64>,
    /// Limit from now on, in requests per second; `None` if it has ended.
    pub per_s: Option<f64>,
}

/// A limit as one host tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedLimit {
    /// Name of the endpoint's service.
    pub service: Arc<str>,
    /// Id of the endpoint.
    pub endpoint: Box<str>,
    /// Its start time in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// Requests a second that it takes from all hosts together.
    pub per_s: f64,
    /// Time in milliseconds since it last said so to the sender.
    pub age_ms: u64,
}

/// The newest known limit of one process of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncedLimit {
    per_s: Option<f64>,
    /// When the endpoint answered so; `None` before its first answer.
    answered_at: Option<Moment>,
}

impl AnnouncedLimit {
    /// The state before an endpoint's first answer.
    pub const NONE: Self = Self {
        per_s: None,
        answered_at: None,
    };

    /// Records what the endpoint answered at `at`, unless a later answer is
    /// known. Returns the change, if there is any.
    pub fn record(&mut self, notice: LimitNotice, at: Moment) -> Option<LimitChange> {
        let per_s = match notice {
            LimitNotice::Absent => None,
            LimitNotice::PerSecond(per_s) => Some(per_s),
            LimitNotice::Unreadable => return None,
        };
        if self.answered_at.is_some_and(|known| known > at) {
            return None;
        }
        let change = LimitChange {
            before: self.per_s,
            per_s,
        };
        self.answered_at = Some(at);
        self.per_s = per_s;
        (change.before != change.per_s).then_some(change)
    }

    /// Limit in requests per second; `None` if there is none.
    pub const fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// When the endpoint last answered, with a limit or without; `None` before
    /// its first answer.
    pub const fn answered_at(&self) -> Option<Moment> {
        self.answered_at
    }
}
