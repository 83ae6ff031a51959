//! Requests and answers of the chat completions API.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Number of JSON bytes counted as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// A chat completion request; unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Messages of the conversation, oldest first.
    pub messages: Vec<Value>,
    /// Maximum number of tokens to generate; `None` for the engine's default.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Name of the model, returned in the answer.
    #[serde(default)]
    pub model: String,
}

/// Returns the number of tokens in a message.
pub fn message_tokens(message: &Value) -> u64 {
    let bytes = message.to_string().len() as u64;
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// Token usage of a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
}

/// An assistant message or a delta of one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssistantText {
    /// Always `assistant`; `None` in the last chunk of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Generated text; empty in the last chunk of a stream.
    #[serde(default)]
    pub content: String,
}

/// A choice of a complete answer or of a chunk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Part of the message; `None` in a complete answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<AssistantText>,
    /// The full message; `None` in a chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<AssistantText>,
    /// Why generation ended; `None` before the last chunk.
    pub finish_reason: Option<String>,
}

/// A complete answer, or one chunk of a streamed answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatAnswer {
    /// Id of the run that generated the answer: `run-` and its number.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Model name from the request.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<Choice>,
    /// Token usage; `None` before the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}
