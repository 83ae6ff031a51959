//! Tests of the choice of endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::ids::EndpointId;
use chicoryarch::request::place::Choice;
use chicoryarch::request::place::Demand;
use chicoryarch::request::place::LoadReport;
use chicoryarch::request::place::Occupancy;
use chicoryarch::request::place::Prefix;
use chicoryarch::request::place::RunOutcome;
use chicoryarch::request::place::Scheduler;
use chicoryarch::request::place::StartedCall;
use chicoryarch::version::objects::EndpointState;

use crate::fixtures::at;
use crate::fixtures::endpoint;
use crate::fixtures::finish;
use crate::fixtures::id;
use crate::fixtures::model_call;
use crate::fixtures::plain_call;
use crate::fixtures::scheduler;
use crate::fixtures::start;
use crate::fixtures::usage;
use crate::random::check;

fn cfg() -> PlaceConfig {
    PlaceConfig::default()
}

/// Runs one call at the endpoint `only` that takes `took` milliseconds.
fn run_alone(scheduler: &mut Scheduler, ms: u64, only: usize, endpoints: usize, took: u64) {
    let avoid = (0..endpoints).filter(|n| *n != only).map(id).collect();
    let demand = Demand {
        avoid,
        ..plain_call(9, 9)
    };
    let started = start(scheduler, ms, demand);
    assert_eq!(started.id, id(only));
    finish(scheduler, ms + took, &started, RunOutcome::Answered, None);
}

#[test]
fn calls_go_to_the_endpoint_that_is_expected_to_answer_first() {
    let mut scheduler = scheduler(cfg(), 2, 4);
    for round in 0..5 {
        run_alone(&mut scheduler, round * 1_000, 0, 2, 200);
        run_alone(&mut scheduler, round * 1_000 + 500, 1, 2, 50);
    }
    let started = start(&mut scheduler, 6_000, plain_call(0, 1));
    assert_eq!(started.id, id(1));
}

#[test]
fn a_program_returns_to_the_endpoint_that_holds_its_prefix() {
    let mut scheduler = scheduler(cfg(), 8, 4);
    let first = start(&mut scheduler, 0, model_call(1, 40_000));
    finish(
        &mut scheduler,
        3_000,
        &first,
        RunOutcome::Answered,
        Some(usage(10_000, 0)),
    );
    let second = start(&mut scheduler, 9_000, model_call(1, 44_000));
    assert_eq!(second.id, first.id);
    assert_eq!(second.prefix, Prefix::Held { tokens: 10_100 });
}

#[test]
fn a_failed_call_removes_its_cached_prefix() {
    let mut scheduler = scheduler(cfg(), 1, 4);
    let first = start(&mut scheduler, 0, model_call(1, 40_000));
    finish(
        &mut scheduler,
        3_000,
        &first,
        RunOutcome::Answered,
        Some(usage(10_000, 0)),
    );
    let second = start(&mut scheduler, 9_000, model_call(1, 40_000));
    finish(&mut scheduler, 9_500, &second, RunOutcome::Failed, None);
    let third = start(&mut scheduler, 9_600, model_call(1, 40_000));
    assert_eq!(third.prefix, Prefix::Cold);
}

#[test]
fn a_call_waits_for_its_prefix_no_longer_than_a_prefill_elsewhere_takes() {
    let mut scheduler = scheduler(cfg(), 2, 1);
    let first = start(&mut scheduler, 0, model_call(1, 400_000));
    finish(
        &mut scheduler,
        22_000,
        &first,
        RunOutcome::Answered,
        Some(usage(100_000, 0)),
    );
    let blocker = Demand {
        avoid: vec![id(1 - usize::from(first.id == id(1)))],
        ..model_call(2, 400)
    };
    let blocker = start(&mut scheduler, 23_000, blocker);
    assert_eq!(blocker.id, first.id);
    scheduler
        .join(at(23_000), model_call(1, 400_000))
        .expect("there is room");
    let step = scheduler.step(at(23_000));
    assert!(step.started.is_empty(), "it waits for its prefix");
    let wake = step.wake.expect("it does not wait for ever");
    assert!(wake <= at(53_000), "a prefill takes less than 30 s");
    let step = scheduler.step(wake);
    assert_eq!(step.started.len(), 1, "it starts elsewhere");
    assert_ne!(step.started[0].id, first.id);
}

