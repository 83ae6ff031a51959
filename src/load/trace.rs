//! Generates programs from a seed; the same seed gives the same trace.

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

/// Fraction of a customer's programs that use its own data centre.
const LOCAL_SHARE: f64 = 0.8;

/// A customer that sends a multiple of its programs for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Index of the customer.
    pub customer: usize,
    /// Multiple of its ordinary rate.
    pub factor: f64,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// What to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSpec {
    /// Seed.
    pub seed: u64,
    /// Programs a second over all customers.
    pub rate: f64,
    /// Length of the trace.
    pub length: Duration,
    /// A customer that sends more.
    pub surge: Option<Surge>,
}

/// Generates the programs of a deployment in order of arrival.
///
/// Each customer has its own generator, so that the programs of the others
/// are the same with and without a surge.
pub fn generate(deployment: &Deployment, spec: &TraceSpec) -> Vec<Program> {
    let mut programs = Vec::new();
    for customer in 0..deployment.customers.len() {
        programs.extend(of_customer(deployment, spec, customer, None));
        if let Some(surge) = spec.surge.filter(|surge| surge.customer == customer) {
            programs.extend(of_customer(deployment, spec, customer, Some(surge)));
        }
    }
    programs.sort_by_key(|program| program.arrival);
    programs
}

fn of_customer(
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
    let mut arrival = from + gap(&mut rng, rate);
    while arrival < until {
        programs.push(Program {
            arrival,
            customer,
            data_centre: data_centre(&mut rng, deployment, customer),
            root: match deployment.mix {
                Mix::Scores => score_program(&mut rng),
                Mix::Labels => label_program(&mut rng),
            },
        });
        arrival += gap(&mut rng, rate);
    }
    programs
}

fn gap(rng: &mut impl Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

fn data_centre(rng: &mut impl Rng, deployment: &Deployment, customer: usize) -> usize {
    if rng.random_bool(LOCAL_SHARE) {
        deployment.customers[customer].data_centre
    } else {
        rng.random_range(0..deployment.data_centres)
    }
}

fn pause(rng: &mut impl Rng, from_ms: u64, to_ms: u64) -> Step {
    Step::Pause(Duration::from_millis(rng.random_range(from_ms..to_ms)))
}

fn turn(rng: &mut impl Rng, new: (u64, u64), completion: (u64, u64)) -> Step {
    Step::Call(CallSpec {
        service: 0,
        new_tokens: rng.random_range(new.0..new.1),
        completion_tokens: rng.random_range(completion.0..completion.1),
        work: 1.0,
    })
}

fn plain(rng: &mut impl Rng, service: usize) -> Step {
    // Mostly near the mean with a tail, as of calls that print or write.
    let tail = if rng.random_bool(0.05) { 3.0 } else { 1.0 };
    Step::Call(CallSpec {
        service,
        new_tokens: 0,
        completion_tokens: 0,
        work: tail * rng.random_range(0.6..1.2),
    })
}

/// One in ten programs proofreads a whole score; the others extract parts.
fn score_program(rng: &mut impl Rng) -> Agent {
    if rng.random_bool(0.1) {
        proofreading(rng)
    } else {
        extraction(rng)
    }
}

fn extraction(rng: &mut impl Rng) -> Agent {
    let mut steps = vec![turn(rng, (1_000, 3_000), (60, 200))];
    for _ in 0..rng.random_range(1..4) {
        steps.push(pause(rng, 50, 300));
        if rng.random_bool(0.5) {
            steps.push(plain(rng, 1));
        }
        steps.push(turn(rng, (100, 500), (60, 200)));
    }
    steps.push(plain(rng, 1));
    Agent { steps }
}

fn proofreading(rng: &mut impl Rng) -> Agent {
    let mut steps = vec![turn(rng, (6_000, 16_000), (100, 400))];
    for _ in 0..rng.random_range(8..24) {
        steps.push(pause(rng, 300, 4_000));
        if rng.random_bool(0.1) {
            let agents = rng.random_range(2..4);
            let agents = (0..agents).map(|_| reader(rng)).collect();
            steps.push(Step::Agents(agents));
        }
        steps.push(turn(rng, (300, 1_200), (100, 400)));
    }
    steps.push(plain(rng, 1));
    Agent { steps }
}

/// A sub-agent that reads one part.
fn reader(rng: &mut impl Rng) -> Agent {
    let mut steps = vec![turn(rng, (1_500, 4_000), (80, 250))];
    for _ in 0..rng.random_range(1..4) {
        steps.push(pause(rng, 50, 500));
        steps.push(turn(rng, (100, 600), (80, 250)));
    }
    Agent { steps }
}

/// Eight in ten programs print labels, others answer inspectors or write
/// certificates.
fn label_program(rng: &mut impl Rng) -> Agent {
    let kind: f64 = rng.random();
    let steps = if kind < 0.8 {
        let labels = rng.random_range(1..4);
        (0..labels).map(|_| plain(rng, 1)).collect()
    } else if kind < 0.95 {
        vec![
            plain(rng, 2),
            turn(rng, (300, 1_200), (40, 120)),
            plain(rng, 2),
        ]
    } else {
        let mut steps = vec![turn(rng, (2_000, 6_000), (100, 300))];
        for _ in 0..rng.random_range(2..6) {
            steps.push(pause(rng, 100, 1_000));
            steps.push(turn(rng, (200, 800), (60, 200)));
        }
        steps.push(plain(rng, 1));
        steps
    };
    Agent { steps }
}
