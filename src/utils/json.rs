//! Reads JSON objects.

use serde::de::DeserializeOwned;
use serde::de::Error;

/// Reads a value from a JSON object.
///
/// A struct would also be read from an array of its fields, which no caller
/// means to send.
///
/// # Errors
///
/// What is wrong with the text.
pub fn parse_object<T: DeserializeOwned>(text: &[u8]) -> serde_json::Result<T> {
    let first = text.iter().find(|b| !b.is_ascii_whitespace());
    if first.is_some_and(|b| *b != b'{') {
        return Err(serde_json::Error::custom("a JSON object is expected"));
    }
    serde_json::from_slice(text)
}
