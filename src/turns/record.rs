//! Records of kept turns, and the frames in which they are stored and sent.
//!
//! A frame consists of the length of what follows the checksum (u32, big endian),
//! the CRC-32 of that (u32), the number of the format (u8), the length of the head
//! (u32), the head as JSON, and the text.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;

use super::key::TurnKey;
use crate::ids::HostId;
use crate::protection::homes::Homes;

/// Number of the format. Records of format 1 were found by their ids alone.
const FORMAT: u8 = 2;
/// Bytes of length and checksum.
const PREFIX_BYTES: usize = 8;
/// Bytes of the format's number and the head's length.
const HEAD_PREFIX_BYTES: usize = 5;
/// Maximum length of a frame after the checksum, in bytes: a chain as large as a
/// body may be, and its head.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a frame cannot be read.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum RecordError {
    /// The bytes end before the frame does.
    #[error("the frame is not complete")]
    Incomplete,
    /// The checksum does not match.
    #[error("the frame is damaged")]
    Damaged,
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("the frame is too large")]
    TooLarge,
    /// The frame is whole, and of a format that this release does not know.
    #[error("the frame has the unknown format {format}")]
    UnknownFormat {
        /// Number of the format.
        format: u8,
        /// Length of the frame, in bytes.
        bytes: usize,
    },
    /// The checksum matches, but the head cannot be read.
    #[error("the frame has an invalid head")]
    InvalidHead,
}

/// Result of reading a frame.
pub type Result<T> = std::result::Result<T, RecordError>;

/// What a record says beside the text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordHead {
    /// Id of the turn: that of the caller's request.
    pub id: Box<str>,
    /// Customer to whom the turn belongs; empty if there is none.
    #[serde(default)]
    pub customer: Box<str>,
    /// Turn whose text comes before this one's; `None` if the record has the whole
    /// text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<Box<str>>,
    /// When the turn ended, in Unix milliseconds.
    pub ended_ms: u64,
    /// How long it is kept after that, in milliseconds.
    pub retention_ms: u64,
    /// Archive hosts that hold the record.
    #[serde(default)]
    pub holders: Vec<HostId>,
    /// Regions in which the archive hosts that hold it must be.
    #[serde(default, skip_serializing_if = "Homes::is_anywhere")]
    pub homes: Homes,
    /// Tokens of the whole text up to the end of this turn; `None` if its caller
    /// did not state them, or the record is of an earlier release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<u64>,
}

impl RecordHead {
    /// Key of the turn.
    pub fn key(&self) -> TurnKey {
        TurnKey::new(&self.customer, &self.id)
    }

    /// Key of the turn before. A turn is continued by its own customer only.
    pub fn previous_key(&self) -> Option<TurnKey> {
        let previous = self.previous.as_deref()?;
        Some(TurnKey::new(&self.customer, previous))
    }
}

/// A kept turn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// What it says beside the text.
    pub head: RecordHead,
    /// Input and output of the turn, after the whole text before them if the head
    /// names no turn before.
    pub text: Bytes,
}

impl Record {
    /// Appends the record's frame.
    ///
    /// # Panics
    ///
    /// Never: the head always encodes as JSON, and its length fits 32 bits.
    pub fn encode(&self, buf: &mut BytesMut) {
        let head = serde_json::to_vec(&self.head).expect("typed fields always encode as JSON");
        let length = |bytes: usize| u32::try_from(bytes).expect("records are far below 4 GB");
        let start = buf.len();
        let body_bytes = HEAD_PREFIX_BYTES + head.len() + self.text.len();
        buf.reserve(PREFIX_BYTES + body_bytes);
        buf.put_u32(length(body_bytes));
        buf.put_u32(0);
        buf.put_u8(FORMAT);
        buf.put_u32(length(head.len()));
        buf.put_slice(&head);
        buf.put_slice(&self.text);
        let checksum = crc32fast::hash(&buf[start + PREFIX_BYTES..]);
        buf[start + 4..start + PREFIX_BYTES].copy_from_slice(&checksum.to_be_bytes());
    }

    /// Returns the record's frame.
    pub fn to_frame(&self) -> Bytes {
        let mut buf = BytesMut::new();
        self.encode(&mut buf);
        buf.freeze()
    }

    /// Removes the first frame from `bytes` and decodes it; `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if there is no valid frame; `bytes` is unchanged
    /// then.
    pub fn decode(bytes: &mut Bytes) -> Result<Option<Self>> {
        if bytes.is_empty() {
            return Ok(None);
        }
        let mut rest = bytes.clone();
        if rest.len() < PREFIX_BYTES {
            return Err(RecordError::Incomplete);
        }
        let length = usize::try_from(rest.get_u32()).unwrap_or(usize::MAX);
        let checksum = rest.get_u32();
        if length > MAX_FRAME_BYTES {
            return Err(RecordError::TooLarge);
        }
        if rest.len() < length {
            return Err(RecordError::Incomplete);
        }
        let mut body = rest.split_to(length);
        if crc32fast::hash(&body) != checksum {
            return Err(RecordError::Damaged);
        }
        match body.try_get_u8() {
            Ok(FORMAT) => (),
            Ok(format) => {
                let bytes = PREFIX_BYTES + length;
                return Err(RecordError::UnknownFormat { format, bytes });
            }
            Err(_) => return Err(RecordError::InvalidHead),
        }
        if body.len() < HEAD_PREFIX_BYTES - 1 {
            return Err(RecordError::InvalidHead);
        }
        let head_bytes = usize::try_from(body.get_u32()).unwrap_or(usize::MAX);
        if body.len() < head_bytes {
            return Err(RecordError::InvalidHead);
        }
        let head = body.split_to(head_bytes);
        let head = serde_json::from_slice(&head).map_err(|_| RecordError::InvalidHead)?;
        *bytes = rest;
        Ok(Some(Self { head, text: body }))
    }
}
