//! Reads the assistant's message out of a completion.

use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use crate::version::history::Message;

/// Start of an event's data line in an event stream.
const DATA: &str = "data:";
/// Data that ends a streamed completion.
const DONE: &str = "[DONE]";

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

/// The message of a completion that came as one JSON value.
pub fn message(text: &str) -> Option<Message> {
    let completion: Completion<'_> = serde_json::from_str(text).ok()?;
    let choice = completion.choices.first()?;
    Message::new(choice.message.get().to_owned()).ok()
}

/// The message of a streamed completion; absent unless it came to its end.
pub fn streamed_message(text: &str) -> Option<Message> {
    let mut content = String::new();
    let mut is_done = false;
    let data = text.lines().filter_map(|line| line.strip_prefix(DATA));
    for data in data.map(str::trim) {
        if data == DONE {
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
