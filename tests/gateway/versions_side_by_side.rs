//! Engines of several software versions in one service: streams that are
//! resumed go to their own version, and are found at other hosts.

use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::origins::ASKED;
use chicoryarch::gateway::origins::Origins;
use chicoryarch::gateway::origins::REPORTED_TO;
use chicoryarch::gateway::origins::StreamOrigin;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Pool;
use chicoryarch::gateway::placing::VERSION_MEMORY;
use chicoryarch::gateway::roster::HostEntry;
use chicoryarch::gateway::roster::KeeperCount;
use chicoryarch::gateway::roster::Roster;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Incarnation;

use super::support::at;
use super::support::endpoint;

fn of_version(id: &str, version: &str) -> Endpoint {
    Endpoint {
        version: version.into(),
        ..endpoint(id, 8)
    }
}

fn list(pool: &mut Pool, endpoints: &[(&str, &str)], ms: u64) {
    let listed = endpoints
        .iter()
        .map(|(id, version)| Arc::new(of_version(id, version)));
    pool.replace(listed, at(ms));
}

// Engines of another version are never chosen, however idle they are.
#[test]
fn a_resumed_stream_is_placed_at_its_version_only() {
    let mut pool = Pool::with_seed(1);
    list(&mut pool, &[("a", "v1"), ("b", "v1.1"), ("c", "v1.1")], 0);
    let criteria = Criteria {
        version: Some("v1"),
        ..Criteria::default()
    };
    for call in 0..50 {
        let chosen = pool.choose(&criteria, "a", at(call)).expect("one engine");
        assert_eq!(&*chosen.endpoint.id, "a");
    }
    let excluded = ["a".into()];
    let others = Criteria {
        excluded: &excluded,
        ..criteria
    };
    assert!(pool.choose(&others, "a", at(100)).is_none());
    let only = Criteria {
        only: Some("b"),
        ..criteria
    };
    assert!(pool.choose(&only, "a", at(100)).is_none());
}

// A version counts until no caller can hold a part of its streams any more.
#[test]
fn a_version_is_remembered_after_its_last_engine() {
    let mut pool = Pool::with_seed(1);
    assert_eq!(pool.sole_version(at(0)), None);
    list(&mut pool, &[("a", "v1")], 0);
    assert_eq!(pool.sole_version(at(0)).map(|v| &**v), Some("v1"));
    list(&mut pool, &[("a", "v1"), ("b", "v2")], 10);
    list(&mut pool, &[("b", "v2")], 20);
    assert_eq!(pool.sole_version(at(30)), None);
    let later = 30 + u64::try_from(VERSION_MEMORY.as_millis()).expect("a short time");
    assert_eq!(pool.sole_version(at(later)).map(|v| &**v), Some("v2"));
}

#[test]
fn an_origin_is_kept_for_a_minute() {
    let origins = Origins::default();
    let origin = StreamOrigin {
        service: "s".into(),
        version: "v1".into(),
    };
    origins.record(1, origin.clone(), at(1000));
    origins.record(2, origin.clone(), at(60_000));
    assert_eq!(origins.get(1), Some(origin.clone()));
    for n in 3..6 {
        origins.record(n, origin.clone(), at(n * 70_000));
    }
    assert_eq!(origins.get(1), None);
    assert_eq!(origins.get(5), Some(origin));
}

const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

fn name(n: usize) -> HostId {
    format!("host-{n}").parse().expect("a name")
}

fn data_centre(n: usize) -> DataCentre {
    let name = DATA_CENTRES[n % DATA_CENTRES.len()];
    name.parse().expect("a name")
}

/// The roster of one of several hosts that all list each other.
fn roster(own: usize, hosts: usize) -> Roster {
    let mut roster = Roster::new(name(own));
    for n in 0..hosts {
        let entry = HostEntry {
            peers: "127.0.0.1:1".parse().expect("an address"),
            data_centre: data_centre(n),
            incarnation: Incarnation(1),
            is_founder: true,
        };
        roster.put(name(n), entry);
    }
    roster
}

fn keepers(own: usize, hosts: usize, stream: u64, count: KeeperCount) -> BTreeSet<HostId> {
    let roster = roster(own, hosts);
    let peers = roster.keepers(stream, &data_centre(own), count, at(0));
    peers.into_iter().map(|peer| peer.host).collect()
}

// Any host finds the origin of a stream, also after the host that began it and
// one of those that it told have failed.
#[test]
fn a_host_asks_those_that_were_told_where_a_stream_began() {
    for hosts in [3, 6, 9, 56] {
        for stream in 0..40 {
            let began = usize::try_from(stream).expect("a small number") % hosts;
            let told = keepers(began, hosts, stream, REPORTED_TO);
            assert_eq!(told.len(), 2, "{hosts} hosts, stream {stream}");
            for resumed in (0..hosts).filter(|n| *n != began) {
                let mut asked = keepers(resumed, hosts, stream, ASKED);
                asked.insert(name(resumed));
                assert!(
                    !asked.is_disjoint(&told),
                    "{hosts} hosts, stream {stream} of {began} at {resumed}"
                );
                if data_centre(resumed) == data_centre(began) {
                    assert!(asked.is_superset(&told));
                }
            }
        }
    }
}

// A data centre that is cut off keeps a copy if it has another host.
#[test]
fn one_of_the_hosts_that_are_told_is_in_the_same_data_centre() {
    for stream in 0..40 {
        let told = keepers(0, 8, stream, REPORTED_TO);
        assert!(told.contains(&name(4)));
    }
}
