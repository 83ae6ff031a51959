//! What is known of one caller's request.

use std::borrow::Cow;
use std::time::Duration;

use http::HeaderMap;

use super::routes::KeyHash;

/// Fields of a caller's request that the scheduler reads.
#[derive(Clone, Debug)]
pub struct CallMeta {
    /// Id of this attempt of the caller.
    pub id: Box<str>,
    /// Name of the host that the caller addressed.
    pub host: Box<str>,
    /// Hash of the caller's key.
    pub key: Option<KeyHash>,
    /// Time that the caller will wait.
    pub time_left: Option<Duration>,
    /// Object that the call concerns.
    pub affinity: Option<Box<str>>,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// Present if the call generates tokens.
    pub prompt: Option<Prompt>,
    /// Program that the call belongs to.
    pub program: Option<ProgramMeta>,
    /// Headers that go on to an endpoint.
    pub forwarded: HeaderMap,
}

/// Tokens that an object counts as when an endpoint that has not seen it
/// lately is weighed: its work is small beside that of a prompt.
const OBJECT_TOKENS: u64 = 400;

impl CallMeta {
    /// What an endpoint is faster for having seen: the parts of the prompt, or
    /// the object that the call concerns if that matters on its route.
    pub fn known_parts(&self, is_sticky: bool) -> Cow<'_, [PromptPart]> {
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

/// The prompt of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Most tokens that the call generates.
    pub max_output: u64,
    /// Parts in order; calls share leading parts.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identity of the part's content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a call says of its program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramMeta {
    /// Id of the program.
    pub id: Box<str>,
    /// Session of the call within the program: one sequence of turns. Empty if
    /// the caller names none.
    pub session: Box<str>,
    /// Time until the whole program should be finished.
    pub time_left: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<u64>,
}

/// Rank of a call at an engine; 0 is first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency(pub u8);
