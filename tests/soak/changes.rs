//! Soak test of configuration changes, some of them large, while hosts, their
//! links to the store and the store itself are in trouble.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::objects::StoreFaults;
use chicoryarch_standins::fleet::proxy::Mode;
use chicoryarch_standins::fleet::proxy::Proxy;
use http::Request;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::fleet::Addresses;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::add_routes;
use super::fleet::configuration;

/// Time within which a confirmed change is in force at every host in touch, and
/// after which a host that was out of touch is in touch again.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time with changes and faults.
const FAULT_TIME: Duration = Duration::from_secs(8);
/// Longest fault of a link or of the store.
const MAX_FAULT_MS: u64 = 1500;
/// Numbers of routes that make configurations of up to some 700 kB.
const ADDED_ROUTES: [usize; 4] = [0, 700, 3500, 3500];
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_PAUSE_MS: u64 = 60;

/// One call to a gateway.
struct Call {
    id: String,
    started: Instant,
    /// `None` if the gateway did not answer.
    status: Option<StatusCode>,
    /// Process of the gateway that answered; `None` if it was replaced meanwhile.
    process: Option<u32>,
}

/// Calls a gateway until stopped. `process` counts its processes.
fn call_until_stopped(
    stop: &AtomicBool,
    client: &Client,
    name: &str,
    to: SocketAddr,
    process: &AtomicU32,
    mut rng: ChaCha8Rng,
) -> Vec<Call> {
    let mut calls = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let id = format!("{name}-{}", calls.len());
        let req = Request::post("/safe/")
            .header("host", "h")
            .header("request-id", &id)
            .header("deadline-ms", "3000")
            .header("credential", "key-1")
            .body(Body::from("body"))
            .expect("a valid request");
        let before = process.load(Ordering::Acquire);
        let started = Instant::now();
        let sent = async_io::block_on(client.send_fresh(to, req, CALL_TIMEOUT));
        let is_same = process.load(Ordering::Acquire) == before;
        calls.push(Call {
            id,
            started,
            status: sent.ok().map(|response| response.status()),
            process: is_same.then_some(before),
        });
        thread::sleep(Duration::from_millis(rng.random_range(10..MAX_PAUSE_MS)));
    }
    calls
}

/// A fault that ends later.
enum Fault {
    Link(usize),
    /// Of the store, which no host can reach in an outage.
    Store {
        is_outage: bool,
    },
}

/// A store, an endpoint, and gateways that reach the store through proxies.
struct Deployment {
    rng: ChaCha8Rng,
    fleet: Fleet,
    endpoint: EndpointStandin,
    proxies: Vec<Proxy>,
    /// What the links to the store do without a fault.
    usual_mode: Mode,
    gateways: Vec<Gateway>,
    processes: Arc<Vec<AtomicU32>>,
    faults: Vec<(Instant, Fault)>,
    /// Times when each version was confirmed, in order.
    changes: Vec<Instant>,
    /// Beginnings and ends of the times when no host could reach the store.
    outages: Vec<(Instant, Instant)>,
}

