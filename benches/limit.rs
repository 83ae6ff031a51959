//! Wrongful refusals and messages of the limiter, compared with two baselines.
//!
//! The production decision code runs in virtual time, so the same seeds give
//! the same results. `cargo bench --bench limit`. `CHICORYARCH_LIMIT` holds
//! settings as TOML, `CHICORYARCH_ONLY` selects one policy.

use chicoryarch::configs::limit::LimitConfig;

#[path = "../tests/limit/fleet.rs"]
mod fleet;

use fleet::Fault;
use fleet::Fleet;
use fleet::MS;
use fleet::Net;
use fleet::Outcome;
use fleet::Plan;
use fleet::SECOND;
use fleet::poisson;

const DATA_CENTRES: usize = 3;
const HOSTS: usize = 3;
/// Time of the first call; all buckets are full by then.
const START: u64 = 5 * SECOND;
const FAULT_AT: u64 = 15 * SECOND;
const END: u64 = 40 * SECOND;
/// Time from an owner's failure until its successor serves calls, if there is
/// no borrowing.
const TAKEOVER_TIME: u64 = 4_600 * MS;

/// Time from a network cut until the owner's lease expires.
const LEASE_TIME: u64 = 2_000 * MS;

/// Seeds that settings are tuned on.
const TUNING_SEEDS: [u64; 4] = [1, 2, 3, 4];
/// Seeds that are excluded from tuning.
const HELD_OUT_SEEDS: [u64; 4] = [101, 102, 103, 104];

const EVEN_WEIGHTS: [f64; 9] = [1.0; 9];
const SKEWED_WEIGHTS: [f64; 9] = [12.0, 4.0, 1.0, 2.0, 0.0, 0.0, 1.0, 0.0, 0.0];

/// A rate limiting policy; all policies receive the same calls.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// The limiter of the hosts.
    Conserved,
    /// One bucket for each host, with an equal part of the rate.
    StaticSplit,
    /// One bucket for each data centre, at its owner, without borrowing.
    OwnerOnly,
}

#[derive(Clone, Copy, Debug)]
enum Load {
    /// Poisson arrivals at a fraction of the rate, with a weight for each host.
    Steady(f64, &'static [f64]),
    /// Bursts of calls at one host, at a fraction of the rate on average.
    Bursts(f64),
}

struct Scenario {
    name: &'static str,
    load: Load,
    kill_owner: bool,
    cut_data_centre: bool,
}

const SCENARIOS: [Scenario; 8] = [
    scenario("steady 0.9", Load::Steady(0.9, &EVEN_WEIGHTS)),
    scenario("skewed 0.7", Load::Steady(0.7, &SKEWED_WEIGHTS)),
    scenario("skewed 0.9", Load::Steady(0.9, &SKEWED_WEIGHTS)),
    scenario("bursts 0.7", Load::Bursts(0.7)),
    scenario("five times the rate", Load::Steady(5.0, &SKEWED_WEIGHTS)),
    Scenario {
        kill_owner: true,
        ..scenario("skewed 0.7, owner dead", Load::Steady(0.7, &SKEWED_WEIGHTS))
    },
    Scenario {
        cut_data_centre: true,
        ..scenario("steady 0.7, centre cut", Load::Steady(0.7, &EVEN_WEIGHTS))
    },
    Scenario {
        cut_data_centre: true,
        kill_owner: true,
        ..scenario(
            "steady 0.7, cut, owner dead",
            Load::Steady(0.7, &EVEN_WEIGHTS),
        )
    },
];

const fn scenario(name: &'static str, load: Load) -> Scenario {
    Scenario {
        name,
        load,
        kill_owner: false,
        cut_data_centre: false,
    }
}

#[derive(Default)]
struct Totals {
    calls: u64,
    ideal: u64,
    admitted: u64,
    wrongful: u64,
    rounds: [u64; 3],
    messages: u64,
}

struct Bucket {
    level: f64,
    rate: f64,
    burst: f64,
    at: u64,
}

impl Bucket {
    fn full(rate: f64, burst: f64) -> Self {
        Self {
            level: burst,
            rate,
            burst,
            at: 0,
        }
    }

