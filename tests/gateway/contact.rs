//! Probing of an unreachable store. Guards against parallel probes, and against
//! a store that is never probed again because it failed while a probe was
//! ending.

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
fn a_probe_continues_if_the_store_fails_again_before_it_ends() {
    let contact = StoreContact::default();
    assert!(contact.begin_probe());
    contact.record_outcome(true);
    // Another call fails before the probe ends, and starts no probe of its own.
    contact.record_outcome(false);
    assert!(!contact.begin_probe());
    assert!(contact.end_probe());
    assert!(!contact.begin_probe());
}
