//! Bodies that are buffered until complete, and the limit on the memory of all
//! of them together.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;

use crate::body::BodyError;
use crate::body::Result;
use crate::connections::Connections;
use crate::connections::Limit;
use crate::connections::LimitCounts;

/// Largest piece of a body whose length is not known, in bytes.
const MAX_PIECE_BYTES: usize = 64 << 10;

/// Most connections that are closed for the memory of one body.
const MAX_RELIEFS: usize = 8;

/// Limit on the memory of all bodies that are held at the same time; clones
/// share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    limit: Arc<MemoryLimit>,
    /// Connections of which one is closed if the memory is full and the
    /// connection makes no progress.
    relief: Connections,
    counts: LimitCounts,
}

#[derive(Debug)]
struct MemoryLimit {
    reserved: AtomicUsize,
    max_bytes: usize,
    /// Limit on this memory and others together.
    whole: Option<Arc<MemoryLimit>>,
}

impl MemoryLimit {
    fn add(&self, bytes: usize) -> bool {
        let add = |reserved: usize| {
            let sum = reserved.checked_add(bytes)?;
            (sum <= self.max_bytes).then_some(sum)
        };
        let added = self
            .reserved
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        if added.is_err() {
            return false;
        }
        let fits_whole = self.whole.as_ref().is_none_or(|whole| whole.add(bytes));
        if !fits_whole {
            self.reserved.fetch_sub(bytes, Ordering::AcqRel);
        }
        fits_whole
    }

    fn release(&self, bytes: usize) {
        self.reserved.fetch_sub(bytes, Ordering::AcqRel);
        if let Some(whole) = &self.whole {
            whole.release(bytes);
        }
    }
}

impl BodyMemory {
    /// Allows all bodies together at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self::with_limit(MemoryLimit {
            reserved: AtomicUsize::new(0),
            max_bytes,
            whole: None,
        })
    }

    /// Returns a part of this memory with a limit of its own.
    #[must_use]
    pub fn part(&self, max_bytes: usize) -> Self {
        Self::with_limit(MemoryLimit {
            reserved: AtomicUsize::new(0),
            max_bytes,
            whole: Some(Arc::clone(&self.limit)),
        })
    }

    fn with_limit(limit: MemoryLimit) -> Self {
        Self {
            limit: Arc::new(limit),
            relief: Connections::default(),
            counts: LimitCounts::default(),
        }
    }

    /// Closes connections that make no progress when the memory is full, and
    /// counts the bodies for which that is not enough.
    #[must_use]
    pub fn relieved_by(self, connections: Connections, counts: LimitCounts) -> Self {
        Self {
            relief: connections,
            counts,
            ..self
        }
    }

    /// Returns the memory that is reserved now, in bytes.
    pub fn reserved(&self) -> usize {
        self.limit.reserved.load(Ordering::Acquire)
    }

    /// Reserves memory for a body that is not received, such as an answer.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::MemoryFull`] if it does not fit beside other bodies.
    pub fn reserve(&self, bytes: usize) -> Result<ReservedBytes> {
        let mut reserved = self.start_body();
        reserved.grow(bytes)?;
        Ok(reserved)
    }

    /// Reserves memory like [`BodyMemory::reserve`], and closes connections
    /// without progress if it is full.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::MemoryFull`] if that is not enough.
    pub async fn reserve_relieved(&self, bytes: usize) -> Result<ReservedBytes> {
        let mut reserved = self.start_body();
        self.grow(&mut reserved, bytes).await?;
        Ok(reserved)
    }

    async fn grow(&self, reserved: &mut ReservedBytes, bytes: usize) -> Result<()> {
        for attempt in 0..MAX_RELIEFS {
            if reserved.grow(bytes).is_ok() {
                return Ok(());
            }
            if !self.relief.free_memory(attempt == 0).await {
                break;
            }
        }
        let grown = reserved.grow(bytes);
        if grown.is_err() {
            self.counts.count(Limit::Memory);
        }
        grown
    }

    /// Begins a body of which nothing is reserved yet.
    pub fn start_body(&self) -> ReservedBytes {
        ReservedBytes {
            limit: Arc::clone(&self.limit),
            bytes: 0,
        }
    }
}

/// Memory reserved for one body; released on drop.
#[derive(Debug)]
pub struct ReservedBytes {
    limit: Arc<MemoryLimit>,
    bytes: usize,
}

