//! Thread that writes the turn log. All records that arrive during a sync go
//! into the next one.

use std::collections::HashSet;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::Duration;

use async_channel::Sender;
use bytes::Buf;
use bytes::Bytes;
use chicoryarch_net::buffered::ReservedBytes;

use super::Shared;
use super::directory;
use super::directory::DIRECTORY_BYTES;
use super::directory::MAX_FRAMES;
use super::index::Admission;
use super::index::Position;
use super::index::SparseSegment;
use super::segments::Segments;
use crate::process::events::unix_ms;
use crate::turns::TurnKey;
use crate::turns::record::Record;
use crate::turns::record::RecordError;
use crate::turns::record::RecordHead;
use crate::units::Moment;

/// Size from which the next segment is begun, in bytes. A segment is deleted as
/// a whole, so that a smaller one frees its space earlier.
pub(super) const SEGMENT_BYTES: u64 = 4 << 20;
/// Size from which a batch takes no further requests, in bytes.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Interval at which expired segments are deleted.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Divisor of the limit of the log that gives the size from which sparse segments
/// are compacted.
const COMPACTION_DIVISOR: u64 = 2;
/// Time after a failed write in which nothing is written. Each attempt begins a
/// new segment.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// A record to be stored, with its frame as received.
#[derive(Clone, Debug)]
pub struct Received {
    /// The decoded record; its text shares the memory of the frame.
    pub record: Record,
    /// The frame.
    pub frame: Bytes,
}

impl Received {
    /// Decodes all frames of a body. Also returns the number of those that were
    /// skipped, since this release does not know their format.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if another frame is not valid.
    pub fn decode_all(mut body: Bytes) -> Result<(Vec<Self>, usize), RecordError> {
        let mut received = Vec::new();
        let mut skipped = 0;
        loop {
            let before = body.clone();
            match Record::decode(&mut body) {
                Ok(Some(record)) => {
                    let frame = before.slice(..before.len() - body.len());
                    received.push(Self { record, frame });
                }
                Ok(None) => return Ok((received, skipped)),
                Err(RecordError::UnknownFormat { bytes, .. }) => {
                    body.advance(bytes);
                    skipped += 1;
                }
                Err(e) => return Err(e),
            }
        }
    }
}

/// Result of storing records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stored {
    /// All records are on disk, except those that continue these turns.
    Except(Vec<TurnKey>),
    /// The disk or the index is nearly full, or the disk failed. Nothing was
    /// acknowledged.
    Full,
}

struct Request {
    records: Vec<Received>,
    reply: Sender<Stored>,
    _memory: Option<ReservedBytes>,
}

/// Handle of the writer thread.
#[derive(Clone, Debug)]
pub struct Writer {
    tx: mpsc::Sender<Request>,
}

impl Writer {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start(shared: Arc<Shared>, segments: Segments) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let log = LogWriter {
            shared,
            segments,
            current: None,
            next_sweep: Moment::now(),
            paused_until: Moment::default(),
        };
        thread::Builder::new()
            .name("turn-log".to_owned())
            .spawn(move || log.run(&rx))?;
        Ok(Self { tx })
    }

    /// Stores records and waits until they are on disk. `memory` is released then.
    pub async fn store(&self, records: Vec<Received>, memory: Option<ReservedBytes>) -> Stored {
        let (reply, outcome) = async_channel::bounded(1);
        let req = Request {
            records,
            reply,
            _memory: memory,
        };
        if self.tx.send(req).is_err() {
            return Stored::Full;
        }
        outcome.recv().await.unwrap_or(Stored::Full)
    }
}

/// The segment that is written to.
struct Current {
    number: u64,
    file: Arc<File>,
    bytes: u64,
    frames: usize,
}

struct LogWriter {
    shared: Arc<Shared>,
    segments: Segments,
    current: Option<Current>,
    next_sweep: Moment,
    /// Until when nothing is written after a failure.
    paused_until: Moment,
}

