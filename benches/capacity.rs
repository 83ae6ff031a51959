//! CPU time, bytes and memory of each part of the control plane, by its size.
//!
//! The production decision code runs under a virtual clock. Only `control`
//! opens sockets, to measure the CPU time of one control call. Times are
//! printed as absolute values and as a ratio to the first line of their table,
//! since the machine may be shared. Memory includes freed allocations, so it is
//! an upper bound. `CHICORYARCH_ONLY` selects one of `memory`, `table`,
//! `journal`, `limit`, `messages`, `configuration` and `control`.
//!
//! `cargo bench --bench capacity`

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fs;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chicoryarch::configs::journal::JournalConfig;
use chicoryarch::configs::limit::LimitConfig;
use chicoryarch::configs::membership::MembershipConfig;
use chicoryarch::configs::peer::PeerConfig;
use chicoryarch::connection::peer::HttpPeers;
use chicoryarch::connection::peer::NoParams;
use chicoryarch::connection::peer::PeerError;
use chicoryarch::connection::peer::PeerSecret;
use chicoryarch::connection::peer::Peers;
use chicoryarch::connection::platform::Expect;
use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Object;
use chicoryarch::connection::platform::Written;
use chicoryarch::connection::platform::decode;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Ordinal;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::ids::Version;
use chicoryarch::request::limit::Amount;
use chicoryarch::request::limit::CustomerLimiter;
use chicoryarch::request::limit::Effect as LimitEffect;
use chicoryarch::request::limit::Env;
use chicoryarch::request::limit::FloorStatus;
use chicoryarch::request::limit::GrantId;
use chicoryarch::request::limit::GrantReply;
use chicoryarch::request::limit::GrantRequest;
use chicoryarch::request::limit::Member;
use chicoryarch::request::limit::UnusedFloors;
use chicoryarch::request::limit::View;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::catalogue::Bundle;
use chicoryarch::version::catalogue::Configuration;
use chicoryarch::version::catalogue::Item;
use chicoryarch::version::catalogue::ObjectId;
use chicoryarch::version::history::HistoryMode;
use chicoryarch::version::journal::Document;
use chicoryarch::version::journal::JOURNAL_KIND;
use chicoryarch::version::journal::Journal;
use chicoryarch::version::journal::PartitionId;
use chicoryarch::version::journal::ProgramRecord;
use chicoryarch::version::objects::Change;
use chicoryarch::version::objects::Customer;
use chicoryarch::version::objects::Endpoint;
use chicoryarch::version::objects::EndpointState;
use chicoryarch::version::objects::Kind;
use chicoryarch::version::objects::Record;
use chicoryarch::version::table::Coordinator;
use chicoryarch::version::table::Effect;
use chicoryarch::version::table::Heartbeat;
use chicoryarch::version::table::HeartbeatReply;
use chicoryarch::version::table::Identity;
use chicoryarch::version::table::Input;
use chicoryarch::version::table::PartitionEvent;
use chicoryarch::version::table::Table;
use chicoryarch::version::table::incarnation;
use chicoryarch::version::table::message::Committed;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use jsonrpsee_core::server::RpcModule;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Serialize;

#[path = "../tests/limit/fleet.rs"]
mod fleet;

use fleet::Fleet;
use fleet::Net;
use fleet::Outcome;
use fleet::Plan;
use fleet::SECOND;
use fleet::poisson;

const HOST_COUNTS: [u16; 5] = [9, 18, 36, 72, 144];
const PROGRAM_COUNTS: [u64; 5] = [35, 70, 140, 280, 1_120];
const CUSTOMER_COUNTS: [usize; 4] = [60, 120, 240, 480];
const FLEET_SIZES: [usize; 4] = [95, 190, 380, 760];
const ENDPOINT_COUNTS: [usize; 4] = [300, 600, 1_200, 2_400];

const DATA_CENTRES: usize = 19;

/// Call rate of the one customer in `messages`.
const CALLS_PER_SECOND: f64 = 10.0;
/// Time of the first call in `messages`.
const CALLS_FROM: u64 = 5 * SECOND;
/// Period in which calls are sent in `messages`.
const CALLS_PERIOD: u64 = 20 * SECOND;

