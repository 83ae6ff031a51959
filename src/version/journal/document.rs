//! The document stored in a journal's platform object.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use serde_with::hex::Hex;
use serde_with::serde_as;

use super::archive::ArchiveRecord;
use super::partition::sha256;
use crate::connection::platform::Envelope;
use crate::connection::platform::Nonce;
use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::units::Tokens;
use crate::version::history::HistoryMode;

/// Last writer and revision of a journal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Epoch of the owner; never decreases.
    pub epoch: Epoch,
    /// Random nonce of the owner's process.
    pub owner: Nonce,
    /// Number of the last change in the document.
    pub revision: u64,
    /// Total time that owners have held this journal, in milliseconds.
    ///
    /// Ages are measured by this clock, so that clocks of different hosts are
    /// never compared. It does not advance while the partition has no owner.
    pub clock_ms: u64,
}

/// Durable state of one partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Last writer and revision.
    pub header: Header,
    /// Programs of the partition, ended ones until their retention passes.
    pub programs: BTreeMap<ProgramId, ProgramRecord>,
    /// Once-only calls of the partition that are not archived.
    pub once: BTreeMap<OnceId, OnceRecord>,
    /// Archives of once-only calls, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub archives: Vec<ArchiveRecord>,
}

impl Document {
    /// Encodes the document in an envelope with a fresh nonce; returns both.
    pub fn encode(&self) -> (Nonce, Vec<u8>) {
        let writer = Nonce::random();
        let envelope = Envelope {
            writer,
            value: self,
        };
        let value = serde_json::to_vec(&envelope).expect("typed values always encode as JSON");
        (writer, value)
    }
}

/// Durable state of one program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramRecord {
    /// The customer that opened the program.
    pub customer: CustomerId,
    /// The program that opened this one as a sub-agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
    /// Tokens that the program may spend; `None` for a sub-agent without a
    /// budget of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<Tokens>,
    /// Tokens of the budget that owners may have spent.
    #[serde(default)]
    pub reserved: Tokens,
    /// Highest ordinal recorded as finished; may lag behind the owner's memory.
    #[serde(default)]
    pub high_water: Ordinal,
    /// Journal clock at the program's end, in milliseconds; `None` while it is
    /// live.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Whether the caller or the owner keeps the conversation.
    #[serde(default)]
    pub history: HistoryMode,
}

/// Id of a once-only call within its partition.
///
/// A digest of customer, program and idempotency key, so that equal keys of
/// two customers identify two calls.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct OnceId([u8; Self::BYTES]);

impl From<[u8; Self::BYTES]> for OnceId {
    fn from(bytes: [u8; Self::BYTES]) -> Self {
        Self(bytes)
    }
}

impl OnceId {
    /// Length of an id, in bytes.
    pub const BYTES: usize = 16;

    /// Computes the id of a call.
    pub fn new(customer: &CustomerId, program: Option<&ProgramId>, key: &str) -> Self {
        let program = program.map(ToString::to_string).unwrap_or_default();
        let parts = [
            customer.as_str().as_bytes(),
            program.as_bytes(),
            key.as_bytes(),
        ];
        let digest = sha256(parts.into_iter());
        let mut id = [0; 16];
        id.copy_from_slice(&digest[..16]);
        Self(id)
    }
}

impl fmt::Display for OnceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for OnceId {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut id = [0; 16];
        hex::decode_to_slice(text, &mut id)?;
        Ok(Self(id))
    }
}

/// SHA-256 of a request body.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] pub [u8; 32]);

impl Digest {
    /// Computes the digest of a body.
    pub fn of(body: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(body).into())
    }
}

/// Durable state of one once-only call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OnceRecord {
    /// The customer that made the call.
    pub customer: CustomerId,
    /// Digest of the request body.
    pub body: Digest,
    /// Journal clock when the intent was recorded, in milliseconds.
    pub at_ms: u64,
    /// Progress of the call.
    #[serde(default)]
    pub state: OnceState,
}

/// Progress of a once-only call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnceState {
    /// The call may be running or have run; it never starts again.
    #[default]
    Open,
    /// The call ran with this answer.
    Answered(Answer),
}

/// Where the answer of a once-only call is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Inside the journal.
    Inline(StoredAnswer),
    /// In an object of kind [`ANSWER_KIND`](super::ANSWER_KIND) of this name.
    Object(String),
    /// Not stored, since it is larger than `max_answer_bytes`.
    Omitted,
}

/// The answer of a once-only call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// The complete body.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Length of the encoded answer, in bytes.
    pub(super) fn encoded_len(&self) -> usize {
        serde_json::to_vec(self)
            .expect("typed values always encode as JSON")
            .len()
    }
}

/// Encodes a UTF-8 body as text and any other body as hexadecimal digits.
mod body {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use serde_with::hex::Hex;
    use serde_with::serde_as;

    #[serde_as]
    #[derive(Deserialize, Serialize)]
    #[serde(rename_all = "kebab-case")]
    enum Body {
        Text(String),
        Hex(#[serde_as(as = "Hex")] Vec<u8>),
    }

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        let body = match std::str::from_utf8(bytes) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(bytes.to_owned()),
        };
        body.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        Ok(match Body::deserialize(deserializer)? {
            Body::Text(text) => text.into_bytes(),
            Body::Hex(bytes) => bytes,
        })
    }
}
