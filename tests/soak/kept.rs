//! Soak test of kept turns: callers continue turns at any host while archive hosts
//! are killed, lose their disks, are cut off, retired and replaced.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Run;
use chicoryarch_standins::fleet::proxy::Cut;
use chicoryarch_standins::fleet::proxy::Proxy;
use futures_lite::future;
use http::Request;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tempfile::TempDir;

use super::SetOnDrop;
use super::archive_fleet::Archive;
use super::callers;
use super::faults;
use super::faults::EVENTS;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::configuration;
use super::fleet::kept_route;
use super::fleet::wait_until;

/// Retention of turns. It is short, so that a host that has lost its disk counts as
/// whole again while others lose theirs.
const RETENTION: Duration = Duration::from_secs(4);
const FAULT_TIME: Duration = Duration::from_secs(12);
/// Longest time for which a host is away.
const MAX_FAULT_MS: u64 = 1500;
/// Time from the last fault until turns are found again at every gateway.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Disks that may be lost at the same time: `fault_tolerance.machines`.
const MAX_LOST_DISKS: usize = 2;
/// Settings of the archive hosts.
const LIMITS: &str = "limits.disk_mb=350\nlimits.memory_mb=130\nfault_tolerance.machines=2\n\
                      fault_tolerance.zones=1\nbounds.catch_up_s=2\n";
const ARCHIVES: [&str; 6] = [
    "a-archive-1",
    "a-archive-2",
    "b-archive-1",
    "b-archive-2",
    "c-archive-1",
    "c-archive-2",
];
const GATEWAYS: [&str; 3] = ["a", "b", "c"];
/// Customers with their keys. Their callers use the same request ids.
const CUSTOMERS: [(&str, &str); 2] = [("customer-1", "key-1"), ("customer-2", "key-2")];
/// Callers of each customer.
const CALLERS: u64 = 3;
/// Number of a caller's last calls whose turns it continues.
const RECENT: usize = 8;
const MAX_PAUSE_MS: u64 = 60;
/// Interval at which faults are ended.
const TICK: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Start of the ids of calls that are no part of the load.
const PROBE: &str = "probe";

/// A call, and what became of it.
#[derive(Debug)]
struct Call {
    id: String,
    customer: &'static str,
    gateway: usize,
    /// Number of the caller's call whose turn this one continues.
    previous: Option<usize>,
    /// Text that the engine must receive.
    text: Bytes,
    status: Option<u16>,
    body: Vec<u8>,
    is_complete: bool,
    ended: Instant,
}

impl Call {
    /// Whether the caller was told that its turn is kept.
    fn is_acknowledged(&self) -> bool {
        self.status == Some(200) && self.is_complete
    }

    /// Returns the text of the chain that ends with this turn.
    fn chain(&self) -> Vec<u8> {
        let output = (1..=EVENTS).map(|id| format!("piece {id}\n"));
        [&self.text[..], output.collect::<String>().as_bytes()].concat()
    }
}

struct Caller<'a> {
    gateways: &'a [SocketAddr],
    client: Client,
    customer: &'static str,
    key: &'static str,
    rng: ChaCha8Rng,
}