/// Measured control calls; an equal number of calls warms up.
const CONTROL_CALLS: u32 = 5_000;
/// Programs in the journal whose memory is measured.
const PROGRAMS_IN_MEMORY: u64 = 100_000;
/// Hosts, accounts and endpoints whose memory is measured.
const HOSTS_IN_MEMORY: usize = 690;
const ACCOUNTS_IN_MEMORY: usize = 4_600;
const ENDPOINTS_IN_MEMORY: usize = 24_000;
/// Heartbeat periods before the measurement.
const WARM_UP_PERIODS: u32 = 30;
/// Heartbeat periods of the measurement.
const MEASURED_PERIODS: u32 = 30;
/// Repetitions of a timed operation.
const REPETITIONS: u32 = 40;

/// HTTP heads of a control call and its answer, as `HttpPeers` and hyper write
/// them, with placeholders for the content lengths.
const HTTP_HEADS: &str = "POST /rpc HTTP/1.1\r\nhost: peer\r\ncontent-type: application/json\r\n\
    authorization: Peer 0123456789abcdef0123456789abcdef\r\ncontent-length: 000\r\n\r\n\
    HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 000\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n";

/// JSON-RPC envelopes of the parameters and the result of a control call.
const RPC_ENVELOPES: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"configuration.digest\",\"params\":[]}\
    {\"jsonrpc\":\"2.0\",\"id\":1,\"result\":}";

fn json_len(value: &impl Serialize) -> usize {
    let bytes = serde_json::to_vec(value).expect("typed values always encode as JSON");
    black_box(bytes).len()
}

