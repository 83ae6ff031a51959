//! Conversation history of programs, carried by the caller or held.

use serde::Deserialize;
use serde::Serialize;

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
