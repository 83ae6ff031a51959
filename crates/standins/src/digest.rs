//! Request digests, with which a caller verifies that an answer is its own.

use sha2::Digest;
use sha2::Sha256;

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
pub(crate) fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
