//! Catalogue of configuration objects and key withdrawals.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as MapEntry;

use super::Bundle;
use super::Digest;
use super::Document;
use super::Item;
use super::ObjectId;
use super::Tombstone;
use crate::ids::CustomerId;
use crate::ids::Version;
use crate::version::objects::KeyRef;
use crate::version::objects::KeySet;
use crate::version::objects::Kind;

#[derive(Clone, Debug)]
struct Entry {
    version: Version,
    document: Document,
}

/// An object that was not applied because it is malformed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedItem {
    /// Identifies the object.
    pub id: ObjectId,
    /// Refused version.
    pub version: Version,
    /// Reason for the refusal, without secrets or hashes.
    pub detail: String,
}

/// Result of applying a bundle.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ApplyReport {
    /// Objects updated to a higher version.
    pub changed: Vec<ObjectId>,
    /// Number of items whose version is not higher than the applied one.
    pub stale: usize,
    /// Malformed items; repeated refusals of the same version are omitted.
    pub refused: Vec<RefusedItem>,
    /// Keys that this bundle withdrew.
    pub withdrawn: Vec<KeyRef>,
}

impl ApplyReport {
    /// Whether the bundle changed the catalogue.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.withdrawn.is_empty()
    }
}

/// Highest known version of each configuration object, and all withdrawals.
///
/// Applying bundles is idempotent and independent of their order: an object's
/// version never decreases and a withdrawal is permanent.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    objects: BTreeMap<ObjectId, Entry>,
    tombstones: BTreeMap<KeyRef, Tombstone>,
    refused: BTreeMap<ObjectId, Version>,
    digest: Digest,
    max_version: Version,
}

impl Catalogue {
    /// Applies the newer objects and withdrawals of a bundle.
    pub fn apply(&mut self, bundle: Bundle) -> ApplyReport {
        let mut applied = ApplyReport::default();
        for tombstone in bundle.tombstones {
            self.merge_tombstone(tombstone, &mut applied);
        }
        for item in bundle.items {
            self.apply_item(&item, &mut applied);
        }
        applied
    }

    /// Returns the applied version of an object.
    pub fn applied_version(&self, id: &ObjectId) -> Option<Version> {
        self.objects.get(id).map(|entry| entry.version)
    }

    /// Returns an object with its applied version.
    pub fn document(&self, id: &ObjectId) -> Option<(Version, &Document)> {
        let entry = self.objects.get(id)?;
        Some((entry.version, &entry.document))
    }

    /// Returns an object encoded for a bundle.
    pub fn item(&self, id: &ObjectId) -> Option<Item> {
        self.objects.get_key_value(id).map(encode_item)
    }

    /// Returns an object and the objects that it references, itself first.
    ///
    /// A key is valid only with its customer and an endpoint only with its
    /// services, so a host that confirms the object must have these as well.
    pub fn with_references(&self, id: &ObjectId) -> Bundle {
        let references = self
            .document(id)
            .map_or_else(Vec::new, |(_, document)| document.references());
        let ids = std::iter::once(id).chain(&references);
        Bundle {
            items: ids.filter_map(|id| self.item(id)).collect(),
            tombstones: Vec::new(),
        }
    }

    /// Returns all objects with their versions, sorted by kind and name.
    pub fn documents(&self) -> impl Iterator<Item = (&ObjectId, Version, &Document)> {
        self.objects
            .iter()
            .map(|(id, entry)| (id, entry.version, &entry.document))
    }

    /// Whether the key is withdrawn.
    pub fn is_withdrawn(&self, key: &KeyRef) -> bool {
        self.tombstones.contains_key(key)
    }

    /// Returns all withdrawals, sorted by key.
    pub fn tombstones(&self) -> impl Iterator<Item = &Tombstone> {
        self.tombstones.values()
    }

    /// Returns the withdrawals to record at the platform: those with a stamp that
    /// the platform's key sets do not include yet.
    pub fn unrecorded_withdrawals(&self) -> impl Iterator<Item = &Tombstone> {
        self.tombstones
            .values()
            .filter(|tombstone| tombstone.stamp.is_some() && !self.is_recorded(&tombstone.key))
    }

