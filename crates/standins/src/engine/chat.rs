//! Requests and answers of the chat completions interface.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Bytes of a message that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// A request for a completion; other fields are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// The conversation so far.
    pub messages: Vec<Value>,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// True if the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Name of the model, returned in the answer.
    #[serde(default)]
    pub model: String,
}

/// Tokens of one message.
pub fn tokens_of(message: &Value) -> u64 {
    let bytes = message.to_string().len() as u64;
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// Tokens that a call used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were in the cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// A message of the assistant, or a part of one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AssistantText {
    /// Always `assistant`, absent in the parts after the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Generated text.
    #[serde(default)]
    pub content: String,
}

/// One choice of a whole answer or of a chunk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Part of the message in a chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<AssistantText>,
    /// The message in a whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<AssistantText>,
    /// Why generation ended; absent before the last chunk.
    pub finish_reason: Option<String>,
}

/// A whole answer, or one chunk of a streamed one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatAnswer {
    /// Names the run that made it.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Name of the model in the request.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Tokens used; absent before the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}
