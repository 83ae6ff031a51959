//! A customer exceeds its rate with programs of several requests each.
//!
//! If the rate limit treated all requests alike, most programs would lose a
//! request midway and the work done for them would be wasted. New programs must
//! be refused before requests of started ones.

use std::sync::Arc;
use std::time::Duration;

use chicoryarch::gateway::quota::Admission;
use chicoryarch::gateway::quota::ProgramStage;
use chicoryarch::gateway::quota::Quotas;
use chicoryarch::gateway::quota::Share;
use chicoryarch::gateway::routes::Rate;

use super::support::at;

const RATE: Rate = Rate {
    per_s: 50.0,
    burst: 50.0,
};
const ALL: Share = Share(1.0);
/// Requests of one program, 100 ms apart.
const REQUESTS: u64 = 10;
/// Programs started per second; twice what the rate allows.
const STARTED_PER_S: u64 = 10;
const SECONDS: u64 = 20;

/// Returns the numbers of completed programs and of programs that were refused
/// after their first request. `first` is the step of a program's first request.
fn simulate(first: ProgramStage) -> (usize, usize) {
    let customer: Arc<str> = Arc::from("c");
    let mut quotas = Quotas::default();
    quotas.start(at(0));
    let mut requests = Vec::new();
    for program in 0..STARTED_PER_S * SECONDS {
        let starts_ms = 5_000 + program * 1000 / STARTED_PER_S;
        for request in 0..REQUESTS {
            requests.push((starts_ms + request * 100, program, request));
        }
    }
    requests.sort_unstable();
    let programs = usize::try_from(STARTED_PER_S * SECONDS).expect("few programs");
    let mut served = vec![0; programs];
    let mut refused = vec![false; programs];
    for (ms, program, request) in requests {
        let program = usize::try_from(program).expect("few programs");
        if refused[program] {
            continue;
        }
        let step = if request == 0 {
            first
        } else {
            ProgramStage::Started
        };
        match quotas.take(&customer, RATE, ALL, step, at(ms)) {
            Admission::Granted | Admission::Delayed { .. } => served[program] += 1,
            Admission::Denied { wait } => {
                assert!(wait > Duration::ZERO);
                refused[program] = true;
            }
        }
    }
    let completed = served.iter().filter(|n| **n == REQUESTS).count();
    let interrupted = served.iter().filter(|n| **n > 0 && **n < REQUESTS).count();
    (completed, interrupted)
}

#[test]
fn started_programs_are_not_refused_midway() {
    let (completed, interrupted) = simulate(ProgramStage::New);
    let (completed_without, interrupted_without) = simulate(ProgramStage::Started);
    assert!(
        interrupted * 5 < interrupted_without,
        "{interrupted} of {interrupted_without}"
    );
    assert!(
        completed * 20 >= completed_without * 19,
        "{completed} to {completed_without}"
    );
}
