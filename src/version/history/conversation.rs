//! The owner's copy of one held conversation.

use super::CacheHandle;
use super::Gap;
use super::Message;
use super::Segment;
use super::Tip;
use super::Turn;
use super::segment::verify_chain;
use crate::ids::Ordinal;

/// A call that continues a held conversation.
#[derive(Clone, Debug)]
pub struct TurnRequest {
    /// Whose conversation it is, and at which epoch it is owned.
    pub handle: CacheHandle,
    /// The call's position in its program.
    pub ordinal: Ordinal,
    /// The last turn whose answer the caller has.
    ///
    /// A caller that names none means the call just before this one.
    pub after: Option<Tip>,
    /// The messages that the call brings.
    pub messages: Vec<Message>,
}

/// What a call has to run with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Assembled {
    /// The whole conversation with the new messages at its end.
    Run(Vec<Message>),
    /// The turn is complete already; these are the messages of its answer.
    Complete(Vec<Message>),
}

/// The owner's copy of one held conversation.
///
/// Invariant `whole-history`: a call runs with all turns up to the one that
/// its caller has seen last, or it does not run.
#[derive(Clone, Debug)]
pub struct Conversation {
    handle: CacheHandle,
    segments: Vec<Segment>,
    stored_len: usize,
    bytes: usize,
}

impl Conversation {
    /// Rebuilds a conversation from its stored segments, in any order.
    ///
    /// # Errors
    ///
    /// [`Gap`] if a segment is missing or does not fit the one before it.
    pub fn rebuild(handle: CacheHandle, segments: Vec<Segment>) -> Result<Self, Gap> {
        let segments = verify_chain(segments)?;
        let bytes = segments.iter().map(Segment::bytes).sum();
        let stored_len = segments.len();
        Ok(Self {
            handle,
            segments,
            stored_len,
            bytes,
        })
    }

    /// Name of its prefix at the engines.
    pub fn handle(&self) -> &CacheHandle {
        &self.handle
    }

    /// Length of its messages, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Turns that wait for the platform.
    pub fn pending(&self) -> &[Segment] {
        &self.segments[self.stored_len..]
    }

    /// The last turn.
    pub fn tip(&self) -> Tip {
        let last = self.segments.last();
        last.map_or(Tip::NONE, |last| Tip {
            ordinal: last.ordinal,
            digest: last.digest(),
        })
    }

    fn last_ordinal(&self) -> Ordinal {
        let last = self.segments.last();
        last.map(|last| last.ordinal).unwrap_or_default()
    }

    /// Upper bound of what the messages add to a request, in bytes: their own
    /// lengths and a separator for each.
    pub fn encoded_bytes(&self) -> usize {
        let messages = self.segments.iter().map(|s| s.messages().count());
        self.bytes + messages.sum::<usize>()
    }

    /// Gives the messages that a call runs with.
    ///
    /// # Errors
    ///
    /// [`Gap`] if the last turn is not the one that the caller has seen last.
    pub fn assemble(&self, req: &TurnRequest) -> Result<Assembled, Gap> {
        if let Some(turn) = self.completed_turn(req) {
            return Ok(Assembled::Complete(turn.answered.clone()));
        }
        let last = self.last_ordinal();
        let is_contiguous = match req.after {
            Some(after) => after == self.tip(),
            None => last.next() == req.ordinal,
        };
        if !is_contiguous || last >= req.ordinal {
            return Err(Gap(req.ordinal));
        }
        let held = self.segments.iter().flat_map(Segment::messages);
        Ok(Assembled::Run(held.chain(&req.messages).cloned().collect()))
    }

    fn completed_turn(&self, req: &TurnRequest) -> Option<&Turn> {
        let last = self.segments.last()?;
        let is_same = last.ordinal == req.ordinal && last.turn.asked == req.messages;
        is_same.then_some(&last.turn)
    }

    /// Adds a completed turn, which then waits for the platform.
    pub fn push(&mut self, ordinal: Ordinal, turn: Turn) {
        let Tip {
            ordinal: previous,
            digest: previous_digest,
        } = self.tip();
        assert!(ordinal > previous, "whole-history");
        let segment = Segment {
            ordinal,
            epoch: self.handle.epoch,
            previous,
            previous_digest,
            turn,
        };
        self.bytes += segment.bytes();
        self.segments.push(segment);
    }

    /// Notes that the oldest waiting turn is in the platform.
    pub fn mark_stored(&mut self, ordinal: Ordinal) {
        let next = self.pending().first().map(|segment| segment.ordinal);
        if next == Some(ordinal) {
            self.stored_len += 1;
        }
    }
}