impl Caller<'_> {
    fn call_until_stopped(mut self, stop: &AtomicBool, name: &str) -> Vec<Call> {
        let mut calls: Vec<Call> = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let previous = self.choose_previous(&calls);
            let gateway = self.rng.random_range(0..self.gateways.len());
            let id = format!("{name}-{}", calls.len());
            let previous_id = previous.map(|n| calls[n].id.clone());
            let before = previous.map(|n| calls[n].chain()).unwrap_or_default();
            let input = format!("input {id} of {}\n", self.customer);
            let mut call = Call {
                text: [before, input.clone().into_bytes()].concat().into(),
                id,
                customer: self.customer,
                gateway,
                previous,
                status: None,
                body: Vec::new(),
                is_complete: false,
                ended: Instant::now(),
            };
            async_io::block_on(self.send(&mut call, previous_id.as_deref(), input));
            calls.push(call);
            let pause = self.rng.random_range(5..MAX_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
        calls
    }

    /// Chooses the turn to continue: mostly one that was acknowledged, sometimes one
    /// that may have been stored although its answer broke off.
    fn choose_previous(&mut self, calls: &[Call]) -> Option<usize> {
        let is_wanted = match self.rng.random_range(0..10) {
            0 => return None,
            1 => |call: &Call| !call.is_acknowledged() && call.status == Some(200),
            _ => Call::is_acknowledged,
        };
        let numbered = calls.iter().enumerate().rev();
        let fit = numbered.filter(|(_, call)| is_wanted(call));
        let fit: Vec<usize> = fit.take(RECENT).map(|(n, _)| n).collect();
        fit.choose(&mut self.rng).copied()
    }

    async fn send(&self, call: &mut Call, previous: Option<&str>, input: String) {
        let mut req = Request::post("/kept/")
            .header("host", "h")
            .header("request-id", &call.id)
            .header("deadline-ms", "3000")
            .header("program-id", format!("program-{}", call.id))
            .header("credential", self.key);
        if let Some(previous) = previous {
            req = req.header("previous-turn", previous);
        }
        let req = req.body(Body::from(input)).expect("a valid request");
        let to = self.gateways[call.gateway];
        if let Ok(response) = self.client.send(to, req, CALL_TIMEOUT).await {
            call.status = Some(response.status().as_u16());
            let expire = async {
                Timer::after(CALL_TIMEOUT).await;
                false
            };
            let read = callers::read(response.into_body(), &mut call.body);
            call.is_complete = future::or(read, expire).await;
        }
        call.ended = Instant::now();
    }
}

/// An archive host that others and the store reach through proxies.
struct ArchiveHost {
    process: Archive,
    /// Way of gateways and other archive hosts to this one.
    front: Proxy,
    /// Way of this host to the store.
    store: Proxy,
    /// When the host is started again.
    starts_at: Instant,
    /// When it is not cut off any more.
    heals_at: Instant,
    /// Whether its proxies refuse connections or carry nothing, because of a cut or
    /// since the process was away.
    is_unreachable: bool,
    /// Whether its disk was lost and has not been refilled.
    is_lost: bool,
    /// Until when it stands for one that was lost for good, whose turns have expired
    /// by then.
    successor_until: Instant,
    /// Whether it is being emptied.
    is_retiring: bool,
}

impl ArchiveHost {
    fn start_if_due(&mut self, now: Instant) {
        if !self.process.is_started() && self.starts_at <= now {
            self.process.start();
        }
    }

    /// Makes a host reachable that listens and is not cut off any more, and notes
    /// whether its disk has been refilled.
    fn heal_if_due(&mut self, now: Instant) {
        let listens = || TcpStream::connect(self.process.address).is_ok();
        if self.is_unreachable && self.heals_at <= now && listens() {
            self.front.heal();
            self.store.heal();
            self.is_unreachable = false;
        }
        let log = self.process.data.join("turns");
        let is_expired = self.successor_until <= now;
        // The second file is written before the first one.
        if is_expired && log.join("whole-since").exists() && !log.join("refill").exists() {
            self.is_lost = false;
        }
    }
}

struct Deployment {
    rng: ChaCha8Rng,
    fleet: Fleet,
    engine: EndpointStandin,
    archives: Vec<ArchiveHost>,
    gateways: Vec<Gateway>,
    folder: TempDir,
    /// Number of hosts that have taken the place of others.
    successors: usize,
}

