//! Endpoints whose entries expire during an outage of the store. Guards against
//! dropping live endpoints after the outage, and against keeping dead ones.

use std::time::Duration;

use chicoryarch::gateway::directory::Directory;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::directory::EndpointState;

use super::support::at;
use super::support::endpoint;

const GRACE: Duration = Duration::from_secs(2);

#[test]
fn an_entry_removed_without_an_outage_is_dropped_at_once() {
    let mut directory = Directory::default();
    directory.put(endpoint("e", 1));
    directory.remove("e", at(10_000));
    assert!(directory.is_empty());
}

#[test]
fn an_entry_that_expired_in_an_outage_is_kept_for_the_grace_period() {
    let mut directory = Directory::default();
    directory.put(endpoint("e", 1));
    directory.start_grace(at(10_000), GRACE);
    directory.remove("e", at(10_100));
    assert_eq!(directory.len(), 1);
    let shared = directory.export(at(10_500));
    assert_eq!(shared[0].gone_in_ms, Some(1_500));
    let mut other = Directory::default();
    other.import(shared, at(50_000));
    assert!(other.expire(at(51_500)));
    assert!(!directory.expire(at(11_900)));
    assert!(directory.expire(at(12_000)));
    assert!(directory.is_empty());
}

#[test]
fn an_entry_renewed_within_the_grace_period_stays() {
    let mut directory = Directory::default();
    directory.put(endpoint("e", 1));
    directory.start_grace(at(10_000), GRACE);
    directory.replace(Vec::new(), at(10_100));
    directory.put(endpoint("e", 1));
    assert!(!directory.expire(at(20_000)));
    assert_eq!(directory.len(), 1);
}

#[test]
fn a_draining_endpoint_has_no_grace_period() {
    let mut directory = Directory::default();
    directory.put(Endpoint {
        state: EndpointState::Draining,
        ..endpoint("e", 1)
    });
    directory.start_grace(at(10_000), GRACE);
    directory.remove("e", at(10_100));
    assert!(directory.is_empty());
}

#[test]
fn a_reconnected_host_does_not_restore_removed_endpoints() {
    let mut reconnected = Directory::default();
    let mut other = Directory::default();
    for id in ["left", "stays"] {
        reconnected.put(endpoint(id, 1));
        other.put(endpoint(id, 1));
    }
    other.remove("left", at(36_000));
    reconnected.start_grace(at(38_900), GRACE);
    reconnected.remove("left", at(39_000));
    other.import(reconnected.export(at(39_100)), at(39_100));
    let listed: Vec<_> = other.endpoints().map(|e| e.id.to_string()).collect();
    assert_eq!(listed, ["stays"]);
}
