//! Settings structs, one module for each part, all with `Default`.

use std::fmt::Debug;

pub mod caller;
pub mod distribution;
pub mod drain;
pub mod endpoints;
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
#[error("`{field}` is {value}; allowed is {min} to {max}")]
pub struct OutOfRange {
    /// Name of the setting within its table.
    pub field: &'static str,
    /// Its value.
    pub value: String,
    /// Smallest allowed value.
    pub min: String,
    /// Largest allowed value.
    pub max: String,
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
    if min <= value && value <= max {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        value: format!("{value:?}"),
        min: format!("{min:?}"),
        max: format!("{max:?}"),
    })
}