impl Deployment {
    fn new(seed: u64) -> Self {
        let fleet = Fleet::new();
        fleet.store.put("config", "main", kept_configuration());
        let engine = fleet.endpoint("e1", "engine", faults::behaviour(true));
        let folder = tempfile::tempdir().expect("a folder");
        let addresses = ARCHIVES.map(|_| fleet.free_address());
        let fronts = addresses.map(|address| Proxy::start(&fleet.spawner, address));
        let now = Instant::now();
        let start = |n: usize| {
            // A host must find its own entry as it has written it.
            let others = (0..ARCHIVES.len()).filter(|other| *other != n);
            let others = others.map(|other| (addresses[other], fronts[other].address()));
            let view = fleet.store_view(&others.collect::<Vec<_>>());
            let store = Proxy::start(&fleet.spawner, view);
            let (name, to) = (ARCHIVES[n], store.address());
            ArchiveHost {
                process: Archive::launch(folder.path(), name, &name[..1], addresses[n], to, LIMITS),
                front: fronts[n].clone(),
                store,
                starts_at: now,
                heals_at: now,
                is_unreachable: false,
                is_lost: false,
                successor_until: now,
                is_retiring: false,
            }
        };
        let archives: Vec<ArchiveHost> = (0..ARCHIVES.len()).map(start).collect();
        let replaced = addresses.iter().zip(&fronts);
        let replaced = replaced.map(|(address, front)| (*address, front.address()));
        let view = fleet.store_view(&replaced.collect::<Vec<_>>());
        let start = |data_centre: &&str| {
            let name = format!("{data_centre}-gateway");
            let addresses = fleet.free_addresses();
            fleet.start_gateway_in(data_centre, &name, addresses, view, &[], false)
        };
        let gateways = GATEWAYS.iter().map(start).collect();
        let deployment = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet,
            engine,
            archives,
            gateways,
            folder,
            successors: 0,
        };
        for gateway in &deployment.gateways {
            gateway.wait_ready(&deployment.fleet);
        }
        wait_until("all gateways keep turns", || deployment.is_kept("start"));
        deployment
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways.iter();
        gateways.map(|gateway| gateway.addresses.callers).collect()
    }

    /// Whether each gateway keeps a turn that the next one continues.
    fn is_kept(&self, name: &str) -> bool {
        (0..self.gateways.len()).all(|n| {
            let next = &self.gateways[(n + 1) % self.gateways.len()];
            let id = format!("{PROBE}-{name}-{n}");
            let next_id = format!("{id}-next");
            let first = [("request-id", &*id)];
            let then = [("request-id", &*next_id), ("previous-turn", &*id)];
            let call = |to, headers: &[(&str, &str)]| {
                let answer = self.fleet.call_with_body(to, "/kept/", headers, "x");
                answer.status == 200 && answer.body.is_some()
            };
            call(&self.gateways[n], &first) && call(next, &then)
        })
    }

    /// Injects random faults, which may overlap.
    fn inject(&mut self) {
        let end = Instant::now() + FAULT_TIME;
        let mut next = Instant::now();
        while Instant::now() < end {
            let now = Instant::now();
            self.end_faults(now);
            if next <= now {
                self.inject_one(now);
                next = now + Duration::from_millis(self.rng.random_range(50..700));
            }
            thread::sleep(TICK);
        }
    }

    /// Ends the faults that are due.
    fn end_faults(&mut self, now: Instant) {
        // A process that starts has copies of open sockets for a moment, so that a
        // proxy cannot listen again meanwhile.
        for archive in &mut self.archives {
            archive.start_if_due(now);
        }
        for archive in &mut self.archives {
            archive.heal_if_due(now);
        }
        for n in 0..self.archives.len() {
            if self.archives[n].is_retiring && self.is_emptied(n) {
                self.archives[n].process.lose_disk();
                self.start_successor(n);
            }
        }
    }

    fn is_emptied(&self, n: usize) -> bool {
        let name = &self.archives[n].process.name;
        let status = self.fleet.store.status("retirements", name);
        status.is_some_and(|status| status["state"] == "completed")
    }

    /// Empties a host, which is then removed. At most one is emptied at a time.
    fn retire(&mut self, n: usize) {
        if !self.archives.iter().any(|archive| archive.is_retiring) {
            let archive = &mut self.archives[n];
            archive.is_retiring = true;
            let name = archive.process.name.clone();
            self.fleet.store.put("retirements", &name, json!({}));
        }
    }

    /// Removes a host for good, unless as many disks are lost as may be.
    fn replace(&mut self, n: usize) {
        if self.archives[n].is_retiring {
            return;
        }
        self.lose_disk(n, Instant::now());
        let archive = &mut self.archives[n];
        if archive.is_lost && !archive.process.data.exists() {
            archive.successor_until = Instant::now() + RETENTION;
            self.start_successor(n);
        }
    }

    /// Starts a host of another name at another address, which is reached directly, in
    /// place of one without a disk.
    fn start_successor(&mut self, n: usize) {
        self.successors += 1;
        let address = self.fleet.free_address();
        let archive = &mut self.archives[n];
        let data_centre = archive.process.name[..1].to_owned();
        let name = format!("{data_centre}-successor-{}", self.successors);
        let store = archive.store.address();
        archive.store.heal();
        archive.process = Archive::launch(
            self.folder.path(),
            &name,
            &data_centre,
            address,
            store,
            LIMITS,
        );
        archive.is_retiring = false;
    }

    fn inject_one(&mut self, now: Instant) {
        let n = self.rng.random_range(0..self.archives.len());
        let until = now + Duration::from_millis(self.rng.random_range(50..MAX_FAULT_MS));
        match self.rng.random_range(0..15) {
            0..3 => self.kill(n, until),
            3..6 => self.lose_disk(n, until),
            6..9 => self.cut_off(n, until),
            // The hosts that have a turn are away at the same time, but only two
            // without their disks, which come back soon.
            9..11 => {
                let hosts = rand::seq::index::sample(&mut self.rng, ARCHIVES.len(), 3);
                self.cut_off(hosts.index(0), until);
                self.lose_disk(hosts.index(1), now);
                self.lose_disk(hosts.index(2), now);
            }
            11..13 => self.retire(n),
            13 => self.replace(n),
            // All lose their power.
            _ => (0..self.archives.len()).for_each(|n| self.kill(n, until)),
        }
    }

    fn cut_off(&mut self, n: usize, until: Instant) {
        let cut = [Cut::Silent, Cut::Reset, Cut::Refuse];
        let cut = *cut.choose(&mut self.rng).expect("a way");
        let archive = &mut self.archives[n];
        archive.front.cut(cut);
        archive.store.cut(cut);
        archive.heals_at = until;
        archive.is_unreachable = true;
    }

    /// Kills a host, which loses its disk unless as many are lost as may be.
    fn lose_disk(&mut self, n: usize, until: Instant) {
        self.kill(n, until);
        let lost = self.archives.iter().filter(|archive| archive.is_lost);
        let may_lose = lost.count() < MAX_LOST_DISKS;
        let archive = &mut self.archives[n];
        // A host that lost its disk and was not started since has none.
        if may_lose && archive.process.data.exists() {
            archive.process.lose_disk();
            archive.is_lost = true;
        }
    }

    fn kill(&mut self, n: usize, until: Instant) {
        let archive = &mut self.archives[n];
        archive.process.kill();
        archive.starts_at = until;
        archive.is_unreachable = true;
    }
}

