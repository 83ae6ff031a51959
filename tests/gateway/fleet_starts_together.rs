//! All hosts of a large fleet start at the same moment: at the first start of
//! the deployment, or after a loss of power.
//!
//! Each host registers itself. If all hosts watched the store in the meantime,
//! each registration would be reported to every host.

use std::time::Duration;

use chicoryarch::gateway::contact::ScoutReports;
use chicoryarch::gateway::contact::StoreContact;
use chicoryarch::gateway::contact::probe_period;
use chicoryarch::gateway::following::FollowState;
use chicoryarch::ids::HostId;
use chicoryarch::units::Moment;

use super::support::at;

fn scout(name: &str) -> HostId {
    name.parse().expect("a valid name")
}

/// A restarted host that has listed the objects and waits for a scout.
const LISTED: FollowState = FollowState {
    age: Duration::from_millis(300),
    list_delay: Duration::ZERO,
    scout_wait: Duration::from_millis(2500),
    is_listed: true,
    knows_hosts: true,
    has_scouts: true,
    is_scout: false,
    is_reported: false,
    is_confirmed: true,
};

#[test]
fn a_restarted_host_lists_at_once_and_then_leaves_watching_to_scouts() {
    let starting = FollowState {
        age: Duration::ZERO,
        is_listed: false,
        ..LISTED
    };
    assert!(starting.calls_store());
    assert!(!LISTED.calls_store());
    let scout = FollowState {
        is_scout: true,
        ..LISTED
    };
    assert!(scout.calls_store());
}

#[test]
fn hosts_list_only_when_all_have_registered_at_the_first_start() {
    let first_start = FollowState {
        age: Duration::ZERO,
        list_delay: Duration::from_secs(1),
        is_listed: false,
        ..LISTED
    };
    assert!(!first_start.calls_store());
    let later = FollowState {
        age: Duration::from_secs(1),
        ..first_start
    };
    assert!(later.calls_store());
}

#[test]
fn a_host_watches_nothing_before_it_knows_the_scouts() {
    let unknown = FollowState {
        knows_hosts: false,
        has_scouts: false,
        ..LISTED
    };
    assert!(!unknown.calls_store());
    let only_itself = FollowState {
        has_scouts: true,
        is_scout: true,
        ..unknown
    };
    assert!(!only_itself.calls_store());
}

#[test]
fn a_host_without_a_scouts_report_watches_after_its_wait() {
    let waited = FollowState {
        age: LISTED.scout_wait,
        ..LISTED
    };
    assert!(waited.calls_store());
    let reported = FollowState {
        is_reported: true,
        ..waited
    };
    assert!(!reported.calls_store());
    let no_scouts = FollowState {
        has_scouts: false,
        ..LISTED
    };
    assert!(no_scouts.calls_store());
}

#[test]
fn a_host_watches_only_a_store_that_answers_when_the_scouts_fall_silent() {
    let lapsed = FollowState {
        age: Duration::from_secs(60),
        is_confirmed: false,
        ..LISTED
    };
    assert!(!lapsed.calls_store());
    let confirmed = FollowState {
        is_confirmed: true,
        ..lapsed
    };
    assert!(confirmed.calls_store());
    let contact = StoreContact::default();
    let start = Moment::now();
    assert!(contact.answered_since(None));
    assert!(!contact.answered_since(Some(start)));
    contact.record_outcome(true);
    assert!(contact.answered_since(Some(start)));
    contact.record_outcome(false);
    assert!(!contact.answered_since(Some(Moment::now())));
}

#[test]
fn probes_of_an_unreachable_store_do_not_grow_with_the_fleet() {
    let probes_per_s = |hosts: u32| {
        let period = probe_period(false, 10, usize::try_from(hosts).expect("a size"));
        f64::from(hosts) / period.as_secs_f64()
    };
    for hosts in [100, 300, 1_000] {
        assert!(probes_per_s(hosts) <= 40.5, "{hosts}");
    }
    assert_eq!(probe_period(false, 10, 9), Duration::from_millis(1600));
    assert_eq!(probe_period(true, 10, 1_000), Duration::from_millis(400));
}

#[test]
fn a_host_that_the_store_turns_away_is_not_hurried_by_scouts_that_it_serves() {
    let reports = ScoutReports::default();
    for ms in (0..3_000).step_by(300) {
        reports.record_report(&scout("s1"), at(10_000 + ms));
    }
    // The host's probe failed while the scouts were served.
    assert!(!reports.resumed_since(at(11_000)));
}

#[test]
fn the_end_of_an_outage_for_all_hosts_is_passed_on_at_once() {
    let reports = ScoutReports::default();
    reports.record_report(&scout("s1"), at(10_000));
    reports.record_report(&scout("s1"), at(16_000));
    assert!(reports.resumed_since(at(15_000)));
    assert!(!reports.resumed_since(at(16_000)));
}

#[test]
fn a_host_keeps_to_a_scout_that_reaches_the_store() {
    let reports = ScoutReports::default();
    assert_eq!(reports.source(), None);
    reports.record_report(&scout("s1"), at(10_000));
    // Another scout is cut off from the store; this says nothing about the first.
    reports.record_failure(&scout("s2"));
    assert_eq!(reports.source(), Some(scout("s1")));
    reports.record_failure(&scout("s1"));
    assert_eq!(reports.source(), None);
    assert!(reports.is_current(at(10_500)));
    reports.record_report(&scout("s3"), at(10_600));
    assert_eq!(reports.source(), Some(scout("s3")));
}

#[test]
fn a_report_outlasts_a_few_exchanges_with_other_hosts() {
    let reports = ScoutReports::default();
    reports.record_report(&scout("s1"), at(10_000));
    assert!(reports.is_current(at(11_400)));
    assert!(!reports.is_current(at(11_600)));
}
