//! What hosts conclude from endpoints that ended under requests.

use std::time::Duration;

use chicoryarch::protection::fingerprint::Fingerprint;
use chicoryarch::protection::suspects::Crash;
use chicoryarch::protection::suspects::ProcessKey;
use chicoryarch::protection::suspects::Standing;
use chicoryarch::protection::suspects::Suspects;
use chicoryarch::units::Moment;

const START: Duration = Duration::from_secs(10_000);

fn at(seconds: u64) -> Moment {
    Moment::from_start(START + Duration::from_secs(seconds))
}

fn crash(family: u64, request: u64, process: u64) -> Crash {
    Crash {
        family: Fingerprint(family),
        request: Fingerprint(request),
        process: ProcessKey(process),
        age_ms: 0,
        is_midway: false,
    }
}

/// A process that ended after it had made events of the request's stream.
fn midway_crash(family: u64, request: u64, process: u64) -> Crash {
    Crash {
        is_midway: true,
        ..crash(family, request, process)
    }
}

fn is_barred(suspects: &Suspects, family: u64, request: u64, now: Moment) -> bool {
    let standing = suspects.standing(Fingerprint(family), Fingerprint(request), now);
    matches!(standing, Standing::Barred { .. })
}

/// Returns what is known after `processes` have ended under a request.
fn after(processes: u64) -> Suspects {
    let mut suspects = Suspects::default();
    for process in 0..processes {
        suspects.record(&crash(1, 10, process), at(process));
    }
    suspects
}

// Guards against a request that goes on to a fourth endpoint, and against one
// that is barred for ever.
#[test]
fn three_ended_processes_bar_a_request_for_a_time() {
    assert!(!is_barred(&after(2), 1, 10, at(3)));
    let mut suspects = after(3);
    assert!(is_barred(&suspects, 1, 10, at(3)));
    assert!(!is_barred(&suspects, 1, 11, at(3)));
    assert!(!is_barred(&suspects, 1, 10, at(3_600)));
    suspects.record(&crash(2, 20, 99), at(3_600));
    assert!(!suspects.knows(Fingerprint(1)));
}

// Guards against one crash that several hosts report counting several times.
#[test]
fn a_process_counts_once() {
    let mut suspects = after(1);
    for _ in 0..5 {
        suspects.record(&crash(1, 10, 0), at(1));
    }
    assert!(!is_barred(&suspects, 1, 10, at(1)));
}

// Guards against blaming what ran beside a request that ends its endpoints.
#[test]
fn processes_of_a_barred_request_count_against_no_other() {
    let mut suspects = Suspects::default();
    for process in 0..2 {
        suspects.record(&crash(2, 20, process), at(0));
        suspects.record(&crash(1, 10, process), at(0));
    }
    suspects.record(&crash(1, 10, 2), at(1));
    suspects.record(&crash(2, 20, 2), at(1));
    suspects.record(&crash(2, 20, 3), at(2));
    assert!(is_barred(&suspects, 1, 10, at(2)));
    assert!(!is_barred(&suspects, 2, 20, at(2)));
}

// Guards against requests that differ only in their later bytes and each end
// three endpoints, and against barring a family that is answered meanwhile.
#[test]
fn a_family_is_barred_unless_it_is_answered() {
    let end_twice = |suspects: &mut Suspects, request: u64| {
        for process in 0..2 {
            let process = request * 100 + process;
            suspects.record(&crash(1, request, process), at(1));
        }
    };
    let mut suspects = Suspects::default();
    end_twice(&mut suspects, 10);
    assert!(!is_barred(&suspects, 1, 12, at(1)));
    end_twice(&mut suspects, 11);
    assert!(is_barred(&suspects, 1, 12, at(1)));
    assert!(!is_barred(&suspects, 2, 12, at(1)));
    suspects.record_answer(Fingerprint(1), Fingerprint(13), at(2));
    assert!(!is_barred(&suspects, 1, 12, at(2)));
}

// Guards against an answered request that stays suspect.
#[test]
fn an_answer_clears_a_request() {
    let mut suspects = after(2);
    suspects.record_answer(Fingerprint(1), Fingerprint(10), at(3));
    suspects.record(&crash(1, 10, 7), at(4));
    assert!(!is_barred(&suspects, 1, 10, at(4)));
}

// Guards against memory and messages that grow with the number of requests.
#[test]
fn memory_and_messages_are_bounded() {
    let mut suspects = after(3);
    for request in 0..20_000 {
        suspects.record(&crash(request, request, 1_000 + request), at(3));
    }
    let known = (0..20_000).filter(|family| suspects.knows(Fingerprint(*family)));
    assert!(known.count() <= 1024);
    assert!(suspects.to_tell(at(3)).len() <= 128);
    assert!(is_barred(&suspects, 1, 10, at(3)));
}

