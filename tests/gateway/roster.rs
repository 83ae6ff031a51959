//! Shares of rates, home hosts and scouts. Guards against hosts that choose
//! different homes for a key or refill more than the whole rate.

use std::time::Duration;

use chicoryarch::gateway::quota::Share;
use chicoryarch::gateway::roster::Founders;
use chicoryarch::gateway::roster::Home;
use chicoryarch::gateway::roster::HostEntry;
use chicoryarch::gateway::roster::Roster;
use chicoryarch::gateway::routes::Rate;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Incarnation;
use chicoryarch::ids::Version;

use super::support::at;

fn host(index: u64) -> HostId {
    format!("host-{index}").parse().expect("a name")
}

const LARGE: Rate = Rate {
    per_s: 100.0,
    burst: 100.0,
};
const SMALL: Rate = Rate {
    per_s: 5.0,
    burst: 5.0,
};

fn entry(incarnation: u64) -> HostEntry {
    HostEntry {
        peers: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "a".parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        is_founder: true,
        divides_tokens: true,
        passes_on: false,
    }
}

fn roster(own: u64, hosts: u64) -> Roster {
    let mut roster = Roster::new(host(own));
    for index in 0..hosts {
        let data_centre = format!("dc-{}", index % 4).parse().expect("a name");
        let entry = HostEntry {
            data_centre,
            ..entry(1)
        };
        roster.put(host(index), entry);
    }
    roster
}

#[test]
fn a_new_host_has_no_share_before_its_share_start() {
    let mut roster = roster(0, 4);
    assert_eq!(roster.share(7, LARGE, at(0)), Share(0.0));
    roster.start_share_at(at(3_000));
    assert_eq!(roster.share(7, LARGE, at(2_999)), Share(0.0));
    assert_eq!(roster.share(7, LARGE, at(3_000)), Share(0.25));
}

#[test]
fn a_small_rate_is_refilled_by_few_hosts_in_every_data_centre() {
    for customer in 0..20 {
        let mut shares = 0.0;
        let mut holders = 0;
        for own in 0..40 {
            let mut roster = roster(own, 40);
            roster.start_share_at(at(0));
            let Share(share) = roster.share(customer, SMALL, at(0));
            shares += share;
            holders += usize::from(share > 0.0);
        }
        assert_eq!(holders, 4);
        assert!((shares - 1.0_f64).abs() < 1e-9);
        let roster = roster(0, 40);
        let data_centres: std::collections::HashSet<_> = roster
            .holders(customer, SMALL)
            .into_iter()
            .filter_map(|holder| {
                let entries = roster.entries();
                let found = entries.iter().find(|(host, _)| host == holder);
                found.map(|(_, entry)| entry.data_centre.clone())
            })
            .collect();
        assert_eq!(data_centres.len(), 4);
    }
}

#[test]
fn one_other_host_removes_an_unresponsive_host() {
    let unresponsive = host(3);
    let mut removers = 0;
    for own in (0..6).filter(|own| *own != 3) {
        let mut roster = roster(own, 6);
        roster.mark_suspect(&unresponsive, at(0));
        roster.mark_suspect(&unresponsive, at(20_500));
        let found = roster.expired_hosts(Duration::from_secs(20), at(21_000));
        removers += found.iter().filter(|host| **host == unresponsive).count();
        roster.mark_responsive(&unresponsive);
        assert!(
            roster
                .expired_hosts(Duration::from_secs(20), at(60_000))
                .is_empty()
        );
    }
    assert_eq!(removers, 1);
}

#[test]
fn all_hosts_agree_on_the_home() {
    for key in 0..50 {
        let founders = Founders {
            hosts: (0..6).map(host).collect(),
            ..Founders::default()
        };
        let expected = founders.part_holders(key).home.expect("there are hosts");
        for own in 0..6 {
            let home = roster(own, 6).home(key, at(0));
            match home {
                Home::Own => assert_eq!(host(own), expected),
                Home::Other(peer) => assert_eq!(peer.host, expected),
            }
        }
    }
}

#[test]
fn an_unresponsive_home_is_replaced_for_a_while() {
    let mut roster = roster(0, 6);
    let key = (0..50)
        .find(|key| roster.home(*key, at(0)) != Home::Own)
        .expect("another host is home of some key");
    let Home::Other(before) = roster.home(key, at(0)) else {
        unreachable!("the key was chosen so");
    };
    roster.mark_suspect(&before.host, at(0));
    assert_ne!(roster.home(key, at(10)), Home::Other(before.clone()));
    let later = at(0) + Duration::from_secs(5);
    assert_eq!(roster.home(key, later), Home::Other(before.clone()));
    roster.mark_suspect(&before.host, later);
    roster.mark_responsive(&before.host);
    assert_eq!(roster.home(key, later), Home::Other(before));
}

#[test]
fn an_older_incarnation_does_not_replace_a_newer_one() {
    let mut roster = Roster::new(host(0));
    roster.put(host(1), entry(5));
    roster.put(host(1), entry(4));
    let (_, known) = roster.entries().pop().expect("one host");
    assert_eq!(known.incarnation, Incarnation(5));
}

#[test]
fn few_hosts_of_a_data_centre_watch_the_store() {
    let own = "dc-1".parse().expect("a name");
    let mut watching = std::collections::HashSet::new();
    for index in 0..40 {
        let scouts = roster(index, 40).scouts(&own, 3, at(0));
        assert_eq!(scouts.len(), 3);
        watching.extend(scouts.into_iter().map(|peer| peer.host));
    }
    assert_eq!(watching.len(), 3);
}

#[test]
fn an_unresponsive_scout_is_replaced() {
    let own = "dc-1".parse().expect("a name");
    let mut roster = roster(0, 40);
    let before = roster.scouts(&own, 3, at(0));
    roster.mark_suspect(&before[0].host, at(0));
    let after = roster.scouts(&own, 3, at(10));
    assert!(!after.contains(&before[0]));
    assert_eq!(after.len(), 3);
}

#[test]
fn a_newer_listing_removes_missing_hosts() {
    let mut roster = roster(0, 4);
    let listed = |left: &[u64]| left.iter().map(|n| (host(*n), entry(1))).collect();
    assert!(!roster.replace(Version(7), listed(&[0, 1, 3])));
    assert_eq!(roster.len(), 3);
    // An older listing from another host has no effect.
    assert!(!roster.replace(Version(6), listed(&[0, 1, 2, 3])));
    assert_eq!(roster.len(), 3);
}

#[test]
fn a_listing_shows_that_the_own_entry_is_missing() {
    let mut roster = Roster::new(host(0));
    roster.set_own_entry(entry(1), Version(5));
    let others = || vec![(host(1), entry(1))];
    // This listing is older than the write of the entry.
    assert!(!roster.replace(Version(4), others()));
    assert!(roster.replace(Version(6), others()));
    assert_eq!(roster.len(), 2);
    assert!(!roster.replace(Version(7), others()));
}
