//! Soak test of streams that callers take up again while engines of several
//! versions serve and are replaced.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::proxy::Mode;
use chicoryarch_standins::fleet::proxy::Proxy;
use futures_lite::future;
use http::Request;
use http_body_util::BodyExt;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::fleet::Addresses;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::configuration;

/// Events of a whole stream.
const EVENTS: u64 = 8;
const ENGINE: Behaviour = Behaviour {
    events: EVENTS,
    pause: Duration::from_millis(15),
    ..Behaviour::SOUND
};
/// More requests than an engine gets.
const ALL: u32 = 100_000;
/// Breaks all of its streams.
const BREAKING: Behaviour = Behaviour {
    broken_streams: ALL,
    ..ENGINE
};
/// Refuses all requests.
const FULL: Behaviour = Behaviour {
    refused_requests: ALL,
    ..ENGINE
};
/// Versions in the order in which they are listed.
const VERSIONS: [&str; 8] = [
    "2024-b",
    "v1",
    "v1.10",
    "v1.1",
    "V1",
    "1",
    "nightly 3",
    "2024",
];

const CALLERS: u64 = 4;
/// Streams that each caller has at once.
const STREAMS: u64 = 3;
/// Attempts in a row without an event after which a caller gives up a stream.
const MAX_FAILURES: u32 = 8;
/// Maximum time that a caller waits before it goes on with a stream.
const MAX_WAIT_MS: u64 = 1500;
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

const ROUNDS: usize = 2;
/// Time of each round with faults on hosts.
const FAULT_TIME: Duration = Duration::from_secs(3);
/// Time of each round without faults on hosts.
const QUIET_TIME: Duration = Duration::from_secs(4);
/// Time within which hosts know each other again after faults.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time within which hosts have applied a change of an engine.
const LIST_CHANGE: Duration = Duration::from_secs(1);
/// Attempts of either kind below which their shares are not judged.
const MIN_JUDGED: u32 = 12;

/// A time from its first to its last moment.
#[derive(Clone, Copy, Debug)]
struct Spell(Instant, Instant);

impl Spell {
    fn covers(&self, from: Instant, to: Instant) -> bool {
        self.0 <= from && to <= self.1
    }
}

/// One attempt of a caller at a stream.
#[derive(Debug)]
struct Attempt {
    id: String,
    /// Last event that the caller had before.
    after: u64,
    status: Option<u16>,
    /// Ids of the events that the caller received.
    events: Vec<u64>,
    is_complete: bool,
    started: Instant,
    /// When the first event or the end arrived.
    decided: Instant,
}

/// Attempts at a stream, in order.
type Stream = Vec<Attempt>;

#[derive(Default)]
struct Received {
    status: Option<u16>,
    body: Vec<u8>,
    first: Option<Instant>,
    is_complete: bool,
}

fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let events = text.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n"));
    let id = |event: &str| event.lines().next()?.strip_prefix("id: ")?.parse().ok();
    events
        .map(|e| id(e).expect("an event with an id"))
        .collect()
}

struct Caller {
    client: Client,
    gateways: Vec<SocketAddr>,
    rng: ChaCha8Rng,
}

