//! Planned work on a deployment: graceful restarts, hang-up signals,
//! configurations and pauses as short as those of a processor quota.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::proxy::Proxy;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;

use super::callers;
use super::callers::CallRecord;
use super::faults;
use super::faults::Deployment;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::configuration;
use super::fleet::wait_until;

/// Time after which no work begins.
const DURATION: Duration = Duration::from_secs(10);
/// Time from SIGTERM until a gateway closes its connections.
const NOTICE: Duration = Duration::from_millis(2500);
/// Time from SIGTERM until the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);
/// Longer pauses count as faults.
const MAX_PAUSE_MS: u64 = 90;
/// Time from a store write until gateways decode the configuration.
const SPREAD_TIME: Duration = Duration::from_millis(55);
/// Mostly idle callers of each gateway.
const IDLE_CALLERS: u64 = 16;
const MAX_GAP_MS: u64 = 1500;

/// Planned work, done by one thread for each gateway and one for the settings.
struct Work<'a> {
    seed: u64,
    fleet: &'a Fleet,
    gateways: u32,
    version: AtomicU64,
    end: Instant,
}

/// Does planned work under load and returns the calls.
pub(crate) fn run(seed: u64, deployment: &mut Deployment) -> Vec<CallRecord> {
    let addresses = deployment.addresses();
    let client_spawner = Spawner::start(2);
    let volleys: Vec<_> = addresses
        .iter()
        .map(|_| Mutex::new(Instant::now()))
        .collect();
    let stop = &AtomicBool::new(false);
    let rng = |stream| ChaCha8Rng::seed_from_u64(seed * 10_000 + stream);
    let work = &Work {
        seed,
        fleet: &deployment.fleet,
        gateways: u32::try_from(addresses.len()).expect("a small number"),
        version: AtomicU64::new(2),
        end: Instant::now() + DURATION,
    };
    thread::scope(|scope| {
        let mut callers = Vec::new();
        let mut workers = Vec::new();
        for (n, gateway) in (0..).zip(&mut deployment.gateways) {
            let store = &deployment.proxies[n];
            let to = gateway.addresses.callers;
            let volley = &volleys[n];
            let first = n as u64 * 100;
            workers.push(scope.spawn(move || work.maintain(n, gateway, store, volley, rng(first))));
            for caller in first + 1..=first + IDLE_CALLERS {
                let client = Client::new(client_spawner.clone(), ClientConfig::default());
                callers.push(scope.spawn(move || {
                    let rng = rng(caller);
                    callers::call_as_connections_close(stop, &client, to, volley, caller, rng)
                }));
            }
            let (addresses, caller) = (&addresses, first + 99);
            callers.push(scope.spawn(move || {
                callers::call_until_stopped(stop, addresses, caller, MAX_GAP_MS, rng(caller))
            }));
        }
        work.change_settings(&deployment.endpoints, rng(98));
        for (n, endpoint) in deployment.endpoints.iter().enumerate() {
            endpoint.set_behaviour(faults::behaviour(n >= 2));
        }
        let done: Vec<_> = workers.into_iter().map(|worker| worker.join()).collect();
        stop.store(true, Ordering::Release);
        for worker in done {
            worker.expect("every gateway restarts");
        }
        let joined = callers.into_iter().map(|caller| caller.join());
        joined
            .flat_map(|calls| calls.expect("the caller thread does not panic"))
            .collect()
    })
}

