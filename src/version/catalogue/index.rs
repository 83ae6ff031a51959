//! Finds a caller's key by the hash of its secret.

use std::collections::HashMap;

use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::ids::CustomerId;
use crate::version::objects::KeyRef;
use crate::version::objects::KeySet;

/// Bytes of the hash that select a bucket of the index.
const PREFIX_BYTES: usize = 8;

type Prefix = [u8; PREFIX_BYTES];

/// SHA-256 of a key's secret.
pub fn secret_hash(secret: &[u8]) -> [u8; 32] {
    Sha256::digest(secret).into()
}

#[derive(Clone, Debug)]
struct Indexed {
    hash: [u8; 32],
    key: KeyRef,
}

/// Keys by the hash of their secrets.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyIndex {
    buckets: HashMap<Prefix, Vec<Indexed>>,
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
                .push(Indexed {
                    hash: key.hash,
                    key: key_ref,
                });
        }
    }

    /// True if the key is in the index.
    pub(super) fn contains(&self, key: &KeyRef) -> bool {
        let mut indexed = self.buckets.values().flatten();
        indexed.any(|indexed| indexed.key == *key)
    }

    /// Finds the one valid key of a secret.
    ///
    /// A secret under several names identifies nobody, and neither does one
    /// that was withdrawn under any name.
    pub(super) fn find(&self, secret: &[u8], valid: impl Fn(&KeyRef) -> bool) -> Option<&KeyRef> {
        let hash = secret_hash(secret);
        let candidates = self.buckets.get(&prefix(&hash))?;
        let mut found = candidates
            .iter()
            .filter(|indexed| bool::from(indexed.hash.ct_eq(&hash)));
        let key = &found.next()?.key;
        let only = found.next().is_none();
        (only && valid(key)).then_some(key)
    }
}

fn prefix(hash: &[u8; 32]) -> Prefix {
    let mut prefix = Prefix::default();
    prefix.copy_from_slice(&hash[..PREFIX_BYTES]);
    prefix
}