impl Caller {
    fn call_until_stopped(mut self, stop: &AtomicBool, name: &str) -> Vec<Stream> {
        let mut streams = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let stream = self.receive_stream(&format!("{name}-{}", streams.len()));
            streams.push(stream);
        }
        streams
    }

    /// Begins a stream and takes it up again until it is whole or given up.
    fn receive_stream(&mut self, name: &str) -> Stream {
        let mut stream = Stream::new();
        let mut to = self.random_gateway();
        let mut begun_by: Option<String> = None;
        let (mut last, mut failures) = (0, 0);
        while last < EVENTS && failures < MAX_FAILURES {
            if self.rng.random_bool(0.6) {
                to = self.random_gateway();
            }
            let id = format!("{name}-{}", stream.len());
            let leave_after = self.rng.random_range(1..12);
            let sent = self.attempt(to, &id, last, begun_by.as_deref(), leave_after);
            let attempt = async_io::block_on(sent);
            if let Some(event) = attempt.events.last() {
                begun_by.get_or_insert(id);
                (last, failures) = (*event, 0);
            } else {
                failures += 1;
                thread::sleep(Duration::from_millis(self.rng.random_range(30..120)));
            }
            stream.push(attempt);
            if self.rng.random_bool(0.15) {
                let wait = self.rng.random_range(0..MAX_WAIT_MS);
                thread::sleep(Duration::from_millis(wait));
            }
        }
        stream
    }

    fn random_gateway(&mut self) -> SocketAddr {
        *self.gateways.choose(&mut self.rng).expect("a gateway")
    }

    async fn attempt(
        &self,
        to: SocketAddr,
        id: &str,
        after: u64,
        begun_by: Option<&str>,
        leave_after: usize,
    ) -> Attempt {
        let mut req = Request::post("/turns/")
            .header("host", "h")
            .header("request-id", id)
            .header("deadline-ms", "3000")
            .header("credential", "key-1");
        if let Some(begun_by) = begun_by {
            req = req
                .header("resumes", begun_by)
                .header("last-event-id", after.to_string());
        }
        let req = req.body(Body::from("body")).expect("a valid request");
        let started = Instant::now();
        let mut received = Received::default();
        let read = self.read(to, req, leave_after, &mut received);
        let expire = async {
            Timer::after(ATTEMPT_TIMEOUT).await;
        };
        future::or(read, expire).await;
        Attempt {
            id: id.to_owned(),
            after,
            status: received.status,
            events: event_ids(&received.body),
            is_complete: received.is_complete,
            started,
            decided: received.first.unwrap_or_else(Instant::now),
        }
    }

    /// Reads an answer to its end, or leaves after some events.
    async fn read(
        &self,
        to: SocketAddr,
        req: Request<Body>,
        leave_after: usize,
        received: &mut Received,
    ) {
        let Ok(response) = self.client.send(to, req, ATTEMPT_TIMEOUT).await else {
            return;
        };
        received.status = Some(response.status().as_u16());
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return;
            };
            received.first.get_or_insert_with(Instant::now);
            let bytes = frame.into_data().unwrap_or_default();
            received.body.extend(bytes);
            if event_ids(&received.body).len() >= leave_after {
                return;
            }
        }
        received.is_complete = true;
    }
}

struct Engine {
    standin: EndpointStandin,
    id: String,
    version: String,
    /// When it began to serve; `None` while it refuses or once it has stopped.
    since: Option<Instant>,
    served: Vec<Spell>,
    is_listed: bool,
}

impl Engine {
    fn end_serving(&mut self) {
        if let Some(since) = self.since.take() {
            self.served.push(Spell(since, Instant::now()));
        }
    }
}

/// A store, engines of several versions, and gateways that reach the store
/// through proxies.
struct Deployment {
    rng: ChaCha8Rng,
    fleet: Fleet,
    engines: Vec<Engine>,
    proxies: Vec<Proxy>,
    gateways: Vec<Gateway>,
    /// Number of versions that have been listed.
    versions: usize,
    /// Times without faults on hosts.
    quiet: Vec<Spell>,
}

impl Deployment {
    fn new(seed: u64) -> Self {
        let fleet = Fleet::new();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut config = configuration(2);
        config["routes"][3]["max_attempts"] = rng.random_range(1..3).into();
        fleet.store.put("config", "main", config);
        let count = rng.random_range(3..5);
        let start = || Proxy::start(&fleet.spawner, fleet.store.addr());
        let mut deployment = Self {
            proxies: (0..count).map(|_| start()).collect(),
            rng,
            fleet,
            engines: Vec::new(),
            gateways: Vec::new(),
            versions: 0,
            quiet: Vec::new(),
        };
        for _ in 0..deployment.rng.random_range(1..4) {
            let version = deployment.new_version();
            deployment.start_engine(&version);
            deployment.start_engine(&version);
        }
        for n in 0..count {
            let addresses = Addresses {
                callers: deployment.fleet.free_address(),
                ready: deployment.fleet.free_address(),
                peers: deployment.fleet.free_address(),
            };
            let gateway = deployment.start_gateway(n, addresses, true);
            deployment.gateways.push(gateway);
        }
        deployment.wait_ready();
        deployment
    }

