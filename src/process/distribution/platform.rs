//! Reads and writes configuration objects at the platform.

use std::sync::atomic::Ordering;

use serde::de::DeserializeOwned;

use super::Distribution;
use super::Hosts;
use super::driver::increment;
use super::proposal::Base;
use super::proposal::Proposal;
use super::proposal::parse_base;
use super::proposal::parse_item;
use super::standing::Standing;
use super::submit::SubmitOutcome;
use super::submit::submit;
use crate::connection::peer::Peers;
use crate::connection::platform;
use crate::connection::platform::Object;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::units::Moment;
use crate::version::catalogue::Bundle;
use crate::version::catalogue::Item;
use crate::version::catalogue::ObjectId;
use crate::version::objects::Kind;

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Reads an object as the base of a change.
    ///
    /// # Errors
    ///
    /// Any error of the platform, and [`PlatformError::Malformed`] if the object
    /// cannot be parsed, so that no change overwrites it.
    pub async fn read_base<T: DeserializeOwned>(&self, id: &ObjectId) -> platform::Result<Base<T>> {
        let found = self.platform.read(id.kind.as_str(), &id.name).await;
        let found = self.record_result(found)?;
        if let Some(object) = &found {
            self.configuration
                .apply(bundle_of(id.kind, std::slice::from_ref(object)));
        }
        parse_base(found.as_ref()).map_err(|e| PlatformError::Malformed {
            kind: id.kind.as_str().to_owned(),
            name: id.name.clone(),
            // The parser's message may quote a key hash.
            detail: match id.kind {
                Kind::Keys => "not a valid key set".to_owned(),
                _ => e.to_string(),
            },
        })
    }

    /// Writes a change, applies it to this host and pushes it to the other
    /// hosts in the background.
    pub async fn commit(&self, proposal: &Proposal) -> SubmitOutcome {
        let submitted = self.write(proposal).await;
        if let SubmitOutcome::Accepted(item) = &submitted {
            let id = &item.id;
            let bundle = self
                .configuration
                .read(|catalogue| catalogue.with_references(id));
            self.spawn_push_to_all(bundle);
        }
        submitted
    }

    /// Writes a change and applies it to this host.
    pub(super) async fn write(&self, proposal: &Proposal) -> SubmitOutcome {
        let submitted = submit(&self.platform, proposal).await;
        if let SubmitOutcome::Accepted(item) = &submitted {
            self.configuration.apply(Bundle {
                items: vec![item.clone()],
                tombstones: Vec::new(),
            });
        }
        submitted
    }

    /// Lists the objects of every kind at the platform and applies them.
    pub(super) async fn list_all(&self) {
        let term = self.hosts.term();
        let mut complete = true;
        for kind in Kind::ALL {
            complete &= self.list_kind(kind).await.is_ok();
        }
        if complete {
            self.raise_standing(Standing::Current, term);
        }
    }

    async fn list_kind(&self, kind: Kind) -> platform::Result<()> {
        increment(&self.counters.lists);
        let listed = self.platform.list(kind.as_str(), "").await;
        let changes = self.record_result(listed)?;
        self.apply_and_persist(bundle_of(kind, &changes.objects))
            .await;
        Ok(())
    }

    /// Records whether the platform answered and logs when that changes.
    pub(super) fn record_result<T>(&self, result: platform::Result<T>) -> platform::Result<T> {
        let is_down = matches!(
            result,
            Err(PlatformError::Unavailable(_) | PlatformError::UnknownOutcome)
        );
        if is_down {
            increment(&self.counters.platform_failures);
        } else {
            self.contact.record_direct(Moment::now());
        }
        if self.platform_down.swap(is_down, Ordering::Relaxed) != is_down {
            let state = if is_down { "unavailable" } else { "available" };
            log::warn!("platform is {state} for configuration calls");
        }
        result
    }
}

/// Converts platform objects of one kind to a bundle.
pub fn bundle_of(kind: Kind, objects: &[Object]) -> Bundle {
    let item = |object: &Object| {
        let id = ObjectId::new(kind, object.name.clone());
        // A value without a valid envelope becomes a null record, which the
        // catalogue refuses.
        parse_item(&id, object).unwrap_or(Item {
            id,
            version: object.version,
            record: serde_json::Value::Null,
        })
    };
    Bundle {
        items: objects.iter().map(item).collect(),
        tombstones: Vec::new(),
    }
}