#[test]
fn a_prefix_is_moved_where_that_is_cheaper_than_a_prefill() {
    let cfg = PlaceConfig {
        move_prefixes: true,
        ..cfg()
    };
    let mut scheduler = scheduler(cfg, 2, 1);
    let first = start(&mut scheduler, 0, model_call(1, 40_000));
    finish(
        &mut scheduler,
        3_000,
        &first,
        RunOutcome::Answered,
        Some(usage(10_000, 0)),
    );
    let demand = Demand {
        avoid: vec![first.id.clone()],
        ..model_call(1, 40_000)
    };
    let second = start(&mut scheduler, 4_000, demand);
    let (from, tokens) = (first.id, 10_000);
    assert_eq!(second.prefix, Prefix::Move { from, tokens });
}

#[test]
fn an_endpoint_that_keeps_failing_is_ejected_and_probed() {
    let mut scheduler = scheduler(cfg(), 2, 8);
    let other = || Demand {
        avoid: vec![id(1)],
        ..plain_call(0, 1)
    };
    for n in 0..3 {
        let started = start(&mut scheduler, n, other());
        finish(&mut scheduler, n, &started, RunOutcome::Failed, None);
    }
    for n in 0..8 {
        assert_eq!(start(&mut scheduler, 10, plain_call(0, n)).id, id(1));
    }
    scheduler
        .join(at(20), plain_call(0, 1))
        .expect("there is room");
    scheduler
        .join(at(20), plain_call(0, 2))
        .expect("there is room");
    let step = scheduler.step(at(20));
    assert!(step.started.is_empty());
    let probe = step.wake.expect("the ejection ends");
    let probes = scheduler.step(probe).started;
    assert_eq!(probes.len(), 1, "one call probes the endpoint");
    assert_eq!(probes[0].id, id(0));
    finish(
        &mut scheduler,
        5_000,
        &probes[0],
        RunOutcome::Answered,
        None,
    );
    assert_eq!(scheduler.step(at(5_000)).started.len(), 1);
}

#[test]
fn a_call_does_not_return_to_an_endpoint_that_failed_it_while_another_serves() {
    let mut scheduler = scheduler(cfg(), 2, 1);
    let busy = start(&mut scheduler, 0, plain_call(0, 1));
    let free = id(usize::from(busy.id == id(0)));
    let demand = Demand {
        avoid: vec![free],
        ..plain_call(0, 2)
    };
    scheduler.join(at(0), demand).expect("there is room");
    assert!(scheduler.step(at(0)).started.is_empty());
    finish(&mut scheduler, 50, &busy, RunOutcome::Answered, None);
    assert_eq!(scheduler.step(at(50)).started[0].id, busy.id);
}

#[test]
fn an_endpoint_whose_calls_are_overdue_gets_no_more_while_others_have_room() {
    let mut scheduler = scheduler(cfg(), 2, 8);
    for round in 0..5 {
        run_alone(&mut scheduler, round * 1_000, 0, 2, 50);
        run_alone(&mut scheduler, round * 1_000 + 500, 1, 2, 60);
    }
    let stuck = start(&mut scheduler, 6_000, plain_call(0, 1));
    assert_eq!(stuck.id, id(0));
    for n in 0..6 {
        assert_eq!(start(&mut scheduler, 8_000, plain_call(0, 2 + n)).id, id(1));
    }
}

#[test]
fn a_load_report_excludes_local_calls_at_the_time_of_measurement() {
    let lag = std::time::Duration::from_millis(500);
    let occupancy = Occupancy::new(lag);
    for _ in 0..3 {
        assert!(occupancy.try_acquire(at(0), 8));
    }
    occupancy.release(at(400));
    let report = LoadReport {
        running: 4,
        queued: 1,
    };
    // The measurement dates from 100 ms, when three local calls ran.
    occupancy.record_report(at(600), report);
    assert_eq!(occupancy.remote_calls(at(600)), 2);
    assert_eq!(
        occupancy.remote_calls(at(60_000)),
        0,
        "an old report is not used"
    );
}

#[test]
fn the_concurrency_limit_follows_a_rise_and_fall_of_latency() {
    let mut scheduler = scheduler(cfg(), 1, 8);
    let limit = |s: &Scheduler| s.endpoint_rows(at(0))[0].limit;
    let round = |scheduler: &mut Scheduler, ms: u64, took: u64| {
        for n in 0..8 {
            scheduler
                .join(at(ms), plain_call(0, n))
                .expect("there is room");
        }
        let mut now = ms;
        loop {
            let started = scheduler.step(at(now)).started;
            if started.is_empty() {
                return;
            }
            now += took;
            for started in &started {
                finish(scheduler, now, started, RunOutcome::Answered, None);
            }
        }
    };
    for n in 0..10 {
        round(&mut scheduler, n * 10_000, 50);
    }
    assert_eq!(limit(&scheduler), 8);
    for n in 10..14 {
        round(&mut scheduler, n * 10_000, 400);
    }
    assert!(limit(&scheduler) < 8);
    for n in 14..60 {
        round(&mut scheduler, n * 10_000, 50);
    }
    assert_eq!(limit(&scheduler), 8);
}

