//! Extracts the assistant's message from a chat completion.

use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use crate::version::history::Message;

/// Prefix of a data line in a server-sent event.
const DATA_PREFIX: &str = "data:";
/// Data of the event that ends a streamed completion.
const END_MARKER: &str = "[DONE]";

#[derive(Deserialize)]
struct Completion<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    message: &'a RawValue,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Returns the message of the first choice of a non-streamed completion; `None`
/// if the text is not a valid completion.
pub fn parse_message(text: &str) -> Option<Message> {
    let completion: Completion<'_> = serde_json::from_str(text).ok()?;
    let choice = completion.choices.first()?;
    Message::new(choice.message.get().to_owned()).ok()
}

/// Returns the message assembled from the chunks of a streamed completion;
/// `None` if a chunk is invalid or the end marker is missing.
pub fn parse_streamed_message(text: &str) -> Option<Message> {
    let mut content = String::new();
    let mut is_done = false;
    let data = text
        .lines()
        .filter_map(|line| line.strip_prefix(DATA_PREFIX));
    for data in data.map(str::trim) {
        if data == END_MARKER {
            is_done = true;
            continue;
        }
        let chunk: Chunk = serde_json::from_str(data).ok()?;
        let first = chunk.choices.into_iter().next();
        content.push_str(
            &first
                .and_then(|choice| choice.delta.content)
                .unwrap_or_default(),
        );
    }
    let message = json!({"role": "assistant", "content": content});
    is_done.then(|| Message::new(message.to_string()).ok())?
}
