//! Probes of a store that does not answer.

use chicoryarch::gateway::contact::StoreContact;

#[test]
fn one_probe_runs_at_a_time() {
    let contact = StoreContact::default();
    assert!(contact.begin_probe());
    assert!(!contact.begin_probe());
    contact.record_outcome(true);
    assert!(!contact.end_probe());
    assert!(contact.begin_probe());
}

#[test]
fn a_store_that_is_lost_again_while_its_probe_ends_is_probed_on() {
    let contact = StoreContact::default();
    assert!(contact.begin_probe());
    contact.record_outcome(true);
    // Another call fails before the probe has ended, and begins none.
    contact.record_outcome(false);
    assert!(!contact.begin_probe());
    assert!(contact.end_probe());
    assert!(!contact.begin_probe());
}