    /// Returns the digest of the applied versions and withdrawals.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the highest applied version of all objects.
    pub fn max_version(&self) -> Version {
        self.max_version
    }

    /// Returns the whole catalogue, for saving it or starting another host.
    pub fn bundle(&self) -> Bundle {
        Bundle {
            items: self.objects.iter().map(encode_item).collect(),
            tombstones: self.tombstones.values().cloned().collect(),
        }
    }

    /// Returns the objects and withdrawals that may be missing in the catalogue
    /// with the other digest.
    pub fn difference(&self, other: &Digest) -> Bundle {
        let is_different = |id: &ObjectId| self.digest.differs_at_object(other, id);
        let is_different_key = |key: &KeyRef| self.digest.differs_at_key(other, key);
        Bundle {
            items: self
                .objects
                .iter()
                .filter(|(id, _)| is_different(id))
                .map(encode_item)
                .collect(),
            tombstones: self
                .tombstones
                .values()
                .filter(|tombstone| is_different_key(&tombstone.key))
                .cloned()
                .collect(),
        }
    }

    fn is_recorded(&self, key: &KeyRef) -> bool {
        let id = ObjectId::new(Kind::Keys, key.customer.as_str());
        let Some((_, Document::Keys(_, record))) = self.document(&id) else {
            return false;
        };
        let stored = record.value.as_ref().and_then(|set| set.keys.get(&key.key));
        stored.is_some_and(|key| key.withdrawn)
    }

    fn apply_item(&mut self, item: &Item, applied: &mut ApplyReport) {
        let old = self.applied_version(&item.id);
        if old.is_some_and(|old| old >= item.version) {
            applied.stale += 1;
            return;
        }
        match Document::decode(item) {
            Ok(document) => self.insert(item, old, document, applied),
            // The decoder's message may quote a key's hash.
            Err(_) if item.id.kind == Kind::Keys => {
                self.refuse(item, "not a valid key set".to_owned(), applied);
            }
            Err(e) => self.refuse(item, e.to_string(), applied),
        }
    }

    fn insert(
        &mut self,
        item: &Item,
        old: Option<Version>,
        document: Document,
        applied: &mut ApplyReport,
    ) {
        if let Document::Keys(customer, record) = &document
            && let Some(set) = &record.value
        {
            self.merge_key_set(customer, set, applied);
        }
        let entry = Entry {
            version: item.version,
            document,
        };
        let replaced = self.objects.insert(item.id.clone(), entry);
        let has_regressed = replaced.is_some_and(|replaced| replaced.version >= item.version);
        assert!(!has_regressed, "invariant: an applied version never falls");
        self.digest.replace(&item.id, old, item.version);
        self.max_version = self.max_version.max(item.version);
        applied.changed.push(item.id.clone());
    }

    fn refuse(&mut self, item: &Item, detail: String, applied: &mut ApplyReport) {
        let previous = self.refused.insert(item.id.clone(), item.version);
        if previous != Some(item.version) {
            applied.refused.push(RefusedItem {
                id: item.id.clone(),
                version: item.version,
                detail,
            });
        }
    }

    fn merge_key_set(&mut self, customer: &CustomerId, set: &KeySet, applied: &mut ApplyReport) {
        for (name, _) in set.keys.iter().filter(|(_, key)| key.withdrawn) {
            let key = KeyRef {
                customer: customer.clone(),
                key: name.clone(),
            };
            self.merge_tombstone(Tombstone { key, stamp: None }, applied);
        }
    }

    fn merge_tombstone(&mut self, tombstone: Tombstone, applied: &mut ApplyReport) {
        match self.tombstones.entry(tombstone.key.clone()) {
            MapEntry::Occupied(mut slot) => {
                // The stamp is needed until the platform has the withdrawal.
                let existing = slot.get_mut();
                existing.stamp = existing.stamp.take().or(tombstone.stamp);
            }
            MapEntry::Vacant(slot) => {
                self.digest.add_key(&tombstone.key);
                applied.withdrawn.push(tombstone.key.clone());
                slot.insert(tombstone);
            }
        }
    }
}

fn encode_item((id, entry): (&ObjectId, &Entry)) -> Item {
    Item {
        id: id.clone(),
        version: entry.version,
        record: entry.document.encode(),
    }
}
