//! Names of caches at engines.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::ProgramId;

/// A text that is not a cache handle of the scheduler.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("`{0}` is not a cache handle: customer/program/epoch is expected")]
pub struct HandleError(String);

/// Names the cache of a program at a model engine.
///
/// The handle holds the customer and the owner's epoch, so no engine can
/// answer one program from another's cache.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct CacheHandle {
    /// The program's customer.
    pub customer: CustomerId,
    /// The program.
    pub program: ProgramId,
    /// Epoch of the owner that dispatched with this handle.
    pub epoch: Epoch,
}

impl fmt::Display for CacheHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            customer,
            program,
            epoch,
        } = self;
        write!(f, "{customer}/{program}/{epoch}")
    }
}

impl FromStr for CacheHandle {
    type Err = HandleError;

    fn from_str(text: &str) -> Result<Self, HandleError> {
        parse(text).ok_or_else(|| HandleError(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<CacheHandle> {
    let mut parts = text.split('/');
    let handle = CacheHandle {
        customer: parts.next()?.parse().ok()?,
        program: parts.next()?.parse().ok()?,
        epoch: Epoch(parts.next()?.parse().ok()?),
    };
    // Only the canonical spelling names a cache of the scheduler.
    (handle.to_string() == text).then_some(handle)
}
