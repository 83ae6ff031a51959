//! Generated text and its encoding; the text depends only on the request.

use serde_json::Value;
use serde_json::json;

use super::chat::AssistantText;
use super::chat::ChatAnswer;
use super::chat::ChatRequest;
use super::chat::Choice;
use super::chat::Usage;
use crate::digest;

/// Minimum number of words in an answer: digest, message count and `end`.
const MIN_WORDS: u32 = 3;
/// Number of hexadecimal digits of the digest that an answer contains.
const DIGEST_DIGITS: usize = 16;
/// Last word of a complete answer.
const LAST_WORD: &str = "end";
/// Last event of a complete stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the text generated for a conversation.
///
/// The text starts with a digest of all messages and the number of messages,
/// and ends with the word `end`, so a caller can verify that an answer is
/// complete and belongs to its request.
pub fn expected_text(messages: &[Value], max_tokens: u32) -> String {
    generate_words(messages, max_tokens).concat()
}

/// Returns the text as words, one per token; all but the last end in a space.
pub(crate) fn generate_words(messages: &[Value], max_tokens: u32) -> Vec<String> {
    let conversation = Value::from(messages).to_string();
    let digest = digest::sha256_hex(conversation.as_bytes());
    let filler = MIN_WORDS..max_tokens.max(MIN_WORDS);
    let mut words = vec![
        format!("{} ", &digest[..DIGEST_DIGITS]),
        format!("messages={} ", messages.len()),
    ];
    words.extend(filler.map(|n| format!("w{n} ")));
    words.push(LAST_WORD.to_owned());
    words
}

/// Returns a generated text as the message that the next request contains.
pub fn assistant_message(text: &str) -> Value {
    json!({ "role": "assistant", "content": text })
}

/// Encodes the answer of one run.
#[derive(Clone, Debug)]
pub(crate) struct AnswerWriter {
    id: String,
    model: String,
}

impl AnswerWriter {
    /// Creates a writer for run number `run`.
    pub(crate) fn new(run: u64, req: &ChatRequest) -> Self {
        Self {
            id: format!("run-{run}"),
            model: req.model.clone(),
        }
    }

    /// Returns the complete answer as one JSON object.
    pub(crate) fn full_answer(&self, text: String, usage: Usage) -> ChatAnswer {
        let choice = Choice {
            index: 0,
            delta: None,
            message: Some(assistant_text(text)),
            finish_reason: Some("stop".to_owned()),
        };
        self.chat_answer("chat.completion", choice, Some(usage))
    }

    /// Returns the event that carries one word.
    pub(crate) fn word_event(&self, word: &str) -> String {
        let choice = Choice {
            index: 0,
            delta: Some(assistant_text(word.to_owned())),
            message: None,
            finish_reason: None,
        };
        sse_event(&self.chat_answer("chat.completion.chunk", choice, None))
    }

    /// Returns the final events, including the token usage.
    pub(crate) fn end_events(&self, usage: Usage) -> String {
        let choice = Choice {
            index: 0,
            delta: Some(AssistantText::default()),
            message: None,
            finish_reason: Some("stop".to_owned()),
        };
        let last = sse_event(&self.chat_answer("chat.completion.chunk", choice, Some(usage)));
        last + DONE_EVENT
    }

    fn chat_answer(&self, object: &str, choice: Choice, usage: Option<Usage>) -> ChatAnswer {
        ChatAnswer {
            id: self.id.clone(),
            object: object.to_owned(),
            model: self.model.clone(),
            choices: vec![choice],
            usage,
        }
    }
}

fn assistant_text(text: String) -> AssistantText {
    AssistantText {
        role: Some("assistant".to_owned()),
        content: text,
    }
}

fn sse_event(answer: &ChatAnswer) -> String {
    let json = serde_json::to_string(answer).expect("typed values always encode as JSON");
    format!("data: {json}\n\n")
}
