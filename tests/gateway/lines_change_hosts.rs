//! The turns of a program arrive at different hosts: its caller moves to
//! another data centre, or its connection is opened again elsewhere.
//!
//! A host that does not know where a session ran sends its turn to any engine,
//! which prefills the whole prompt. With many hosts that is the usual case.

use chicoryarch::gateway::lines::LineLocations;

use super::fleet_model::Engines;
use super::fleet_model::Outcome;
use super::fleet_model::Policy;
use super::fleet_model::Traffic;
use super::fleet_model::simulate;

const SEEDS: std::ops::Range<u64> = 1..4;

/// Engines with few slots and a fifth of the turns at another host.
fn play(hosts: usize, shares_locations: bool, seed: u64) -> Outcome {
    let engines = Engines {
        per_data_centre: 20,
        slots: 8,
        cache_tokens: 112_000,
        ..Engines::default()
    };
    let traffic = Traffic {
        hosts,
        programs_per_s: [42.0, 42.0],
        turns: 7,
        new_tokens: 700,
        output_tokens: 34,
        topics: 6,
        duration_ms: 10_000,
        deadline_factor: 1.9,
        move_share: 0.2,
        shares_locations,
        ..Traffic::default()
    };
    simulate(engines, traffic, Policy::Pool, seed)
}

#[test]
fn turns_at_another_host_prefill_only_what_is_new() {
    for hosts in [5, 15, 50] {
        for seed in SEEDS {
            let alone = play(hosts, false, seed);
            let shared = play(hosts, true, seed);
            let saved = alone.prefilled_per_turn - shared.prefilled_per_turn;
            assert!(saved > 300.0, "{hosts} hosts: {alone:?} {shared:?}");
            let in_time = |outcome: Outcome| outcome.in_time[0] + outcome.in_time[1];
            let gained = in_time(shared) - in_time(alone);
            assert!(gained > 0.0, "{hosts} hosts: {alone:?} {shared:?}");
        }
    }
}

#[test]
fn a_session_is_found_where_it_last_ran() {
    let mut lines = LineLocations::default();
    assert!(lines.record(1, "a"));
    assert!(lines.record(2, "b"));
    assert_eq!(lines.candidates(1), ["a"]);
    assert!(lines.record(1, "c"));
    assert_eq!(lines.candidates(1), ["c"]);
}

#[test]
fn only_a_move_is_worth_a_report() {
    let mut lines = LineLocations::default();
    assert!(lines.record(1, "a"));
    assert!(!lines.record(1, "a"));
    assert!(lines.record(1, "b"));
}

#[test]
fn a_new_session_may_use_the_engines_of_its_programs_other_sessions() {
    let mut lines = LineLocations::default();
    assert!(lines.candidates(9).is_empty());
    for (session, engine) in [(1, "a"), (2, "b"), (3, "b"), (4, "c"), (5, "d")] {
        lines.record(session, engine);
    }
    assert_eq!(lines.candidates(9), ["d", "c", "b"]);
}

#[test]
fn a_program_keeps_a_bounded_number_of_sessions() {
    let mut lines = LineLocations::default();
    for session in 1..100 {
        lines.record(session, "a");
    }
    lines.record(100, "b");
    assert_eq!(lines.candidates(99), ["a"]);
    // The oldest session is forgotten and gets the program's other engines.
    assert_eq!(lines.candidates(1), ["b", "a"]);
}
