//! Finds the frames of a segment whose end may be torn or whose bytes may be
//! damaged.

use bytes::Bytes;

use super::directory::DIRECTORY_BYTES;
use super::directory::Directory;
use crate::turns::record::Record;
use crate::turns::record::RecordError;
use crate::turns::record::RecordHead;

/// Layout of a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Layout {
    /// Frames without a directory, as earlier releases wrote them.
    Plain,
    /// Frames after the directory of the segment with this number.
    Directory(u64),
}

/// A valid frame of a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// Offset in the segment, in bytes.
    pub offset: usize,
    /// Length, in bytes.
    pub bytes: usize,
    /// Head of the record.
    pub head: RecordHead,
}

/// What a segment contains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scan {
    /// Valid frames in their order.
    pub frames: Vec<Frame>,
    /// Number of whole frames of a format that this release does not know.
    pub skipped: usize,
    /// End of the last whole frame, in bytes.
    pub end: usize,
    /// Number of bytes before `end` that belong to no whole frame.
    pub damaged: usize,
    /// Places of the entries that name frames from `end` on. Their write was not
    /// completed, or they are damaged.
    pub unread: Vec<usize>,
}

/// Finds the valid frames of a segment. Bytes after the last whole one are a torn
/// end: their write was not completed.
///
/// A frame is read only where the one before it ends, or where the directory names
/// one: what lies within a frame may look like frames.
pub fn scan(segment: &Bytes, layout: Layout) -> Scan {
    let (mut offset, directory) = match layout {
        Layout::Plain => (0, Directory::default()),
        Layout::Directory(number) => {
            let end = segment.len().min(DIRECTORY_BYTES);
            (DIRECTORY_BYTES, Directory::read(number, &segment[..end]))
        }
    };
    let mut found = Scan {
        end: offset.min(segment.len()),
        ..Scan::default()
    };
    while offset < segment.len() {
        let (bytes, frame) = match frame_at(segment, offset) {
            Ok(frame) => (frame.bytes, Some(frame)),
            Err(RecordError::UnknownFormat { bytes, .. }) => (bytes, None),
            Err(_) => (0, None),
        };
        if bytes == 0 || !directory.allows(offset, bytes) {
            match directory.next_start(offset) {
                Some(next) => offset = next,
                None => break,
            }
            continue;
        }
        match frame {
            Some(frame) => found.frames.push(frame),
            None => found.skipped += 1,
        }
        found.damaged += offset - found.end;
        offset += bytes;
        found.end = offset;
    }
    found.unread = directory.places_from(found.end);
    found
}

fn frame_at(segment: &Bytes, offset: usize) -> Result<Frame, RecordError> {
    let mut rest = segment.slice(offset..);
    let before = rest.len();
    let record = Record::decode(&mut rest)?.ok_or(RecordError::Incomplete)?;
    Ok(Frame {
        offset,
        bytes: before - rest.len(),
        head: record.head,
    })
}
