//! Tests of the fair queue.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;

use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::ids::CustomerId;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::request::queue::Class;
use chicoryarch::request::queue::Entry;
use chicoryarch::request::queue::FairQueue;
use chicoryarch::request::queue::Overload;
use chicoryarch::request::queue::Ticket;
use chicoryarch::units::Moment;

use crate::random::check;

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + ms))
}

fn customer(n: usize) -> CustomerId {
    format!("c{n}").parse().expect("a valid name")
}

fn program(n: u64) -> ProgramId {
    ProgramId {
        data_centre: "dc".parse().expect("a valid name"),
        partition: Partition(0),
        random: n,
    }
}

fn entry(customer_number: usize, program_number: u64) -> Entry {
    Entry {
        customer: customer(customer_number),
        weight: 1.0,
        program: program(program_number),
        interactive: false,
        cost: SECOND,
        deadline: at(10_000_000),
    }
}

fn queue() -> FairQueue {
    FairQueue::new(QueueConfig::default())
}

fn join(queue: &mut FairQueue, ms: u64, entry: Entry) -> Ticket {
    queue.join(at(ms), entry).expect("there is room").ticket
}

fn first(queue: &FairQueue) -> Ticket {
    queue.order(Class::Any).next().expect("a call waits")
}

#[test]
fn a_program_with_less_attained_service_goes_first() {
    let mut queue = queue();
    let long = join(&mut queue, 0, entry(0, 1));
    let charge = queue.start(at(0), long);
    queue.settle(at(5_000), &charge, 5 * SECOND);
    let long = join(&mut queue, 5_000, entry(0, 1));
    let short = join(&mut queue, 5_100, entry(0, 2));
    assert_eq!(queue.order(Class::Any).collect::<Vec<_>>(), [short, long]);
}

#[test]
fn an_idle_customer_gains_no_credit() {
    let mut queue = queue();
    for n in 0..20 {
        let ticket = join(&mut queue, n, entry(0, n));
        queue.start(at(n), ticket);
    }
    let mut order = Vec::new();
    for n in 0..4 {
        join(&mut queue, 100, entry(0, 100 + n));
        join(&mut queue, 100, entry(1, 200 + n));
    }
    while !queue.is_empty() {
        let next = first(&queue);
        let row = queue.rows().into_iter().find(|row| row.ticket == next);
        order.push(row.expect("it waits").customer);
        queue.start(at(101), next);
    }
    let newcomer = order.iter().take(4).filter(|c| **c == customer(1)).count();
    assert!(newcomer <= 3, "the newcomer takes turns: {order:?}");
}

#[test]
fn a_reserved_slot_is_offered_to_interactive_calls_only() {
    let mut queue = queue();
    join(&mut queue, 0, entry(0, 1));
    assert_eq!(queue.order(Class::Interactive).count(), 0);
    let interactive = Entry {
        interactive: true,
        ..entry(1, 2)
    };
    let ticket = join(&mut queue, 0, interactive);
    let offered: Vec<_> = queue.order(Class::Interactive).collect();
    assert_eq!(offered, [ticket]);
}

#[test]
fn a_full_queue_refuses_the_customer_that_fills_it() {
    let cfg = QueueConfig {
        max_waiting: 8,
        ..QueueConfig::default()
    };
    let mut queue = FairQueue::new(cfg);
    for n in 0..8 {
        join(&mut queue, n, entry(0, n));
    }
    let refused = queue.join(at(9), entry(0, 9)).expect_err("it is full");
    assert_eq!(refused.reason, Overload::Full);
    let joined = queue.join(at(9), entry(1, 10)).expect("a share is free");
    assert!(joined.displaced.is_some());
    assert_eq!(queue.len(), 8);
}

#[test]
fn a_call_that_cannot_start_before_its_deadline_is_refused_at_once() {
    let mut queue = queue();
    for n in 0..100 {
        join(&mut queue, 0, entry(0, n));
    }
    for n in 0..40 {
        let next = first(&queue);
        queue.start(at(1_000 * n), next);
    }
    let late = Entry {
        deadline: at(40_500),
        ..entry(0, 500)
    };
    let refused = queue.join(at(40_000), late).expect_err("60 are ahead");
    assert_eq!(refused.reason, Overload::Deadline);
    assert!(refused.retry_after >= 10 * SECOND, "{refused:?}");
}

