//! An additive, incrementally updated digest of the applied versions.
//!
//! Objects are assigned to buckets by the hash of their kind and name, so that
//! two hosts can find differing objects without exchanging every version.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use super::ObjectId;
use crate::ids::Version;
use crate::version::objects::KeyRef;

/// Number of buckets in a digest.
const BUCKETS: usize = 64;

/// Digest of a host's whole configuration as one number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Summary(pub u64);

/// Digest of a host's whole configuration, one sum of hashes per bucket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Digest(Vec<u64>);

impl Default for Digest {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl Digest {
    /// Replaces an object's old version with a new one; `old` is `None` if the
    /// object is new.
    pub fn replace(&mut self, id: &ObjectId, old: Option<Version>, new: Version) {
        let bucket = &mut self.0[bucket_of_object(id)];
        let removed = old.map_or(0, |version| object_hash(id, version));
        *bucket = bucket
            .wrapping_sub(removed)
            .wrapping_add(object_hash(id, new));
    }

    /// Adds a withdrawn key; a key must be added only once.
    pub fn add_key(&mut self, key: &KeyRef) {
        let bucket = &mut self.0[bucket_of_key(key)];
        *bucket = bucket.wrapping_add(key_hash(key));
    }

    /// Whether the object's bucket differs between two digests.
    pub fn differs_at_object(&self, other: &Self, id: &ObjectId) -> bool {
        self.differs_at(other, bucket_of_object(id))
    }

    /// Whether the key's bucket differs between two digests.
    pub fn differs_at_key(&self, other: &Self, key: &KeyRef) -> bool {
        self.differs_at(other, bucket_of_key(key))
    }

    /// Returns a hash of all buckets.
    pub fn summary(&self) -> Summary {
        let mut hasher = Sha256::new();
        for bucket in &self.0 {
            hasher.update(bucket.to_be_bytes());
        }
        Summary(first_u64(hasher))
    }

    fn differs_at(&self, other: &Self, bucket: usize) -> bool {
        // A digest of another length is from another release: every bucket
        // differs.
        self.0.len() != other.0.len() || self.0.get(bucket) != other.0.get(bucket)
    }
}

fn bucket_of_object(id: &ObjectId) -> usize {
    bucket_of(object_hash(id, Version(0)))
}

fn bucket_of_key(key: &KeyRef) -> usize {
    bucket_of(key_hash(key))
}

fn bucket_of(hash: u64) -> usize {
    let buckets = u64::try_from(BUCKETS).expect("the bucket count fits in 64 bits");
    usize::try_from(hash % buckets).expect("a bucket index fits in usize")
}

fn object_hash(id: &ObjectId, version: Version) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(id.kind.as_str());
    hasher.update([0]);
    hasher.update(&id.name);
    hasher.update([0]);
    hasher.update(version.0.to_be_bytes());
    first_u64(hasher)
}

fn key_hash(key: &KeyRef) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update("withdrawn");
    hasher.update([0]);
    hasher.update(key.customer.as_str());
    hasher.update([0]);
    hasher.update(key.key.as_str());
    first_u64(hasher)
}

fn first_u64(hasher: Sha256) -> u64 {
    let hash: [u8; 32] = hasher.finalize().into();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}