impl Deployment {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fleet = Fleet::new();
        let count = rng.random_range(3..6);
        let usual_mode = match rng.random_bool(0.6) {
            true => Mode::Throttle(rng.random_range(900_000..1_500_000)),
            false => Mode::Forward,
        };
        let start = || {
            let proxy = Proxy::start(&fleet.spawner, fleet.store.addr());
            proxy.set(usual_mode);
            proxy
        };
        let mut deployment = Self {
            rng,
            endpoint: fleet.endpoint("e1", "plain", Behaviour::default()),
            proxies: (0..count).map(|_| start()).collect(),
            fleet,
            usual_mode,
            gateways: Vec::new(),
            processes: Arc::new((0..count).map(|_| AtomicU32::new(0)).collect()),
            faults: Vec::new(),
            changes: Vec::new(),
            outages: Vec::new(),
        };
        deployment.change_configuration();
        for n in 0..count {
            let addresses = Addresses {
                callers: deployment.fleet.free_address(),
                ready: deployment.fleet.free_address(),
                peers: deployment.fleet.free_address(),
            };
            let gateway = deployment.start_gateway(n, addresses, true);
            deployment.gateways.push(gateway);
        }
        for gateway in &deployment.gateways {
            gateway.wait_ready(&deployment.fleet);
        }
        deployment
    }

    fn start_gateway(&self, n: usize, addresses: Addresses, is_first: bool) -> Gateway {
        let peers = self.gateways.iter().map(|gateway| gateway.addresses.peers);
        let seeds: Vec<SocketAddr> = peers.filter(|peer| *peer != addresses.peers).collect();
        let store = self.proxies[n].address();
        self.fleet
            .start_gateway_at(&format!("g{n}"), addresses, store, &seeds, is_first)
    }

    /// Confirms a new version, by which endpoints see another customer.
    fn change_configuration(&mut self) {
        let version = self.changes.len() as u64 + 1;
        let mut changed = configuration(version);
        changed["tenants"][0]["name"] = format!("c{version}").into();
        let routes = ADDED_ROUTES.choose(&mut self.rng).expect("a number");
        add_routes(&mut changed, *routes);
        self.fleet.store.put("config", "main", changed);
        self.changes.push(Instant::now());
    }

    fn random_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.gateways.len())
    }

    fn start_fault(&mut self, fault: Fault) {
        let length = Duration::from_millis(self.rng.random_range(100..MAX_FAULT_MS));
        self.faults.push((Instant::now() + length, fault));
    }

    fn disturb_link(&mut self) {
        let n = self.random_gateway();
        let rate = self.rng.random_range(400_000..1_500_000);
        let modes = [
            Mode::Reset,
            Mode::Stall,
            Mode::StallReplies,
            Mode::Throttle(rate),
            Mode::Delay(Duration::from_millis(100)),
        ];
        self.proxies[n].set(*modes.choose(&mut self.rng).expect("a mode"));
        self.start_fault(Fault::Link(n));
    }

    fn disturb_store(&mut self) {
        let all = [
            StoreFaults {
                is_unavailable: true,
                ..StoreFaults::default()
            },
            StoreFaults {
                is_over_rate: true,
                ..StoreFaults::default()
            },
            StoreFaults {
                has_no_history: true,
                ..StoreFaults::default()
            },
        ];
        let faults = *all.choose(&mut self.rng).expect("a fault");
        self.fleet.store.set_faults(faults);
        let is_outage = !faults.has_no_history;
        if is_outage {
            let now = Instant::now();
            self.outages.push((now, now));
        }
        self.start_fault(Fault::Store { is_outage });
    }

    fn is_store_disturbed(&self) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|(_, fault)| matches!(fault, Fault::Store { .. }))
    }

    fn restart(&mut self) {
        let n = self.random_gateway();
        let mut gateway = self.gateways.remove(n);
        self.processes[n].fetch_add(1, Ordering::AcqRel);
        if self.rng.random_bool(0.5) {
            gateway.signal(Signal::TERM);
            assert!(gateway.wait(), "the gateway ends without an error");
        } else {
            gateway.kill();
        }
        let started = self.start_gateway(n, gateway.addresses, false);
        self.gateways.insert(n, started);
    }

    fn end_faults(&mut self, now: Instant) {
        let (ended, open) = std::mem::take(&mut self.faults)
            .into_iter()
            .partition(|(end, _)| *end <= now);
        self.faults = open;
        for (_, fault) in ended {
            match fault {
                Fault::Link(n) => self.proxies[n].set(self.usual_mode),
                Fault::Store { is_outage } => {
                    self.fleet.store.set_faults(StoreFaults::default());
                    if let (true, Some(outage)) = (is_outage, self.outages.last_mut()) {
                        outage.1 = Instant::now();
                    }
                }
            }
        }
    }

    /// Changes the configuration again and again beside faults.
    fn disturb(&mut self) {
        let end = Instant::now() + FAULT_TIME;
        while Instant::now() < end {
            match self.rng.random_range(0..10) {
                0..4 => self.change_configuration(),
                4..7 => self.disturb_link(),
                7 if !self.is_store_disturbed() => self.disturb_store(),
                8 => self.restart(),
                9 => {
                    let n = self.random_gateway();
                    self.proxies[n].silence_open_connections();
                }
                _ => {}
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(50..500)));
            self.end_faults(Instant::now());
        }
        self.end_faults(end + Duration::from_millis(MAX_FAULT_MS));
        self.change_configuration();
    }

    /// Oldest version by which a call that began at `at` may be handled: changes
    /// within the last seconds count only once the store is in touch again.
    fn oldest_allowed(&self, at: Instant) -> u64 {
        let in_touch = |confirmed: Instant| {
            let touched = self.outages.iter().fold(confirmed, |touched, outage| {
                if outage.0 <= touched + APPLY_LIMIT && touched <= outage.1 {
                    outage.1
                } else {
                    touched
                }
            });
            touched + APPLY_LIMIT <= at
        };
        let allowed = self.changes.iter().filter(|change| in_touch(**change));
        allowed.count() as u64
    }

    /// Version by which each call was handled.
    fn versions(&self) -> HashMap<String, u64> {
        let runs = self.endpoint.runs().into_iter();
        runs.map(|run| {
            let customer = run.customer.expect("a customer");
            let version = customer.strip_prefix('c').and_then(|n| n.parse().ok());
            (run.id, version.expect("a version"))
        })
        .collect()
    }
}

