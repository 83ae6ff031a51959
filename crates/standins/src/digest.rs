//! Digests by which a caller recognises the answer to its own request.

use sha2::Digest;
use sha2::Sha256;

/// SHA-256 of some bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
