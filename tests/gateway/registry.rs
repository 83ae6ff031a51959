//! Decodes endpoint entries, including invalid ones of other writers.

use chicoryarch::gateway::directory::EndpointState;
use chicoryarch::platform::registry;
use serde_json::json;

fn entry() -> serde_json::Value {
    json!({"service": "s", "address": "10.0.0.9:8080", "zone": "a", "version": "v1",
           "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": 17})
}

#[test]
fn an_entry_is_decoded() {
    let endpoint = registry::decode("i-1", entry().to_string().as_bytes()).expect("an endpoint");
    assert_eq!(&*endpoint.id, "i-1");
    assert_eq!(&*endpoint.version, "v1");
    assert_eq!(endpoint.slots, 64);
    assert_eq!(endpoint.state, EndpointState::Ready);
    assert_eq!(endpoint.started_ms, 17);
}

#[test]
fn invalid_entries_are_ignored() {
    let mut invalid = Vec::new();
    for field in ["service", "address", "zone", "version", "slots", "state"] {
        let mut missing = entry();
        missing.as_object_mut().expect("an object").remove(field);
        invalid.push(missing.to_string());
        let mut wrong = entry();
        wrong[field] = json!([1]);
        invalid.push(wrong.to_string());
    }
    let mut unknown = entry();
    unknown["state"] = json!("resting");
    invalid.push(unknown.to_string());
    invalid.push("null".to_owned());
    invalid.push("{".to_owned());
    for text in invalid {
        assert_eq!(registry::decode("i-1", text.as_bytes()), None, "{text}");
    }
}

#[test]
fn an_invalid_start_time_is_read_as_zero() {
    let mut odd = entry();
    odd["born"] = json!("yesterday");
    let endpoint = registry::decode("i-1", odd.to_string().as_bytes()).expect("an endpoint");
    assert_eq!(endpoint.started_ms, 0);
}