fn check(seed: u64, deployment: &Deployment, calls: &[Call]) {
    let versions = deployment.versions();
    let mut last = None;
    for call in calls {
        let id = &call.id;
        let is_refused_wrongly = call.status.is_some_and(|status| {
            matches!(
                status,
                StatusCode::FORBIDDEN | StatusCode::NOT_FOUND | StatusCode::UNAUTHORIZED
            )
        });
        assert!(!is_refused_wrongly, "seed {seed}: {id}: {:?}", call.status);
        let Some(version) = versions.get(id) else {
            continue;
        };
        let oldest = deployment.oldest_allowed(call.started);
        assert!(
            *version >= oldest,
            "seed {seed}: {id} handled by version {version}, {oldest} was confirmed long before"
        );
        if let Some((process, before)) = last
            && call.process == Some(process)
        {
            assert!(
                *version >= before,
                "seed {seed}: {id} handled by version {version} after {before}"
            );
        }
        last = call.process.map(|process| (process, *version));
    }
    let newest = deployment.changes.len() as u64;
    let last = calls.iter().rev().find_map(|call| versions.get(&call.id));
    assert_eq!(last, Some(&newest), "seed {seed}: the newest version");
}

pub(crate) fn run_seed(seed: u64) {
    let mut deployment = Deployment::new(seed);
    let addresses: Vec<SocketAddr> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.addresses.callers)
        .collect();
    let processes = Arc::clone(&deployment.processes);
    let client = Client::new(deployment.fleet.spawner.clone(), ClientConfig::default());
    let stop = AtomicBool::new(false);
    let calls: Vec<Vec<Call>> = thread::scope(|scope| {
        let call = |(n, to): (usize, &SocketAddr)| {
            let (stop, client, process, to) = (&stop, &client, &processes[n], *to);
            let rng = ChaCha8Rng::seed_from_u64(seed * 1000 + n as u64);
            let name = format!("g{n}");
            scope.spawn(move || call_until_stopped(stop, client, &name, to, process, rng))
        };
        let callers: Vec<_> = addresses.iter().enumerate().map(call).collect();
        deployment.disturb();
        thread::sleep(APPLY_LIMIT);
        stop.store(true, Ordering::Release);
        let joined = callers.into_iter().map(|caller| caller.join());
        joined
            .map(|calls| calls.expect("the caller thread does not panic"))
            .collect()
    });
    for calls in &calls {
        check(seed, &deployment, calls);
    }
    let handled: usize = calls.iter().map(Vec::len).sum();
    let (versions, mode) = (deployment.changes.len(), deployment.usual_mode);
    eprintln!("seed {seed}: {versions} versions, {handled} calls, {mode:?}");
}
