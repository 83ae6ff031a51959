//! Wrongful refusals and messages of the limiter, against two baselines.
//!
//! Virtual time over the real decision code: the same seeds give the same
//! figures. `cargo bench --bench limit`. `CHICORYARCH_LIMIT` gives settings as
//! TOML, `CHICORYARCH_ONLY` one policy.

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

const CENTRES: usize = 3;
const HOSTS: usize = 3;
/// First call; by then all buckets are full.
const START: u64 = 5 * SECOND;
const FAULT_AT: u64 = 15 * SECOND;
const END: u64 = 40 * SECOND;
/// Time from a host's death until a new owner serves, without borrowing.
const TAKEOVER: u64 = 4_600 * MS;

/// Time from a cut until the owner's lease lapses.
const LEASE: u64 = 2_000 * MS;

const TUNED: [u64; 4] = [1, 2, 3, 4];
const KEPT_APART: [u64; 4] = [101, 102, 103, 104];

const EVEN: [f64; 9] = [1.0; 9];
const SKEWED: [f64; 9] = [12.0, 4.0, 1.0, 2.0, 0.0, 0.0, 1.0, 0.0, 0.0];

/// A way to limit, judged on the same calls.
#[derive(Clone, Copy, Debug)]
enum Policy {
    Conserved,
    StaticSplit,
    OwnerOnly,
}

#[derive(Clone, Copy, Debug)]
enum Load {
    Steady(f64, &'static [f64]),
    Bursts(f64),
}

struct Scenario {
    name: &'static str,
    load: Load,
    dead_owner: bool,
    cut: bool,
}

const SCENARIOS: [Scenario; 8] = [
    scenario("steady 0.9", Load::Steady(0.9, &EVEN)),
    scenario("skewed 0.7", Load::Steady(0.7, &SKEWED)),
    scenario("skewed 0.9", Load::Steady(0.9, &SKEWED)),
    scenario("bursts 0.7", Load::Bursts(0.7)),
    scenario("five times the rate", Load::Steady(5.0, &SKEWED)),
    Scenario {
        dead_owner: true,
        ..scenario("skewed 0.7, owner dead", Load::Steady(0.7, &SKEWED))
    },
    Scenario {
        cut: true,
        ..scenario("steady 0.7, centre cut", Load::Steady(0.7, &EVEN))
    },
    Scenario {
        cut: true,
        dead_owner: true,
        ..scenario("steady 0.7, cut, owner dead", Load::Steady(0.7, &EVEN))
    },
];

const fn scenario(name: &'static str, load: Load) -> Scenario {
    Scenario {
        name,
        load,
        dead_owner: false,
        cut: false,
    }
}

#[derive(Default)]
struct Figures {
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

