//! Messages of a conversation.

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// The text is not a valid message.
#[derive(Debug, thiserror::Error)]
#[error("a message is a JSON object with a `role` and a `content`: {0}")]
pub struct InvalidMessage(#[from] serde_json::Error);

/// One message, a JSON object preserved byte for byte.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Message(Box<RawValue>);

impl Message {
    /// Validates the text of one message.
    ///
    /// # Errors
    ///
    /// [`InvalidMessage`] if the text is not an object with a `role` and a
    /// `content`.
    pub fn new(text: String) -> Result<Self, InvalidMessage> {
        #[derive(Deserialize)]
        struct Shape {
            #[serde(rename = "role")]
            _role: String,
            #[serde(rename = "content")]
            _content: serde::de::IgnoredAny,
        }
        let _shape: Shape = serde_json::from_str(&text)?;
        Ok(Self(RawValue::from_string(text)?))
    }

    /// The message as JSON text.
    pub fn as_str(&self) -> &str {
        self.0.get()
    }
}

impl PartialEq for Message {
    fn eq(&self, other: &Self) -> bool {
        self.as_str() == other.as_str()
    }
}

impl Eq for Message {}
