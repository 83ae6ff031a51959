//! Conversation history of programs, carried by the caller or held by the owner.
//!
//! Carried history is forwarded unchanged. Held history is stored as a chain of
//! [`Segment`]s, one for each completed turn; [`Conversation`] is its in-memory
//! copy at the owner, without I/O or clock.

mod conversation;
mod message;
mod segment;

use serde::Deserialize;
use serde::Serialize;

pub use super::engine_memory::CacheHandle;
pub use conversation::Assembled;
pub use conversation::Conversation;
pub use conversation::TurnRequest;
pub use message::InvalidMessage;
pub use message::Message;
pub use segment::Gap;
pub use segment::InvalidTip;
pub use segment::Segment;
pub use segment::Tip;
pub use segment::Turn;
pub use segment::segment_name;
pub use segment::segment_prefix;

/// Kind of the platform objects that hold history segments.
pub const HISTORY_KIND: &str = "history";

/// Whether the caller or the owner keeps the conversation of a program.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryMode {
    /// The caller sends the whole conversation with each call.
    #[default]
    Carried,
    /// The caller sends new messages only; the owner keeps the rest.
    Held,
}
