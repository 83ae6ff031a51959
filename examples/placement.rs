//! Uses the fair queue with placement, without sockets or a clock.
//!
//! Two engines of different speed answer the turns of a few programs. Each
//! program returns to the engine that has cached its prefix, and the faster
//! engine gets more of them. Run it with `cargo run --example placement`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::request::answer::Usage;
use chicoryarch::request::place::Demand;
use chicoryarch::request::place::Occupancy;
use chicoryarch::request::place::RunOutcome;
use chicoryarch::request::place::RunResult;
use chicoryarch::request::place::Scheduler;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::catalogue::ConfiguredEndpoint;
use chicoryarch::version::objects::Endpoint;
use chicoryarch::version::objects::EndpointState;

/// Duration of a turn at the slower engine.
const SLOW_MS: u64 = 3_000;
/// Duration of a turn at the faster engine.
const FAST_MS: u64 = 1_000;
/// Bytes that each turn adds to a prompt.
const TURN_BYTES: usize = 8_000;
const BYTES_PER_TOKEN: usize = 4;

fn engine(name: &str) -> ConfiguredEndpoint {
    let service = "chat".parse().expect("a valid name");
    ConfiguredEndpoint {
        id: name.parse().expect("a valid name"),
        endpoint: Arc::new(Endpoint {
            address: ([127, 0, 0, 1], 0).into(),
            data_centre: "local".parse().expect("a valid name"),
            services: BTreeSet::from([service]),
            concurrency: 2,
            checks_fence: false,
            state: EndpointState::Serving,
            host: None,
        }),
    }
}

fn turn(program: u64, number: usize, now: Moment) -> Demand {
    let program = ProgramId {
        data_centre: "local".parse().expect("a valid name"),
        partition: Partition(0),
        random: program,
    };
    Demand {
        service: "chat".parse().expect("a valid name"),
        customer: "anna".parse().expect("a valid name"),
        weight: 1.0,
        conversation: Some(program.clone()),
        program,
        interactive: false,
        max_cost: Tokens(10_000),
        prompt_bytes: number * TURN_BYTES,
        avoid: Vec::new(),
        deadline: now + Duration::from_secs(60),
    }
}

fn main() {
    let (queue, place) = (QueueConfig::default(), PlaceConfig::default());
    let data_centre = "local".parse().expect("a valid name");
    let mut scheduler = Scheduler::new(queue, place, data_centre);
    let engines = [engine("fast"), engine("slow")];
    scheduler.set_endpoints(&engines, |_| Arc::new(Occupancy::default()));
    let mut now = Moment::from_start(Duration::from_secs(1));
    for number in 1..5 {
        for program in 0..3 {
            let demand = turn(program, number, now);
            scheduler.join(now, demand).expect("there is room");
        }
        let mut started = scheduler.step(now).started;
        started.sort_by(|a, b| a.id.cmp(&b.id));
        for started in started {
            println!("turn {number}: {} {:?}", started.id, started.prefix);
            let fast = started.id.as_str() == "fast";
            let end = now + Duration::from_millis(if fast { FAST_MS } else { SLOW_MS });
            let result = RunResult {
                outcome: RunOutcome::Answered,
                usage: Some(usage(number)),
            };
            scheduler.finish(end, &started.id, started.run, &result);
        }
        now += Duration::from_millis(SLOW_MS);
    }
}

fn usage(number: usize) -> Usage {
    let tokens = |turns: usize| (turns * TURN_BYTES / BYTES_PER_TOKEN) as u64;
    Usage {
        prompt_tokens: tokens(number),
        cached_tokens: tokens(number - 1),
        completion_tokens: 100,
    }
}
