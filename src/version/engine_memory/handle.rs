//! Handles that identify caches at model engines.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::ProgramId;

/// The text is not a cache handle of the scheduler.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("`{0}` is not a cache handle: customer/program/epoch is expected")]
pub struct HandleError(String);

/// Identifies the cache of a program at a model engine.
///
/// The handle includes the customer and the owner's epoch, so that an engine
/// cannot serve a program from another program's cache.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct CacheHandle {
    /// Customer of the program.
    pub customer: CustomerId,
    /// Program that the cache belongs to.
    pub program: ProgramId,
    /// Epoch of the partition's owner that dispatched calls with this handle.
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
        parse_handle(text).ok_or_else(|| HandleError(text.to_owned()))
    }
}

fn parse_handle(text: &str) -> Option<CacheHandle> {
    let mut segments = text.split('/');
    let handle = CacheHandle {
        customer: segments.next()?.parse().ok()?,
        program: segments.next()?.parse().ok()?,
        epoch: Epoch(segments.next()?.parse().ok()?),
    };
    // Only the canonical spelling is a handle of the scheduler.
    (handle.to_string() == text).then_some(handle)
}
