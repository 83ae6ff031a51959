//! The output of a turn, collected from the events of its stream.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::ReservedBytes;

/// First step in which memory is reserved, in bytes. Later steps double it.
const MIN_RESERVED_BYTES: usize = 4 << 10;

/// Why an output cannot be collected.
#[derive(Debug, thiserror::Error)]
pub enum OutputError {
    /// It is longer than the limit, in bytes.
    #[error("the output is longer than {0} bytes")]
    TooLarge(usize),
    /// It does not fit the memory for bodies.
    #[error("the output does not fit the memory: {0}")]
    Memory(#[from] BodyError),
}

/// Result of collecting output.
pub type Result<T> = std::result::Result<T, OutputError>;

/// Output of a turn so far: the data of each event, followed by a line feed.
#[derive(Debug)]
pub struct Output {
    text: BytesMut,
    max_bytes: usize,
    reserved: ReservedBytes,
    reserved_bytes: usize,
}

impl Output {
    /// Creates an empty output that may grow to `max_bytes` bytes.
    pub fn new(max_bytes: usize, memory: &BodyMemory) -> Self {
        Self {
            text: BytesMut::new(),
            max_bytes,
            reserved: memory.start_body(),
            reserved_bytes: 0,
        }
    }

    /// Appends the data of an event. An event without a data field adds nothing.
    ///
    /// # Errors
    ///
    /// Returns [`OutputError`] if the output becomes too large or no memory is left.
    pub fn push_event(&mut self, event: &[u8]) -> Result<()> {
        let mut has_data = false;
        // The data of an event is never longer than its bytes.
        self.reserve(event.len() + 1)?;
        for line in event.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(data) = data_of(line) else {
                continue;
            };
            if has_data {
                self.text.put_u8(b'\n');
            }
            has_data = true;
            self.text.put_slice(data);
        }
        if has_data {
            self.text.put_u8(b'\n');
        }
        if self.text.len() > self.max_bytes {
            return Err(OutputError::TooLarge(self.max_bytes));
        }
        Ok(())
    }

    /// Returns the collected text.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Returns the collected text, in memory of its size.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.text)
    }

    fn reserve(&mut self, bytes: usize) -> Result<()> {
        let needed = self.text.len() + bytes;
        if needed > self.reserved_bytes {
            let capacity = needed.max(self.reserved_bytes * 2).max(MIN_RESERVED_BYTES);
            self.reserved.grow(capacity - self.reserved_bytes)?;
            self.reserved_bytes = capacity;
            self.text.reserve(capacity - self.text.len());
        }
        Ok(())
    }
}

/// Returns the value of a data field; `None` for another line.
fn data_of(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"data")?;
    match value {
        [] => Some(value),
        [b':', b' ', data @ ..] | [b':', data @ ..] => Some(data),
        _ => None,
    }
}