/// Records of several requests that are written at once.
#[derive(Default)]
struct Batch {
    bytes: Vec<u8>,
    /// Heads, with offsets and lengths in `bytes`.
    records: Vec<(Received, usize)>,
    keys: HashSet<TurnKey>,
}

impl Batch {
    fn push(&mut self, received: &Received) {
        let offset = self.bytes.len();
        self.bytes.extend_from_slice(&received.frame);
        self.keys.insert(received.record.head.key());
        self.records.push((received.clone(), offset));
    }
}

impl LogWriter {
    fn run(mut self, rx: &Receiver<Request>) {
        loop {
            let now = Moment::now();
            if now >= self.next_sweep {
                self.sweep();
                self.next_sweep = now + SWEEP_PERIOD;
            }
            match rx.recv_timeout(now.until(self.next_sweep)) {
                Ok(first) => self.store(first, rx),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Stores the records of a request and of those that wait behind it.
    fn store(&mut self, first: Request, rx: &Receiver<Request>) {
        let now_ms = unix_ms();
        let mut batch = Batch::default();
        let mut replies = Vec::new();
        let mut next = Some(first);
        while let Some(req) = next {
            let outcome = self.admit(&req, &mut batch, now_ms);
            replies.push((req, outcome));
            next = match batch.bytes.len() < MAX_BATCH_BYTES {
                true => rx.try_recv().ok(),
                false => None,
            };
        }
        self.shared.counters.add_records(batch.records.len());
        let written = self.write(&batch);
        if let Err(e) = &written {
            log::error!("cannot write the turn log: {e}");
            self.shared.counters.add_failure();
            self.paused_until = Moment::now() + FAILURE_PAUSE;
        }
        for (req, outcome) in replies {
            let outcome = match written.is_ok() {
                true => outcome,
                false => Stored::Full,
            };
            if outcome == Stored::Full {
                self.shared.counters.add_refused();
            }
            // The caller may have gone.
            let _gone = req.reply.try_send(outcome);
        }
    }

    /// Adds the records of a request that can be stored to the batch.
    fn admit(&self, req: &Request, batch: &mut Batch, now_ms: u64) -> Stored {
        let index = self.shared.index.lock();
        let mut missing = Vec::new();
        let size: usize = req.records.iter().map(|r| r.frame.len()).sum();
        let bytes = index.bytes() + (batch.bytes.len() + size) as u64;
        let records = index.len() + batch.records.len() + req.records.len();
        let limits = self.shared.limits;
        let is_full = bytes > limits.log_bytes
            || records > limits.records
            || Moment::now() < self.paused_until;
        for received in &req.records {
            let head = &received.record.head;
            match index.admit(head, now_ms, |key| batch.keys.contains(key)) {
                Admission::Known => {}
                // What is stored is confirmed also by a full disk.
                Admission::New if is_full => return Stored::Full,
                Admission::New => batch.push(received),
                Admission::Missing => missing.extend(head.previous_key()),
            }
        }
        Stored::Except(missing)
    }

    fn write(&mut self, batch: &Batch) -> io::Result<()> {
        for records in batch.records.chunks(MAX_FRAMES) {
            self.write_chunk(&batch.bytes, records)?;
        }
        Ok(())
    }

    /// Writes records that follow each other in a batch, and inserts them into the
    /// index.
    fn write_chunk(&mut self, bytes: &[u8], records: &[(Received, usize)]) -> io::Result<()> {
        let from = records.first().map_or(0, |(_, offset)| *offset);
        let lengths: Vec<usize> = records.iter().map(|(r, _)| r.frame.len()).collect();
        let to = from + lengths.iter().sum::<usize>();
        let start = self.append(&bytes[from..to], &lengths)?;
        let now_ms = unix_ms();
        let mut index = self.shared.index.lock();
        for (received, offset) in records {
            let at = Position {
                segment: start.segment,
                offset: start.offset + (offset - from) as u64,
                bytes: received.frame.len() as u64,
            };
            index.insert(&received.record.head, at, now_ms);
            index.remember(Arc::new(own_copy(&received.record)));
        }
        Ok(())
    }

    /// Appends frames of these lengths to the log and waits until they are on disk.
    /// Returns where they are.
    fn append(&mut self, frames: &[u8], lengths: &[usize]) -> io::Result<Position> {
        let is_filled = |current: &Current| {
            current.bytes >= SEGMENT_BYTES || current.frames + lengths.len() > MAX_FRAMES
        };
        let mut current = match self.current.take() {
            Some(current) if !is_filled(&current) => current,
            _ => self.begin_segment()?,
        };
        let started = Moment::now();
        let (place, file) = (current.frames, &current.file);
        let lengths = lengths.iter().copied();
        let added = lengths.len();
        let entries = directory::encode(current.number, place, current.bytes, lengths);
        let entries_at = directory::entry_offset(place) as u64;
        let written = file
            .write_all_at(frames, current.bytes)
            .and_then(|()| file.write_all_at(&entries, entries_at))
            .and_then(|()| file.sync_data());
        if let Err(e) = written {
            // What was written was not acknowledged. The segment is not written to
            // again, since the state of its pages is unknown after a failed sync.
            let _failed = file.write_all_at(&vec![0; entries.len()], entries_at);
            let _failed = file.set_len(current.bytes);
            return Err(e);
        }
        let at = Position {
            segment: current.number,
            offset: current.bytes,
            bytes: frames.len() as u64,
        };
        current.bytes += at.bytes;
        current.frames += added;
        self.current = Some(current);
        let time = Moment::now().since(started);
        self.shared.counters.add_written(frames.len(), time);
        Ok(at)
    }

    fn begin_segment(&self) -> io::Result<Current> {
        let (number, file) = self.segments.create_next()?;
        self.shared.index.lock().add_segment(number);
        Ok(Current {
            number,
            file,
            bytes: DIRECTORY_BYTES as u64,
            frames: 0,
        })
    }

    /// Deletes the segments whose records have all expired, and copies the live
    /// records out of a damaged one, or out of a sparse one if much of the log is
    /// used.
    fn sweep(&mut self) {
        let now_ms = unix_ms();
        let expired = self.shared.index.lock().expired_segments(now_ms);
        for number in expired {
            self.delete(number);
        }
        let sparse = {
            let index = self.shared.index.lock();
            let is_scarce = index.bytes() > self.shared.limits.log_bytes / COMPACTION_DIVISOR;
            let current = self.current.as_ref();
            let current = current.map_or(u64::MAX, |current| current.number);
            index.damaged_segment(now_ms).or_else(|| match is_scarce {
                true => index.sparse_segment(current, now_ms),
                false => None,
            })
        };
        if let Some(sparse) = sparse
            && let Err(e) = self.compact(&sparse)
        {
            log::error!("cannot compact segment {}: {e}", sparse.number);
        }
    }

    fn compact(&mut self, sparse: &SparseSegment) -> io::Result<()> {
        for records in sparse.records.chunks(MAX_FRAMES) {
            let mut frames = Vec::new();
            for (_, at) in records {
                frames.extend_from_slice(&self.segments.read(*at)?);
            }
            let lengths: Vec<usize> = records.iter().map(|(_, at)| at.bytes as usize).collect();
            let mut to = self.append(&frames, &lengths)?;
            let mut index = self.shared.index.lock();
            for (key, from) in records {
                to.bytes = from.bytes;
                index.relocate(key, *from, to);
                to.offset += from.bytes;
            }
        }
        self.shared.counters.add_compaction();
        self.delete(sparse.number);
        Ok(())
    }

    fn delete(&mut self, number: u64) {
        self.current.take_if(|current| current.number == number);
        self.shared.index.lock().remove_segment(number);
        if let Err(e) = self.segments.remove(number) {
            log::error!("cannot delete segment {number} of the turn log: {e}");
        }
    }
}

/// Copies a record out of the body that it was received in, which would stay in
/// memory as long as the record.
fn own_copy(record: &Record) -> Record {
    Record {
        head: RecordHead::clone(&record.head),
        text: Bytes::copy_from_slice(&record.text),
    }
}
