//! Load on hosts that run as separate processes, with and without faults, and
//! recovery times.
//!
//! `cargo build --release --workspace && cargo bench --bench faults`

#[path = "../tests/support/mod.rs"]
mod support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryarch::configs::load::LoadConfig;
use chicoryarch::configs::load::Shape;
use chicoryarch::load::deployment::Deployment;
use chicoryarch::load::result;
use chicoryarch::load::result::LoadResult;
use chicoryarch::load::run;
use chicoryarch_net::Spawner;
use serde_json::json;
use support::Fleet;
use support::FleetSpec;
use support::OTHER_SECRET;
use support::Req;
use support::SECRET;
use support::completion;

/// Seeds of the runs, not used to tune any setting.
const SEEDS: [u64; 2] = [101, 102];
/// Period in which programs arrive.
const LOAD_DURATION: Duration = Duration::from_secs(9);
/// Time from the start of the load to the fault.
const FAULT_AT: Duration = Duration::from_secs(4);
/// Duration of a platform outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(4);
const PROGRAMS_PER_SECOND: f64 = 15.0;
/// Factor by which tokens, work and pauses of the programs are scaled.
const SCALE: f64 = 0.05;
/// Repetitions of the recovery and propagation measurements.
const REPETITIONS: usize = 3;

/// Fault that is injected during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    KillHost,
    PlatformOut,
    Surge,
    KillHostAndPlatformOut,
}

const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::KillHost,
    Fault::PlatformOut,
    Fault::Surge,
    Fault::KillHostAndPlatformOut,
];

fn start_fleet() -> Fleet {
    let fleet = Fleet::start(FleetSpec {
        data_centres: vec![("north", 3), ("south", 2)],
        log: "error",
        rate: 2_000.0,
        ..FleetSpec::default()
    });
    fleet.add_deployment(&Deployment::scores());
    fleet
}

fn load_config(fleet: &Fleet, seed: u64, fault: Fault) -> LoadConfig {
    let hosts = |data_centre: &str| {
        let local = fleet.hosts.iter().filter(|h| h.data_centre == data_centre);
        local.map(|host| host.callers).collect::<Vec<_>>()
    };
    LoadConfig {
        shape: Shape::Scores,
        seed,
        programs_per_second: PROGRAMS_PER_SECOND,
        length: LOAD_DURATION,
        scale: SCALE,
        attempts: 8,
        timeout: Duration::from_secs(30),
        hosts: vec![hosts("north"), hosts("south")],
        surge_customer: (fault == Fault::Surge).then_some(0),
        ..LoadConfig::default()
    }
}

fn run_load(seed: u64, fault: Fault) -> LoadResult {
    let mut fleet = start_fleet();
    let cfg = load_config(&fleet, seed, fault);
    let runner = thread::spawn(move || {
        let secrets = [SECRET.to_owned(), OTHER_SECRET.to_owned()];
        let spawner = Spawner::start(2);
        async_io::block_on(run::run(cfg, &secrets, &spawner))
    });
    thread::sleep(FAULT_AT);
    if matches!(fault, Fault::KillHost | Fault::KillHostAndPlatformOut) {
        fleet.hosts[0].process.kill();
    }
    if matches!(fault, Fault::PlatformOut | Fault::KillHostAndPlatformOut) {
        fleet.platform.switch(&fleet.http, &json!({"out": true}));
        thread::sleep(OUTAGE_DURATION);
        fleet.platform.switch(&fleet.http, &json!({}));
    }
    runner.join().expect("the run ends")
}

/// Time from the kill of a program's owner to the program's next served call.
fn measure_recovery() -> Duration {
    let mut fleet = start_fleet();
    let program = fleet.open_program(0, "{}");
    let rows = fleet.query(1, "show programs");
    let owner = rows["rows"][0]["host"]
        .as_str()
        .expect("an owner")
        .to_owned();
    let index = fleet.hosts.iter().position(|h| h.name == owner);
    let index = index.expect("a host of the fleet");
    fleet.hosts[index].process.kill();
    let other = fleet.hosts[(index + 1) % 3].callers;
    let started = Instant::now();
    let req = Req::post("/model/v1/chat/completions")
        .bearer(SECRET)
        .header("chicoryarch-program", &program)
        .body(completion("x"));
    while !fleet.http.send(other, &req).is_success() {}
    started.elapsed()
}

/// Time from the submission of a configuration change until all hosts have
/// applied it.
fn measure_propagation(fleet: &Fleet, rate: u32) -> Duration {
    let started = Instant::now();
    let accepted = fleet.run_statement(0, &format!("change customer choir rate={rate}"));
    let version = accepted["accepted"]["version"].as_u64();
    loop {
        let rows = fleet.query(0, "show versions");
        let rows = rows["rows"].as_array().expect("rows").clone();
        let applied = rows.iter().all(|row| row["version"].as_u64() >= version);
        if rows.len() == fleet.hosts.len() && applied {
            return started.elapsed();
        }
    }
}

fn count_platform_calls(fleet: &Fleet) -> u64 {
    let counts = fleet.platform.read(&fleet.http, "/counts");
    let calls = counts["calls"].as_array().cloned().unwrap_or_default();
    calls.iter().filter_map(|call| call["count"].as_u64()).sum()
}

fn sorted<T: Ord>(mut values: Vec<T>) -> Vec<T> {
    values.sort();
    values
}

fn main() {
    let baselines: Vec<LoadResult> = SEEDS
        .iter()
        .map(|seed| run_load(*seed, Fault::None))
        .collect();
    for fault in FAULTS.into_iter().skip(1) {
        for (seed, baseline) in SEEDS.iter().zip(&baselines) {
            let result = run_load(*seed, fault);
            println!("seed {seed}, no fault against {fault:?}");
            println!(
                "{}refusals: {:?}\n",
                result::compare(baseline, &result),
                result.refusals
            );
        }
    }
    let recoveries = sorted((0..REPETITIONS).map(|_| measure_recovery()).collect());
    println!("time from kill to first served call (lease 1 s): {recoveries:?}");
    let fleet = start_fleet();
    let propagations = sorted(
        (0..REPETITIONS)
            .map(|n| measure_propagation(&fleet, 10 + n as u32))
            .collect(),
    );
    println!("time from change to applied at 5 hosts: {propagations:?}");
    let before = count_platform_calls(&fleet);
    thread::sleep(Duration::from_secs(5));
    let idle_rate = (count_platform_calls(&fleet) - before) as f64 / 5.0;
    println!("platform calls per second without load, 5 hosts, heartbeat 50 ms: {idle_rate:.1}");
}
