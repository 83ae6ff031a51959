//! Settings structs, one module for each part. All but the settings of a host
//! implement `Default`.

use std::fmt::Debug;

pub mod balance;
pub mod caller;
pub mod distribution;
pub mod door;
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
pub mod resources;
pub mod retry;
pub mod turns;

/// Error of a setting that is out of range.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("`{field}` must be {allowed}")]
pub struct OutOfRange {
    /// Name of the setting within its table.
    pub field: &'static str,
    /// Description of the allowed range.
    pub allowed: String,
}

/// Result of a check of settings.
pub type Result<T> = std::result::Result<T, OutOfRange>;

/// Checks that a setting is between `min` and `max`, both inclusive.
///
/// # Errors
///
/// Returns [`OutOfRange`] with the name and the range of the setting.
pub fn check_range<T: Copy + Debug + PartialOrd>(
    field: &'static str,
    value: T,
    min: T,
    max: T,
) -> Result<()> {
    let holds = min <= value && value <= max;
    require(field, holds, || format!("{min:?} to {max:?}"))
}

/// Checks that a condition on a setting holds.
///
/// # Errors
///
/// Returns [`OutOfRange`] with the name of the setting and the description
/// that `allowed` returns.
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
