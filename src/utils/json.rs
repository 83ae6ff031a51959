//! JSON parsing.

use serde::de::DeserializeOwned;
use serde::de::Error;

/// Parses a value from a JSON object.
///
/// Rejects arrays: serde would otherwise accept an array of a struct's fields
/// in order, which a caller can only send by mistake.
///
/// # Errors
///
/// Returns an error if the text is not a JSON object or does not match `T`.
pub fn parse_object<T: DeserializeOwned>(text: &[u8]) -> serde_json::Result<T> {
    let first = text.iter().find(|b| !b.is_ascii_whitespace());
    if first.is_some_and(|b| *b != b'{') {
        return Err(serde_json::Error::custom("a JSON object is expected"));
    }
    serde_json::from_slice(text)
}