/// Mean time of an operation, in microseconds.
fn mean_micros(repetitions: u32, mut operation: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..repetitions {
        operation();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(repetitions)
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    const KIB: usize = 1024;
    let status = fs::read_to_string("/proc/self/status").expect("the process status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: usize = number.and_then(|n| n.parse().ok()).expect("a number");
    kib * KIB
}

fn data_centre(index: usize) -> DataCentre {
    format!("region-{}-dc-{index}", index % 5)
        .parse()
        .expect("a name")
}

fn host(index: usize) -> HostId {
    format!("entry-{index:04}").parse().expect("a name")
}

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = index.to_be_bytes();
    SocketAddr::from(([10, 20, high, low], 7401))
}

/// Simulates the hosts of one data centre and their shared table.
struct Cluster {
    hosts: BTreeMap<HostId, Coordinator>,
    table: Option<Committed>,
    elapsed: BTreeMap<HostId, Duration>,
    heartbeats_received: BTreeMap<HostId, usize>,
    message_bytes: usize,
    written_bytes: usize,
    messages: usize,
}

impl Cluster {
    fn new(count: u16) -> Self {
        let coordinator = |index: u16| {
            let index = usize::from(index);
            let identity = Identity {
                host: host(index),
                data_centre: data_centre(0),
                peer: address(index),
                caller: address(index),
            };
            let start = incarnation(Duration::from_secs(1_700_000_000), index as u64);
            let cfg = MembershipConfig::default();
            (host(index), Coordinator::new(identity, start, cfg))
        };
        Self {
            hosts: (0..count).map(coordinator).collect(),
            table: None,
            elapsed: BTreeMap::new(),
            heartbeats_received: BTreeMap::new(),
            message_bytes: 0,
            written_bytes: 0,
            messages: 0,
        }
    }

    fn run(&mut self, from: u32, periods: u32) {
        for second in from..from + periods {
            let now = Moment::from_start(Duration::from_secs(u64::from(second)));
            let names: Vec<HostId> = self.hosts.keys().cloned().collect();
            for name in names {
                self.tick(now, &name);
            }
        }
    }

    fn tick(&mut self, now: Moment, name: &HostId) {
        let mut inputs = VecDeque::from([Input::Tick]);
        while let Some(input) = inputs.pop_front() {
            let effects = self.measure(name, |host| host.step(now, input));
            for effect in effects {
                inputs.extend(self.apply_effect(now, name, effect));
            }
        }
    }

    /// Runs an operation on a host and adds its duration to the host's total.
    fn measure<R>(&mut self, name: &HostId, operation: impl FnOnce(&mut Coordinator) -> R) -> R {
        let host = self.hosts.get_mut(name).expect("a host of the cluster");
        let started = Instant::now();
        let result = operation(host);
        *self.elapsed.entry(name.clone()).or_default() += started.elapsed();
        result
    }

    fn apply_effect(&mut self, now: Moment, name: &HostId, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Read { table } => {
                let outcome = Ok(self.table.clone());
                Some(Input::Read { table, outcome })
            }
            Effect::Write { expect, table } => {
                self.written_bytes += self.measure(name, |_| json_len(&*table));
                let outcome = Ok(self.commit(expect, Table::clone(&table)));
                Some(Input::Written { table, outcome })
            }
            Effect::Send {
                host, heartbeat, ..
            } => Some(self.send(now, name, host, &heartbeat)),
            Effect::List | Effect::Fetch { .. } => None,
            Effect::Notify(event) => {
                self.confirm(name, &event);
                None
            }
        }
    }

    fn commit(&mut self, expect: Expect, table: Table) -> Written {
        let current = self.table.as_ref().map_or(Version(0), |c| c.version);
        let matches = match expect {
            Expect::Absent => current == Version(0),
            Expect::At(version) => current == version,
        };
        if !matches {
            return Written::Conflict;
        }
        let version = current.next();
        self.table = Some(Committed { version, table });
        Written::Done(version)
    }

    fn send(&mut self, now: Moment, from: &HostId, to: HostId, heartbeat: &Heartbeat) -> Input {
        let table = heartbeat.table.clone();
        let request = self.measure(from, |_| serde_json::to_vec(heartbeat));
        let request = request.expect("heartbeats encode as JSON");
        let reply = self.measure(&to, |host| {
            let heartbeat = serde_json::from_slice(&request).expect("a heartbeat");
            host.on_heartbeat(now, heartbeat)
                .map(|reply| serde_json::to_vec(&reply).expect("replies encode as JSON"))
        });
        let Some(reply) = reply else {
            return Input::Unreachable { table, host: to };
        };
        self.messages += 1;
        self.message_bytes += request.len() + reply.len();
        *self.heartbeats_received.entry(to.clone()).or_default() += 1;
        let reply: HeartbeatReply =
            self.measure(from, |_| serde_json::from_slice(&reply).expect("a reply"));
        let reply = Box::new(reply);
        Input::Replied {
            table,
            host: to,
            reply,
        }
    }

    /// Confirms a partition change at once; a host with open calls would first
    /// fence its journal or finish the calls.
    fn confirm(&mut self, name: &HostId, event: &PartitionEvent) {
        let host = self.hosts.get_mut(name).expect("a host of the cluster");
        match event {
            PartitionEvent::Gained {
                data_centre,
                partition,
                epoch,
            } => host.mark_active(data_centre, *partition, *epoch),
            PartitionEvent::Lost {
                data_centre,
                partition,
                epoch,
                ..
            } => host.mark_released(data_centre, *partition, *epoch),
        }
    }

    fn reset(&mut self) {
        self.elapsed.clear();
        self.heartbeats_received.clear();
        self.message_bytes = 0;
        self.written_bytes = 0;
        self.messages = 0;
    }

    /// The host that received the most heartbeats, which writes the table.
    fn writer(&self) -> HostId {
        let most = self
            .heartbeats_received
            .iter()
            .max_by_key(|(_, count)| **count);
        most.map_or_else(|| host(0), |(name, _)| name.clone())
    }

    /// Mean time of a host per heartbeat period, in microseconds.
    fn micros_per_period(&self, name: &HostId) -> f64 {
        let elapsed = self.elapsed.get(name).copied().unwrap_or_default();
        elapsed.as_secs_f64() * 1e6 / f64::from(MEASURED_PERIODS)
    }
}

