//! Metadata of one caller's request.

use std::borrow::Cow;
use std::time::Duration;

use http::HeaderMap;

use super::routes::KeyHash;

/// Fields of a caller's request that the scheduler reads.
#[derive(Clone, Debug)]
pub struct CallMeta {
    /// Id of the caller's request; identifies one attempt of the caller.
    pub id: Box<str>,
    /// Value of the caller's `Host` header without the port.
    pub host: Box<str>,
    /// Hash of the caller's key; `None` if it sent none.
    pub key: Option<KeyHash>,
    /// Time for which the caller waits, from receipt; `None` if not stated.
    pub time_left: Option<Duration>,
    /// Affinity key: the object that the call works on.
    pub affinity: Option<Box<str>>,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// Id of the caller's attempt that received the first event of the stream
    /// to resume.
    pub resumed_attempt: Option<Box<str>>,
    /// Id of the turn that the call continues, on a route that keeps its turns;
    /// `None` for the first turn of a chain.
    pub previous_turn: Option<Box<str>>,
    /// The prompt; `None` if the call generates no tokens.
    pub prompt: Option<Prompt>,
    /// Program that the call belongs to, if any.
    pub program: Option<ProgramMeta>,
    /// Headers that are forwarded to the endpoint.
    pub forwarded: HeaderMap,
}

/// Length of the prompt, in tokens, that an object counts as in the choice of
/// an endpoint. Loading an object is little work compared with reading a
/// prompt.
const OBJECT_TOKENS: u64 = 400;

impl CallMeta {
    /// Length of the prompt that the caller states, in tokens; `None` if the call
    /// generates no tokens.
    pub fn stated_tokens(&self) -> Option<u64> {
        let prompt = self.prompt.as_ref()?;
        let parts = prompt.parts.iter();
        let in_parts = parts.fold(0u64, |sum, part| sum.saturating_add(part.tokens));
        Some(prompt.tokens.max(in_parts))
    }

    /// Whether the call takes up a stream of which its caller has events.
    pub fn resumes_stream(&self) -> bool {
        self.resume_after
            .is_some_and(|event| event > 0 || self.resumed_attempt.is_some())
    }

    /// Whether the time of the call's program is over.
    pub fn is_late(&self) -> bool {
        let program = self.program.as_ref();
        program.is_some_and(|program| program.time_left == Some(Duration::ZERO))
    }

    /// Id of the stream: that of the caller's attempt that received, or will
    /// receive, its first event.
    pub fn stream_id(&self) -> &str {
        let resumed = self.resumed_attempt.as_deref();
        resumed
            .filter(|_| self.resumes_stream())
            .unwrap_or(&self.id)
    }

    /// Parts of the call that an endpoint may have cached: those of the prompt
    /// or, on a sticky route, the call's object.
    pub fn cacheable_parts(&self, is_sticky: bool) -> Cow<'_, [PromptPart]> {
        match (&self.prompt, &self.affinity) {
            (Some(prompt), _) if !prompt.parts.is_empty() => Cow::Borrowed(&prompt.parts),
            (_, Some(object)) if is_sticky => Cow::Owned(vec![PromptPart {
                id: super::hash_of(object),
                tokens: OBJECT_TOKENS,
            }]),
            _ => Cow::Borrowed(&[]),
        }
    }
}

/// Size and parts of a call's prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Maximum number of tokens that the call generates.
    pub max_output: u64,
    /// Parts in order. Prompts with the same leading parts share a prefix.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the content; equal content has an equal id.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// Metadata of the program that a call belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramMeta {
    /// Id of the program.
    pub id: Box<str>,
    /// Session of the call within the program: one sequence of turns. Empty if
    /// the caller names none.
    pub session: Box<str>,
    /// Time until the deadline of the whole program.
    pub time_left: Option<Duration>,
    /// Maximum number of tokens that all turns of the program generate.
    pub budget: Option<u64>,
}

/// Urgency of a call at an engine; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency(pub u8);