    fn try_take(&mut self, at: u64) -> bool {
        let span = at.saturating_sub(self.at) as f64 / SECOND as f64;
        self.level = (self.level + span * self.rate).min(self.burst);
        self.at = self.at.max(at);
        let has_token = self.level >= 1.0;
        self.level -= f64::from(u8::from(has_token));
        has_token
    }
}

fn generate_calls(seed: u64, rate: f64, burst: f64, load: Load) -> Vec<(u64, usize)> {
    match load {
        Load::Steady(load, weights) => poisson(seed, rate * load, START, END, weights),
        Load::Bursts(load) => {
            let size = burst * 0.8;
            let starts = poisson(seed, rate * load / size, START, END, &EVEN_WEIGHTS);
            let spread =
                |(at, host): (u64, usize)| (0..size as u64).map(move |i| (at + i * MS / 10, host));
            let mut calls: Vec<_> = starts.into_iter().flat_map(spread).collect();
            calls.sort_unstable();
            calls
        }
    }
}

fn limit_config() -> LimitConfig {
    let text = std::env::var("CHICORYARCH_LIMIT").unwrap_or_default();
    let cfg: LimitConfig = toml::from_str(&text).expect("settings as TOML");
    cfg.check().expect("settings within their ranges");
    cfg
}

fn plan(seed: u64, rate: f64, burst: f64, scenario: &Scenario) -> Plan {
    let mut plan = Plan {
        seed,
        data_centres: DATA_CENTRES,
        hosts: HOSTS,
        rate,
        burst,
        cfg: limit_config(),
        net: Net::GOOD,
        drift_ppm: 100,
        calls: generate_calls(seed, rate, burst, scenario.load),
        faults: Vec::new(),
        end: END,
    };
    if scenario.kill_owner {
        let owner = Fleet::owner(plan.clone(), 0);
        plan.faults.push((FAULT_AT, Fault::Kill(owner)));
    }
    if scenario.cut_data_centre {
        plan.faults.push((FAULT_AT, Fault::Cut(DATA_CENTRES - 1)));
    }
    plan
}

/// Whether a single bucket for all hosts would admit each call.
fn ideal_admissions(plan: &Plan) -> Vec<bool> {
    let mut bucket = Bucket::full(plan.rate, plan.burst);
    plan.calls
        .iter()
        .map(|(at, _)| bucket.try_take(*at))
        .collect()
}

/// Rounds of token requests that each call waited for; `None` if it was
/// refused.
type Rounds = Vec<Option<u32>>;

fn run_conserved(plan: Plan) -> (Rounds, u64) {
    let report = Fleet::run(plan);
    let rounds = |outcome: &Option<Outcome>| match outcome {
        Some(Outcome::Admitted { rounds }) => Some(*rounds),
        _ => None,
    };
    let outcomes = report
        .outcomes
        .iter()
        .map(|(_, _, outcome)| rounds(outcome));
    (outcomes.collect(), report.messages)
}

fn killed_host(plan: &Plan) -> Option<usize> {
    plan.faults.iter().find_map(|(_, fault)| match fault {
        Fault::Kill(host) => Some(*host),
        _ => None,
    })
}

/// The host that receives a call; the load balancer skips a killed host.
fn receiving_host(plan: &Plan, at: u64, host: usize) -> usize {
    if at >= FAULT_AT && killed_host(plan) == Some(host) {
        (host + 1) % (DATA_CENTRES * HOSTS)
    } else {
        host
    }
}

fn run_static_split(plan: &Plan) -> (Rounds, u64) {
    let parts = (DATA_CENTRES * HOSTS) as f64;
    let bucket = || Bucket::full(plan.rate / parts, plan.burst / parts);
    let mut buckets: Vec<_> = (0..DATA_CENTRES * HOSTS).map(|_| bucket()).collect();
    let take = |(at, host): &(u64, usize)| {
        buckets[receiving_host(plan, *at, *host)]
            .try_take(*at)
            .then_some(0)
    };
    (plan.calls.iter().map(take).collect(), 0)
}

/// Whether a data centre is cut off and its owner's lease has expired.
fn is_lease_expired(plan: &Plan, at: u64, data_centre: usize) -> bool {
    let cut = |(_, fault): &(u64, Fault)| matches!(fault, Fault::Cut(cut) if *cut == data_centre);
    at >= FAULT_AT + LEASE_TIME && plan.faults.iter().any(cut)
}

fn run_owner_only(plan: &Plan) -> (Rounds, u64) {
    let parts = DATA_CENTRES as f64;
    let bucket = || Bucket::full(plan.rate / parts, plan.burst / parts);
    let mut buckets: Vec<_> = (0..DATA_CENTRES).map(|_| bucket()).collect();
    let owners: Vec<_> = (0..DATA_CENTRES)
        .map(|c| Fleet::owner(plan.clone(), c))
        .collect();
    let mut messages = 0;
    let mut rounds = Vec::new();
    for (at, host) in &plan.calls {
        let host = receiving_host(plan, *at, *host);
        let data_centre = host / HOSTS;
        let bucket = &mut buckets[data_centre];
        if is_lease_expired(plan, *at, data_centre) {
            rounds.push(None);
            continue;
        }
        let failed = killed_host(plan) == Some(owners[data_centre]) && *at >= FAULT_AT;
        if failed && *at < FAULT_AT + TAKEOVER_TIME {
            bucket.level = 0.0;
            bucket.at = FAULT_AT + TAKEOVER_TIME;
            rounds.push(None);
            continue;
        }
        let remote = u32::from(failed || host != owners[data_centre]);
        messages += u64::from(remote) * 2;
        rounds.push(bucket.try_take(*at).then_some(remote));
    }
    (rounds, messages)
}

fn measure(policy: Policy, rate: f64, burst: f64, scenario: &Scenario, seeds: &[u64]) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let plan = plan(*seed, rate, burst, scenario);
        let ideal = ideal_admissions(&plan);
        let (rounds, messages) = match policy {
            Policy::Conserved => run_conserved(plan),
            Policy::StaticSplit => run_static_split(&plan),
            Policy::OwnerOnly => run_owner_only(&plan),
        };
        totals.messages += messages;
        for (ideal, rounds) in ideal.into_iter().zip(rounds) {
            totals.record(ideal, rounds);
        }
    }
    totals
}