fn measure_table() {
    println!("table: one data centre, a heartbeat period of 1 s, bytes include HTTP heads");
    println!(
        "hosts messages/s table_B writer_B/s member_B/s writer_us/s (ratio) member_us/s (ratio)"
    );
    let mut first = None;
    for hosts in HOST_COUNTS {
        let mut cluster = Cluster::new(hosts);
        cluster.run(1, WARM_UP_PERIODS);
        cluster.reset();
        cluster.run(1 + WARM_UP_PERIODS, MEASURED_PERIODS);
        let periods = MEASURED_PERIODS as usize;
        let writer = cluster.writer();
        let bytes =
            cluster.message_bytes + cluster.messages * (HTTP_HEADS.len() + RPC_ENVELOPES.len());
        let written = cluster.written_bytes / periods;
        let member_bytes = bytes / cluster.messages.max(1);
        let writer_us = cluster.micros_per_period(&writer);
        let member = host(usize::from(hosts) - 1);
        let member_us = cluster.micros_per_period(&member);
        let (first_writer, first_member) = *first.get_or_insert((writer_us, member_us));
        let table_bytes = cluster.table.as_ref().map_or(0, |c| json_len(&c.table));
        println!(
            "{hosts:5} {:10.1} {table_bytes:7} {:10} {member_bytes:10} {writer_us:11.0} ({:5.2}) {member_us:11.1} ({:5.2})",
            cluster.messages as f64 / f64::from(MEASURED_PERIODS),
            bytes / periods + written,
            writer_us / first_writer,
            member_us / first_member,
        );
    }
}

fn program(random: u64) -> (ProgramId, ProgramRecord) {
    let id = ProgramId {
        data_centre: data_centre(0),
        partition: Partition(7),
        random: random.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    };
    let record = ProgramRecord {
        customer: format!("customer-{}", random % 230)
            .parse()
            .expect("a name"),
        parent: None,
        budget: Some(Tokens(1_000_000)),
        reserved: Tokens(420_000),
        high_water: Ordinal(80),
        ended_ms: None,
        history: HistoryMode::Carried,
    };
    (id, record)
}

fn document(programs: u64) -> Document {
    let empty = Journal::takeover_document(None, Epoch(1), Nonce(1)).expect("a first owner");
    Document {
        programs: (0..programs).map(program).collect(),
        ..empty
    }
}

fn measure_journal() {
    println!("journal: one partition, all programs active");
    println!("programs bytes bytes/program encode_us (ratio) decode_us (ratio)");
    let mut first = None;
    for programs in PROGRAM_COUNTS {
        let doc = document(programs);
        let object = Object {
            name: "journal".to_owned(),
            version: Version(1),
            value: doc.encode().1,
        };
        let encode = mean_micros(REPETITIONS, || {
            black_box(doc.encode());
        });
        let read = || decode::<Document>(JOURNAL_KIND, &object).expect("a journal");
        let decode = mean_micros(REPETITIONS, || {
            black_box(read());
        });
        let (first_encode, first_decode) = *first.get_or_insert((encode, decode));
        let bytes = object.value.len();
        println!(
            "{programs:8} {bytes:6} {:13.1} {encode:9.1} ({:5.2}) {decode:9.1} ({:5.2})",
            bytes as f64 / programs as f64,
            encode / first_encode,
            decode / first_decode,
        );
    }
}

fn view(hosts: usize) -> View {
    let mut members: BTreeMap<DataCentre, Vec<Member>> = BTreeMap::new();
    for index in 0..hosts {
        let list = members
            .entry(data_centre(index % DATA_CENTRES))
            .or_default();
        let slot = u16::try_from(list.len()).ok().filter(|slot| *slot < 4);
        list.push(Member {
            host: host(index),
            address: address(index),
            alive: true,
            slot,
        });
    }
    View {
        host: host(0),
        data_centre: data_centre(0),
        epoch: Epoch(1),
        members,
        lease_until: Some(Moment::from_start(Duration::from_secs(1_000))),
        settled_at: Moment::default(),
        floor: None,
        unused_floors: UnusedFloors::default(),
    }
}

