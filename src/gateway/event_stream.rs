//! Splits the bytes of a server-sent event stream into events.

use bytes::Bytes;
use bytes::BytesMut;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::ReservedBytes;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Bytes that a stream may buffer without a reservation, as part of the memory of its
/// connections. Events of sound engines are smaller.
const FREE_BYTES: usize = 16 << 10;

/// One complete event with its closing blank line, or blank lines between
/// events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Id, if the event has one.
    pub id: Option<u64>,
    /// Bytes of the event as received, with the closing blank line.
    pub bytes: Bytes,
    /// Whether it consists of blank lines only and so is no event.
    pub is_blank: bool,
}

/// Why received bytes cannot be buffered.
#[derive(Debug, thiserror::Error)]
pub enum FeedError {
    /// An event exceeds the size limit.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// A large event does not fit the memory for those of all streams.
    #[error("a large event does not fit the memory: {0}")]
    Memory(#[from] BodyError),
}

/// Result of buffering received bytes.
pub type Result<T> = std::result::Result<T, FeedError>;

/// Buffers received bytes and returns complete events.
#[derive(Debug)]
pub struct Splitter {
    buf: BytesMut,
    memory: BodyMemory,
    /// Memory of the buffer, if it is large.
    reserved: Option<ReservedBytes>,
}

impl Splitter {
    /// Creates an empty buffer. Large events share `memory` with those of other
    /// streams.
    pub fn new(memory: &BodyMemory) -> Self {
        Self {
            buf: BytesMut::new(),
            memory: memory.clone(),
            reserved: None,
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`FeedError`] if the buffered bytes exceed the maximum size, or do not
    /// fit the memory.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<()> {
        let length = self.buf.len() + bytes.len();
        if length > MAX_EVENT_BYTES {
            return Err(FeedError::TooLarge);
        }
        if length > FREE_BYTES && length > self.buf.capacity() {
            self.grow(length.next_power_of_two())?;
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Moves the buffered bytes into a larger buffer, whose memory is reserved.
    fn grow(&mut self, capacity: usize) -> Result<()> {
        let reserved = self.memory.reserve(capacity)?;
        let mut buf = BytesMut::with_capacity(capacity);
        buf.extend_from_slice(&self.buf);
        self.buf = buf;
        self.reserved = Some(reserved);
        Ok(())
    }

    /// Removes and returns the next event; `None` until it is complete.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = event_end(&self.buf) else {
            self.release();
            return None;
        };
        let bytes = self.buf.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            is_blank: bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n')),
            bytes,
        })
    }

    /// Whether the buffer holds the beginning of an event.
    pub fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards all buffered bytes.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.release();
    }

    /// Gives a large buffer back once little is left in it.
    fn release(&mut self) {
        if self.reserved.is_some() && self.buf.len() <= FREE_BYTES {
            self.buf = BytesMut::from(&self.buf[..]);
            self.reserved = None;
        }
    }
}

/// Returns the position after the blank line that ends the first event, or after
/// the blank lines before it if there are several.
fn event_end(buf: &[u8]) -> Option<usize> {
    let blank_lines = blank_lines_end(buf);
    if buf[..blank_lines].iter().filter(|b| **b == b'\n').count() > 1 {
        return Some(blank_lines);
    }
    let mut line_start = 0;
    for (index, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..index];
        let is_blank = matches!(line, b"" | b"\r");
        // A single blank line before an event belongs to it.
        if is_blank && line_start > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Returns the position after the blank lines at the beginning.
fn blank_lines_end(buf: &[u8]) -> usize {
    let blank_line_length = |rest: &[u8]| match rest {
        [b'\n', ..] => Some(1),
        [b'\r', b'\n', ..] => Some(2),
        _ => None,
    };
    let mut end = 0;
    while let Some(length) = blank_line_length(&buf[end..]) {
        end += length;
    }
    end
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let text = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
