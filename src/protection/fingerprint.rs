//! Identity of a request over the attempts of its caller, at all hosts.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Number of bytes at the start of a body that a family shares.
const FAMILY_BODY_BYTES: usize = 64;

/// What makes two attempts the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller named.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Customer that the caller belongs to; empty if the call needs no key.
    pub customer: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Hash of a request, equal on all hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the hash of a request.
    pub fn of(request: &RequestIdentity<'_>) -> Self {
        Self::hash(&[
            request.method.as_bytes(),
            request.host.as_bytes(),
            request.target.as_bytes(),
            request.customer.as_bytes(),
            request.body,
        ])
    }

    /// Returns the hash that all requests of the customer to the path share
    /// whose bodies begin alike.
    pub fn of_family(request: &RequestIdentity<'_>) -> Self {
        let path = request.target.split('?').next().unwrap_or_default();
        Self::hash(&[
            request.method.as_bytes(),
            request.host.as_bytes(),
            path.as_bytes(),
            request.customer.as_bytes(),
            &request.body[..request.body.len().min(FAMILY_BODY_BYTES)],
        ])
    }

    fn hash(fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            // The length separates a field from the next.
            hasher.update(field.len().to_be_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let first = digest[..8].try_into().expect("a digest has 32 bytes");
        Self(u64::from_be_bytes(first))
    }
}
