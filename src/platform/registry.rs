//! Entries with which endpoints register themselves in the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde_json::value::RawValue;

use crate::gateway::directory::Endpoint;
use crate::gateway::directory::EndpointState;

#[derive(Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of the endpoint's software, not of a model's weights.
    version: String,
    slots: u32,
    /// `ready` or `draining`; an endpoint in any other state receives no requests.
    state: String,
    /// Remaining warm-up time in milliseconds, during which the endpoint is slow.
    #[serde(default, deserialize_with = "number_or_zero")]
    cold_remaining_ms: u64,
    /// Start time of the endpoint in Unix milliseconds; some writers omit it.
    #[serde(default, deserialize_with = "number_or_zero")]
    born: u64,
}

/// Reads a whole number; any other JSON value, which another writer may have
/// stored, reads as 0.
fn number_or_zero<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let value = Box::<RawValue>::deserialize(deserializer)?;
    Ok(value.get().parse().unwrap_or_default())
}

/// Decodes an entry; `None` if it is malformed, has an unknown state or cannot
/// be called.
pub fn decode(id: &str, value: &[u8]) -> Option<Endpoint> {
    let entry: Entry = serde_json::from_slice(value).ok()?;
    let state = match entry.state.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        _ => return None,
    };
    let endpoint = Endpoint {
        id: id.into(),
        service: entry.service.into(),
        address: entry.address,
        data_centre: entry.zone.into(),
        version: entry.version.into(),
        slots: entry.slots.max(1),
        state,
        cold_ms: entry.cold_remaining_ms,
        started_ms: entry.born,
        written: None,
    };
    endpoint.is_usable().then_some(endpoint)
}