fn kept_configuration() -> serde_json::Value {
    let mut kept = configuration(2);
    let routes = kept["routes"].as_array_mut().expect("a list");
    routes.push(kept_route(RETENTION));
    kept["limits"]["max_body_bytes"] = json!(1 << 20);
    let customer = |(name, key)| json!({"name": name, "api_keys": [key]});
    kept["tenants"] = CUSTOMERS.map(customer).into_iter().collect();
    kept
}

pub(crate) fn run_seed(seed: u64) {
    let mut deployment = Deployment::new(seed);
    let gateways = deployment.addresses();
    let spawner = Spawner::start(2);
    let stop = &AtomicBool::new(false);
    let calls: Vec<Vec<Call>> = thread::scope(|scope| {
        let callers = (0..CALLERS).flat_map(|n| CUSTOMERS.map(|customer| (n, customer)));
        let callers = callers.enumerate().map(|(stream, (n, (customer, key)))| {
            let caller = Caller {
                gateways: &gateways,
                client: Client::new(spawner.clone(), ClientConfig::default()),
                customer,
                key,
                rng: ChaCha8Rng::seed_from_u64(seed * 1000 + stream as u64),
            };
            scope.spawn(move || caller.call_until_stopped(stop, &n.to_string()))
        });
        let callers: Vec<_> = callers.collect();
        {
            // A fault that cannot be injected ends the callers too.
            let _ends_callers = SetOnDrop(stop);
            deployment.inject();
        }
        let joined = callers.into_iter().map(|caller| caller.join());
        let joined = joined.map(|calls| calls.expect("the caller does not panic"));
        joined.collect()
    });
    check(seed, &calls, &deployment.engine.runs());
    let all_due = Instant::now() + Duration::from_millis(MAX_FAULT_MS);
    let mut attempts = 0;
    while {
        deployment.end_faults(all_due);
        !deployment.is_kept(&format!("end-{attempts}"))
    } {
        attempts += 1;
        let late = all_due + RECOVERY_TIMEOUT;
        assert!(Instant::now() < late, "seed {seed}: turns are not kept");
        thread::sleep(TICK);
    }
}

