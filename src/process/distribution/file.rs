//! The configuration saved under the data folder.
//!
//! One header line names the format and the SHA-256 of the rest. The file is
//! replaced as a whole, so a crash leaves the old or the new one.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use sha2::Digest as _;
use sha2::Sha256;

use crate::version::catalogue::Bundle;

/// Name of the saved file.
const FILE_NAME: &str = "configuration.json";

/// Name of the file while it is written.
const TEMPORARY_NAME: &str = "configuration.json.new";

/// Name that a damaged file is kept under.
const DAMAGED_NAME: &str = "configuration.json.damaged";

/// Start of the header line.
const FORMAT: &str = "chicoryarch-configuration 1 ";

/// Why the saved configuration could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The content does not match its checksum or form.
    #[error("the saved configuration {path} is damaged ({detail}) and was not used")]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// What does not match.
        detail: String,
    },
    /// The operating system refused.
    #[error("the saved configuration {path} cannot be accessed: {source}")]
    Io {
        /// Path of the file or folder.
        path: PathBuf,
        /// What the operating system reported.
        source: io::Error,
    },
}

/// Result of reading or writing the saved configuration.
pub type Result<T> = std::result::Result<T, FileError>;

/// The saved configuration of one host.
#[derive(Clone, Debug)]
pub struct SavedFile {
    dir: PathBuf,
}

impl SavedFile {
    /// The file under a data folder.
    pub fn new(dir: impl Into<PathBuf>) -> Self {
        Self { dir: dir.into() }
    }

    /// Reads the file; `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`FileError::Damaged`] if the content fails its checksum or form.
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
    /// [`FileError::Io`]; the old file is then still in place.
    pub fn save(&self, bundle: &Bundle) -> Result<()> {
        let temporary = self.dir.join(TEMPORARY_NAME);
        let io = |source| FileError::Io {
            path: self.path(),
            source,
        };
        write_synced(&temporary, &encode(bundle)).map_err(io)?;
        fs::rename(&temporary, self.path()).map_err(io)?;
        File::open(&self.dir)
            .and_then(|dir| dir.sync_all())
            .map_err(io)
    }

    /// Moves a damaged file aside for inspection.
    ///
    /// # Errors
    ///
    /// [`FileError::Io`] if it cannot be renamed.
    pub fn set_aside(&self) -> Result<()> {
        let path = self.path();
        fs::rename(&path, self.dir.join(DAMAGED_NAME))
            .map_err(|source| FileError::Io { path, source })
    }

    /// Path of the file.
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