/// An event of a randomised run.
#[derive(Clone, Debug)]
enum Op {
    Join { customer: usize, program: u64 },
    Start,
    Settle { percent: u32 },
    Cancel { nth: usize },
    Wait { ms: u64 },
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        5 => (0..4_usize, 0..12_u64).prop_map(|(customer, program)| Op::Join { customer, program }),
        4 => Just(Op::Start),
        3 => (20..200_u32).prop_map(|percent| Op::Settle { percent }),
        1 => (0..20_usize).prop_map(|nth| Op::Cancel { nth }),
        2 => (1..400_u64).prop_map(|ms| Op::Wait { ms }),
    ];
    prop::collection::vec(op, 1..300)
}

const WEIGHTS: [f64; 4] = [1.0, 1.0, 2.0, 4.0];

#[test]
fn no_waiting_customer_falls_behind_another_by_more_than_a_call_of_each() {
    check(&ops(), |ops| {
        let mut queue = queue();
        let (mut now, mut served) = (0, [0.0_f64; 4]);
        // Service by weight of two customers when both had begun to wait.
        let mut since: BTreeMap<(usize, usize), (f64, f64)> = BTreeMap::new();
        for op in ops {
            match op {
                Op::Join { customer, program } => {
                    let weight = WEIGHTS[*customer];
                    let entry = Entry {
                        weight,
                        ..entry(*customer, *program)
                    };
                    join(&mut queue, now, entry);
                }
                Op::Start if !queue.is_empty() => {
                    let next = first(&queue);
                    let row = queue.rows().into_iter().find(|row| row.ticket == next);
                    let name = row.expect("it waits").customer;
                    let n = (0..4).find(|n| customer(*n) == name).expect("known");
                    served[n] += 1.0 / WEIGHTS[n];
                    queue.start(at(now), next);
                }
                Op::Cancel { nth } if !queue.is_empty() => {
                    let ticket = queue.rows()[nth % queue.len()].ticket;
                    assert!(queue.cancel(at(now), ticket));
                }
                Op::Wait { ms } => now += ms,
                _ => {}
            }
            let rows = queue.rows();
            let waits = |n: usize| rows.iter().any(|row| row.customer == customer(n));
            for a in 0..4 {
                for b in (0..4).filter(|b| *b != a) {
                    if !waits(a) || !waits(b) {
                        since.remove(&(a, b));
                        continue;
                    }
                    let (from_a, from_b) = *since.entry((a, b)).or_insert((served[a], served[b]));
                    let gap = (served[a] - from_a) - (served[b] - from_b);
                    let bound = 1.0 / WEIGHTS[a] + 1.0 / WEIGHTS[b] + 1e-6;
                    prop_assert!(gap <= bound, "{a} is {gap} ahead of {b}");
                }
            }
        }
        Ok(())
    });
}

#[test]
fn no_call_is_overtaken_by_a_call_queued_later_than_ageing_allows() {
    let cfg = QueueConfig {
        ageing: 1.0,
        max_attained: 20 * SECOND,
        ..QueueConfig::default()
    };
    let longest = cfg.max_attained.as_secs_f64() / cfg.ageing;
    check(&ops(), |ops| {
        let mut queue = FairQueue::new(cfg.clone());
        let (mut now, mut running) = (0, Vec::new());
        for op in ops {
            match op {
                Op::Join { program, .. } => {
                    join(&mut queue, now, entry(0, *program));
                }
                Op::Start if !queue.is_empty() => {
                    let next = first(&queue);
                    let rows = queue.rows();
                    let since = queue.queued_at(next).expect("it waits");
                    for row in &rows {
                        let overtaken_by = since.since(row.queued_at).as_secs_f64();
                        prop_assert!(overtaken_by <= longest, "overtaken by {overtaken_by} s");
                    }
                    running.push(queue.start(at(now), next));
                }
                Op::Settle { percent } => {
                    if let Some(charge) = running.pop() {
                        queue.settle(at(now), &charge, SECOND * *percent);
                    }
                }
                Op::Wait { ms } => now += ms * 100,
                _ => {}
            }
        }
        Ok(())
    });
}

#[test]
fn service_of_programs_is_forgotten_only_when_they_are_idle() {
    let mut queue = queue();
    let ticket = join(&mut queue, 0, entry(0, 1));
    let running = queue.start(at(0), ticket);
    let hour = 3_600_000;
    join(&mut queue, hour, entry(0, 2));
    assert_eq!(queue.attained_service().len(), 2);
    queue.settle(at(hour), &running, SECOND);
    join(&mut queue, 2 * hour, entry(0, 3));
    assert_eq!(
        queue.attained_service().attained(&program(1)),
        Duration::ZERO
    );
}
