//! Settings structs, one module for each part, all with `Default`.

use std::fmt::Debug;

pub mod caller;
pub mod distribution;
pub mod drain;
pub mod endpoints;
pub mod gateway;
pub mod history;
pub mod host;
pub mod journal;
pub mod limit;
pub mod load;
pub mod membership;
pub mod operator;
pub mod peer;
pub mod place;
pub mod platform;
pub mod queue;
pub mod retry;

/// A setting that is out of its range.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("`{field}` must be {allowed}")]
pub struct OutOfRange {
    /// Name of the setting within its table.
    pub field: &'static str,
    /// The allowed range, in words.
    pub allowed: String,
}

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, OutOfRange>;

/// Checks that a setting lies between two bounds, both allowed.
///
/// # Errors
///
/// [`OutOfRange`] with the setting's name and range.
pub fn within<T: Copy + Debug + PartialOrd>(
    field: &'static str,
    value: T,
    min: T,
    max: T,
) -> Result<()> {
    let holds = min <= value && value <= max;
    require(field, holds, || format!("{min:?} to {max:?}"))
}

/// Checks that what is allowed of a setting holds.
///
/// # Errors
///
/// [`OutOfRange`] with the setting's name and what is allowed, in words.
pub fn require<A: Into<String>>(
    field: &'static str,
    holds: bool,
    allowed: impl FnOnce() -> A,
) -> Result<()> {
    if holds {
        return Ok(());
    }
    let allowed = allowed().into();
    Err(OutOfRange { field, allowed })
}
