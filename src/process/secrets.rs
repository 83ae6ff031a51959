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

/// Permission bits of group and others, which a secrets file must not have.
const GROUP_OTHERS_MASK: u32 = 0o077;

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Error of reading a secrets file.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum SecretsError {
    /// The file cannot be read.
    #[error("cannot read the secrets file {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The group or other users have access to the file.
    #[error("the secrets file {path} is accessible to other users (mode {mode:o})")]
    #[diagnostic(help("restrict access with `chmod 600`"))]
    Exposed {
        /// Path of the file.
        path: PathBuf,
        /// Permission bits of the file.
        mode: u32,
    },
    /// The file holds no secret, or one that is too short.
    #[error(
        "the secrets file {path} must hold secrets of at least {MIN_SECRET_BYTES} bytes, one per line"
    )]
    TooShort {
        /// Path of the file.
        path: PathBuf,
    },
}

/// Result of reading a secrets file.
pub type Result<T> = std::result::Result<T, SecretsError>;

/// Reads a file with one secret per line; blank lines are skipped.
///
/// # Errors
///
/// [`SecretsError`] if the file cannot be read, is accessible to other users,
/// or holds no secret or one that is too short.
pub fn read_lines(path: &Path) -> Result<Vec<String>> {
    let unreadable = |source| SecretsError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let mode = fs::metadata(path).map_err(unreadable)?.permissions().mode() & 0o777;
    if mode & GROUP_OTHERS_MASK != 0 {
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

/// Reloads the secrets at each SIGHUP. Secrets whose file cannot be read stay
/// in use.
pub async fn reload(
    mut hangups: Signals,
    files: SecretsConfig,
    peers: PeerSecret,
    operators: Option<OperatorSecrets>,
) {
    while hangups.next().await.is_some() {
        match read_lines(&files.peers) {
            Ok(secrets) => peers.replace(secrets),
            Err(e) => log::error!("cannot reload the peer secrets, keeping the current ones: {e}"),
        }
        let Some((operators, path)) = operators.as_ref().zip(files.operators.as_ref()) else {
            continue;
        };
        if let Err(e) = operators.reload(path) {
            log::error!("cannot reload the operator secrets, keeping the current ones: {e}");
        }
        log::info!("reload of the secrets finished");
    }
}