/// An event of a randomised run.
#[derive(Clone, Debug)]
enum Op {
    Join {
        customer: usize,
        program: u64,
        kind: Kind,
    },
    Cancel {
        nth: usize,
    },
    Finish {
        nth: usize,
        outcome: RunOutcome,
    },
    Drain {
        endpoint: usize,
    },
    Serve {
        endpoint: usize,
    },
    Report {
        endpoint: usize,
        running: u32,
    },
    Wait {
        ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Plain,
    Interactive,
    Model,
}

const ENDPOINTS: usize = 5;

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let kind = prop_oneof![
        3 => Just(Kind::Plain),
        1 => Just(Kind::Interactive),
        3 => Just(Kind::Model),
    ];
    let outcome = prop_oneof![
        6 => Just(RunOutcome::Answered),
        3 => Just(RunOutcome::Failed),
        1 => Just(RunOutcome::Cancelled),
        1 => Just(RunOutcome::Rejected),
    ];
    let nth = 0..64_usize;
    let endpoint = 0..ENDPOINTS;
    let op = prop_oneof![
        8 => (0..4_usize, 0..20_u64, kind)
            .prop_map(|(customer, program, kind)| Op::Join { customer, program, kind }),
        1 => nth.clone().prop_map(|nth| Op::Cancel { nth }),
        7 => (nth, outcome).prop_map(|(nth, outcome)| Op::Finish { nth, outcome }),
        1 => endpoint.clone().prop_map(|endpoint| Op::Drain { endpoint }),
        1 => endpoint.clone().prop_map(|endpoint| Op::Serve { endpoint }),
        1 => (endpoint, 0..20_u32).prop_map(|(endpoint, running)| Op::Report { endpoint, running }),
        3 => (1..3_000_u64).prop_map(|ms| Op::Wait { ms }),
    ];
    prop::collection::vec(op, 1..400)
}

/// A scheduler and the state that the test expects of it.
struct Harness {
    scheduler: Scheduler,
    occupancies: BTreeMap<EndpointId, Arc<Occupancy>>,
    draining: BTreeSet<usize>,
    running: Vec<(StartedCall, bool)>,
    interactive_by_ticket: BTreeMap<u64, bool>,
    now: u64,
}

impl Harness {
    fn new(reserved: bool) -> Self {
        let dc = "dc".parse().expect("a valid name");
        let queue = QueueConfig {
            max_waiting: 40,
            ..QueueConfig::default()
        };
        let occupancies = (0..ENDPOINTS).map(|n| {
            let occupancy = Occupancy::default();
            occupancy.set_reserved(reserved);
            (id(n), Arc::new(occupancy))
        });
        let mut harness = Self {
            scheduler: Scheduler::new(queue, cfg(), dc),
            occupancies: occupancies.collect(),
            draining: BTreeSet::new(),
            running: Vec::new(),
            interactive_by_ticket: BTreeMap::new(),
            now: 0,
        };
        harness.configure();
        harness
    }

    fn slots(n: usize) -> u32 {
        [1, 2, 4, 8, 3][n]
    }

