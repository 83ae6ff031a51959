//! Segments of a held history and the verification of their chain.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest as _;
use sha2::Sha256;

use super::Message;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::version::journal::Digest;

/// The recorded history is incomplete before this turn.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("the recorded history has a gap before turn {0}")]
pub struct Gap(pub Ordinal);

/// Identifies the last turn of a conversation in a caller's request.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, PartialEq, SerializeDisplay)]
pub struct Tip {
    /// Ordinal of the call that completed the turn.
    pub ordinal: Ordinal,
    /// Digest of the turn's segment and, through the chain, of all earlier ones.
    pub digest: Digest,
}

impl Tip {
    /// The tip of a conversation without turns.
    pub const NONE: Self = Self {
        ordinal: Ordinal(0),
        digest: Digest([0; 32]),
    };
}

impl fmt::Display for Tip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ordinal, hex::encode(self.digest.0))
    }
}

/// The text is not a valid tip.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("a tip is an ordinal, a dot and 64 hexadecimal digits")]
pub struct InvalidTip;

impl FromStr for Tip {
    type Err = InvalidTip;

    fn from_str(text: &str) -> Result<Self, InvalidTip> {
        let (ordinal, digits) = text.split_once('.').ok_or(InvalidTip)?;
        let mut digest = [0; 32];
        hex::decode_to_slice(digits, &mut digest).map_err(|_| InvalidTip)?;
        Ok(Self {
            ordinal: Ordinal(ordinal.parse().map_err(|_| InvalidTip)?),
            digest: Digest(digest),
        })
    }
}

/// A completed turn of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Turn {
    /// New messages of the call.
    pub asked: Vec<Message>,
    /// Messages of the answer.
    pub answered: Vec<Message>,
}

/// One stored turn, linked to the previous one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Ordinal of the call that completed the turn.
    pub ordinal: Ordinal,
    /// Epoch of the owner that ran the call.
    pub epoch: Epoch,
    /// Ordinal of the previous turn, 0 for the first turn.
    pub previous: Ordinal,
    /// Digest of the previous segment, zeros for the first turn.
    pub previous_digest: Digest,
    /// Messages of the turn.
    pub turn: Turn,
}

impl Segment {
    /// Digest of the segment and, through the chain, of all earlier ones.
    pub fn digest(&self) -> Digest {
        let bytes = serde_json::to_vec(self).expect("typed values always encode as JSON");
        Digest(Sha256::digest(bytes).into())
    }

    /// Messages of the turn, the call's before the answer's.
    pub fn messages(&self) -> impl Iterator<Item = &Message> {
        self.turn.asked.iter().chain(&self.turn.answered)
    }

    /// Total length of the messages, in bytes.
    pub fn bytes(&self) -> usize {
        self.messages().map(|message| message.as_str().len()).sum()
    }
}

/// Name of the object that holds a segment.
pub fn segment_name(program: &ProgramId, ordinal: Ordinal) -> String {
    format!("{}{ordinal}", segment_prefix(program))
}

/// Common prefix of the object names of a program's segments.
pub fn segment_prefix(program: &ProgramId) -> String {
    format!("{program}.")
}

/// Sorts segments and verifies their chain, back from the newest.
///
/// A segment that is not linked from the newest one was written late by a
/// former owner and is not part of the history.
pub(super) fn verify_chain(segments: Vec<Segment>) -> Result<Vec<Segment>, Gap> {
    let by_ordinal = |segment: Segment| (segment.ordinal, segment);
    let mut found: BTreeMap<Ordinal, Segment> = segments.into_iter().map(by_ordinal).collect();
    let Some((_, newest)) = found.pop_last() else {
        return Ok(Vec::new());
    };
    let mut chain = vec![newest];
    while let Some(last) = chain.last()
        && last.previous != Ordinal(0)
    {
        let gap = Gap(last.ordinal);
        let previous = found.remove(&last.previous).ok_or(gap)?;
        if previous.digest() != last.previous_digest || previous.ordinal >= last.ordinal {
            return Err(gap);
        }
        chain.push(previous);
    }
    chain.reverse();
    Ok(chain)
}
