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
use chicoryarch::gateway::roster::HostEntry;
use chicoryarch::gateway::roster::KeeperCount;
use chicoryarch::gateway::roster::Roster;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Incarnation;
use chicoryarch::ids::Version;
use chicoryarch::protection::listed_versions::ListedVersions;
use chicoryarch::protection::listed_versions::VERSION_MEMORY;

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
    let mut listed = new_deployment();
    assert_eq!(sole(&listed, 0), None);
    record(&mut listed, &["v1"], 0);
    assert_eq!(sole(&listed, 0).as_deref(), Some("v1"));
    record(&mut listed, &["v1", "v2"], 10);
    record(&mut listed, &["v2"], 20);
    assert_eq!(sole(&listed, 30), None);
    record(&mut listed, &["v2"], MEMORY_MS + 30);
    assert_eq!(sole(&listed, MEMORY_MS + 30).as_deref(), Some("v2"));
}

const MEMORY_MS: u64 = 60_000;
/// Moments of these tests are later than the clock's origin.
const START_MS: u64 = 1_000_000;

fn new_deployment() -> ListedVersions {
    let mut listed = ListedVersions::default();
    listed.begin_new_deployment(Version(1));
    listed
}

/// Records the versions that a host finds listed.
fn record(listed: &mut ListedVersions, versions: &[&str], ms: u64) {
    listed.forget(at(START_MS + ms));
    for version in versions {
        listed.record(&"s".into(), &(*version).into(), at(START_MS + ms));
    }
}

fn sole(listed: &ListedVersions, ms: u64) -> Option<String> {
    let version = listed.sole("s", at(START_MS + ms));
    version.map(ToString::to_string)
}

// Guards against a host that takes the only version in its first list for the
// only one that there was.
#[test]
fn a_list_after_a_gap_shows_no_sole_version() {
    assert_eq!(VERSION_MEMORY.as_millis(), u128::from(MEMORY_MS));
    let mut listed = new_deployment();
    record(&mut listed, &["v1"], 0);
    listed.begin(Version(9), at(START_MS + 10));
    record(&mut listed, &["v1"], 10);
    assert_eq!(sole(&listed, 20), None);
    assert_eq!(sole(&listed, MEMORY_MS), None);
    record(&mut listed, &["v1"], MEMORY_MS);
    assert_eq!(sole(&listed, MEMORY_MS + 10).as_deref(), Some("v1"));
}

// Guards against refusing all streams after a host has started although another
// one can tell it which versions there were.
#[test]
fn a_host_that_has_started_learns_versions_from_another() {
    let mut other = new_deployment();
    record(&mut other, &["v1"], 0);
    let told = other.export(Version(20), at(START_MS)).expect("a history");
    let mut listed = ListedVersions::default();
    listed.begin(Version(12), at(START_MS));
    listed.import(&told, Some(Version(15)), at(START_MS));
    assert_eq!(sole(&listed, 0).as_deref(), Some("v1"));
    // One that lags behind this host's first list leaves a gap.
    let told = other.export(Version(11), at(START_MS)).expect("a history");
    let mut listed = ListedVersions::default();
    listed.begin(Version(12), at(START_MS));
    listed.import(&told, Some(Version(15)), at(START_MS));
    record(&mut listed, &["v1"], 0);
    assert_eq!(sole(&listed, 0), None);
}

// Guards against a host that was out of step and takes over the list of one that
// has started meanwhile, or of one that has seen another version leave.
#[test]
fn a_host_that_was_out_of_step_takes_over_what_another_has_seen() {
    let mut started = ListedVersions::default();
    started.begin(Version(30), at(START_MS));
    record(&mut started, &["v1"], 0);
    let told = started
        .export(Version(31), at(START_MS))
        .expect("a history");
    let mut listed = new_deployment();
    record(&mut listed, &["v1"], 0);
    listed.import(&told, Some(Version(15)), at(START_MS));
    assert_eq!(sole(&listed, 0), None);

    let mut followed = new_deployment();
    record(&mut followed, &["v1", "v2"], 0);
    let told = followed
        .export(Version(31), at(START_MS + 10))
        .expect("a history");
    let mut listed = new_deployment();
    record(&mut listed, &["v1"], 10);
    listed.import(&told, Some(Version(15)), at(START_MS + 10));
    assert_eq!(sole(&listed, 10), None);
    assert!(listed.is_complete(at(START_MS + 10)));
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
            divides_tokens: true,
            passes_on: false,
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
