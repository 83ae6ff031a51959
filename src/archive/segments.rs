//! Segment files of the turn log. All calls block.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;

use super::directory;
use super::index::Index;
use super::index::Position;
use super::recovery;
use super::recovery::Layout;

/// Extension of the file name of a segment with a directory. The name is its
/// number in hex.
const EXTENSION: &str = "seg";
/// Extension of a segment that an earlier release wrote, without a directory.
const PLAIN_EXTENSION: &str = "log";
/// Number of the first segment with a directory. Those without have lower numbers.
const FIRST_SEGMENT: u64 = 1 << 31;
/// File that tells since when the disk has held all that was acknowledged.
const SINCE_FILE: &str = "whole-since";
/// The same of an earlier release, which cannot read the segments of this one. It
/// takes a disk without the file for an empty one.
const PLAIN_SINCE_FILE: &str = "since";
/// Content of [`SINCE_FILE`] on a disk that dates from the first start of the
/// deployment.
const SINCE_FIRST_START: &str = "first-start";

/// File that exists until a disk without the acknowledged records has been
/// refilled from other hosts.
const REFILL_FILE: &str = "refill";

/// Since when a disk has held everything that its host has acknowledged, the
/// longest time first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Since {
    /// Since the first start of the deployment: nothing was acknowledged before.
    FirstStart,
    /// Since this time, in Unix milliseconds.
    At(u64),
}

/// Age that stands for [`Since::FirstStart`], in milliseconds.
const ALWAYS_MS: u64 = 1 << 53;

impl Since {
    /// For how long everything that was acknowledged has been held, in
    /// milliseconds.
    pub const fn whole_for_ms(self, now_ms: u64) -> u64 {
        match self {
            Self::FirstStart => ALWAYS_MS,
            Self::At(since_ms) => now_ms.saturating_sub(since_ms),
        }
    }

    fn parse(text: &str) -> Option<Self> {
        match text.trim() {
            SINCE_FIRST_START => Some(Self::FirstStart),
            number => number.parse().ok().map(Self::At),
        }
    }
}

/// Reads since when a disk has held everything; `None` if it has no log.
pub fn read_since(folder: &Path) -> Option<Since> {
    let read = |file: &str| {
        let text = fs::read_to_string(folder.join(file)).ok()?;
        Since::parse(&text)
    };
    let files = [SINCE_FILE, PLAIN_SINCE_FILE];
    files.into_iter().filter_map(read).max()
}

/// Whether an earlier release would take the disk for one that holds everything.
pub fn is_readable_by_earlier(folder: &Path) -> bool {
    folder.join(PLAIN_SINCE_FILE).exists()
}

/// Writes since when the disk has held everything, and waits until it is on
/// disk. The folder is created if it is missing.
///
/// # Errors
///
/// The error of the operating system.
pub fn write_since(folder: &Path, since: Since) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let text = match since {
        Since::FirstStart => SINCE_FIRST_START.to_owned(),
        Since::At(since_ms) => since_ms.to_string(),
    };
    let new = folder.join("since.new");
    let mut file = File::create(&new)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&new, folder.join(SINCE_FILE))?;
    sync_folder(folder)?;
    if is_readable_by_earlier(folder) {
        fs::remove_file(folder.join(PLAIN_SINCE_FILE))?;
        sync_folder(folder)?;
    }
    // The folder itself may be new.
    folder.parent().map_or(Ok(()), sync_folder)
}

/// Whether the disk has yet to be refilled.
pub fn needs_refill(folder: &Path) -> bool {
    folder.join(REFILL_FILE).exists()
}

/// Notes that the disk has to be refilled. The folder is created if it is
/// missing; the note is on disk once [`write_since`] returns.
///
/// # Errors
///
/// The error of the operating system.
pub fn request_refill(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    File::create(folder.join(REFILL_FILE)).map(drop)
}

/// Notes that the disk has been refilled.
///
/// # Errors
///
/// The error of the operating system.
pub fn complete_refill(folder: &Path) -> io::Result<()> {
    fs::remove_file(folder.join(REFILL_FILE))
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// The segment files, open for reading; clones share them.
#[derive(Clone, Debug)]
pub struct Segments {
    folder: Arc<Path>,
    files: Arc<Mutex<BTreeMap<u64, Arc<File>>>>,
}

/// What the recovery of a log has found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Recovery {
    /// Valid records.
    pub records: usize,
    /// Bytes of torn ends, which were removed.
    pub torn_bytes: u64,
    /// Bytes that belong to no valid record, though a write after them was
    /// completed.
    pub damaged_bytes: u64,
    /// Records of a format that this release does not know.
    pub skipped_records: usize,
    /// Live records whose chain is not complete.
    pub broken_chains: usize,
}

