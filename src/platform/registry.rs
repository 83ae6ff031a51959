//! Entries that endpoints write about themselves in the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;

use crate::gateway::directory::Endpoint;
use crate::gateway::directory::EndpointState;

#[derive(Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    /// `ready` or `draining`; any other state is not used.
    state: String,
    /// Milliseconds for which the endpoint is still slow after its start.
    #[serde(default, deserialize_with = "number")]
    cold_remaining_ms: u64,
    /// Unix millisecond of the endpoint's start; absent from some writers.
    #[serde(default, deserialize_with = "number")]
    born: u64,
}

/// A whole number, or 0 if another writer left something else.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let value = serde_json::Value::deserialize(deserializer)?;
    Ok(value.as_u64().unwrap_or_default())
}

/// Decodes an entry; `None` if it names no endpoint that can be used.
pub fn decode(id: &str, value: &[u8]) -> Option<Endpoint> {
    let entry: Entry = serde_json::from_slice(value).ok()?;
    let state = match entry.state.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        _ => return None,
    };
    Some(Endpoint {
        id: id.into(),
        service: entry.service.into(),
        address: entry.address,
        data_centre: entry.zone.into(),
        slots: entry.slots.max(1),
        state,
        cold_ms: entry.cold_remaining_ms,
        started_ms: entry.born,
    })
}