// Guards against knowledge that ends with the host that gained it.
#[test]
fn what_is_told_bars_the_request_elsewhere() {
    let told = after(3).to_tell(at(5));
    let mut other = Suspects::default();
    for crash in &told {
        other.record(crash, at(5));
    }
    assert!(is_barred(&other, 1, 10, at(5)));
}

// Guards against sending all of a caller's requests to one endpoint since one
// of them was present at a crash and never came again.
#[test]
fn a_bystander_does_not_make_its_family_suspect() {
    let mut suspects = after(1);
    let standing = |suspects: &Suspects, request| {
        suspects.standing(Fingerprint(1), Fingerprint(request), at(2))
    };
    let by_family = Standing::Suspect(Fingerprint(1));
    assert_eq!(standing(&suspects, 10), by_family);
    assert_eq!(standing(&suspects, 11), Standing::Clear);
    suspects.record(&crash(1, 10, 1), at(2));
    assert_eq!(standing(&suspects, 11), by_family);
    suspects.record_answer(Fingerprint(1), Fingerprint(12), at(2));
    assert_eq!(standing(&suspects, 11), Standing::Clear);
}

// Guards against variants of a barred request that each end two more endpoints
// before their family is barred.
#[test]
fn a_variant_of_a_barred_request_ends_one_endpoint() {
    let mut suspects = after(3);
    assert!(!is_barred(&suspects, 1, 11, at(3)));
    suspects.record(&crash(1, 11, 50), at(4));
    assert!(is_barred(&suspects, 1, 11, at(4)));
    assert!(is_barred(&suspects, 1, 12, at(4)));
    let mut answered = after(3);
    answered.record(&crash(1, 11, 50), at(4));
    answered.record_answer(Fingerprint(1), Fingerprint(13), at(5));
    assert!(!is_barred(&answered, 1, 12, at(5)));
}

// Guards against a stream that ends engines after an event and is not barred.
#[test]
fn processes_that_end_midway_bar_a_request() {
    let mut suspects = Suspects::default();
    for process in 0..4 {
        assert!(!is_barred(&suspects, 1, 10, at(process)));
        suspects.record(&midway_crash(1, 10, process), at(process));
    }
    assert!(is_barred(&suspects, 1, 10, at(4)));
    let told = suspects.to_tell(at(5));
    let mut other = Suspects::default();
    for crash in &told {
        other.record(crash, at(5));
    }
    assert!(is_barred(&other, 1, 10, at(5)));
}

// Guards against blaming a stream for a crash that it only shared, or keeping
// its family together with the one that is to blame.
#[test]
fn a_stream_that_shared_crashes_is_kept_apart_from_its_family() {
    let mut suspects = Suspects::default();
    let standing = |suspects: &Suspects, request| {
        suspects.standing(Fingerprint(1), Fingerprint(request), at(2))
    };
    for request in 10..30 {
        suspects.record(&midway_crash(1, request, 0), at(0));
        assert_eq!(standing(&suspects, request), Standing::Clear);
        suspects.record(&midway_crash(1, request, 1), at(1));
        let apart = Standing::Suspect(Fingerprint(request));
        assert_eq!(standing(&suspects, request), apart);
    }
    assert_eq!(standing(&suspects, 50), Standing::Clear);
    suspects.record(&midway_crash(1, 10, 2), at(2));
    assert!(!is_barred(&suspects, 1, 10, at(2)));
}

// Guards against a deadly request that is not remembered since many ran beside
// it.
#[test]
fn requests_beside_a_deadly_one_do_not_displace_it() {
    let mut suspects = Suspects::default();
    for process in 0..4 {
        suspects.record(&midway_crash(1, 10, process), at(process));
        for beside in 0..120 {
            let beside = 1000 * (process + 1) + beside;
            suspects.record(&midway_crash(1, beside, process), at(process));
        }
    }
    assert!(is_barred(&suspects, 1, 10, at(4)));
}

// Guards against an answered request that another host's earlier news make
// suspect again.
#[test]
fn crashes_before_an_answer_stay_forgotten() {
    let mut suspects = after(2);
    suspects.record_answer(Fingerprint(1), Fingerprint(10), at(3));
    for process in 0..3 {
        suspects.record(&crash(1, 10, process), at(2));
    }
    assert!(!is_barred(&suspects, 1, 10, at(4)));
    let standing = suspects.standing(Fingerprint(1), Fingerprint(10), at(4));
    assert_eq!(standing, Standing::Clear);
}
