//! Decoding of the operators' configuration into a routing table.

use chicoryarch::gateway::routes::RouteKind;
use chicoryarch::gateway::routes::hash_key;
use chicoryarch::platform::routes;
use serde_json::json;

fn document() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "whole", "host": "h", "path_prefix": "/", "route_type": "safe",
             "timeout_ms": 2000, "service": "plain"},
            {"name": "deep", "host": "h", "path_prefix": "/a/b/", "route_type": "streaming",
             "resumable": true, "priority": 1, "max_attempts": 1, "sticky": true,
             "backends": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]},
            {"name": "once", "host": "h", "path_prefix": "/a/", "route_type": "unsafe",
             "service": "plain", "public": true}
        ],
        "services": [
            {"name": "x", "max_connections": 10,
             "engine": {"kv_capacity_tokens": 1000, "stream_stride": 3}},
            {"name": "plain"}
        ],
        "limits": {"max_header_bytes": 100, "max_body_bytes": 200, "idle_timeout_ms": 1000},
        "tenants": [{"name": "c", "api_keys": ["k1", "k2"], "priority": 0,
                     "rate_per_s": 5, "burst": 7},
                    {"name": "free", "api_keys": ["k3"], "rate_per_s": 0}]
    })
}

fn decode(document: &serde_json::Value) -> chicoryarch::gateway::routes::Configuration {
    routes::decode(document.to_string().as_bytes()).expect("a valid document")
}

#[test]
fn the_longest_prefix_wins() {
    let table = decode(&document());
    let name = |path| table.route("h", path).map(|route| route.name.to_string());
    assert_eq!(name("/a/b/c").as_deref(), Some("deep"));
    assert_eq!(name("/a/x").as_deref(), Some("once"));
    assert_eq!(name("/a").as_deref(), Some("whole"));
    assert!(table.route("other", "/a/").is_none());
}

#[test]
fn route_types_decode_to_route_kinds() {
    let table = decode(&document());
    let kind = |path| table.route("h", path).map(|route| route.kind);
    assert_eq!(kind("/"), Some(RouteKind::Idempotent));
    assert_eq!(kind("/a/"), Some(RouteKind::Once));
    let stream = RouteKind::Stream { resumable: true };
    assert_eq!(kind("/a/b/"), Some(stream));
}

#[test]
fn api_keys_resolve_to_their_customer() {
    let table = decode(&document());
    let customer = table.customer(&hash_key(b"k2")).expect("a known key");
    assert_eq!(&*customer.name, "c");
    assert_eq!(table.rate_of("c").map(|rate| rate.burst), Some(7.0));
    assert_eq!(table.rate_of("free"), None);
    assert!(table.customer(&hash_key(b"k4")).is_none());
}

#[test]
fn a_split_route_follows_its_weights() {
    let table = decode(&document());
    let route = table.route("h", "/a/b/").expect("a route");
    let to_x = (0..10_000u64)
        .filter(|n| &*route.target(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).service == "x")
        .count();
    assert!((8_500..9_500).contains(&to_x), "{to_x}");
}

#[test]
fn an_unknown_route_type_is_rejected() {
    let mut document = document();
    document["routes"][0]["route_type"] = json!("sideways");
    assert!(routes::decode(document.to_string().as_bytes()).is_err());
}
