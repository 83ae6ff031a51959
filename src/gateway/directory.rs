//! Directory of the endpoints that the platform lists.
//!
//! Entries may expire in the store during an outage. Entries that are missing
//! right after it are therefore kept for a short grace period, within which a
//! live endpoint renews its entry.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Version;
use crate::units::Moment;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Draining,
}

/// An endpoint process, as described by its entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Id, which is unique among the running endpoints.
    pub id: Box<str>,
    /// Name of the service that it provides.
    pub service: Arc<str>,
    /// Address at which it listens for requests.
    pub address: SocketAddr,
    /// Data centre in which it is located.
    pub data_centre: Box<str>,
    /// Version of its software. Versions are compared for equality only.
    #[serde(default)]
    pub version: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Remaining warm-up time in milliseconds when the entry was written.
    pub cold_ms: u64,
    /// Start time in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// Store version at which the entry was written, to tell a new cold time from
    /// one that is sent again. `None` if the entry has no cold time or a host of an
    /// earlier release sent it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub written: Option<Version>,
}

impl Endpoint {
    /// Whether calls can be sent to it: its id goes into a header, and its
    /// address has a port.
    pub fn is_usable(&self) -> bool {
        let is_id = !self.id.is_empty() && self.id.bytes().all(|byte| byte.is_ascii_graphic());
        is_id && self.address.port() != 0 && self.slots > 0
    }
}

/// An endpoint as sent from one host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedEndpoint {
    /// Endpoint as listed at the sender.
    pub endpoint: Endpoint,
    /// Time in milliseconds until the endpoint is removed; `None` unless its
    /// entry is missing.
    pub gone_in_ms: Option<u64>,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    endpoint: Arc<Endpoint>,
    /// Set while the entry is missing after an outage of the store: the end of
    /// the grace period.
    expires_at: Option<Moment>,
}

/// The endpoints that this host may use.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: HashMap<Box<str>, DirectoryEntry>,
    /// Entries that are removed before this time are kept until then.
    grace_until: Option<Moment>,
}

impl Directory {
    /// Starts the grace period when the store is reachable again after an
    /// outage. Has no effect on an empty directory.
    pub fn start_grace(&mut self, now: Moment, grace: Duration) {
        if self.entries.is_empty() {
            return;
        }
        self.grace_until = Some(now + grace);
    }

    /// Replaces all entries by a listing from the store.
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

    /// Returns the endpoints for another host.
    pub fn export(&self, now: Moment) -> Vec<SharedEndpoint> {
        let shared = |entry: &DirectoryEntry| SharedEndpoint {
            endpoint: Endpoint::clone(&entry.endpoint),
            gone_in_ms: entry.expires_at.map(|at| millis(now.until(at))),
        };
        self.entries.values().map(shared).collect()
    }

    /// Replaces all entries by those of another host. An entry that the other
    /// host keeps only for its grace period is skipped if it was removed here,
    /// and so is one that cannot be used.
    pub fn import(&mut self, shared: Vec<SharedEndpoint>, now: Moment) {
        let before = std::mem::take(&mut self.entries);
        for SharedEndpoint {
            endpoint,
            gone_in_ms,
        } in shared
        {
            let is_removed_here = !before.is_empty() && !before.contains_key(&endpoint.id);
            let is_skipped = gone_in_ms.is_some() && is_removed_here;
            if is_skipped || !endpoint.is_usable() {
                continue;
            }
            let entry = DirectoryEntry {
                endpoint: Arc::new(endpoint),
                expires_at: gone_in_ms.map(|ms| now + Duration::from_millis(ms)),
            };
            self.entries.insert(entry.endpoint.id.clone(), entry);
        }
    }

    /// Adds or updates an endpoint whose entry was written.
    pub fn put(&mut self, endpoint: Endpoint) {
        let entry = DirectoryEntry {
            endpoint: Arc::new(endpoint),
            expires_at: None,
        };
        self.entries.insert(entry.endpoint.id.clone(), entry);
    }

    /// Removes an endpoint whose entry is missing. During a grace period, a
    /// ready endpoint is kept until the period ends.
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

    /// Removes endpoints whose grace period has ended; `true` if there were
    /// any.
    pub fn expire(&mut self, now: Moment) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.expires_at.is_none_or(|at| now < at));
        self.entries.len() != before
    }

    /// Returns an endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.entries.get(id).map(|entry| &entry.endpoint)
    }

    /// Returns the endpoints of all services, including draining ones.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Number of endpoints, including those kept for the grace period.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