    fn take(&mut self, at: u64) -> bool {
        let span = at.saturating_sub(self.at) as f64 / SECOND as f64;
        self.level = (self.level + span * self.rate).min(self.burst);
        self.at = self.at.max(at);
        let enough = self.level >= 1.0;
        self.level -= f64::from(u8::from(enough));
        enough
    }
}

fn calls(seed: u64, rate: f64, burst: f64, load: Load) -> Vec<(u64, usize)> {
    match load {
        Load::Steady(load, weights) => poisson(seed, rate * load, START, END, weights),
        Load::Bursts(load) => {
            let size = burst * 0.8;
            let starts = poisson(seed, rate * load / size, START, END, &EVEN);
            let spread =
                |(at, host): (u64, usize)| (0..size as u64).map(move |i| (at + i * MS / 10, host));
            let mut calls: Vec<_> = starts.into_iter().flat_map(spread).collect();
            calls.sort_unstable();
            calls
        }
    }
}

fn settings() -> LimitConfig {
    let text = std::env::var("CHICORYARCH_LIMIT").unwrap_or_default();
    let cfg: LimitConfig = toml::from_str(&text).expect("settings as TOML");
    cfg.check().expect("settings within their ranges");
    cfg
}

fn plan(seed: u64, rate: f64, burst: f64, scenario: &Scenario) -> Plan {
    let mut plan = Plan {
        seed,
        data_centres: CENTRES,
        hosts: HOSTS,
        rate,
        burst,
        cfg: settings(),
        net: Net::GOOD,
        drift_ppm: 100,
        calls: calls(seed, rate, burst, scenario.load),
        faults: Vec::new(),
        end: END,
    };
    if scenario.dead_owner {
        let owner = Fleet::owner(plan.clone(), 0);
        plan.faults.push((FAULT_AT, Fault::Kill(owner)));
    }
    if scenario.cut {
        plan.faults.push((FAULT_AT, Fault::Cut(CENTRES - 1)));
    }
    plan
}

fn ideal(plan: &Plan) -> Vec<bool> {
    let mut bucket = Bucket::full(plan.rate, plan.burst);
    plan.calls.iter().map(|(at, _)| bucket.take(*at)).collect()
}

/// Rounds of requests that an admitted call waited for; absent if refused.
type Rounds = Vec<Option<u32>>;

fn conserved(plan: Plan) -> (Rounds, u64) {
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

fn dead(plan: &Plan) -> Option<usize> {
    plan.faults.iter().find_map(|(_, fault)| match fault {
        Fault::Kill(host) => Some(*host),
        _ => None,
    })
}

/// The host that a call reaches: the balancer skips a dead one.
fn reached(plan: &Plan, at: u64, host: usize) -> usize {
    if at >= FAULT_AT && dead(plan) == Some(host) {
        (host + 1) % (CENTRES * HOSTS)
    } else {
        host
    }
}

fn static_split(plan: &Plan) -> (Rounds, u64) {
    let parts = (CENTRES * HOSTS) as f64;
    let bucket = || Bucket::full(plan.rate / parts, plan.burst / parts);
    let mut buckets: Vec<_> = (0..CENTRES * HOSTS).map(|_| bucket()).collect();
    let take =
        |(at, host): &(u64, usize)| buckets[reached(plan, *at, *host)].take(*at).then_some(0);
    (plan.calls.iter().map(take).collect(), 0)
}

/// True if the owner of a cut data centre has lost its lease.
fn lapsed(plan: &Plan, at: u64, centre: usize) -> bool {
    let cut = |(_, fault): &(u64, Fault)| matches!(fault, Fault::Cut(cut) if *cut == centre);
    at >= FAULT_AT + LEASE && plan.faults.iter().any(cut)
}

fn owner_only(plan: &Plan) -> (Rounds, u64) {
    let parts = CENTRES as f64;
    let bucket = || Bucket::full(plan.rate / parts, plan.burst / parts);
    let mut buckets: Vec<_> = (0..CENTRES).map(|_| bucket()).collect();
    let owners: Vec<_> = (0..CENTRES)
        .map(|c| Fleet::owner(plan.clone(), c))
        .collect();
    let mut messages = 0;
    let mut rounds = Vec::new();
    for (at, host) in &plan.calls {
        let host = reached(plan, *at, *host);
        let centre = host / HOSTS;
        let bucket = &mut buckets[centre];
        if lapsed(plan, *at, centre) {
            rounds.push(None);
            continue;
        }
        let failed = dead(plan) == Some(owners[centre]) && *at >= FAULT_AT;
        if failed && *at < FAULT_AT + TAKEOVER {
            bucket.level = 0.0;
            bucket.at = FAULT_AT + TAKEOVER;
            rounds.push(None);
            continue;
        }
        let remote = u32::from(failed || host != owners[centre]);
        messages += u64::from(remote) * 2;
        rounds.push(bucket.take(*at).then_some(remote));
    }
    (rounds, messages)
}

fn measure(policy: Policy, rate: f64, burst: f64, scenario: &Scenario, seeds: &[u64]) -> Figures {
    let mut figures = Figures::default();
    for seed in seeds {
        let plan = plan(*seed, rate, burst, scenario);
        let ideal = ideal(&plan);
        let (rounds, messages) = match policy {
            Policy::Conserved => conserved(plan),
            Policy::StaticSplit => static_split(&plan),
            Policy::OwnerOnly => owner_only(&plan),
        };
        figures.messages += messages;
        for (ideal, rounds) in ideal.into_iter().zip(rounds) {
            figures.count(ideal, rounds);
        }
    }
    figures
}

impl Figures {
    fn count(&mut self, ideal: bool, rounds: Option<u32>) {
        self.calls += 1;
        self.ideal += u64::from(ideal);
        self.admitted += u64::from(rounds.is_some());
        self.wrongful += u64::from(ideal && rounds.is_none());
        if let Some(rounds) = rounds {
            self.rounds[rounds.min(2) as usize] += 1;
        }
    }

    fn row(&self, seeds: usize) -> String {
        let per = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        let seconds = seeds as f64 * (END - START) as f64 / SECOND as f64;
        format!(
            "{:>6} | {:>6} | {:>6} | {:>6.2} % | {:>6.2} % | {:>5.1} % | {:>5.2} % | {:>6.1}",
            self.calls,
            self.ideal,
            self.admitted,
            per(self.wrongful, self.ideal),
            per(self.ideal.saturating_sub(self.admitted), self.ideal),
            per(self.rounds[1], self.admitted),
            per(self.rounds[2], self.admitted),
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
                for (name, seeds) in [("tuned", &TUNED), ("apart", &KEPT_APART)] {
                    if only
                        .as_ref()
                        .is_some_and(|only| *only != format!("{policy:?}"))
                    {
                        continue;
                    }
                    let figures = measure(policy, rate, burst, scenario, seeds);
                    println!(
                        "| {rate}/{burst} | {} | {policy:?} | {name} | {} |",
                        scenario.name,
                        figures.row(seeds.len())
                    );
                }
            }
        }
    }
}
