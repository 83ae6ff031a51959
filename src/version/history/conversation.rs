//! In-memory copy of a held conversation at its owner.

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
    /// Customer, program and owner epoch of the conversation.
    pub handle: CacheHandle,
    /// Position of the call in its program.
    pub ordinal: Ordinal,
    /// The last turn whose answer the caller has received.
    ///
    /// `None` means the turn of the call just before this one.
    pub after: Option<Tip>,
    /// New messages of the call.
    pub messages: Vec<Message>,
}

/// Messages assembled for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Assembled {
    /// The call has to run with the whole conversation, followed by its new
    /// messages.
    Run(Vec<Message>),
    /// The turn is already complete with these answer messages.
    Complete(Vec<Message>),
}

/// In-memory copy of a held conversation at its owner.
///
/// Invariant `whole-history`: a call runs with all turns up to the last one that
/// its caller has received, or it does not run.
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

    /// Handle of the conversation's prefix in the caches of engines.
    pub fn handle(&self) -> &CacheHandle {
        &self.handle
    }

    /// Total length of the messages, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Turns that are not yet stored in the platform, oldest first.
    pub fn pending(&self) -> &[Segment] {
        &self.segments[self.stored_len..]
    }

    /// The last turn, [`Tip::NONE`] if there is none.
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

    /// Upper bound of the bytes that the messages add to a request: their own
    /// lengths and one separator each.
    pub fn encoded_bytes(&self) -> usize {
        let messages = self.segments.iter().map(|s| s.messages().count());
        self.bytes + messages.sum::<usize>()
    }

    /// Assembles the messages that a call runs with.
    ///
    /// # Errors
    ///
    /// [`Gap`] if the last turn is not the last one that the caller has received.
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

    /// Appends a completed turn, which is pending until it is stored.
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

    /// Records that the oldest pending turn is stored; ignores any other ordinal.
    pub fn mark_stored(&mut self, ordinal: Ordinal) {
        let next = self.pending().first().map(|segment| segment.ordinal);
        if next == Some(ordinal) {
            self.stored_len += 1;
        }
    }
}
