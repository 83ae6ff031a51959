//! Splits the bytes of a server-sent event stream into events.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 256 << 10;

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

/// Error for an event that exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct TooLarge;

/// Buffers received bytes and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
}

impl Splitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`TooLarge`] if the buffered bytes exceed the maximum size.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        Ok(())
    }

    /// Removes and returns the next event; `None` until it is complete.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buf)?;
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
