//! Operator credentials, and generation of secrets.
//!
//! Operator secrets start with [`OPERATOR_PREFIX`] and caller keys with
//! [`CALLER_PREFIX`]; neither is accepted in place of the other.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use subtle::ConstantTimeEq;

use super::answer::Secret;
use crate::version::catalogue::secret_hash;

/// Prefix of every caller key.
pub const CALLER_PREFIX: &str = "chk_";

/// Prefix of every operator secret.
pub const OPERATOR_PREFIX: &str = "cho_";

/// Permission bits of group and others, which the credentials file must not
/// have.
const GROUP_OTHER_MODE: u32 = 0o077;

/// Number of random bytes in a new secret.
const SECRET_BYTES: usize = 32;

/// Length of a secret's hash, in bytes.
const HASH_BYTES: usize = 32;

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Queries only.
    ReadOnly,
    /// Queries and commands.
    ReadWrite,
}

/// Why the credentials file could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum CredentialsError {
    /// A line is not of the form `name:sha256hex` or `name:sha256hex:ask`.
    #[error("{path}, line {line}: `name:sha256hex` or `name:sha256hex:ask` is expected")]
    MalformedLine {
        /// Path of the file.
        path: PathBuf,
        /// Line number, starting at 1.
        line: usize,
    },
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Group or others have access to the file.
    #[error("{path} is open to group or others (mode {mode:03o}); chmod 600 is expected")]
    InsecureMode {
        /// Path of the file.
        path: PathBuf,
        /// Permission bits of the file.
        mode: u32,
    },
}

/// Result of loading the credentials file.
pub type Result<T> = std::result::Result<T, CredentialsError>;

/// An authenticated operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Operator name, recorded as the actor of changes.
    pub name: String,
    /// Permissions of the operator.
    pub scope: Scope,
}

struct Credential {
    hash: [u8; HASH_BYTES],
    identity: Identity,
}

/// Hashes of the operator secrets; clones share them and their reloads.
#[derive(Clone)]
pub struct OperatorSecrets {
    credentials: Arc<ArcSwap<Vec<Credential>>>,
}

impl std::fmt::Debug for OperatorSecrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorSecrets").finish_non_exhaustive()
    }
}

impl OperatorSecrets {
    /// Loads the credentials file, which only its owner may access.
    ///
    /// # Errors
    ///
    /// If group or others have access to the file, or if it is malformed or
    /// unreadable.
    pub fn load(path: &Path) -> Result<Self> {
        let credentials = read_credentials(path)?;
        Ok(Self {
            credentials: Arc::new(ArcSwap::from_pointee(credentials)),
        })
    }

    /// Creates credentials of one operator with read-write permissions.
    pub fn single(name: &str, secret: &Secret) -> Self {
        let credential = Credential {
            hash: secret_hash(secret.0.as_bytes()),
            identity: Identity {
                name: name.to_owned(),
                scope: Scope::ReadWrite,
            },
        };
        Self {
            credentials: Arc::new(ArcSwap::from_pointee(vec![credential])),
        }
    }

    /// Reloads the file; on an error the current secrets stay in use.
    ///
    /// # Errors
    ///
    /// As for [`Self::load`].
    pub fn reload(&self, path: &Path) -> Result<()> {
        self.credentials.store(Arc::new(read_credentials(path)?));
        Ok(())
    }

    /// Returns the operator with this secret; `None` if it is not accepted.
    pub fn identify(&self, secret: &[u8]) -> Option<Identity> {
        if !secret.starts_with(OPERATOR_PREFIX.as_bytes()) {
            return None;
        }
        let hash = secret_hash(secret);
        let credentials = self.credentials.load();
        // Compares with every hash so that the response time does not reveal
        // which one matched.
        let mut found = None;
        for credential in credentials.iter() {
            if bool::from(credential.hash.ct_eq(&hash)) {
                found = Some(&credential.identity);
            }
        }
        found.cloned()
    }

    /// Returns the operator of an `Authorization: Bearer` header; `None` if the
    /// header is missing or its secret is not accepted.
    pub fn identify_header(&self, header: Option<&[u8]>) -> Option<Identity> {
        self.identify(header?.strip_prefix(b"Bearer ")?)
    }
}

fn read_credentials(path: &Path) -> Result<Vec<Credential>> {
    let read_error = |source| CredentialsError::Io {
        path: path.to_owned(),
        source,
    };
    let mode = fs::metadata(path).map_err(read_error)?.mode() & 0o777;
    if mode & GROUP_OTHER_MODE != 0 {
        return Err(CredentialsError::InsecureMode {
            path: path.to_owned(),
            mode,
        });
    }
    let text = fs::read_to_string(path).map_err(read_error)?;
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'))
        .map(|(index, line)| {
            parse_credential(line).ok_or_else(|| CredentialsError::MalformedLine {
                path: path.to_owned(),
                line: index + 1,
            })
        })
        .collect()
}

fn parse_credential(line: &str) -> Option<Credential> {
    let mut parts = line.trim().split(':');
    let name = parts.next().filter(|name| !name.is_empty())?;
    let mut hash = [0; HASH_BYTES];
    hex::decode_to_slice(parts.next()?, &mut hash).ok()?;
    let scope = match (parts.next(), parts.next()) {
        (None, None) => Scope::ReadWrite,
        (Some("ask"), None) => Scope::ReadOnly,
        _ => return None,
    };
    Some(Credential {
        hash,
        identity: Identity {
            name: name.to_owned(),
            scope,
        },
    })
}

/// Generates a secret for a caller key.
pub fn new_caller_secret() -> Secret {
    new_secret(CALLER_PREFIX)
}

/// Generates a secret for an operator.
pub fn new_operator_secret() -> Secret {
    new_secret(OPERATOR_PREFIX)
}

fn new_secret(prefix: &str) -> Secret {
    let random: [u8; SECRET_BYTES] = rand::random();
    Secret(format!("{prefix}{}", hex::encode(random)))
}
