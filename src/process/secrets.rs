//! Reads secrets from files that only their owner can read.

use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;

use async_signal::Signals;
use futures_lite::StreamExt;

use crate::configs::host::SecretsConfig;
use crate::connection::peer::PeerSecret;
use crate::operator::OperatorSecrets;

/// Permission bits that a secret's file must not have.
const OTHERS_MASK: u32 = 0o077;

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Why a secrets file is refused.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum SecretsError {
    /// It cannot be read.
    #[error("cannot read the secrets file {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// Others can read it.
    #[error("the secrets file {path} can be read or written by others (mode {mode:o})")]
    #[diagnostic(help("take the rights away with `chmod 600`"))]
    Exposed {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// It holds no secret, or one that is too short.
    #[error(
        "the secrets file {path} must hold one secret of at least {MIN_SECRET_BYTES} bytes a line"
    )]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

/// Result of reading secrets.
pub type Result<T> = std::result::Result<T, SecretsError>;

/// Reads a file of secrets, one a line; blank lines are passed over.
///
/// # Errors
///
/// [`SecretsError`] if it cannot be read, is open to others or holds a secret
/// that is too short.
pub fn read_lines(path: &Path) -> Result<Vec<String>> {
    let unreadable = |source| SecretsError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let mode = fs::metadata(path).map_err(unreadable)?.permissions().mode() & 0o777;
    if mode & OTHERS_MASK != 0 {
        let path = path.to_owned();
        return Err(SecretsError::Exposed { path, mode });
    }
    let text = fs::read_to_string(path).map_err(unreadable)?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let secrets: Vec<String> = lines.map(str::to_owned).collect();
    if secrets.is_empty() || secrets.iter().any(|s| s.len() < MIN_SECRET_BYTES) {
        let path = path.to_owned();
        return Err(SecretsError::TooShort { path });
    }
    Ok(secrets)
}

/// Reads the secrets again at every hang-up signal; on an error the old ones
/// stay.
pub async fn reload(
    mut hang_ups: Signals,
    files: SecretsConfig,
    peers: PeerSecret,
    operators: Option<OperatorSecrets>,
) {
    while hang_ups.next().await.is_some() {
        match read_lines(&files.peers) {
            Ok(secrets) => peers.replace(secrets),
            Err(e) => log::error!("the peers' secrets stay as they are: {e}"),
        }
        let Some((operators, path)) = operators.as_ref().zip(files.operators.as_ref()) else {
            continue;
        };
        if let Err(e) = operators.reload(path) {
            log::error!("the operators' secrets stay as they are: {e}");
        }
        log::info!("secrets read again");
    }
}
