//! Operators' credentials, and the secrets of new keys.
//!
//! Operators' secrets start with [`OPERATOR_PREFIX`] and callers' keys with
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

/// Start of every caller's key.
pub const CALLER_PREFIX: &str = "chk_";

/// Start of every operator's secret.
pub const OPERATOR_PREFIX: &str = "cho_";

/// Permission bits that the file must not have: group and others.
const OPEN_MODE: u32 = 0o077;

/// Random bytes of a new secret.
const SECRET_BYTES: usize = 32;

/// Bytes of a hash.
const HASH_BYTES: usize = 32;

/// What an operator may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Ask only.
    Ask,
    /// Ask and change.
    Change,
}

/// Why the operators' file was refused.
#[derive(Debug, thiserror::Error)]
pub enum CredentialsError {
    /// A line is not of the form `name:sha256hex` or `name:sha256hex:ask`.
    #[error("{path}, line {line}: `name:sha256hex` or `name:sha256hex:ask` is expected")]
    Line {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
    },
    /// The operating system refused.
    #[error("{path} cannot be read: {source}")]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// What the operating system reported.
        source: io::Error,
    },
    /// Others than the owner have access to the file.
    #[error("{path} is open to group or others (mode {mode:03o}); chmod 600 is expected")]
    Open {
        /// Path of the file.
        path: PathBuf,
        /// Permission bits of the file.
        mode: u32,
    },
}

/// Result of reading the operators' file.
pub type Result<T> = std::result::Result<T, CredentialsError>;

/// An operator who was identified.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The operator's name.
    pub name: String,
    /// What the operator may do.
    pub scope: Scope,
}

struct Credential {
    hash: [u8; HASH_BYTES],
    identity: Identity,
}

/// Hashes of the operators' secrets; clones share them.
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
    /// Reads the operators' file, which only its owner may access.
    ///
    /// # Errors
    ///
    /// If the file is open to others, malformed or unreadable.
    pub fn load(path: &Path) -> Result<Self> {
        let credentials = read(path)?;
        Ok(Self {
            credentials: Arc::new(ArcSwap::from_pointee(credentials)),
        })
    }

    /// One operator who may change everything.
    pub fn single(name: &str, secret: &Secret) -> Self {
        let credential = Credential {
            hash: secret_hash(secret.0.as_bytes()),
            identity: Identity {
                name: name.to_owned(),
                scope: Scope::Change,
            },
        };
        Self {
            credentials: Arc::new(ArcSwap::from_pointee(vec![credential])),
        }
    }

    /// Reads the file again; on an error the old secrets stay.
    ///
    /// # Errors
    ///
    /// As for [`Self::load`].
    pub fn reload(&self, path: &Path) -> Result<()> {
        self.credentials.store(Arc::new(read(path)?));
        Ok(())
    }

    /// The operator of a secret, if any.
    pub fn identify(&self, secret: &[u8]) -> Option<Identity> {
        if !secret.starts_with(OPERATOR_PREFIX.as_bytes()) {
            return None;
        }
        let hash = secret_hash(secret);
        let credentials = self.credentials.load();
        // All are compared, so that the time does not tell which one matched.
        let mut found = None;
        for credential in credentials.iter() {
            if bool::from(credential.hash.ct_eq(&hash)) {
                found = Some(&credential.identity);
            }
        }
        found.cloned()
    }

    /// The operator of an `Authorization: Bearer` header, if any.
    pub fn identify_header(&self, header: Option<&[u8]>) -> Option<Identity> {
        self.identify(header?.strip_prefix(b"Bearer ")?)
    }
}

fn read(path: &Path) -> Result<Vec<Credential>> {
    let io = |source| CredentialsError::Io {
        path: path.to_owned(),
        source,
    };
    let mode = fs::metadata(path).map_err(io)?.mode() & 0o777;
    if mode & OPEN_MODE != 0 {
        return Err(CredentialsError::Open {
            path: path.to_owned(),
            mode,
        });
    }
    let text = fs::read_to_string(path).map_err(io)?;
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'))
        .map(|(index, line)| {
            credential(line).ok_or_else(|| CredentialsError::Line {
                path: path.to_owned(),
                line: index + 1,
            })
        })
        .collect()
}

fn credential(line: &str) -> Option<Credential> {
    let mut parts = line.trim().split(':');
    let name = parts.next().filter(|name| !name.is_empty())?;
    let mut hash = [0; HASH_BYTES];
    hex::decode_to_slice(parts.next()?, &mut hash).ok()?;
    let scope = match (parts.next(), parts.next()) {
        (None, None) => Scope::Change,
        (Some("ask"), None) => Scope::Ask,
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

/// A fresh secret of a caller's key.
pub fn new_caller_secret() -> Secret {
    new_secret(CALLER_PREFIX)
}

/// A fresh secret of an operator.
pub fn new_operator_secret() -> Secret {
    new_secret(OPERATOR_PREFIX)
}

fn new_secret(prefix: &str) -> Secret {
    let random: [u8; SECRET_BYTES] = rand::random();
    Secret(format!("{prefix}{}", hex::encode(random)))
}