    fn start_gateway(&self, n: usize, addresses: Addresses, is_first: bool) -> Gateway {
        let peers = self.gateways.iter().map(|gateway| gateway.addresses.peers);
        let seeds: Vec<SocketAddr> = peers.filter(|peer| *peer != addresses.peers).collect();
        let store = self.proxies[n].address();
        self.fleet
            .start_gateway_at(&format!("g{n}"), addresses, store, &seeds, is_first)
    }

    fn wait_ready(&self) {
        for gateway in &self.gateways {
            gateway.wait_ready(&self.fleet);
        }
    }

    fn new_version(&mut self) -> String {
        self.versions += 1;
        let listed = VERSIONS.get(self.versions - 1);
        listed.map_or_else(|| format!("r{}", self.versions), ToString::to_string)
    }

    fn start_engine(&mut self, version: &str) {
        let id = format!("e{}", self.engines.len());
        let standin = self
            .fleet
            .endpoint_of_version(&id, "engine", version, ENGINE);
        self.engines.push(Engine {
            standin,
            id,
            version: version.to_owned(),
            since: Some(Instant::now()),
            served: Vec::new(),
            is_listed: true,
        });
    }

    /// Removes an engine's entry and stops it, in either order. It may break
    /// its streams before.
    fn stop_engine(&mut self, n: usize) {
        let engine = &mut self.engines[n];
        engine.end_serving();
        engine.is_listed = false;
        if self.rng.random_bool(0.5) {
            engine.standin.set_behaviour(BREAKING);
        }
        let pause = Duration::from_millis(self.rng.random_range(0..400));
        if self.rng.random_bool(0.5) {
            self.fleet.store.delete("servers", &engine.id);
            thread::sleep(pause);
            engine.standin.stop();
        } else {
            engine.standin.stop();
            thread::sleep(pause);
            self.fleet.store.delete("servers", &engine.id);
        }
    }

    fn listed(&self) -> Vec<usize> {
        let all = 0..self.engines.len();
        all.filter(|n| self.engines[*n].is_listed).collect()
    }

    fn of_version(&self, version: &str) -> Vec<usize> {
        let mut listed = self.listed();
        listed.retain(|n| self.engines[*n].version == version);
        listed
    }

    fn random_engine(&mut self) -> usize {
        *self.listed().choose(&mut self.rng).expect("an engine")
    }

    /// Replaces an engine by one of its own, of another or of a new version.
    fn replace_engine(&mut self) {
        let old = self.random_engine();
        let version = match self.rng.random_range(0..5) {
            0 => self.new_version(),
            1 | 2 => {
                let other = self.random_engine();
                self.engines[other].version.clone()
            }
            _ => self.engines[old].version.clone(),
        };
        self.start_engine(&version);
        self.stop_engine(old);
    }

    /// Replaces all engines of a version by those of a new one.
    fn roll_version(&mut self) {
        let first = self.random_engine();
        let version = self.new_version();
        for old in self.of_version(&self.engines[first].version.clone()) {
            self.start_engine(&version);
            thread::sleep(Duration::from_millis(self.rng.random_range(0..400)));
            self.stop_engine(old);
        }
    }

    fn disturb_engine(&mut self) {
        let n = self.random_engine();
        match self.rng.random_range(0..8) {
            0..4 => {
                let broken_streams = self.rng.random_range(1..12);
                let base = match self.engines[n].since {
                    Some(_) => ENGINE,
                    None => FULL,
                };
                self.engines[n].standin.set_behaviour(Behaviour {
                    broken_streams,
                    ..base
                });
            }
            4 => {
                self.engines[n].end_serving();
                self.engines[n].standin.set_behaviour(FULL);
            }
            _ => self.lift_refusals(),
        }
    }

    fn lift_refusals(&mut self) {
        for engine in self.engines.iter_mut().filter(|engine| engine.is_listed) {
            if engine.since.is_none() {
                engine.standin.set_behaviour(ENGINE);
                engine.since = Some(Instant::now());
            }
        }
    }

