//! Which hosts get copies of a record.

use std::collections::BTreeSet;

use chicoryarch::archive::copies::Copies;
use chicoryarch::archive::copies::Step;
use chicoryarch::archive::copies::View;
use chicoryarch::archive::holders::ListedHosts;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::HostId;
use chicoryarch::turns::placement::Demand;
use proptest::prelude::*;
use proptest::sample::subsequence;

use crate::holders::host;
use crate::holders::listed;

const DEMAND: Demand = Demand {
    hosts: 3,
    data_centres: 2,
};

struct Case {
    own: HostId,
    listed: ListedHosts,
    lost: BTreeSet<HostId>,
}

impl Case {
    fn new(own: &str, data_centres: &[&str]) -> Self {
        Self {
            own: host(own),
            listed: listed(data_centres),
            lost: BTreeSet::new(),
        }
    }

    fn drain(mut self, hosts: &[&str]) -> Self {
        for name in hosts {
            self.listed
                .get_mut(&host(name))
                .expect("listed")
                .is_draining = true;
        }
        self
    }

    fn lose(mut self, hosts: &[&str]) -> Self {
        self.lost.extend(hosts.iter().copied().map(host));
        self
    }

    fn next(&self, held: &[&str]) -> Step {
        let held: Vec<HostId> = held.iter().copied().map(host).collect();
        self.next_with(&held, &[])
    }

    fn next_with(&self, held: &[HostId], preferred: &[HostId]) -> Step {
        let view = View {
            own: &self.own,
            is_draining: self.listed[&self.own].is_draining,
            demand: DEMAND,
            listed: &self.listed,
            lost: &self.lost,
            failed: &BTreeSet::new(),
        };
        view.next(Copies {
            root: "turn",
            held,
            preferred,
        })
    }

    fn targets(&self, held: &[&str]) -> Vec<HostId> {
        match self.next(held) {
            Step::Send(targets) => targets,
            step => panic!("{step:?}"),
        }
    }

    fn data_centre(&self, host: &HostId) -> &DataCentre {
        &self.listed[host].data_centre
    }
}

/// Guards against a missing copy that no holder or several holders send.
#[test]
fn exactly_the_first_holder_sends_missing_copies() {
    let holders = ["a1", "b1", "c1"];
    for own in holders {
        let case = Case::new(own, &["a", "b", "c"]);
        let others: Vec<&str> = holders.into_iter().filter(|host| *host != own).collect();
        assert_eq!(case.next(&others), Step::Enough);
        // The third one has lost the record, or never had it.
        for other in &others {
            let is_sent = matches!(case.next(&[other]), Step::Send(_));
            assert_eq!(is_sent, own < *other, "{own} beside {other}");
        }
        assert_eq!(case.targets(&[]).len(), 2, "the only holder sends two");
    }
}

/// Guards against copies that a host which is emptied takes for granted: those of
/// itself, and those of others that are emptied too.
#[test]
fn a_host_that_is_emptied_leaves_as_many_copies_as_before() {
    let case = Case::new("b1", &["a", "b", "c"]).drain(&["b1"]);
    assert_eq!(case.targets(&["a1", "c1"]).len(), 1);
    assert_eq!(case.next(&["a1", "c1", "b2"]), Step::Enough);
    let case = case.drain(&["a1"]);
    assert_eq!(case.targets(&["a1", "c1"]).len(), 2);
    // A remaining host counts on it until it has left.
    let other = Case::new("c1", &["a", "b", "c"]).drain(&["b1"]);
    assert_eq!(other.next(&["a1", "b1"]), Step::Enough);
}

/// Guards against copies that are all in one data centre.
#[test]
fn copies_are_spread_over_data_centres() {
    let case = Case::new("a1", &["a", "b"]);
    let targets = case.targets(&["a2"]);
    assert_eq!(targets.len(), 1);
    assert_eq!(case.data_centre(&targets[0]).as_str(), "b");
    // Without one that answers, no host gets a copy that does not help.
    let case = Case::new("a1", &["a", "b"]).lose(&["b1", "b2"]);
    assert_eq!(case.next(&["a2"]), Step::Wait);
}

/// Guards against a retirement that waits for hosts that do not exist, and against
/// one that ends without a copy.
#[test]
fn a_small_deployment_can_be_emptied() {
    let case = Case::new("a1", &["a"]).drain(&["a1"]);
    assert_eq!(case.targets(&[]), [host("a2")]);
    assert_eq!(case.next(&["a2"]), Step::Enough);
    let case = case.lose(&["a2"]);
    assert_eq!(case.next(&[]), Step::Wait);
}

/// Guards against a chain whose turns go to different hosts, each with the whole
/// text.
#[test]
fn a_chain_goes_to_the_same_hosts() {
    let case = Case::new("a1", &["a", "b", "c"]);
    for preferred in ["b1", "b2", "c1", "c2"].map(host) {
        let step = case.next_with(&[host("a2")], std::slice::from_ref(&preferred));
        assert_eq!(step, Step::Send(vec![preferred]));
    }
}

proptest! {
    /// Guards against a record that has too few copies after it was sent.
    #[test]
    fn sent_copies_are_enough(
        held in subsequence(vec!["a2", "b1", "b2", "c1", "c2"], 0..5),
        draining in subsequence(vec!["a1", "a2", "b1", "c2"], 0..4),
        lost in subsequence(vec!["b2", "c1"], 0..2),
    ) {
        let case = Case::new("a1", &["a", "b", "c"]).drain(&draining).lose(&lost);
        let mut held: Vec<HostId> = held.into_iter().map(host).collect();
        held.retain(|host| !case.lost.contains(host));
        if let Step::Send(targets) = case.next_with(&held, &[]) {
            prop_assert!(!targets.iter().any(|to| held.contains(to) || case.lost.contains(to)));
            prop_assert!(!targets.iter().any(|to| case.listed[to].is_draining));
            held.extend(targets);
        }
        // Afterwards nothing is sent, and enough hosts have the record.
        let step = case.next_with(&held, &[]);
        prop_assert!(!matches!(step, Step::Send(_)), "{step:?}");
        if step == Step::Enough {
            let is_emptied = case.listed[&case.own].is_draining;
            let stays = |host: &&HostId| !is_emptied || !case.listed[*host].is_draining;
            let count = held.iter().filter(stays).count() + usize::from(!is_emptied);
            let can_hold = |host: &&HostId| !(case.listed[*host].is_draining || case.lost.contains(*host));
            let most = case.listed.keys().filter(can_hold).count();
            prop_assert!(count >= DEMAND.hosts.min(most), "{count} of {most}");
        }
    }
}
