//! Thread that reads records from the turn log, so that no read of the disk
//! blocks the threads that serve requests.

use std::io;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;

use async_channel::Sender;
use bytes::Bytes;
use bytes::BytesMut;

use super::index::Link;
use super::segments::Segments;
use crate::turns::record::MAX_FRAME_BYTES;
use crate::turns::record::Record;
use crate::turns::record::RecordHead;

/// Maximum length of the head of a frame, in bytes, for the limit on a joined
/// text.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why records cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A frame is not valid any more.
    #[error("a stored record is damaged")]
    Damaged,
    /// The operating system cannot read a segment.
    #[error("cannot read the turn log: {0}")]
    Io(#[source] io::Error),
    /// The memory of bodies has no room for the records.
    #[error("too many turns are being sent or received")]
    MemoryFull,
    /// The segment of a record was deleted since the index was read.
    #[error("the record has moved")]
    Moved,
    /// The joined text does not fit a frame.
    #[error("the text of the chain is too large for a record")]
    TooLarge,
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::NotFound => Self::Moved,
            _ => Self::Io(error),
        }
    }
}

/// Result of reading records.
pub type Result<T> = std::result::Result<T, ReadError>;

struct Request {
    chains: Vec<Vec<Link>>,
    reply: Sender<Result<BytesMut>>,
}

/// Handle of the reader thread.
#[derive(Clone, Debug)]
pub struct Reader {
    tx: mpsc::Sender<Request>,
}

impl Reader {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start(segments: Segments) -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        thread::Builder::new()
            .name("turn-reader".to_owned())
            .spawn(move || run(&segments, &rx))?;
        Ok(Self { tx })
    }

    /// Returns a frame for each chain, one after the other. A chain of one record
    /// is returned as stored, a longer one with the whole text.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if a record cannot be read.
    pub async fn frames(&self, chains: Vec<Vec<Link>>) -> Result<BytesMut> {
        let (reply, frames) = async_channel::bounded(1);
        let stopped = || io::Error::other("the reader has stopped");
        let req = Request { chains, reply };
        self.tx.send(req).map_err(|_| stopped())?;
        let frames = frames.recv().await;
        frames.unwrap_or_else(|_| Err(stopped().into()))
    }
}

fn run(segments: &Segments, rx: &Receiver<Request>) {
    while let Ok(req) = rx.recv() {
        // A caller that has gone needs no answer.
        if !req.reply.is_closed() {
            let _gone = req.reply.try_send(read(segments, &req.chains));
        }
    }
}

fn read(segments: &Segments, chains: &[Vec<Link>]) -> Result<BytesMut> {
    let mut buf = BytesMut::new();
    for chain in chains {
        match &chain[..] {
            [only] => {
                let frame = segments.read(only.at)?;
                decode(frame.clone())?;
                buf.extend_from_slice(&frame);
            }
            _ => join(segments, chain)?.encode(&mut buf),
        }
    }
    Ok(buf)
}

/// Joins the texts of a chain into one record.
fn join(segments: &Segments, chain: &[Link]) -> Result<Record> {
    let mut text = BytesMut::new();
    let mut head = None;
    for link in chain {
        let add = |record: &Record, text: &mut BytesMut| {
            text.extend_from_slice(&record.text);
            RecordHead::clone(&record.head)
        };
        head = Some(match &link.record {
            Some(record) => add(record, &mut text),
            None => add(&decode(segments.read(link.at)?)?, &mut text),
        });
        if text.len() > MAX_FRAME_BYTES - MAX_HEAD_BYTES {
            return Err(ReadError::TooLarge);
        }
    }
    let head = head.ok_or(ReadError::Damaged)?;
    Ok(Record {
        head: RecordHead {
            previous: None,
            ..head
        },
        text: text.freeze(),
    })
}

fn decode(mut frame: Bytes) -> Result<Record> {
    let record = Record::decode(&mut frame).ok().flatten();
    record.ok_or(ReadError::Damaged)
}
