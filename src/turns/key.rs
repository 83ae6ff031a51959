//! Key under which a turn is stored and looked for.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Customer and id of a turn. Ids are chosen by callers, so that those of several
/// customers may be equal. Clones share the memory.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "KeyText", into = "KeyText")]
pub struct TurnKey {
    /// The customer followed by the id.
    text: Arc<str>,
    customer_bytes: usize,
}

/// A key as it is sent.
#[derive(Deserialize, Serialize)]
struct KeyText {
    #[serde(default)]
    customer: Box<str>,
    id: Box<str>,
}

impl TurnKey {
    /// Creates the key of a turn; `customer` is empty if there is none.
    pub fn new(customer: &str, id: &str) -> Self {
        Self {
            text: [customer, id].concat().into(),
            customer_bytes: customer.len(),
        }
    }

    /// Customer to whom the turn belongs; empty if there is none.
    pub fn customer(&self) -> &str {
        &self.text[..self.customer_bytes]
    }

    /// Id of the turn.
    pub fn id(&self) -> &str {
        &self.text[self.customer_bytes..]
    }

    /// Length of customer and id, in bytes.
    pub fn bytes(&self) -> usize {
        self.text.len()
    }

    /// Returns the path of the turn below that of the archive hosts' calls:
    /// customer and id in hexadecimal.
    pub fn to_path(&self) -> String {
        format!(
            "{}/{}",
            hex::encode(self.customer()),
            hex::encode(self.id())
        )
    }

    /// Reads a path that [`TurnKey::to_path`] has returned.
    pub fn from_path(path: &str) -> Option<Self> {
        let (customer, id) = path.split_once('/')?;
        let text = |part: &str| String::from_utf8(hex::decode(part).ok()?).ok();
        Some(Self::new(&text(customer)?, &text(id)?))
    }
}

impl From<KeyText> for TurnKey {
    fn from(text: KeyText) -> Self {
        Self::new(&text.customer, &text.id)
    }
}

impl From<TurnKey> for KeyText {
    fn from(key: TurnKey) -> Self {
        Self {
            customer: key.customer().into(),
            id: key.id().into(),
        }
    }
}

impl fmt::Display for TurnKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.customer() {
            "" => f.write_str(self.id()),
            customer => write!(f, "{} of {customer}", self.id()),
        }
    }
}
