//! Fixtures: endpoints, calls and times for tests of placement.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::ids::EndpointId;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::request::answer::Usage;
use chicoryarch::request::place::Demand;
use chicoryarch::request::place::Occupancy;
use chicoryarch::request::place::RunOutcome;
use chicoryarch::request::place::RunResult;
use chicoryarch::request::place::Scheduler;
use chicoryarch::request::place::StartedCall;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::catalogue::ConfiguredEndpoint;
use chicoryarch::version::objects::Endpoint;
use chicoryarch::version::objects::EndpointState;

pub(crate) fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + ms))
}

pub(crate) fn id(n: usize) -> EndpointId {
    format!("e{n}").parse().expect("a valid name")
}

pub(crate) fn program(n: u64) -> ProgramId {
    ProgramId {
        data_centre: "dc".parse().expect("a valid name"),
        partition: Partition(0),
        random: n,
    }
}

pub(crate) fn endpoint(n: usize, slots: u32, state: EndpointState) -> ConfiguredEndpoint {
    let service = "s".parse().expect("a valid name");
    ConfiguredEndpoint {
        id: id(n),
        endpoint: Arc::new(Endpoint {
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "dc".parse().expect("a valid name"),
            services: BTreeSet::from([service]),
            concurrency: slots,
            checks_fence: false,
            state,
            host: None,
        }),
    }
}

pub(crate) fn plain_call(customer: usize, number: u64) -> Demand {
    Demand {
        service: "s".parse().expect("a valid name"),
        customer: format!("c{customer}").parse().expect("a valid name"),
        weight: 1.0,
        program: program(number),
        conversation: None,
        interactive: false,
        max_cost: Tokens(1),
        prompt_bytes: 0,
        avoid: Vec::new(),
        deadline: at(100_000_000),
    }
}

pub(crate) fn model_call(number: u64, prompt_bytes: usize) -> Demand {
    Demand {
        conversation: Some(program(number)),
        prompt_bytes,
        ..plain_call(0, number)
    }
}

/// A scheduler with `endpoints` endpoints of `slots` slots each.
pub(crate) fn scheduler(cfg: PlaceConfig, endpoints: usize, slots: u32) -> Scheduler {
    let dc = "dc".parse().expect("a valid name");
    let mut scheduler = Scheduler::new(QueueConfig::default(), cfg, dc);
    let serving = EndpointState::Serving;
    let all: Vec<_> = (0..endpoints)
        .map(|n| endpoint(n, slots, serving))
        .collect();
    scheduler.set_endpoints(&all, |_| Arc::new(Occupancy::default()));
    scheduler
}

/// Queues a call and starts it; panics if no endpoint has a free slot.
pub(crate) fn start(scheduler: &mut Scheduler, ms: u64, demand: Demand) -> StartedCall {
    scheduler.join(at(ms), demand).expect("there is room");
    let started = scheduler.step(at(ms)).started.pop();
    started.expect("an endpoint is free")
}

pub(crate) fn finish(
    scheduler: &mut Scheduler,
    ms: u64,
    started: &StartedCall,
    outcome: RunOutcome,
    usage: Option<Usage>,
) {
    let finish = RunResult { outcome, usage };
    scheduler.finish(at(ms), &started.id, started.run, &finish);
}

pub(crate) fn usage(prompt: u64, cached: u64) -> Usage {
    Usage {
        prompt_tokens: prompt,
        cached_tokens: cached,
        completion_tokens: 100,
    }
}