impl Recovery {
    /// Whether acknowledged records may be missing. Skipped ones are, since they
    /// cannot be returned.
    pub const fn is_incomplete(&self) -> bool {
        self.damaged_bytes > 0 || self.broken_chains > 0 || self.skipped_records > 0
    }
}

impl Segments {
    /// Opens the segments of a folder, which is created if it is missing, and
    /// fills the index with their records.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn open(folder: &Path, index: &mut Index, now_ms: u64) -> io::Result<(Self, Recovery)> {
        fs::create_dir_all(folder)?;
        let mut numbers = Vec::new();
        for entry in fs::read_dir(folder)? {
            numbers.extend(number_of(&entry?.path()));
        }
        numbers.sort_unstable();
        let mut recovery = Recovery::default();
        let mut files = BTreeMap::new();
        let last = numbers.last().copied();
        for number in numbers {
            let path = path_of(folder, number);
            let segment = Bytes::from(fs::read(&path)?);
            let layout = layout_of(number);
            let scan = recovery::scan(&segment, layout);
            recovery.records += scan.frames.len();
            recovery.skipped_records += scan.skipped;
            recovery.damaged_bytes += scan.damaged as u64;
            let torn = (segment.len() - scan.end) as u64;
            let is_ended = torn == 0 && scan.unread.is_empty();
            // Without a directory, a torn end cannot be told from damage. A later
            // segment begins only after this one was synced.
            let is_torn = !is_ended && layout != Layout::Plain && Some(number) == last;
            if is_torn {
                cut_off(&path, scan.end as u64, &scan.unread)?;
                recovery.torn_bytes += torn;
            } else if !is_ended {
                recovery.damaged_bytes += torn.max(1);
            }
            index.add_segment(number);
            if scan.damaged > 0 || (!is_ended && !is_torn) {
                index.set_damaged(number);
            }
            for frame in scan.frames {
                let at = Position {
                    segment: number,
                    offset: frame.offset as u64,
                    bytes: frame.bytes as u64,
                };
                index.insert(&frame.head, at, now_ms);
            }
            files.insert(number, Arc::new(File::open(&path)?));
        }
        recovery.broken_chains = index.complete_recovery(now_ms);
        let segments = Self {
            folder: folder.into(),
            files: Arc::new(Mutex::new(files)),
        };
        Ok((segments, recovery))
    }

    /// Creates the next segment and returns its number and file.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn create_next(&self) -> io::Result<(u64, Arc<File>)> {
        let last = self
            .files
            .lock()
            .last_key_value()
            .map(|(number, _)| *number);
        let number = last.map_or(FIRST_SEGMENT, |last| FIRST_SEGMENT.max(last + 1));
        let file = fs::OpenOptions::new()
            .create_new(true)
            .read(true)
            .write(true)
            .open(path_of(&self.folder, number))?;
        let file = Arc::new(file);
        self.files.lock().insert(number, Arc::clone(&file));
        sync_folder(&self.folder)?;
        Ok((number, file))
    }

    /// Deletes a segment.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn remove(&self, number: u64) -> io::Result<()> {
        self.files.lock().remove(&number);
        fs::remove_file(path_of(&self.folder, number))
    }

    /// Reads a frame as stored.
    ///
    /// # Errors
    ///
    /// The error of the operating system, or [`io::ErrorKind::NotFound`] if the
    /// segment was removed.
    pub fn read(&self, at: Position) -> io::Result<Bytes> {
        let file = self.files.lock().get(&at.segment).cloned();
        let file = file.ok_or(io::ErrorKind::NotFound)?;
        let length = usize::try_from(at.bytes).map_err(|_| io::ErrorKind::InvalidInput)?;
        let mut buf = vec![0; length];
        file.read_exact_at(&mut buf, at.offset)?;
        Ok(buf.into())
    }
}

/// Removes a torn end, and before it the entries of its frames: they would be
/// missing once another segment follows.
fn cut_off(path: &Path, end: u64, entries: &[usize]) -> io::Result<()> {
    let file = fs::OpenOptions::new().write(true).open(path)?;
    for place in entries {
        let [from, to] = [*place, place + 1].map(directory::entry_offset);
        file.write_all_at(&vec![0; to - from], from as u64)?;
    }
    file.sync_data()?;
    file.set_len(end)?;
    file.sync_all()
}

const fn layout_of(number: u64) -> Layout {
    match number < FIRST_SEGMENT {
        true => Layout::Plain,
        false => Layout::Directory(number),
    }
}

fn path_of(folder: &Path, number: u64) -> PathBuf {
    let extension = match layout_of(number) {
        Layout::Plain => PLAIN_EXTENSION,
        Layout::Directory(_) => EXTENSION,
    };
    folder.join(format!("{number:016x}.{extension}"))
}

fn number_of(path: &Path) -> Option<u64> {
    let number = u64::from_str_radix(path.file_stem()?.to_str()?, 16).ok()?;
    let own = path_of(path.parent()?, number);
    (path == own).then_some(number)
}
