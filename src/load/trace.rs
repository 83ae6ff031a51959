//! Generates programs from a seed; equal seeds give equal traces.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::deployment::Mix;
use super::program::Agent;
use super::program::CallSpec;
use super::program::Program;
use super::program::Step;

/// Fraction of a customer's programs that use the customer's data centre; the
/// others use any data centre at random.
const LOCAL_SHARE: f64 = 0.8;

/// A temporary increase of one customer's arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Index of the customer.
    pub customer: usize,
    /// Multiple of the customer's ordinary rate.
    pub factor: f64,
    /// Start, from the start of the trace.
    pub from: Duration,
    /// End, from the start of the trace.
    pub until: Duration,
}

/// Parameters of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSpec {
    /// Seed of the generators of all customers.
    pub seed: u64,
    /// Mean arrival rate, in programs a second over all customers.
    pub rate: f64,
    /// Time span in which programs arrive.
    pub length: Duration,
    /// Surge of one customer; `None` for constant rates.
    pub surge: Option<Surge>,
}

/// Generates the programs of a deployment in order of arrival.
///
/// Each customer and each surge has a random stream of its own, so that a surge
/// does not change the other programs.
pub fn generate(deployment: &Deployment, spec: &TraceSpec) -> Vec<Program> {
    let mut programs = Vec::new();
    for customer in 0..deployment.customers.len() {
        programs.extend(customer_programs(deployment, spec, customer, None));
        if let Some(surge) = spec.surge.filter(|surge| surge.customer == customer) {
            programs.extend(customer_programs(deployment, spec, customer, Some(surge)));
        }
    }
    programs.sort_by_key(|program| program.arrival);
    programs
}

fn customer_programs(
    deployment: &Deployment,
    spec: &TraceSpec,
    customer: usize,
    surge: Option<Surge>,
) -> Vec<Program> {
    let stream = 2 * customer as u64 + u64::from(surge.is_some());
    let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
    rng.set_stream(stream);
    let ordinary = spec.rate * deployment.customers[customer].share;
    let (rate, from, until) = match surge {
        None => (ordinary, Duration::ZERO, spec.length),
        Some(surge) => (ordinary * (surge.factor - 1.0), surge.from, surge.until),
    };
    let mut programs = Vec::new();
    let mut arrival = from + interarrival_time(&mut rng, rate);
    while arrival < until {
        programs.push(Program {
            arrival,
            customer,
            data_centre: choose_data_centre(&mut rng, deployment, customer),
            root: match deployment.mix {
                Mix::Scores => score_program(&mut rng),
                Mix::Labels => label_program(&mut rng),
            },
        });
        arrival += interarrival_time(&mut rng, rate);
    }
    programs
}

fn interarrival_time(rng: &mut impl Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

fn choose_data_centre(rng: &mut impl Rng, deployment: &Deployment, customer: usize) -> usize {
    if rng.random_bool(LOCAL_SHARE) {
        deployment.customers[customer].data_centre
    } else {
        rng.random_range(0..deployment.data_centres)
    }
}

fn tool_pause(rng: &mut impl Rng, from_ms: u64, to_ms: u64) -> Step {
    Step::Pause(Duration::from_millis(rng.random_range(from_ms..to_ms)))
}

fn model_call(rng: &mut impl Rng, new: (u64, u64), completion: (u64, u64)) -> Step {
    Step::Call(CallSpec {
        service: 0,
        new_tokens: rng.random_range(new.0..new.1),
        completion_tokens: rng.random_range(completion.0..completion.1),
        work: 1.0,
    })
}

fn plain_call(rng: &mut impl Rng, service: usize) -> Step {
    // Most calls are near the mean; one in twenty takes three times as long, as
    // calls that print or write do.
    let tail = if rng.random_bool(0.05) { 3.0 } else { 1.0 };
    Step::Call(CallSpec {
        service,
        new_tokens: 0,
        completion_tokens: 0,
        work: tail * rng.random_range(0.6..1.2),
    })
}

/// Generates a program: one in ten proofreads a whole score, the others extract
/// parts.
fn score_program(rng: &mut impl Rng) -> Agent {
    if rng.random_bool(0.1) {
        proofreading_agent(rng)
    } else {
        extraction_agent(rng)
    }
}

fn extraction_agent(rng: &mut impl Rng) -> Agent {
    let mut steps = vec![model_call(rng, (1_000, 3_000), (60, 200))];
    for _ in 0..rng.random_range(1..4) {
        steps.push(tool_pause(rng, 50, 300));
        if rng.random_bool(0.5) {
            steps.push(plain_call(rng, 1));
        }
        steps.push(model_call(rng, (100, 500), (60, 200)));
    }
    steps.push(plain_call(rng, 1));
    Agent { steps }
}

fn proofreading_agent(rng: &mut impl Rng) -> Agent {
    let mut steps = vec![model_call(rng, (6_000, 16_000), (100, 400))];
    for _ in 0..rng.random_range(8..24) {
        steps.push(tool_pause(rng, 300, 4_000));
        if rng.random_bool(0.1) {
            let agents = rng.random_range(2..4);
            let agents = (0..agents).map(|_| part_reader(rng)).collect();
            steps.push(Step::Agents(agents));
        }
        steps.push(model_call(rng, (300, 1_200), (100, 400)));
    }
    steps.push(plain_call(rng, 1));
    Agent { steps }
}

/// Generates a sub-agent that reads one part.
fn part_reader(rng: &mut impl Rng) -> Agent {
    let mut steps = vec![model_call(rng, (1_500, 4_000), (80, 250))];
    for _ in 0..rng.random_range(1..4) {
        steps.push(tool_pause(rng, 50, 500));
        steps.push(model_call(rng, (100, 600), (80, 250)));
    }
    Agent { steps }
}

/// Generates a program: 80 % print labels, 15 % answer queries of inspectors
/// and 5 % write certificates.
fn label_program(rng: &mut impl Rng) -> Agent {
    let kind: f64 = rng.random();
    let steps = if kind < 0.8 {
        let labels = rng.random_range(1..4);
        (0..labels).map(|_| plain_call(rng, 1)).collect()
    } else if kind < 0.95 {
        vec![
            plain_call(rng, 2),
            model_call(rng, (300, 1_200), (40, 120)),
            plain_call(rng, 2),
        ]
    } else {
        let mut steps = vec![model_call(rng, (2_000, 6_000), (100, 300))];
        for _ in 0..rng.random_range(2..6) {
            steps.push(tool_pause(rng, 100, 1_000));
            steps.push(model_call(rng, (200, 800), (60, 200)));
        }
        steps.push(plain_call(rng, 1));
        steps
    };
    Agent { steps }
}
