//! Conversation history of programs, carried by the caller or held.
//!
//! Carried history is passed through untouched. Held history is kept as a
//! chain of [`Segment`]s, one for each completed turn; [`Conversation`] is the
//! owner's copy of it, without I/O or clock.

mod conversation;
mod message;
mod segment;

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

pub use conversation::Assembled;
pub use conversation::Conversation;
pub use conversation::TurnRequest;
pub use message::Message;
pub use message::NotAMessage;
pub use segment::Gap;
pub use segment::NotATip;
pub use segment::Segment;
pub use segment::Tip;
pub use segment::Turn;
pub use segment::segment_name;
pub use segment::segment_prefix;

use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::ProgramId;

/// Kind of the platform objects that hold segments.
pub const HISTORY_KIND: &str = "history";

/// Who keeps the conversation of a program.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryMode {
    /// Each call's body holds the whole conversation.
    #[default]
    Carried,
    /// Calls hold the new messages only; the owner keeps the rest.
    Held,
}

/// Name of a program's prefix at the engines.
///
/// It names the customer, the program and the owner's epoch, so that it is
/// never used for anything else, nor again after a takeover.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CacheHandle {
    /// The customer whose program it is.
    pub customer: CustomerId,
    /// The program.
    pub program: ProgramId,
    /// Epoch of the owner that created it.
    pub epoch: Epoch,
}

impl fmt::Display for CacheHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.customer, self.program, self.epoch)
    }
}
