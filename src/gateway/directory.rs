//! Endpoints as the platform lists them, and those that lapsed with it.
//!
//! Entries can expire while the store is away. What is missing right after its
//! return is therefore kept for a short grace, within which the entry of a
//! living endpoint is back.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::units::Moment;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// It leaves and takes no new work.
    Draining,
}

/// One start of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Id that no other endpoint has at the same time.
    pub id: Box<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Box<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Milliseconds for which it was still slow when it wrote its entry.
    pub cold_ms: u64,
    /// Unix millisecond of its start; 0 if it did not tell.
    pub started_ms: u64,
}

/// An endpoint as one host tells it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Set if its entry is missing: milliseconds until it counts as gone.
    pub gone_in_ms: Option<u64>,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    endpoint: Arc<Endpoint>,
    /// Set while its entry is missing after an outage of the store.
    expires_at: Option<Moment>,
}

/// The endpoints that this host knows.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: HashMap<Box<str>, DirectoryEntry>,
    /// Entries that are missing before this moment may come back.
    grace_until: Option<Moment>,
}

impl Directory {
    /// Notes that the store is back after an outage.
    pub fn start_grace(&mut self, now: Moment, grace: Duration) {
        if self.entries.is_empty() {
            return;
        }
        self.grace_until = Some(now + grace);
    }

    /// Replaces the whole listing.
    pub fn replace(&mut self, listed: Vec<Endpoint>, now: Moment) {
        let listed: HashMap<Box<str>, Endpoint> = listed
            .into_iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint))
            .collect();
        let missing: Vec<Box<str>> = self
            .entries
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        for endpoint in listed.into_values() {
            self.put(endpoint);
        }
    }

    /// The endpoints as other hosts are told them.
    pub fn export(&self, now: Moment) -> Vec<SharedEndpoint> {
        let shared = |entry: &DirectoryEntry| SharedEndpoint {
            endpoint: Endpoint::clone(&entry.endpoint),
            gone_in_ms: entry.expires_at.map(|at| millis(now.until(at))),
        };
        self.entries.values().map(shared).collect()
    }

    /// Replaces the whole listing by what another host told. An entry that the
    /// other keeps for its grace after an outage stays gone if it is gone here.
    pub fn import(&mut self, shared: Vec<SharedEndpoint>, now: Moment) {
        let before = std::mem::take(&mut self.entries);
        for SharedEndpoint {
            endpoint,
            gone_in_ms,
        } in shared
        {
            let is_removed_here = !before.is_empty() && !before.contains_key(&endpoint.id);
            if gone_in_ms.is_some() && is_removed_here {
                continue;
            }
            let entry = DirectoryEntry {
                endpoint: Arc::new(endpoint),
                expires_at: gone_in_ms.map(|ms| now + Duration::from_millis(ms)),
            };
            self.entries.insert(entry.endpoint.id.clone(), entry);
        }
    }

    /// Takes up an entry that was written.
    pub fn put(&mut self, endpoint: Endpoint) {
        let entry = DirectoryEntry {
            endpoint: Arc::new(endpoint),
            expires_at: None,
        };
        self.entries.insert(entry.endpoint.id.clone(), entry);
    }

    /// Takes up that an entry is gone.
    pub fn remove(&mut self, id: &str, now: Moment) {
        let grace = self.grace_until.filter(|until| now < *until);
        let Entry::Occupied(mut entry) = self.entries.entry(id.into()) else {
            return;
        };
        match grace {
            Some(until) if entry.get().endpoint.state == EndpointState::Ready => {
                entry.get_mut().expires_at.get_or_insert(until);
            }
            _ => {
                entry.remove();
            }
        }
    }

    /// Drops entries that did not come back; true if there were any.
    pub fn expire(&mut self, now: Moment) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.expires_at.is_none_or(|at| now < at));
        self.entries.len() != before
    }

    /// Endpoints of every service, those that leave included.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Number of endpoints known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
