//! Answers to statements.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::table::Table;
use crate::ids::ProgramId;
use crate::ids::Version;
use crate::process::distribution::InForce;
use crate::process::distribution::withdraw::Recorded;
use crate::process::distribution::withdraw::Withdrawal;
use crate::version::catalogue::ObjectId;
use crate::version::objects::KeyRef;

/// Exit code of `ctl` if rows of some hosts are missing.
const EXIT_PARTIAL: u8 = 8;

/// Exit code of `ctl` if an accepted change is not yet confirmed by every host
/// or a withdrawal is not yet recorded.
const EXIT_NOT_IN_FORCE: u8 = 9;

/// Secret of a new key or operator, in plain text. It is returned once and
/// never stored; `Debug` does not print it.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// An accepted change of one object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The changed object.
    pub object: ObjectId,
    /// Version of the object after the change.
    pub version: Version,
    /// Secret of the new key; `None` unless the command granted one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<Secret>,
    /// Hosts that apply the change; `None` if the command did not wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<InForce>,
}

/// Result of withdrawing a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawn {
    /// The withdrawn key.
    pub key: KeyRef,
    /// Hosts that were reached, and whether the withdrawal is recorded.
    pub withdrawal: Withdrawal,
    /// Hosts that apply the recorded withdrawal; `None` if the command did not
    /// wait or the withdrawal is not recorded yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<InForce>,
}

/// Answer to a statement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// A change was accepted.
    Accepted(Accepted),
    /// A program was cancelled.
    Cancelled(ProgramId),
    /// Rows that match a query.
    Table(Table),
    /// A key was withdrawn.
    Withdrawn(Withdrawn),
}

impl Answer {
    /// Returns the exit code of `ctl` for this answer.
    pub fn exit_code(&self) -> u8 {
        let complete =
            |in_force: &Option<InForce>| in_force.as_ref().is_none_or(InForce::is_complete);
        match self {
            Self::Cancelled(_) => 0,
            Self::Table(table) if table.is_complete() => 0,
            Self::Table(_) => EXIT_PARTIAL,
            Self::Accepted(accepted) if complete(&accepted.in_force) => 0,
            Self::Withdrawn(withdrawn) if withdrawn.is_complete() => 0,
            Self::Accepted(_) | Self::Withdrawn(_) => EXIT_NOT_IN_FORCE,
        }
    }
}

impl Withdrawn {
    /// Whether every live host applies the withdrawal and it is recorded.
    pub fn is_complete(&self) -> bool {
        let confirmed = self.in_force.as_ref().is_some_and(InForce::is_complete);
        let reached = self.withdrawal.missed.is_empty() || confirmed;
        reached && matches!(self.withdrawal.recorded, Recorded::At(_))
    }
}