    fn disturb_host(&mut self) {
        let n = self.rng.random_range(0..self.gateways.len());
        match self.rng.random_range(0..9) {
            0 => self.restart(n, Signal::KILL),
            1 => self.restart_in_series(n),
            2 => self.restart(n, Signal::TERM),
            3..5 => self.gateways[n].signal(Signal::STOP),
            5 | 6 => {
                let modes = [Mode::Reset, Mode::Stall, Mode::StallReplies];
                self.proxies[n].set(*modes.choose(&mut self.rng).expect("a mode"));
            }
            _ => self.proxies[n].set(Mode::Forward),
        }
    }

    /// Ends a gateway, at `TERM` once it has drained, and starts it again.
    fn restart(&mut self, n: usize, signal: Signal) {
        self.continue_hosts();
        if signal == Signal::TERM {
            self.gateways[n].signal(signal);
            self.gateways[n].wait();
        }
        self.gateways[n].kill();
        self.gateways[n] = self.start_gateway(n, self.gateways[n].addresses, false);
    }

    /// Kills some gateways one after the other, from `first` on.
    fn restart_in_series(&mut self, first: usize) {
        let count = self.gateways.len();
        for n in first..first + self.rng.random_range(2..=count) {
            self.restart(n % count, Signal::KILL);
            thread::sleep(Duration::from_millis(self.rng.random_range(0..300)));
        }
    }

    fn continue_hosts(&self) {
        for gateway in &self.gateways {
            gateway.signal(Signal::CONT);
        }
    }

    fn disturb_all(&mut self) {
        let end = Instant::now() + FAULT_TIME;
        while Instant::now() < end {
            match self.rng.random_range(0..12) {
                0..6 => self.disturb_host(),
                6..9 => self.disturb_engine(),
                9 | 10 => self.replace_engine(),
                _ => self.roll_version(),
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(20..300)));
            if self.rng.random_bool(0.7) {
                self.continue_hosts();
            }
        }
    }

    /// Lifts the faults on hosts and restores two engines of each version, or
    /// gives those with a single engine up if there are many.
    fn restore(&mut self) {
        self.continue_hosts();
        for proxy in &self.proxies {
            proxy.set(Mode::Forward);
        }
        self.lift_refusals();
        let max_versions = self.rng.random_range(1..4);
        let listed = self.listed();
        let mut versions: BTreeSet<String> = listed
            .iter()
            .map(|n| self.engines[*n].version.clone())
            .collect();
        for version in versions.clone() {
            if let [sole] = self.of_version(&version)[..] {
                if versions.len() > max_versions {
                    versions.remove(&version);
                    self.stop_engine(sole);
                } else {
                    self.start_engine(&version);
                }
            }
        }
        self.wait_ready();
    }

    fn disturb_engines(&mut self) {
        let start = Instant::now();
        while start.elapsed() < QUIET_TIME {
            match self.rng.random_range(0..8) {
                0 => self.replace_engine(),
                _ => self.disturb_engine(),
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(100..500)));
        }
        self.quiet.push(Spell(start + SETTLE_TIME, Instant::now()));
    }

    fn run(&mut self) {
        for _ in 0..ROUNDS {
            self.disturb_all();
            self.restore();
            self.disturb_engines();
        }
        for engine in &mut self.engines {
            engine.end_serving();
        }
    }

    /// Whether an attempt began or failed to begin without a fault on hosts.
    fn is_quiet(&self, attempt: &Attempt) -> bool {
        let mut spells = self.quiet.iter();
        spells.any(|spell| spell.covers(attempt.started, attempt.decided))
    }

    /// Whether two engines of a version served at an attempt.
    fn is_served(&self, attempt: &Attempt, version: &str) -> bool {
        let from = attempt.started - LIST_CHANGE;
        let serves = |engine: &&Engine| {
            let mut served = engine.served.iter();
            engine.version == version && served.any(|s| s.covers(from, attempt.decided))
        };
        self.engines.iter().filter(serves).count() >= 2
    }

    /// Versions of the engines that ran a request, by the event after which
    /// they did.
    fn runs(&self) -> HashMap<String, BTreeMap<u64, BTreeSet<String>>> {
        let mut runs: HashMap<String, BTreeMap<u64, BTreeSet<String>>> = HashMap::new();
        for engine in &self.engines {
            for run in engine.standin.runs() {
                let after = run.resume_after.unwrap_or(0);
                let of_request = runs.entry(run.id).or_default();
                let versions = of_request.entry(after).or_default();
                versions.insert(engine.version.clone());
            }
        }
        runs
    }
}