impl Totals {
    fn record(&mut self, ideal: bool, rounds: Option<u32>) {
        self.calls += 1;
        self.ideal += u64::from(ideal);
        self.admitted += u64::from(rounds.is_some());
        self.wrongful += u64::from(ideal && rounds.is_none());
        if let Some(rounds) = rounds {
            self.rounds[rounds.min(2) as usize] += 1;
        }
    }

    fn row(&self, seeds: usize) -> String {
        let percent = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        let seconds = seeds as f64 * (END - START) as f64 / SECOND as f64;
        format!(
            "{:>6} | {:>6} | {:>6} | {:>6.2} % | {:>6.2} % | {:>5.1} % | {:>5.2} % | {:>6.1}",
            self.calls,
            self.ideal,
            self.admitted,
            percent(self.wrongful, self.ideal),
            percent(self.ideal.saturating_sub(self.admitted), self.ideal),
            percent(self.rounds[1], self.admitted),
            percent(self.rounds[2], self.admitted),
            self.messages as f64 / seconds,
        )
    }
}

fn main() {
    println!(
        "| rate/burst | scenario | policy | seeds | calls | ideal | admitted | wrongful | shortfall | 1 round | 2 rounds | messages/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let only = std::env::var("CHICORYARCH_ONLY").ok();
    for (rate, burst) in [(10.0, 20.0), (200.0, 100.0)] {
        for scenario in &SCENARIOS {
            for policy in [Policy::Conserved, Policy::StaticSplit, Policy::OwnerOnly] {
                for (name, seeds) in [("tuned", &TUNING_SEEDS), ("held out", &HELD_OUT_SEEDS)] {
                    if only
                        .as_ref()
                        .is_some_and(|only| *only != format!("{policy:?}"))
                    {
                        continue;
                    }
                    let totals = measure(policy, rate, burst, scenario, seeds);
                    println!(
                        "| {rate}/{burst} | {} | {policy:?} | {name} | {} |",
                        scenario.name,
                        totals.row(seeds.len())
                    );
                }
            }
        }
    }
}
