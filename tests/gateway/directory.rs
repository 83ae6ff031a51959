//! Endpoints whose entries lapse while the store is away.

use std::time::Duration;

use chicoryarch::gateway::directory::Directory;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::directory::EndpointState;

use super::support::at;
use super::support::endpoint;

const GRACE: Duration = Duration::from_secs(2);

#[test]
fn an_entry_that_goes_on_a_calm_day_is_gone_at_once() {
    let mut directory = Directory::default();
    directory.put(endpoint("e", 1));
    directory.remove("e", at(10_000));
    assert!(directory.is_empty());
}

#[test]
fn an_entry_that_lapsed_with_the_store_is_kept_for_the_grace() {
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
fn an_entry_that_is_back_within_the_grace_stays() {
    let mut directory = Directory::default();
    directory.put(endpoint("e", 1));
    directory.start_grace(at(10_000), GRACE);
    directory.replace(Vec::new(), at(10_100));
    directory.put(endpoint("e", 1));
    assert!(!directory.expire(at(20_000)));
    assert_eq!(directory.len(), 1);
}

#[test]
fn a_leaving_endpoint_has_no_grace() {
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
fn a_host_back_from_a_cut_does_not_bring_back_what_is_gone_elsewhere() {
    let mut cut_off = Directory::default();
    let mut other = Directory::default();
    for id in ["left", "stays"] {
        cut_off.put(endpoint(id, 1));
        other.put(endpoint(id, 1));
    }
    other.remove("left", at(36_000));
    cut_off.start_grace(at(38_900), GRACE);
    cut_off.remove("left", at(39_000));
    other.import(cut_off.export(at(39_100)), at(39_100));
    let listed: Vec<_> = other.endpoints().map(|e| e.id.to_string()).collect();
    assert_eq!(listed, ["stays"]);
}
