//! Which hosts are lost, and which hosts take their records.

use std::collections::BTreeSet;
use std::time::Duration;

use chicoryarch::archive::holders;
use chicoryarch::archive::holders::Contacts;
use chicoryarch::archive::holders::ListedHost;
use chicoryarch::archive::holders::ListedHosts;
use chicoryarch::ids::HostId;
use chicoryarch::units::Moment;

pub(crate) fn host(name: &str) -> HostId {
    name.parse().expect("a name")
}

/// Two hosts in each data centre, named after it.
pub(crate) fn listed(data_centres: &[&str]) -> ListedHosts {
    let hosts = data_centres
        .iter()
        .flat_map(|data_centre| [1, 2].map(|n| (format!("{data_centre}{n}"), *data_centre)));
    hosts
        .map(|(name, data_centre)| {
            let listed = ListedHost {
                data_centre: data_centre.parse().expect("a name"),
                is_draining: false,
            };
            (host(&name), listed)
        })
        .collect()
}

/// Silence after which a host counts as lost.
const SILENCE: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Moment {
    Moment::from_start(Duration::from_secs(seconds))
}

/// Guards against a host that is cut off and replaces all others.
#[test]
fn a_host_that_hears_of_less_than_half_of_the_others_takes_none_for_lost() {
    let mut contacts = Contacts::new(SILENCE);
    let others = listed(&["a", "b"]);
    contacts.set_listed(&others, at(100));
    for answering in ["a1", "a2", "b1"] {
        contacts.set_answered(&host(answering), at(109));
    }
    assert_eq!(contacts.silent_for(SILENCE, at(109)), BTreeSet::new());
    let lost = contacts.silent_for(SILENCE, at(110));
    assert_eq!(lost, BTreeSet::from([host("b2")]));
    assert!(contacts.is_lost(&host("b2"), &lost));
    assert!(!contacts.is_lost(&host("b1"), &lost));
    assert!(contacts.is_lost(&host("c1"), &lost), "it is not listed");
    contacts.set_answered(&host("a1"), at(115));
    assert_eq!(contacts.silent_for(SILENCE, at(120)), BTreeSet::new());
}

/// Guards against records that are replaced a second time after a host was
/// emptied.
#[test]
fn an_emptied_host_is_not_lost() {
    let mut contacts = Contacts::new(SILENCE);
    let mut others = listed(&["a", "b"]);
    others.get_mut(&host("a1")).expect("listed").is_draining = true;
    contacts.set_listed(&others, at(1));
    others.remove(&host("a1"));
    others.remove(&host("b1"));
    contacts.set_listed(&others, at(2));
    let silent = BTreeSet::new();
    assert!(!contacts.is_lost(&host("a1"), &silent));
    assert!(contacts.is_lost(&host("b1"), &silent));
}

/// Guards against copies that are all in one data centre, and against a record
/// that is sent to a host that holds it, drains or does not answer.
#[test]
fn a_host_of_another_data_centre_takes_a_record() {
    let mut listed = listed(&["a", "b", "c", "d"]);
    listed.get_mut(&host("c1")).expect("listed").is_draining = true;
    let is_unusable = |host: &HostId| host.as_str() == "d1";
    for key in 0..50 {
        let held = ["a1", "b1"].map(host);
        let takers = holders::takers(&key.to_string(), &held, &listed, is_unusable);
        assert_eq!(takers.len(), 4, "{takers:?}");
        let first: BTreeSet<&str> = takers[..2].iter().map(HostId::as_str).collect();
        assert_eq!(first, BTreeSet::from(["c2", "d2"]));
    }
}

/// Guards against an entry that no host or several hosts remove.
#[test]
fn exactly_one_host_is_the_first_for_an_entry() {
    let hosts = ["a1", "a2", "b1", "b2", "c1"].map(host);
    for key in 0..50 {
        let key = key.to_string();
        let is_first = |own: &&HostId| holders::is_first(own, &key, hosts.iter());
        assert_eq!(hosts.iter().filter(is_first).count(), 1);
    }
}
