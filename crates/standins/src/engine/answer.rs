//! The text that the engine generates, a function of the request alone.

use serde_json::Value;
use serde_json::json;

use super::chat::AssistantText;
use super::chat::ChatAnswer;
use super::chat::ChatRequest;
use super::chat::Choice;
use super::chat::Usage;
use crate::digest;

/// Fewest words of an answer: a digest, a count and a last word.
const MIN_WORDS: u32 = 3;
/// Hexadecimal digits of the digest in an answer.
const DIGEST_DIGITS: usize = 16;
/// Last word of a whole answer.
const LAST_WORD: &str = "end";
/// Last event of a whole stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The text generated for a conversation.
///
/// It starts with a digest of all messages and their number, and ends with the
/// word `end`, so a caller can tell that it got the whole answer to its request.
pub fn expected_text(messages: &[Value], max_tokens: u32) -> String {
    words(messages, max_tokens).concat()
}

/// The text as words, one for each token, each but the last followed by a space.
pub(crate) fn words(messages: &[Value], max_tokens: u32) -> Vec<String> {
    let conversation = Value::from(messages).to_string();
    let digest = digest::hex(conversation.as_bytes());
    let filler = MIN_WORDS..max_tokens.max(MIN_WORDS);
    let mut words = vec![
        format!("{} ", &digest[..DIGEST_DIGITS]),
        format!("messages={} ", messages.len()),
    ];
    words.extend(filler.map(|n| format!("w{n} ")));
    words.push(LAST_WORD.to_owned());
    words
}

/// The generated message as it appears in the next request's conversation.
pub fn assistant_message(text: &str) -> Value {
    json!({ "role": "assistant", "content": text })
}

/// Writes the answer of one run.
#[derive(Clone, Debug)]
pub(crate) struct AnswerWriter {
    id: String,
    model: String,
}

impl AnswerWriter {
    /// A writer for the run of that number.
    pub(crate) fn new(run: u64, req: &ChatRequest) -> Self {
        Self {
            id: format!("run-{run}"),
            model: req.model.clone(),
        }
    }

    /// The whole answer in one piece.
    pub(crate) fn whole(&self, text: String, usage: Usage) -> ChatAnswer {
        let choice = Choice {
            index: 0,
            delta: None,
            message: Some(assistant(text)),
            finish_reason: Some("stop".to_owned()),
        };
        self.answer("chat.completion", choice, Some(usage))
    }

    /// The event of one word.
    pub(crate) fn word_event(&self, word: &str) -> String {
        let choice = Choice {
            index: 0,
            delta: Some(assistant(word.to_owned())),
            message: None,
            finish_reason: None,
        };
        event(&self.answer("chat.completion.chunk", choice, None))
    }

    /// The last events, with the tokens used.
    pub(crate) fn end_events(&self, usage: Usage) -> String {
        let choice = Choice {
            index: 0,
            delta: Some(AssistantText::default()),
            message: None,
            finish_reason: Some("stop".to_owned()),
        };
        let last = event(&self.answer("chat.completion.chunk", choice, Some(usage)));
        last + DONE_EVENT
    }

    fn answer(&self, object: &str, choice: Choice, usage: Option<Usage>) -> ChatAnswer {
        ChatAnswer {
            id: self.id.clone(),
            object: object.to_owned(),
            model: self.model.clone(),
            choices: vec![choice],
            usage,
        }
    }
}

fn assistant(text: String) -> AssistantText {
    AssistantText {
        role: Some("assistant".to_owned()),
        content: text,
    }
}

fn event(answer: &ChatAnswer) -> String {
    let json = serde_json::to_string(answer).expect("typed values always encode as JSON");
    format!("data: {json}\n\n")
}
