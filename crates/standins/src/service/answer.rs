//! The answer of the plain service, a function of the request alone.

use serde::Deserialize;
use serde::Serialize;

use crate::digest;

/// Answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Path of the request.
    pub path: String,
    /// SHA-256 of the request's body in hexadecimal.
    pub digest: String,
    /// Length of the request's body.
    pub bytes: usize,
}

/// The answer to a request with that path and body.
pub fn expected_answer(path: &str, body: &[u8]) -> Answer {
    Answer {
        path: path.to_owned(),
        digest: digest::hex(body),
        bytes: body.len(),
    }
}