impl ReservedBytes {
    /// Reserves more memory.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::MemoryFull`] if it does not fit the memory beside the
    /// others; what was reserved before stays so.
    pub fn grow(&mut self, bytes: usize) -> Result<()> {
        if !self.limit.add(bytes) {
            return Err(BodyError::MemoryFull(self.limit.max_bytes));
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Keeps the memory reserved until the last clone of the bytes is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(SharedBytes {
            bytes,
            _reserved: self,
        })
    }

    fn shrink(&mut self, bytes: usize) {
        let released = bytes.min(self.bytes);
        self.bytes -= released;
        self.limit.release(released);
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// A complete body in pieces. Its memory is released piece by piece as it is
/// sent.
#[derive(Debug)]
pub struct BufferedBody {
    pieces: VecDeque<BytesMut>,
    /// Bytes in all pieces.
    length: usize,
    reserved: ReservedBytes,
    memory: BodyMemory,
}

impl BufferedBody {
    /// Reads a whole body of at most `max_bytes` bytes. Memory is reserved as
    /// it is received, also if its length is declared.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] above the limit,
    /// [`BodyError::MemoryFull`] if it does not fit the memory beside other
    /// bodies, and any error of the body itself.
    pub async fn read<B>(body: B, memory: &BodyMemory, max_bytes: usize) -> Result<Self>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
        B::Error: Into<BodyError>,
    {
        let mut buffered = Self::empty(memory);
        buffered.receive(body, max_bytes).await?;
        Ok(buffered)
    }

    /// Reads a whole body like [`BufferedBody::read`] into one piece of memory,
    /// which stays reserved until the [`ReservedBytes`] are dropped. A declared
    /// length is reserved at once.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`BufferedBody::read`].
    pub async fn read_contiguous<B>(
        body: B,
        memory: &BodyMemory,
        max_bytes: usize,
    ) -> Result<(Bytes, ReservedBytes)>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
        B::Error: Into<BodyError>,
    {
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if declared > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        let mut buffered = Self::empty(memory);
        if declared > 0 {
            buffered.add_piece(declared).await?;
        }
        buffered.receive(body, max_bytes).await?;
        buffered.into_contiguous().await
    }

    /// Reads a whole body like [`BufferedBody::read_contiguous`]. Its memory stays
    /// reserved until the last clone of the bytes is dropped.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`BufferedBody::read`].
    pub async fn read_shared<B>(body: B, memory: &BodyMemory, max_bytes: usize) -> Result<Bytes>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
        B::Error: Into<BodyError>,
    {
        let (bytes, reserved) = Self::read_contiguous(body, memory, max_bytes).await?;
        Ok(reserved.hold(bytes))
    }

    /// Creates a body from bytes in memory, for which `reserved` was reserved. It
    /// is released as the body is sent.
    pub fn new(mut bytes: BytesMut, reserved: ReservedBytes) -> Self {
        let length = bytes.len();
        let mut pieces = VecDeque::new();
        while bytes.len() > MAX_PIECE_BYTES {
            pieces.push_back(bytes.split_to(MAX_PIECE_BYTES));
        }
        pieces.push_back(bytes);
        let memory = BodyMemory {
            limit: Arc::clone(&reserved.limit),
            relief: Connections::default(),
            counts: LimitCounts::default(),
        };
        Self {
            pieces,
            length,
            reserved,
            memory,
        }
    }

    fn empty(memory: &BodyMemory) -> Self {
        Self {
            pieces: VecDeque::new(),
            length: 0,
            reserved: memory.start_body(),
            memory: memory.clone(),
        }
    }

    async fn receive<B>(&mut self, mut body: B, max_bytes: usize) -> Result<()>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
        B::Error: Into<BodyError>,
    {
        while let Some(frame) = body.frame().await {
            let Ok(bytes) = frame.map_err(Into::into)?.into_data() else {
                continue;
            };
            if self.length + bytes.len() > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            self.append(&bytes).await?;
        }
        Ok(())
    }

    /// Copies received bytes, whose own memory may be far larger than they are.
    async fn append(&mut self, mut bytes: &[u8]) -> Result<()> {
        while !bytes.is_empty() {
            let room = |piece: &mut BytesMut| piece.capacity() - piece.len();
            if self.pieces.back_mut().map_or(0, room) == 0 {
                let capacity = bytes.len().max(self.length).min(MAX_PIECE_BYTES);
                self.add_piece(capacity).await?;
            }
            if let Some(piece) = self.pieces.back_mut() {
                let (taken, rest) = bytes.split_at(room(piece).min(bytes.len()));
                piece.extend_from_slice(taken);
                self.length += taken.len();
                bytes = rest;
            }
        }
        Ok(())
    }

    async fn add_piece(&mut self, capacity: usize) -> Result<()> {
        self.grow(capacity).await?;
        self.pieces.push_back(BytesMut::with_capacity(capacity));
        Ok(())
    }

    /// Reserves memory, and closes connections without progress if it is full.
    async fn grow(&mut self, bytes: usize) -> Result<()> {
        self.memory.grow(&mut self.reserved, bytes).await
    }

    fn take_piece(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.length -= piece.len();
        self.reserved.shrink(piece.capacity());
        Some(piece.freeze())
    }

    async fn into_contiguous(mut self) -> Result<(Bytes, ReservedBytes)> {
        if self.pieces.len() <= 1 {
            let piece = self.pieces.pop_front().unwrap_or_default();
            return Ok((piece.freeze(), self.reserved));
        }
        self.grow(self.length).await?;
        let mut whole = BytesMut::with_capacity(self.length);
        while let Some(piece) = self.take_piece() {
            whole.extend_from_slice(&piece);
        }
        Ok((whole.freeze(), self.reserved))
    }
}

/// Bytes with the memory that is reserved for them.
struct SharedBytes {
    bytes: Bytes,
    _reserved: ReservedBytes,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl http_body::Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let piece = self.get_mut().take_piece();
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}
