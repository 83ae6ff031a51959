//! Answer of the plain service, which depends only on the request.

use serde::Deserialize;
use serde::Serialize;

use crate::digest;

/// Answer to a call of the plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Path of the request.
    pub path: String,
    /// SHA-256 of the request body in hexadecimal.
    pub digest: String,
    /// Length of the request body, in bytes.
    pub bytes: usize,
}

/// Returns the answer to a request with this path and body.
pub fn expected_answer(path: &str, body: &[u8]) -> Answer {
    Answer {
        path: path.to_owned(),
        digest: digest::sha256_hex(body),
        bytes: body.len(),
    }
}