#[derive(Debug, Default)]
struct Share {
    tried: u32,
    went: u32,
}

impl Share {
    fn count(&mut self, attempt: &Attempt) {
        self.tried += 1;
        self.went += u32::from(!attempt.events.is_empty());
    }
}

/// Checks the events of a stream. Returns the versions of which one made all
/// of them; `None` if there are no events.
fn check_stream(
    seed: u64,
    stream: &Stream,
    runs: &HashMap<String, BTreeMap<u64, BTreeSet<String>>>,
) -> Option<BTreeSet<String>> {
    let mut last = 0;
    let mut versions: Option<BTreeSet<String>> = None;
    for attempt in stream {
        for id in &attempt.events {
            let expected = last + 1;
            assert_eq!(*id, expected, "seed {seed}: a gap or repeat in {stream:#?}");
            last = *id;
        }
        let is_cut = attempt.is_complete && attempt.status == Some(200) && last < EVENTS;
        assert!(!is_cut, "seed {seed}: cut off as whole: {stream:#?}");
        let Some(of_request) = runs.get(&attempt.id) else {
            assert!(
                attempt.events.is_empty(),
                "seed {seed}: nobody ran {stream:#?}"
            );
            continue;
        };
        // A run brought the event after the one where it went on, if the caller
        // received that.
        for made in of_request.range(..last).map(|(_, made)| made) {
            let all = versions.get_or_insert_with(|| made.clone());
            all.retain(|version| made.contains(version));
            let is_of_one = !all.is_empty();
            assert!(
                is_of_one,
                "seed {seed}: events of two versions at {}, made {of_request:?}: {stream:#?}",
                attempt.id
            );
        }
    }
    versions
}

fn check(seed: u64, deployment: &Deployment, streams: &[Stream]) {
    let runs = deployment.runs();
    let (mut begun, mut resumed) = (Share::default(), Share::default());
    for stream in streams {
        let versions = check_stream(seed, stream, &runs);
        for attempt in stream.iter().filter(|a| deployment.is_quiet(a)) {
            if attempt.after == 0 {
                begun.count(attempt);
            } else if let Some(version) = versions.iter().flatten().next()
                && deployment.is_served(attempt, version)
            {
                resumed.count(attempt);
            }
        }
    }
    eprintln!("seed {seed}: begun {begun:?}, resumed {resumed:?}");
    if begun.tried >= MIN_JUDGED && resumed.tried >= MIN_JUDGED {
        assert!(
            2 * resumed.went * begun.tried >= begun.went * resumed.tried,
            "seed {seed}: resuming is refused: begun {begun:?}, resumed {resumed:?}"
        );
    }
}

/// Plays a seed and checks what callers and engines recorded.
pub(crate) fn run_seed(seed: u64) {
    let mut deployment = Deployment::new(seed);
    let gateways = deployment.gateways.iter();
    let addresses: Vec<SocketAddr> = gateways.map(|g| g.addresses.callers).collect();
    let stop = AtomicBool::new(false);
    let streams: Vec<Stream> = thread::scope(|scope| {
        let mut lanes = Vec::new();
        for caller in 0..CALLERS {
            let client = Client::new(Spawner::start(1), ClientConfig::default());
            for lane in 0..STREAMS {
                let caller_lane = Caller {
                    client: client.clone(),
                    gateways: addresses.clone(),
                    rng: ChaCha8Rng::seed_from_u64(seed * 1000 + caller * STREAMS + lane),
                };
                let (stop, name) = (&stop, format!("{caller}-{lane}"));
                lanes.push(scope.spawn(move || caller_lane.call_until_stopped(stop, &name)));
            }
        }
        deployment.run();
        stop.store(true, Ordering::Release);
        let joined = lanes.into_iter().map(|lane| lane.join());
        joined
            .flat_map(|streams| streams.expect("the caller thread does not panic"))
            .collect()
    });
    check(seed, &deployment, &streams);
}