impl Work<'_> {
    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    fn put_configuration(&self, extra_routes: u32) {
        let mut changed = configuration(self.version.fetch_add(1, Ordering::Relaxed));
        let routes = changed["routes"].as_array_mut().expect("a list");
        for n in 0..extra_routes {
            routes.push(json!({
                "name": format!("extra-{n}"), "host": "h", "path_prefix": format!("/extra-{n}/"),
                "route_type": "safe", "timeout_ms": 3000, "service": "plain",
            }));
        }
        self.fleet.store.put("config", "main", changed);
    }

    /// Changes the configuration, often several times in succession, and the
    /// time that endpoints take.
    fn change_settings(&self, endpoints: &[EndpointStandin], mut rng: ChaCha8Rng) {
        while !self.is_over() {
            for (n, endpoint) in endpoints.iter().enumerate() {
                endpoint.set_behaviour(varied_behaviour(n >= 2, &mut rng));
            }
            for _ in 0..rng.random_range(0..4) {
                let extra_routes = match rng.random_bool(0.2) {
                    true => large(&mut rng),
                    false => rng.random_range(0..5),
                };
                self.put_configuration(extra_routes);
                sleep_up_to(60, &mut rng);
            }
            sleep_up_to(1500, &mut rng);
        }
    }

    fn maintain(
        &self,
        n: usize,
        gateway: &mut Gateway,
        store: &Proxy,
        volley: &Mutex<Instant>,
        mut rng: ChaCha8Rng,
    ) {
        while !self.is_over() {
            sleep_up_to(2000, &mut rng);
            disturb(gateway, &mut rng);
            if rng.random_bool(0.7) {
                self.drain(gateway, volley, &mut rng);
                *gateway = faults::start_again(self.fleet, n, gateway.addresses, store);
                wait_until("the gateway listens", || {
                    let address = gateway.addresses.ready;
                    self.fleet.get(address, "/v1/readyz").is_some()
                });
            }
        }
    }

    /// Ends a gateway with SIGTERM. Much of its work meets in the moment when
    /// it closes its connections.
    fn drain(&self, gateway: &mut Gateway, volley: &Mutex<Instant>, rng: &mut ChaCha8Rng) {
        gateway.signal(Signal::TERM);
        let start = Instant::now();
        let closing = start + NOTICE;
        let is_paused = rng.random_bool(0.5);
        let is_decoding = !is_paused && rng.random_ratio(1, self.gateways);
        let max_lead_ms = match is_paused || is_decoding {
            true => MAX_PAUSE_MS,
            false => callers::VOLLEY_SPREAD_MS,
        };
        *volley.lock() = closing - Duration::from_millis(rng.random_range(0..max_lead_ms));
        while Instant::now() + Duration::from_millis(600) < closing {
            sleep_up_to(500, rng);
            disturb(gateway, rng);
        }
        if is_paused {
            sleep_until(closing - Duration::from_millis(MAX_PAUSE_MS - 5));
            pause(gateway, MAX_PAUSE_MS);
        } else if is_decoding {
            sleep_until(closing - SPREAD_TIME - Duration::from_millis(MAX_PAUSE_MS / 2));
            self.put_configuration(large(rng));
        }
        while start.elapsed() < GRACE {
            if let Some(is_success) = gateway.wait_for(Duration::from_millis(50)) {
                assert!(is_success, "seed {}: a gateway failed to drain", self.seed);
                return;
            }
            disturb(gateway, rng);
        }
        panic!("seed {}: a gateway outlived its grace", self.seed);
    }
}

/// Sends SIGHUP or pauses a gateway, or leaves it alone.
fn disturb(gateway: &Gateway, rng: &mut ChaCha8Rng) {
    match rng.random_range(0..4) {
        0 => gateway.signal(Signal::HUP),
        1 => pause(gateway, rng.random_range(5..MAX_PAUSE_MS)),
        _ => (),
    }
}

fn pause(gateway: &Gateway, ms: u64) {
    gateway.signal(Signal::STOP);
    thread::sleep(Duration::from_millis(ms));
    gateway.signal(Signal::CONT);
}

/// A number of routes whose decoding keeps a gateway busy.
fn large(rng: &mut ChaCha8Rng) -> u32 {
    rng.random_range(1000..4000)
}

fn varied_behaviour(is_engine: bool, rng: &mut ChaCha8Rng) -> Behaviour {
    let mut varied = faults::behaviour(is_engine);
    if rng.random_bool(0.5) {
        let answer_ms = rng.random_range(300..1200);
        varied.pause = Duration::from_millis(answer_ms / varied.events.max(1));
    }
    varied
}

fn sleep_up_to(ms: u64, rng: &mut ChaCha8Rng) {
    thread::sleep(Duration::from_millis(rng.random_range(0..ms)));
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}
