//! The highest version of every object seen, and every withdrawal.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as Slot;

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
pub struct Refused {
    /// Which object.
    pub id: ObjectId,
    /// Which version.
    pub version: Version,
    /// What is wrong with it.
    pub detail: String,
}

/// What a bundle changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Applied {
    /// Objects that are now at a higher version.
    pub changed: Vec<ObjectId>,
    /// Items whose version is not higher than the applied one.
    pub stale: usize,
    /// Malformed items, each version reported once.
    pub refused: Vec<Refused>,
    /// Keys that are withdrawn since this bundle.
    pub withdrawn: Vec<KeyRef>,
}

impl Applied {
    /// True if the catalogue differs from before.
    pub fn is_change(&self) -> bool {
        !self.changed.is_empty() || !self.withdrawn.is_empty()
    }
}

/// The configuration of one host.
///
/// Applying is idempotent and independent of order: an object's version only
/// grows and a withdrawal is never taken back.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    objects: BTreeMap<ObjectId, Entry>,
    tombstones: BTreeMap<KeyRef, Tombstone>,
    refused: BTreeMap<ObjectId, Version>,
    digest: Digest,
    newest: Version,
}

impl Catalogue {
    /// Applies what is newer in a bundle.
    pub fn apply(&mut self, bundle: Bundle) -> Applied {
        let mut applied = Applied::default();
        for tombstone in bundle.tombstones {
            self.merge(tombstone, &mut applied);
        }
        for item in bundle.items {
            self.apply_item(&item, &mut applied);
        }
        applied
    }

    /// Version applied of one object.
    pub fn applied_version(&self, id: &ObjectId) -> Option<Version> {
        self.objects.get(id).map(|entry| entry.version)
    }

    /// One object with its version.
    pub fn document(&self, id: &ObjectId) -> Option<(Version, &Document)> {
        let entry = self.objects.get(id)?;
        Some((entry.version, &entry.document))
    }

    /// One object as it travels.
    pub fn item(&self, id: &ObjectId) -> Option<Item> {
        self.objects.get_key_value(id).map(item)
    }

    /// One object with those it refers to, itself first.
    ///
    /// A key works only with its customer and an endpoint with its services,
    /// so a host that confirms the object has to hold these too.
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

    /// All objects with their versions, by kind and name.
    pub fn documents(&self) -> impl Iterator<Item = (&ObjectId, Version, &Document)> {
        self.objects
            .iter()
            .map(|(id, entry)| (id, entry.version, &entry.document))
    }

    /// True if the key is withdrawn.
    pub fn is_withdrawn(&self, key: &KeyRef) -> bool {
        self.tombstones.contains_key(key)
    }

    /// All withdrawals.
    pub fn tombstones(&self) -> impl Iterator<Item = &Tombstone> {
        self.tombstones.values()
    }

    /// Withdrawals that the platform's key sets do not show yet.
    pub fn unrecorded(&self) -> impl Iterator<Item = &Tombstone> {
        self.tombstones
            .values()
            .filter(|tombstone| tombstone.stamp.is_some() && !self.is_recorded(&tombstone.key))
    }

    /// Digest of the versions and withdrawals applied.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Highest version applied of any object.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Everything, to start another host or to save.
    pub fn bundle(&self) -> Bundle {
        Bundle {
            items: self.objects.iter().map(item).collect(),
            tombstones: self.tombstones.values().cloned().collect(),
        }
    }

    /// What the holder of another digest may lack.
    pub fn difference(&self, other: &Digest) -> Bundle {
        let differing = |id: &ObjectId| self.digest.differs_at_object(other, id);
        let withdrawn = |key: &KeyRef| self.digest.differs_at_key(other, key);
        Bundle {
            items: self
                .objects
                .iter()
                .filter(|(id, _)| differing(id))
                .map(item)
                .collect(),
            tombstones: self
                .tombstones
                .values()
                .filter(|tombstone| withdrawn(&tombstone.key))
                .cloned()
                .collect(),
        }
    }

    fn is_recorded(&self, key: &KeyRef) -> bool {
        let id = ObjectId::new(Kind::Keys, key.customer.as_str());
        let Some((_, Document::Keys(_, record))) = self.document(&id) else {
            return false;
        };
        let known = record.value.as_ref().and_then(|set| set.keys.get(&key.key));
        known.is_some_and(|key| key.withdrawn)
    }

    fn apply_item(&mut self, item: &Item, applied: &mut Applied) {
        let old = self.applied_version(&item.id);
        if old.is_some_and(|old| old >= item.version) {
            applied.stale += 1;
            return;
        }
        match Document::decode(item) {
            Ok(document) => self.insert(item, old, document, applied),
            // The parser's words may quote a hash.
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
        applied: &mut Applied,
    ) {
        if let Document::Keys(customer, record) = &document
            && let Some(set) = &record.value
        {
            self.merge_set(customer, set, applied);
        }
        let entry = Entry {
            version: item.version,
            document,
        };
        let replaced = self.objects.insert(item.id.clone(), entry);
        let fell = replaced.is_some_and(|replaced| replaced.version >= item.version);
        assert!(!fell, "invariant: an applied version never falls");
        self.digest.replace(&item.id, old, item.version);
        self.newest = self.newest.max(item.version);
        applied.changed.push(item.id.clone());
    }

    fn refuse(&mut self, item: &Item, detail: String, applied: &mut Applied) {
        let known = self.refused.insert(item.id.clone(), item.version);
        if known != Some(item.version) {
            applied.refused.push(Refused {
                id: item.id.clone(),
                version: item.version,
                detail,
            });
        }
    }

    fn merge_set(&mut self, customer: &CustomerId, set: &KeySet, applied: &mut Applied) {
        for (name, _) in set.keys.iter().filter(|(_, key)| key.withdrawn) {
            let key = KeyRef {
                customer: customer.clone(),
                key: name.clone(),
            };
            self.merge(Tombstone { key, stamp: None }, applied);
        }
    }

    fn merge(&mut self, tombstone: Tombstone, applied: &mut Applied) {
        match self.tombstones.entry(tombstone.key.clone()) {
            Slot::Occupied(mut known) => {
                // The stamp is kept as long as it may have to be recorded.
                let known = known.get_mut();
                known.stamp = known.stamp.take().or(tombstone.stamp);
            }
            Slot::Vacant(slot) => {
                self.digest.add_key(&tombstone.key);
                applied.withdrawn.push(tombstone.key.clone());
                slot.insert(tombstone);
            }
        }
    }
}

fn item((id, entry): (&ObjectId, &Entry)) -> Item {
    Item {
        id: id.clone(),
        version: entry.version,
        record: entry.document.encode(),
    }
}
