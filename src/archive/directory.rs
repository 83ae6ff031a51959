//! Directory of a segment: where its frames are.
//!
//! A segment begins with a directory of fixed size, and its frames follow without
//! gaps. Entry `n` names the `n`th frame. Entries have fixed places and hold
//! numbers only, so that no text of a caller can be read as one. It does no I/O.

use std::collections::BTreeMap;

use bytes::Buf;
use bytes::BufMut;

/// Maximum number of frames in a segment.
pub const MAX_FRAMES: usize = 4096;
/// Size of an entry: offset and length of the frame, and the CRC-32 of both, of
/// the entry's place and of the segment's number, each as u32, big endian.
const ENTRY_BYTES: usize = 12;
/// Size of the directory, in bytes, which is the offset of the first frame.
pub const DIRECTORY_BYTES: usize = MAX_FRAMES * ENTRY_BYTES;

/// Returns the offset of an entry in its segment, in bytes.
pub const fn entry_offset(place: usize) -> usize {
    place * ENTRY_BYTES
}

/// Encodes the entries of frames that follow each other.
///
/// # Panics
///
/// If a frame ends beyond 4 GB, far above the size of a segment.
pub fn encode(
    segment: u64,
    first_place: usize,
    first_offset: u64,
    lengths: impl Iterator<Item = usize>,
) -> Vec<u8> {
    let mut entries = Vec::new();
    let mut offset = first_offset;
    for (n, bytes) in lengths.enumerate() {
        let narrow = |value: u64| u32::try_from(value).expect("segments are far below 4 GB");
        let extent = (narrow(offset), narrow(bytes as u64));
        entries.put_u32(extent.0);
        entries.put_u32(extent.1);
        entries.put_u32(checksum(segment, first_place + n, extent));
        offset += bytes as u64;
    }
    entries
}

/// Frames that the directory of a segment names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Directory {
    /// Lengths and places by offsets.
    frames: BTreeMap<usize, (usize, usize)>,
}

impl Directory {
    /// Reads the directory at the beginning of a segment. Damaged entries are left
    /// out.
    pub fn read(segment: u64, bytes: &[u8]) -> Self {
        let entries = bytes.chunks_exact(ENTRY_BYTES).take(MAX_FRAMES);
        let frames = entries.enumerate().filter_map(|(place, mut entry)| {
            let extent = (entry.get_u32(), entry.get_u32());
            let is_valid = entry.get_u32() == checksum(segment, place, extent);
            let (offset, length) = (extent.0 as usize, extent.1 as usize);
            (is_valid && offset >= DIRECTORY_BYTES).then_some((offset, (length, place)))
        });
        Self {
            frames: frames.collect(),
        }
    }

    /// Whether a frame may be at this offset. It has the length that its entry
    /// names, and ends before the next one starts.
    pub fn allows(&self, offset: usize, length: usize) -> bool {
        let is_named = |(named, _): &(usize, usize)| *named == length;
        let end = offset + length;
        self.frames.get(&offset).is_none_or(is_named)
            && self.next_start(offset).is_none_or(|next| end <= next)
    }

    /// Returns the offset of the next frame after `offset`.
    pub fn next_start(&self, offset: usize) -> Option<usize> {
        let mut later = self.frames.range(offset + 1..);
        later.next().map(|(start, _)| *start)
    }

    /// Returns the places of the entries that name frames from `offset` on.
    pub fn places_from(&self, offset: usize) -> Vec<usize> {
        let later = self.frames.range(offset..);
        later.map(|(_, (_, place))| *place).collect()
    }
}

fn checksum(segment: u64, place: usize, (offset, length): (u32, u32)) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_be_bytes());
    hasher.update(&(place as u64).to_be_bytes());
    hasher.update(&offset.to_be_bytes());
    hasher.update(&length.to_be_bytes());
    hasher.finalize()
}
