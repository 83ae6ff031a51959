//! Tests of the standing of a host and of the confirmations of a version.

use std::time::Duration;

use chicoryarch::ids::HostId;
use chicoryarch::ids::Version;
use chicoryarch::process::distribution::Standing;
use chicoryarch::process::distribution::in_force::Confirmations;
use chicoryarch::process::distribution::standing::Term;
use chicoryarch::process::distribution::standing::TermStanding;
use chicoryarch::units::Moment;

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn at(seconds: u64) -> Moment {
    Moment::from_start(Duration::from_secs(seconds))
}

fn current_in(term: u64) -> TermStanding {
    let term = Some(Term(term));
    TermStanding::default().with_source(Standing::Current, term, term)
}

#[test]
fn a_host_is_current_only_in_the_term_in_which_it_caught_up() {
    assert_eq!(current_in(1).in_term(Some(Term(1))), Standing::Current);
    assert_eq!(current_in(1).in_term(None), Standing::Saved);
    assert_eq!(current_in(1).in_term(Some(Term(2))), Standing::Saved);
}

#[test]
fn a_source_asked_while_the_host_is_not_listed_does_not_make_it_current() {
    let standing = TermStanding::default();
    let unlisted = standing.with_source(Standing::Current, None, None);
    assert_eq!(unlisted.in_term(Some(Term(1))), Standing::Saved);
    let relisted = standing.with_source(Standing::Current, Some(Term(1)), Some(Term(2)));
    assert_eq!(relisted.in_term(Some(Term(2))), Standing::Saved);
}

#[test]
fn a_starting_source_raises_no_standing() {
    let term = Some(Term(1));
    let standing = TermStanding::default().with_source(Standing::Starting, term, term);
    assert_eq!(standing.in_term(term), Standing::Starting);
}

#[test]
fn a_report_needs_a_list_of_hosts_newer_than_the_last_confirmation() {
    let mut confirmations = Confirmations::new(Version(7));
    confirmations.set_hosts([host("a"), host("b")], at(1));
    confirmations.record(&host("a"), Some(Version(7)), at(2));
    confirmations.record(&host("b"), Some(Version(9)), at(3));
    assert!(!confirmations.summary().is_complete());
    confirmations.set_hosts([host("a"), host("b")], at(4));
    assert!(confirmations.summary().is_complete());
}

#[test]
fn a_newly_listed_host_has_to_confirm_and_a_lapsed_one_does_not() {
    let mut confirmations = Confirmations::new(Version(7));
    confirmations.set_hosts([host("a"), host("gone")], at(1));
    confirmations.record(&host("a"), Some(Version(7)), at(2));
    confirmations.set_hosts([host("a"), host("new")], at(3));
    assert_eq!(confirmations.summary().missing, [host("new")]);
    confirmations.record(&host("new"), Some(Version(6)), at(4));
    assert_eq!(confirmations.summary().missing, [host("new")]);
}
