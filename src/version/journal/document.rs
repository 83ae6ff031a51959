//! What a journal's platform object holds.

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
use super::home::sha256;
use crate::connection::platform::Envelope;
use crate::connection::platform::Nonce;
use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::units::Tokens;
use crate::version::history::HistoryMode;

/// Who wrote a journal last, and which state of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Epoch of the owner; never falls.
    pub epoch: Epoch,
    /// Random number of the owner's process.
    pub owner: Nonce,
    /// Number of the last change contained.
    pub revision: u64,
    /// Time that owners have spent with this journal, in milliseconds.
    ///
    /// Ages are counted by this clock, so that no two hosts' clocks are
    /// compared. It stands still while the partition has no owner.
    pub clock_ms: u64,
}

/// The state of one partition that survives its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Who wrote it.
    pub header: Header,
    /// Programs of the partition.
    pub programs: BTreeMap<ProgramId, ProgramRecord>,
    /// Once-only calls of the partition.
    pub once: BTreeMap<OnceId, OnceRecord>,
    /// Once-only calls moved to other objects.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub archives: Vec<ArchiveRecord>,
}

impl Document {
    /// The document in an envelope with a fresh nonce, and that nonce.
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
    /// The customer whose key opened it.
    pub customer: CustomerId,
    /// The program that opened it as a sub-agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
    /// Tokens it may spend; absent for a sub-agent without a cap of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<Tokens>,
    /// Tokens of the budget that an owner may have spent.
    #[serde(default)]
    pub reserved: Tokens,
    /// Highest ordinal known to have finished; may be behind.
    #[serde(default)]
    pub high_water: Ordinal,
    /// Journal clock at the program's end, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Who keeps the conversation.
    #[serde(default)]
    pub history: HistoryMode,
}

/// Digest that names a once-only call within its partition.
///
/// Taken over customer, program and idempotency key, so that equal keys of
/// two customers are two calls.
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
    /// Length of an id.
    pub const BYTES: usize = 16;

    /// The id of a call.
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
    /// The digest of a body.
    pub fn of(body: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(body).into())
    }
}

/// Durable state of one once-only call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OnceRecord {
    /// The customer whose call it is.
    pub customer: CustomerId,
    /// Digest of the request body.
    pub body: Digest,
    /// Journal clock at the intent, in milliseconds.
    pub at_ms: u64,
    /// How far the call has come.
    #[serde(default)]
    pub state: OnceState,
}

/// How far a once-only call has come.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnceState {
    /// It may be running or have run; it never starts again.
    #[default]
    Open,
    /// It ran and this is its answer.
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
    /// Nowhere, since it is larger than the setting allows.
    Omitted,
}

/// The answer of a once-only call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// The whole body.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Length of the encoded answer.
    pub(super) fn encoded_len(&self) -> usize {
        serde_json::to_vec(self)
            .expect("typed values always encode as JSON")
            .len()
    }
}

/// Bodies as text where they are text, as hexadecimal digits elsewhere.
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
