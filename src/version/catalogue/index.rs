//! Index of callers' keys by the hash of their secrets.

use std::collections::HashMap;

use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::ids::CustomerId;
use crate::version::objects::KeyRef;
use crate::version::objects::KeySet;

/// Length of the hash prefix that selects a bucket of the index.
const PREFIX_BYTES: usize = 8;

type Prefix = [u8; PREFIX_BYTES];

/// Returns the SHA-256 hash of a key's secret.
pub fn secret_hash(secret: &[u8]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

#[derive(Clone, Debug)]
struct IndexedKey {
    hash: [u8; 32],
    key: KeyRef,
}

/// Keys by the hash of their secrets.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyIndex {
    buckets: HashMap<Prefix, Vec<IndexedKey>>,
}

impl KeyIndex {
    /// Adds the keys of one customer.
    pub(super) fn add(&mut self, customer: &CustomerId, set: &KeySet) {
        for (name, key) in &set.keys {
            let key_ref = KeyRef {
                customer: customer.clone(),
                key: name.clone(),
            };
            self.buckets
                .entry(prefix(&key.hash))
                .or_default()
                .push(IndexedKey {
                    hash: key.hash,
                    key: key_ref,
                });
        }
    }

    /// Whether the index has the key.
    pub(super) fn contains(&self, key: &KeyRef) -> bool {
        let mut indexed = self.buckets.values().flatten();
        indexed.any(|indexed| indexed.key == *key)
    }

    /// Returns the valid key of a secret.
    ///
    /// Returns `None` for a secret that belongs to several keys, even if only one
    /// of them is valid: a secret withdrawn under any name must not work under
    /// another.
    pub(super) fn find(
        &self,
        secret: &[u8],
        is_valid: impl Fn(&KeyRef) -> bool,
    ) -> Option<&KeyRef> {
        let hash = secret_hash(secret);
        let candidates = self.buckets.get(&prefix(&hash))?;
        let mut matches = candidates
            .iter()
            .filter(|indexed| bool::from(indexed.hash.ct_eq(&hash)));
        let key = &matches.next()?.key;
        let is_unique = matches.next().is_none();
        (is_unique && is_valid(key)).then_some(key)
    }
}

fn prefix(hash: &[u8; 32]) -> Prefix {
    let mut prefix = Prefix::default();
    prefix.copy_from_slice(&hash[..PREFIX_BYTES]);
    prefix
}
