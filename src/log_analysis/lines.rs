//! Reads the lines of many hosts' event logs in bounded memory.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";
/// Maximum length of a line, in bytes. The longest lines name all endpoints that
/// have changed. Longer ones are malformed.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Size of the buffer for reading, in bytes.
const BUFFER_BYTES: usize = 256 << 10;
/// Lines at the beginning of a file among which its time is searched.
const TIME_LINES: usize = 16;

/// Why logs cannot be read.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum LogError {
    /// A file or folder cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Result of reading logs.
pub type Result<T> = std::result::Result<T, LogError>;

/// Logs of any number of hosts, in the order in which they are read.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    files: Vec<PathBuf>,
    bytes: u64,
    reads_input: bool,
}

/// Numbers of lines that were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LineCounts {
    /// Lines that are not empty.
    pub lines: u64,
    /// Lines that cannot be decoded.
    pub malformed: u64,
    /// File and number of the first of these.
    pub first_malformed: Option<(PathBuf, u64)>,
}

#[derive(Deserialize)]
struct Time {
    at_ms: u64,
}

impl Logs {
    /// Finds logs. A path is a file, a folder whose files are all logs, or `-` for
    /// standard input. Files are read by the time of their first line, so that the
    /// parts of a host's log are in order whatever their names.
    ///
    /// # Errors
    ///
    /// If a file or folder cannot be read.
    pub fn find(paths: &[PathBuf]) -> Result<Self> {
        let mut logs = Self::default();
        let mut found = BTreeMap::new();
        let mut open: Vec<PathBuf> = paths.to_vec();
        while let Some(path) = open.pop() {
            if path.as_os_str() == STANDARD_INPUT {
                logs.reads_input = true;
                continue;
            }
            let unreadable = |source| LogError::Unreadable {
                path: path.clone(),
                source,
            };
            let metadata = fs::metadata(&path).map_err(unreadable)?;
            if metadata.is_dir() {
                for entry in fs::read_dir(&path).map_err(unreadable)? {
                    let entry = entry.map_err(unreadable)?;
                    // Links are not followed, since they may lead back here.
                    let kind = entry.file_type().map_err(unreadable)?;
                    if kind.is_dir() || kind.is_file() {
                        open.push(entry.path());
                    }
                }
            } else {
                let begins = first_time(&path).map_err(unreadable)?;
                found.insert((begins, path), metadata.len());
            }
        }
        logs.bytes = found.values().sum();
        logs.files = found.into_keys().map(|(_, path)| path).collect();
        Ok(logs)
    }

    /// Returns the bytes of all files; `None` if standard input is read.
    pub fn bytes(&self) -> Option<u64> {
        (!self.reads_input).then_some(self.bytes)
    }

    /// Calls `each` with the JSON of each line; it returns `false` for malformed
    /// lines. Text before the JSON, such as a time that a log collector has added,
    /// is left out. `advance` receives the bytes that were read.
    ///
    /// # Errors
    ///
    /// If a file cannot be read.
    pub fn scan(
        &self,
        mut advance: impl FnMut(u64),
        mut each: impl FnMut(&str) -> bool,
    ) -> Result<LineCounts> {
        let mut counts = LineCounts::default();
        let mut read = |path: &Path, input: &mut dyn Read| {
            scan_lines(path, input, &mut counts, &mut advance, &mut each)
        };
        if self.reads_input {
            let path = Path::new(STANDARD_INPUT);
            read(path, &mut io::stdin().lock()).map_err(|source| LogError::Unreadable {
                path: path.to_owned(),
                source,
            })?;
        }
        for path in &self.files {
            let file = File::open(path).and_then(|mut file| read(path, &mut file));
            file.map_err(|source| LogError::Unreadable {
                path: path.clone(),
                source,
            })?;
        }
        Ok(counts)
    }
}

/// Returns the time of the first line that has one, in Unix milliseconds.
fn first_time(path: &Path) -> io::Result<Option<u64>> {
    let mut reader = BufReader::new(File::open(path)?);
    let mut line = Vec::new();
    for _ in 0..TIME_LINES {
        if read_line(&mut reader, &mut line)?.is_none() {
            break;
        }
        let time = json(&line).and_then(|json| serde_json::from_str::<Time>(json).ok());
        if let Some(time) = time {
            return Ok(Some(time.at_ms));
        }
    }
    Ok(None)
}

fn scan_lines(
    path: &Path,
    input: &mut dyn Read,
    counts: &mut LineCounts,
    advance: &mut impl FnMut(u64),
    each: &mut impl FnMut(&str) -> bool,
) -> io::Result<()> {
    let mut reader = BufReader::with_capacity(BUFFER_BYTES, input);
    let mut line = Vec::new();
    let mut number = 0;
    while let Some(read) = read_line(&mut reader, &mut line)? {
        advance(read);
        number += 1;
        if line.trim_ascii().is_empty() && read < MAX_LINE_BYTES {
            continue;
        }
        counts.lines += 1;
        if !json(&line).is_some_and(&mut *each) {
            counts.malformed += 1;
            counts
                .first_malformed
                .get_or_insert_with(|| (path.to_owned(), number));
        }
    }
    Ok(())
}

/// Reads a line and returns its length in bytes; `None` at the end. A line that is
/// too long is skipped, and `line` is empty then.
fn read_line(reader: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<Option<u64>> {
    line.clear();
    let read = reader.take(MAX_LINE_BYTES).read_until(b'\n', line)?;
    let mut read = u64::try_from(read).unwrap_or(u64::MAX);
    if read >= MAX_LINE_BYTES && !line.ends_with(b"\n") {
        line.clear();
        read += u64::try_from(reader.skip_until(b'\n')?).unwrap_or(u64::MAX);
    }
    Ok((read > 0).then_some(read))
}

fn json(line: &[u8]) -> Option<&str> {
    let start = line.iter().position(|byte| *byte == b'{')?;
    str::from_utf8(&line[start..]).ok()
}