    fn configure(&mut self) {
        let state = |n| match self.draining.contains(&n) {
            true => EndpointState::Draining,
            false => EndpointState::Serving,
        };
        let all = (0..ENDPOINTS).map(|n| endpoint(n, Self::slots(n), state(n)));
        let all: Vec<_> = all.collect();
        let occupancies = &self.occupancies;
        let occupancy = |id: &EndpointId| Arc::clone(&occupancies[id]);
        self.scheduler.set_endpoints(&all, occupancy);
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Join {
                customer,
                program,
                kind,
            } => self.join(customer, program, kind),
            Op::Cancel { nth } => {
                let rows = self.scheduler.queue().rows();
                if let Some(row) = rows.get(nth % rows.len().max(1)) {
                    assert!(self.scheduler.cancel(at(self.now), row.ticket));
                }
            }
            Op::Finish { nth, outcome } if !self.running.is_empty() => {
                let nth = nth % self.running.len();
                let (started, _) = self.running.swap_remove(nth);
                let usage = Some(usage(500, 0));
                finish(&mut self.scheduler, self.now, &started, outcome, usage);
            }
            Op::Finish { .. } => {}
            Op::Drain { endpoint } => {
                self.draining.insert(endpoint);
                self.configure();
            }
            Op::Serve { endpoint } => {
                self.draining.remove(&endpoint);
                self.configure();
            }
            Op::Report { endpoint, running } => {
                let report = LoadReport { running, queued: 0 };
                self.occupancies[&id(endpoint)].record_report(at(self.now), report);
            }
            Op::Wait { ms } => self.now += ms,
        }
    }

    fn join(&mut self, customer: usize, program: u64, kind: Kind) {
        let demand = match kind {
            Kind::Plain | Kind::Interactive => plain_call(customer, program),
            Kind::Model => Demand {
                customer: plain_call(customer, program).customer,
                ..model_call(program, 2_000)
            },
        };
        let interactive = matches!(kind, Kind::Interactive);
        let demand = Demand {
            interactive,
            ..demand
        };
        if let Ok(joined) = self.scheduler.join(at(self.now), demand) {
            self.interactive_by_ticket
                .insert(joined.ticket.0, interactive);
        }
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        let free_before = self.free();
        let step = self.scheduler.step(at(self.now));
        let mut taken: BTreeMap<EndpointId, u32> = BTreeMap::new();
        for started in &step.started {
            let n = (0..ENDPOINTS)
                .find(|n| id(*n) == started.id)
                .expect("known");
            prop_assert!(
                !self.draining.contains(&n),
                "a draining endpoint was chosen"
            );
            let taken = taken.entry(started.id.clone()).or_default();
            *taken += 1;
            let (free, reserved) = free_before[&started.id];
            let interactive = self.interactive_by_ticket[&started.ticket.0];
            let free_after = i64::from(free) - i64::from(*taken);
            if !interactive {
                prop_assert!(
                    free_after >= i64::from(reserved),
                    "a reserved slot was used"
                );
            }
        }
        let new = step.started.into_iter();
        let new = new.map(|s| {
            let interactive = self.interactive_by_ticket[&s.ticket.0];
            (s, interactive)
        });
        self.running.extend(new);
        Ok(())
    }

    /// Number of free slots of each endpoint by its limit, and of reserved
    /// ones.
    fn free(&self) -> BTreeMap<EndpointId, (u32, u32)> {
        let rows = self.scheduler.endpoint_rows(at(self.now)).into_iter();
        let free = |limit: u32, local: u32| limit.saturating_sub(local);
        rows.map(|row| (row.endpoint, (free(row.limit, row.in_flight), row.reserved)))
            .collect()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let mut by_endpoint: BTreeMap<&EndpointId, u32> = BTreeMap::new();
        for (started, _) in &self.running {
            *by_endpoint.entry(&started.id).or_default() += 1;
        }
        for n in 0..ENDPOINTS {
            let local = self.occupancies[&id(n)].local_calls();
            let expected = by_endpoint.get(&id(n)).copied().unwrap_or_default();
            prop_assert_eq!(local, expected, "slots are conserved");
            prop_assert!(local <= Self::slots(n), "no more calls than slots");
        }
        prop_assert_eq!(self.scheduler.running_count(), self.running.len());
        Ok(())
    }

    /// Serves all endpoints again and ends running calls until no call waits.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        self.draining.clear();
        self.configure();
        for _ in 0..2_000 {
            self.step()?;
            if let Some((started, _)) = self.running.pop() {
                finish(
                    &mut self.scheduler,
                    self.now,
                    &started,
                    RunOutcome::Answered,
                    None,
                );
            }
            self.now += 1_000;
        }
        prop_assert_eq!(self.scheduler.waiting_count(), 0, "every call starts");
        prop_assert!(self.running.is_empty());
        Ok(())
    }
}

#[test]
fn slots_are_conserved_bounded_and_reserved_under_any_events() {
    check(&(any::<bool>(), ops()), |(reserved, ops)| {
        let mut harness = Harness::new(*reserved);
        for op in ops {
            harness.apply(op);
            harness.step()?;
            harness.check()?;
        }
        harness.drain()
    });
}

#[test]
fn a_step_starts_every_call_with_a_free_slot_unless_it_waits_for_its_prefix() {
    check(&(any::<bool>(), ops()), |(reserved, ops)| {
        let mut harness = Harness::new(*reserved);
        for op in ops {
            harness.apply(op);
            harness.step()?;
            for (row, _) in harness.scheduler.waiting_rows(at(harness.now), 8) {
                let demand = Demand {
                    interactive: row.interactive,
                    ..plain_call(0, 0)
                };
                let choice =
                    harness
                        .scheduler
                        .pool()
                        .choose(at(harness.now), &demand, row.queued_at);
                let holds = harness.scheduler.waiting_rows(at(harness.now), 8);
                let holds = holds.iter().any(|(r, why)| {
                    r.ticket == row.ticket
                        && matches!(why, chicoryarch::request::place::WaitReason::Prefix(_))
                });
                let idle = matches!(choice, Choice::Place(_)) && !holds;
                prop_assert!(!idle, "a call waits despite a free slot");
            }
        }
        Ok(())
    });
}