/// Prints the memory of the state that a host keeps; each part stays allocated
/// until all are measured.
fn measure_memory() {
    println!(
        "memory: resident bytes of each item, upper bounds; the empty process has {}",
        resident_bytes()
    );
    let before = resident_bytes();
    let doc = document(PROGRAMS_IN_MEMORY);
    let partition = PartitionId {
        data_centre: data_centre(0),
        partition: Partition(7),
    };
    let now = Moment::from_start(Duration::from_secs(1));
    let cfg = JournalConfig::default();
    let journal = Journal::from_document(partition, cfg, Arc::default(), doc, Version(1), now);
    print_memory("active program", before, PROGRAMS_IN_MEMORY as usize);
    let before = resident_bytes();
    let view = view(HOSTS_IN_MEMORY);
    print_memory("host in the limiter's view", before, HOSTS_IN_MEMORY);
    let cfg = LimitConfig::default();
    let env = Env {
        now,
        cfg: &cfg,
        view: &view,
    };
    let before = resident_bytes();
    let accounts = new_accounts(env, ACCOUNTS_IN_MEMORY);
    print_memory("customer's account, 690 hosts", before, ACCOUNTS_IN_MEMORY);
    let before = resident_bytes();
    let all = configuration_bundle(ENDPOINTS_IN_MEMORY);
    let count = all.items.len();
    let configuration = Configuration::default();
    configuration.apply(all);
    print_memory("configuration object", before, count);
    let before = resident_bytes();
    let mut cluster = Cluster::new(36);
    cluster.run(1, WARM_UP_PERIODS);
    print_memory("host of a data centre's table", before, 36);
    drop(black_box((journal, accounts, configuration, cluster)));
}

fn print_memory(label: &str, before: usize, count: usize) {
    let bytes = resident_bytes().saturating_sub(before) / count;
    println!("{bytes:8} {label}");
}

fn new_accounts(env: Env<'_>, count: usize) -> Vec<CustomerLimiter> {
    let account = |index: usize| {
        let customer = format!("customer-{index}").parse().expect("a name");
        CustomerLimiter::new(env, customer, index as u64, Version(1), Customer::default())
    };
    (0..count).map(account).collect()
}

/// Mean time of each step for all accounts together, in microseconds.
struct StepTimes {
    take: f64,
    maintain: f64,
    renew: f64,
    set_view: f64,
}

fn measure_steps(env: Env<'_>, accounts: &mut [CustomerLimiter]) -> StepTimes {
    let mut later = env;
    let mut measure = |step: fn(&mut CustomerLimiter, Env<'_>)| {
        mean_micros(REPETITIONS, || {
            later.now += Duration::from_millis(50);
            accounts.iter_mut().for_each(|account| step(account, later));
        })
    };
    StepTimes {
        take: measure(take),
        maintain: measure(|account, env| account.maintain(env, &mut Vec::new())),
        renew: measure(|account, env| account.renew_leases(env)),
        set_view: measure(|account, env| account.set_view(env)),
    }
}

/// Takes a token and answers every token request immediately.
fn take(account: &mut CustomerLimiter, env: Env<'_>) {
    let mut effects = Vec::new();
    black_box(account.take(env, &mut effects));
    while let Some(effect) = effects.pop() {
        let LimitEffect::Send { request, .. } = effect else {
            continue;
        };
        let answer = GrantReply {
            granted: request.need + request.extra,
            ..sample_reply()
        };
        account.handle_reply(env, &request.id, &answer, &mut effects);
    }
}

fn sample_reply() -> GrantReply {
    GrantReply {
        granted: Amount::from_whole(4),
        ttl: Duration::from_secs(1),
        level: Amount::from_whole(90),
        refill: Amount::from_whole(10),
        capacity: Amount::from_whole(100),
    }
}

fn measure_limit() {
    let cfg = LimitConfig::default();
    println!("limit: microseconds of one step for all accounts of a host");
    println!("hosts customers take maintain renew set_view clone_view");
    for hosts in FLEET_SIZES {
        let view = view(hosts);
        let now = Moment::from_start(Duration::from_secs(100));
        let env = Env {
            now,
            cfg: &cfg,
            view: &view,
        };
        for customers in CUSTOMER_COUNTS {
            let mut accounts = new_accounts(env, customers);
            let steps = measure_steps(env, &mut accounts);
            let clone = mean_micros(REPETITIONS, || {
                black_box(view.clone());
            });
            println!(
                "{hosts:5} {customers:9} {:7.1} {:8.1} {:7.1} {:8.0} {clone:10.1}",
                steps.take, steps.maintain, steps.renew, steps.set_view,
            );
        }
    }
}