/// Checks the guarantees on what the callers and the engine recorded.
fn check(seed: u64, calls: &[Vec<Call>], runs: &[Run]) {
    let mut bodies: HashMap<(&str, &str), Vec<&Bytes>> = HashMap::new();
    for run in runs.iter().filter(|run| !run.id.starts_with(PROBE)) {
        let customer = run.customer.as_deref().unwrap_or_default();
        let ran = bodies.entry((customer, &run.id)).or_default();
        ran.push(&run.body);
    }
    let mut counts = Counts::default();
    for calls in calls {
        for call in calls {
            let ran = bodies.remove(&(call.customer, &*call.id));
            let ran = ran.unwrap_or_default();
            let previous = call.previous.map(|n| &calls[n]);
            let describe = || format!("seed {seed}: {call:?} after {previous:?}, ran {ran:?}");
            assert!(ran.len() <= 1, "ran twice: {}", describe());
            let is_exact = ran.iter().all(|body| **body == call.text);
            assert!(is_exact, "another text was sent: {}", describe());
            match call.status {
                Some(200) => {
                    let events = callers::event_stream(EVENTS);
                    assert!(events.starts_with(&call.body), "{}", describe());
                    let is_whole = ran.len() == 1 && events == call.body;
                    assert!(!call.is_complete || is_whole, "cut off: {}", describe());
                }
                Some(404) => {
                    let previous = previous.expect("only a turn that is continued is absent");
                    let is_kept = previous.is_acknowledged()
                        && call.ended.duration_since(previous.ended) < RETENTION;
                    assert!(!is_kept, "acknowledged and absent: {}", describe());
                    assert!(ran.is_empty(), "refused and run: {}", describe());
                }
                Some(503) => assert!(ran.is_empty(), "refused and run: {}", describe()),
                Some(_) => panic!("no such answer is expected: {}", describe()),
                None => {}
            }
            counts.add(call, previous);
        }
    }
    assert!(bodies.is_empty(), "seed {seed}: ran without a caller");
    eprintln!("kept turns, seed {seed}: {counts:?}");
    assert!(counts.continued_elsewhere > 0, "seed {seed}: {counts:?}");
}

/// What became of the calls of a seed.
#[derive(Debug, Default)]
struct Counts {
    acknowledged: usize,
    /// Acknowledged turns that continue one of another host.
    continued_elsewhere: usize,
    broken_off: usize,
    absent: usize,
    refused: usize,
    unanswered: usize,
}

impl Counts {
    fn add(&mut self, call: &Call, previous: Option<&Call>) {
        let is_elsewhere = previous.is_some_and(|previous| previous.gateway != call.gateway);
        let is_acknowledged = call.is_acknowledged();
        self.continued_elsewhere += usize::from(is_acknowledged && is_elsewhere);
        *match call.status {
            Some(200) if is_acknowledged => &mut self.acknowledged,
            Some(200) => &mut self.broken_off,
            Some(404) => &mut self.absent,
            Some(_) => &mut self.refused,
            None => &mut self.unanswered,
        } += 1;
    }
}
