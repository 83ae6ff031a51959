//! The configuration file in the data folder.
//!
//! A header line holds the format and the SHA-256 of the body. The file is
//! replaced atomically, so a crash leaves either the old or the new content.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use sha2::Digest as _;
use sha2::Sha256;

use crate::version::catalogue::Bundle;

const FILE_NAME: &str = "configuration.json";

/// Name under which new content is written before the rename.
const TEMPORARY_NAME: &str = "configuration.json.new";

/// Name to which a damaged file is renamed.
const DAMAGED_NAME: &str = "configuration.json.damaged";

/// Start of the header line; the checksum follows.
const FORMAT: &str = "chicoryarch-configuration 1 ";

/// Why the saved configuration could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The content does not match its checksum or cannot be parsed.
    #[error("the saved configuration {path} is damaged ({detail}) and was not used")]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// Which check failed.
        detail: String,
    },
    /// The operating system reported an error.
    #[error("the saved configuration {path} cannot be accessed: {source}")]
    Io {
        /// Path of the saved file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Result of reading or writing the saved configuration.
pub type Result<T> = std::result::Result<T, FileError>;

/// The saved configuration of one host. Nothing is read or written until
/// [`Self::load`] or [`Self::save`].
#[derive(Clone, Debug)]
pub struct SavedFile {
    dir: PathBuf,
}

impl SavedFile {
    /// The file in the data folder `dir`.
    pub fn new(dir: impl Into<PathBuf>) -> Self {
        Self { dir: dir.into() }
    }

    /// Reads the file; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`FileError::Damaged`] if the checksum does not match or the content
    /// cannot be parsed; [`FileError::Io`] if the file cannot be read.
    pub fn load(&self) -> Result<Option<Bundle>> {
        let path = self.path();
        match fs::read(&path) {
            Ok(content) => decode(&content)
                .map(Some)
                .map_err(|detail| FileError::Damaged { path, detail }),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(source) => Err(FileError::Io { path, source }),
        }
    }

    /// Replaces the file; on return the new content survives a crash.
    ///
    /// # Errors
    ///
    /// [`FileError::Io`]; the old or the new content is then in place.
    pub fn save(&self, bundle: &Bundle) -> Result<()> {
        let temporary = self.dir.join(TEMPORARY_NAME);
        let io_error = |source| FileError::Io {
            path: self.path(),
            source,
        };
        write_synced(&temporary, &encode(bundle)).map_err(io_error)?;
        fs::rename(&temporary, self.path()).map_err(io_error)?;
        File::open(&self.dir)
            .and_then(|dir| dir.sync_all())
            .map_err(io_error)
    }

    /// Renames a damaged file to keep it for inspection.
    ///
    /// # Errors
    ///
    /// [`FileError::Io`] if it cannot be renamed.
    pub fn set_aside(&self) -> Result<()> {
        let path = self.path();
        fs::rename(&path, self.dir.join(DAMAGED_NAME))
            .map_err(|source| FileError::Io { path, source })
    }

    /// Path of the file, which may not exist.
    pub fn path(&self) -> PathBuf {
        self.dir.join(FILE_NAME)
    }
}

fn write_synced(path: &Path, content: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(content)?;
    file.sync_all()
}

fn encode(bundle: &Bundle) -> Vec<u8> {
    let body = serde_json::to_vec(bundle).expect("bundles always encode as JSON");
    let mut content = format!("{FORMAT}{}\n", checksum(&body)).into_bytes();
    content.extend_from_slice(&body);
    content
}

fn decode(content: &[u8]) -> std::result::Result<Bundle, String> {
    let end = content.iter().position(|byte| *byte == b'\n');
    let (header, rest) = content.split_at(end.ok_or("no header line")?);
    let body = &rest[1..];
    let sum = header
        .strip_prefix(FORMAT.as_bytes())
        .ok_or("unknown format")?;
    if sum != checksum(body).as_bytes() {
        return Err("the checksum does not match".to_owned());
    }
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

fn checksum(body: &[u8]) -> String {
    hex::encode(Sha256::digest(body))
}