/// Prints the limiter's messages per call, by the number of hosts that share
/// one customer's calls.
///
/// Messages of a run without calls, such as floor queries, are subtracted.
fn measure_messages() {
    println!("limiter: one customer, 3 data centres, {CALLS_PER_SECOND} calls/s, 0.7 of its rate");
    println!("hosts calls/s_per_host messages/call refused/calls");
    for hosts in [2, 4, 8, 16] {
        let plan = message_plan(hosts);
        let calls = plan.calls.len();
        let idle = Fleet::run(Plan {
            calls: Vec::new(),
            ..plan.clone()
        });
        let report = Fleet::run(plan);
        let is_refused =
            |outcome: &Option<Outcome>| matches!(outcome, Some(Outcome::Refused { .. }));
        let outcomes = report.outcomes.iter();
        let refused = outcomes.filter(|(_, _, o)| is_refused(o)).count();
        let total = 3 * hosts;
        println!(
            "{total:5} {:14.2} {:13.2} {refused}/{calls}",
            CALLS_PER_SECOND / total as f64,
            report.messages.saturating_sub(idle.messages) as f64 / calls as f64,
        );
    }
    print_message_bytes();
}

fn message_plan(hosts: usize) -> Plan {
    let end = CALLS_FROM + CALLS_PERIOD;
    let weights = vec![1.0; 3 * hosts];
    Plan {
        seed: 1,
        data_centres: 3,
        hosts,
        rate: CALLS_PER_SECOND / 0.7,
        burst: CALLS_PER_SECOND / 0.7,
        cfg: LimitConfig {
            // Every host of this fleet has a slot.
            floor_slots: u16::try_from(hosts).expect("few hosts"),
            ..LimitConfig::default()
        },
        net: Net::GOOD,
        drift_ppm: 100,
        calls: poisson(1, CALLS_PER_SECOND, CALLS_FROM, end, &weights),
        faults: Vec::new(),
        end,
    }
}

fn print_message_bytes() {
    let request = GrantRequest {
        customer: "customer-17".parse().expect("a name"),
        id: GrantId {
            holder: host(17),
            session: u64::MAX / 3,
            sequence: 4_711,
        },
        need: Amount::ZERO,
        extra: Amount::from_whole(4),
        reports: Vec::new(),
    };
    let answer = sample_reply();
    let floor = FloorStatus {
        unused_for: Duration::from_millis(4_321),
    };
    let overhead = HTTP_HEADS.len() + RPC_ENVELOPES.len();
    println!("bytes of a control call and its answer without bodies: {overhead}");
    println!(
        "bytes of a token request and its answer: {}",
        overhead + json_len(&request) + json_len(&answer)
    );
    println!(
        "bytes of a floor query and its answer: {}",
        overhead + "{}".len() + json_len(&floor)
    );
}

fn item(kind: Kind, name: String, version: u64, value: &impl Serialize) -> Item {
    let change = Change {
        actor: "ana".to_owned(),
        at_ms: 1_700_000_000_000,
        command: "change endpoint e-17 concurrency=8".to_owned(),
        old: None,
        writer: Nonce(version),
    };
    let record = Record {
        value: Some(value),
        changes: vec![change],
    };
    Item {
        id: ObjectId::new(kind, name),
        version: Version(version),
        record: serde_json::to_value(&record).expect("records encode as JSON"),
    }
}

fn endpoint(index: usize, concurrency: u32, version: u64) -> Item {
    let service = format!("service-{}", index % 8);
    let value = Endpoint {
        address: address(index),
        data_centre: data_centre(index % DATA_CENTRES),
        services: [service.parse().expect("a name")].into(),
        concurrency,
        checks_fence: true,
        state: EndpointState::Serving,
        host: None,
    };
    item(
        Kind::Endpoint,
        format!("engine-{index:04}"),
        version,
        &value,
    )
}

fn bundle(items: Vec<Item>) -> Bundle {
    Bundle {
        items,
        tombstones: Vec::new(),
    }
}

/// Configuration of endpoints, with one customer for every ten of them.
fn configuration_bundle(endpoints: usize) -> Bundle {
    let mut items: Vec<Item> = (0..endpoints).map(|index| endpoint(index, 8, 1)).collect();
    for index in 0..endpoints / 10 {
        let name = format!("customer-{index}");
        items.push(item(Kind::Customer, name, 1, &Customer::default()));
    }
    bundle(items)
}

fn measure_configuration() {
    println!("configuration: endpoints and a tenth as many customers");
    println!("objects all_B push_B digest_B pull_B load_us (ratio) change_us (ratio) summary_us");
    let mut first = None;
    for endpoints in ENDPOINT_COUNTS {
        let all = configuration_bundle(endpoints);
        let (count, all_bytes) = (all.items.len(), json_len(&all));
        let configuration = Configuration::default();
        let load = mean_micros(1, || {
            configuration.apply(all.clone());
        });
        let old = configuration.digest();
        let mut version = 1;
        let change = mean_micros(REPETITIONS, || {
            version += 1;
            configuration.apply(bundle(vec![endpoint(7, 9, version)]));
        });
        let pulled = configuration.read(|catalogue| catalogue.difference(&old));
        let summary = mean_micros(REPETITIONS, || {
            black_box(configuration.digest().summary());
        });
        let (first_load, first_change) = *first.get_or_insert((load, change));
        println!(
            "{count:7} {all_bytes:7} {:6} {:8} {:6} {load:7.0} ({:5.2}) {change:9.0} ({:5.2}) {summary:10.1}",
            json_len(&bundle(vec![endpoint(7, 9, 2)])),
            json_len(&old),
            json_len(&pulled),
            load / first_load,
            change / first_change,
        );
    }
}

/// Refuses every JSON-RPC request, since it has no methods.
#[derive(Clone)]
struct EmptyRpc;

impl Handler for EmptyRpc {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let module = RpcModule::new(());
        let body = Body::collect(req.into_body(), 64 * 1024).await;
        let body = body.expect("the request is complete");
        let text = std::str::from_utf8(&body).expect("the request is text");
        let answer = module.raw_json_request(text, 1).await;
        let (answer, _) = answer.expect("the request is well formed");
        Response::new(Body::from(answer.get().to_owned()))
    }
}

/// User and system CPU time of this process so far.
fn process_cpu_time() -> Duration {
    let now = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(now.tv_nsec.unsigned_abs())
}

/// Prints the CPU time of one control call, client and server together, on an
/// open connection.
fn measure_control() {
    let spawner = Spawner::start(1);
    let cpu_time = async_io::block_on(async {
        let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("an address");
        let to = listener.local_addr().expect("the listener is bound");
        let serving = server::serve(
            listener,
            spawner.clone(),
            ServerConfig::default(),
            ServerControl::default(),
            EmptyRpc,
        );
        spawner.detach(serving);
        let client = Client::new(spawner.clone(), ClientConfig::default());
        let secret = PeerSecret::new(vec!["0123456789abcdef0123456789abcdef".to_owned()]);
        let peers = HttpPeers::new(client, secret, PeerConfig::default());
        let mut started = process_cpu_time();
        for number in 0..2 * CONTROL_CALLS {
            if number == CONTROL_CALLS {
                started = process_cpu_time();
            }
            // The method does not exist, so the call is refused.
            let answer = peers.call::<_, ()>(to, "none", &NoParams {}).await;
            assert!(matches!(answer, Err(PeerError::Refused(_))));
        }
        process_cpu_time().saturating_sub(started)
    });
    let micros = cpu_time.as_secs_f64() * 1e6 / f64::from(CONTROL_CALLS);
    println!(
        "control: {micros:.0} microseconds of CPU time per control call, client and server together"
    );
}

fn main() {
    let only = std::env::var("CHICORYARCH_ONLY").ok();
    let parts: [(&str, fn()); 7] = [
        ("memory", measure_memory),
        ("table", measure_table),
        ("journal", measure_journal),
        ("limit", measure_limit),
        ("messages", measure_messages),
        ("configuration", measure_configuration),
        ("control", measure_control),
    ];
    for (name, part) in parts {
        if only.as_ref().is_none_or(|only| only == name) {
            part();
        }
    }
}
