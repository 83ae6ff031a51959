//! Processor time, bytes and memory of each control part by its size.
//!
//! The real decision code under a virtual clock; only the last part opens
//! sockets, to find the processor time of one control call. Times are absolute
//! and as a ratio to the first line of their table, since the machine may be
//! shared. Memory includes what was set free, so it is an upper bound.
//! `CHICORYARCH_ONLY` gives one of `memory`, `table`, `journal`, `limit`,
//! `messages`, `configuration` and `control`.
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

const HOSTS: [u16; 5] = [9, 18, 36, 72, 144];
const PROGRAMS: [u64; 5] = [35, 70, 140, 280, 1_120];
const CUSTOMERS: [usize; 4] = [60, 120, 240, 480];
const FLEETS: [usize; 4] = [95, 190, 380, 760];
const ENDPOINTS: [usize; 4] = [300, 600, 1_200, 2_400];

const DATA_CENTRES: usize = 19;

/// Calls of one customer, when messages are counted.
const CALLS_PER_SECOND: f64 = 10.0;
const MESSAGES_FROM: u64 = 5 * SECOND;
const MESSAGES_FOR: u64 = 20 * SECOND;

/// Control calls whose processor time is taken.
const CONTROL_CALLS: u32 = 5_000;
/// Programs of a journal whose memory is taken.
const PROGRAMS_IN_MEMORY: u64 = 100_000;
/// Hosts, accounts and endpoints whose memory is taken.
const HOSTS_IN_MEMORY: usize = 690;
const ACCOUNTS_IN_MEMORY: usize = 4_600;
const ENDPOINTS_IN_MEMORY: usize = 24_000;
/// Periods before anything is counted, then those that are.
const WARM_UP: u32 = 30;
const PERIODS: u32 = 30;
const ROUNDS: u32 = 40;

/// A control call and its answer as `HttpPeers` and hyper write them, without
/// the bodies and the lengths of these.
const HEADS: &str = "POST /rpc HTTP/1.1\r\nhost: peer\r\ncontent-type: application/json\r\n\
    authorization: Peer 0123456789abcdef0123456789abcdef\r\ncontent-length: 000\r\n\r\n\
    HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 000\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n";

/// JSON-RPC around the parameters and the result of a control call.
const RPC: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"configuration.digest\",\"params\":[]}\
    {\"jsonrpc\":\"2.0\",\"id\":1,\"result\":}";

fn json(value: &impl Serialize) -> usize {
    let bytes = serde_json::to_vec(value).expect("typed values always encode as JSON");
    black_box(bytes).len()
}

fn micros(rounds: u32, mut work: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..rounds {
        work();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    const KIB: usize = 1024;
    let status = fs::read_to_string("/proc/self/status").expect("the system tells");
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

/// Hosts of one data centre and the table that they share.
struct Centre {
    hosts: BTreeMap<HostId, Coordinator>,
    table: Option<Committed>,
    spent: BTreeMap<HostId, Duration>,
    received: BTreeMap<HostId, usize>,
    message_bytes: usize,
    written_bytes: usize,
    messages: usize,
}

impl Centre {
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
            spent: BTreeMap::new(),
            received: BTreeMap::new(),
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
            let effects = self.timed(name, |host| host.step(now, input));
            for effect in effects {
                inputs.extend(self.perform(now, name, effect));
            }
        }
    }

    fn timed<R>(&mut self, name: &HostId, work: impl FnOnce(&mut Coordinator) -> R) -> R {
        let host = self.hosts.get_mut(name).expect("a host of the centre");
        let started = Instant::now();
        let result = work(host);
        *self.spent.entry(name.clone()).or_default() += started.elapsed();
        result
    }

    fn perform(&mut self, now: Moment, name: &HostId, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Read { table } => {
                let outcome = Ok(self.table.clone());
                Some(Input::Read { table, outcome })
            }
            Effect::Write { expect, table } => {
                self.written_bytes += self.timed(name, |_| json(&*table));
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
        let known = self.table.as_ref().map_or(Version(0), |c| c.version);
        let fits = match expect {
            Expect::Absent => known == Version(0),
            Expect::At(version) => known == version,
        };
        if !fits {
            return Written::Conflict;
        }
        let version = known.next();
        self.table = Some(Committed { version, table });
        Written::Done(version)
    }

    fn send(&mut self, now: Moment, from: &HostId, to: HostId, heartbeat: &Heartbeat) -> Input {
        let table = heartbeat.table.clone();
        let request = self.timed(from, |_| serde_json::to_vec(heartbeat));
        let request = request.expect("heartbeats encode as JSON");
        let reply = self.timed(&to, |host| {
            let heartbeat = serde_json::from_slice(&request).expect("a heartbeat");
            host.on_heartbeat(now, heartbeat)
                .map(|reply| serde_json::to_vec(&reply).expect("replies encode as JSON"))
        });
        let Some(reply) = reply else {
            return Input::Unreachable { table, host: to };
        };
        self.messages += 1;
        self.message_bytes += request.len() + reply.len();
        *self.received.entry(to.clone()).or_default() += 1;
        let reply: HeartbeatReply =
            self.timed(from, |_| serde_json::from_slice(&reply).expect("a reply"));
        let reply = Box::new(reply);
        Input::Replied {
            table,
            host: to,
            reply,
        }
    }

    /// A host with work in hand would first fence its journal or finish calls.
    fn confirm(&mut self, name: &HostId, event: &PartitionEvent) {
        let host = self.hosts.get_mut(name).expect("a host of the centre");
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
        self.spent.clear();
        self.received.clear();
        self.message_bytes = 0;
        self.written_bytes = 0;
        self.messages = 0;
    }

    /// The host that heard most heartbeats.
    fn writer(&self) -> HostId {
        let most = self.received.iter().max_by_key(|(_, count)| **count);
        most.map_or_else(|| host(0), |(name, _)| name.clone())
    }

    fn microseconds(&self, name: &HostId) -> f64 {
        let spent = self.spent.get(name).copied().unwrap_or_default();
        spent.as_secs_f64() * 1e6 / f64::from(PERIODS)
    }
}

fn table() {
    println!("table: one data centre, a heartbeat period of 1 s, bytes with HTTP heads");
    println!(
        "hosts messages/s table_B writer_B/s member_B/s writer_us/s (ratio) member_us/s (ratio)"
    );
    let mut first = None;
    for hosts in HOSTS {
        let mut centre = Centre::new(hosts);
        centre.run(1, WARM_UP);
        centre.reset();
        centre.run(1 + WARM_UP, PERIODS);
        let periods = PERIODS as usize;
        let writer = centre.writer();
        let bytes = centre.message_bytes + centre.messages * (HEADS.len() + RPC.len());
        let written = centre.written_bytes / periods;
        let member_bytes = bytes / centre.messages.max(1);
        let writer_us = centre.microseconds(&writer);
        let member = host(usize::from(hosts) - 1);
        let member_us = centre.microseconds(&member);
        let (first_writer, first_member) = *first.get_or_insert((writer_us, member_us));
        let each = centre.table.as_ref().map_or(0, |c| json(&c.table));
        println!(
            "{hosts:5} {:10.1} {each:7} {:10} {member_bytes:10} {writer_us:11.0} ({:5.2}) {member_us:11.1} ({:5.2})",
            centre.messages as f64 / f64::from(PERIODS),
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

fn journal() {
    println!("journal: one partition, every program live");
    println!("programs bytes bytes/program encode_us (ratio) decode_us (ratio)");
    let mut first = None;
    for programs in PROGRAMS {
        let doc = document(programs);
        let object = Object {
            name: "journal".to_owned(),
            version: Version(1),
            value: doc.encode().1,
        };
        let encode = micros(ROUNDS, || {
            black_box(doc.encode());
        });
        let read = || decode::<Document>(JOURNAL_KIND, &object).expect("a journal");
        let decode = micros(ROUNDS, || {
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

/// Memory of what a host keeps; each part stays until all are measured.
fn memory() {
    println!(
        "memory: resident bytes each, upper bounds; a bare process has {}",
        resident()
    );
    let before = resident();
    let doc = document(PROGRAMS_IN_MEMORY);
    let partition = PartitionId {
        data_centre: data_centre(0),
        partition: Partition(7),
    };
    let now = Moment::from_start(Duration::from_secs(1));
    let cfg = JournalConfig::default();
    let journal = Journal::from_document(partition, cfg, Arc::default(), doc, Version(1), now);
    report("live program", before, PROGRAMS_IN_MEMORY as usize);
    let before = resident();
    let view = view(HOSTS_IN_MEMORY);
    report("host in the limiter's view", before, HOSTS_IN_MEMORY);
    let cfg = LimitConfig::default();
    let env = Env {
        now,
        cfg: &cfg,
        view: &view,
    };
    let before = resident();
    let accounts = accounts(env, ACCOUNTS_IN_MEMORY);
    report("customer's account, 690 hosts", before, ACCOUNTS_IN_MEMORY);
    let before = resident();
    let all = objects(ENDPOINTS_IN_MEMORY);
    let count = all.items.len();
    let configuration = Configuration::default();
    configuration.apply(all);
    report("configuration object", before, count);
    let before = resident();
    let mut centre = Centre::new(36);
    centre.run(1, WARM_UP);
    report("host of a data centre's table", before, 36);
    drop(black_box((journal, accounts, configuration, centre)));
}

fn report(what: &str, before: usize, count: usize) {
    let bytes = resident().saturating_sub(before) / count;
    println!("{bytes:8} {what}");
}

fn accounts(env: Env<'_>, count: usize) -> Vec<CustomerLimiter> {
    let account = |index: usize| {
        let customer = format!("customer-{index}").parse().expect("a name");
        CustomerLimiter::new(env, customer, index as u64, Version(1), Customer::default())
    };
    (0..count).map(account).collect()
}

/// Microseconds for one step of every account.
struct Steps {
    take: f64,
    maintain: f64,
    renew: f64,
    set_view: f64,
}

fn steps(env: Env<'_>, accounts: &mut [CustomerLimiter]) -> Steps {
    let mut later = env;
    let mut all = |work: fn(&mut CustomerLimiter, Env<'_>)| {
        micros(ROUNDS, || {
            later.now += Duration::from_millis(50);
            accounts.iter_mut().for_each(|account| work(account, later));
        })
    };
    Steps {
        take: all(take),
        maintain: all(|account, env| account.maintain(env, &mut Vec::new())),
        renew: all(|account, env| account.renew_leases(env)),
        set_view: all(|account, env| account.set_view(env)),
    }
}

/// Takes a token and has every request for tokens answered at once.
fn take(account: &mut CustomerLimiter, env: Env<'_>) {
    let mut effects = Vec::new();
    black_box(account.take(env, &mut effects));
    while let Some(effect) = effects.pop() {
        let LimitEffect::Send { request, .. } = effect else {
            continue;
        };
        let answer = GrantReply {
            granted: request.need + request.extra,
            ..granted()
        };
        account.handle_reply(env, &request.id, &answer, &mut effects);
    }
}

fn granted() -> GrantReply {
    GrantReply {
        granted: Amount::from_whole(4),
        ttl: Duration::from_secs(1),
        level: Amount::from_whole(90),
        refill: Amount::from_whole(10),
        capacity: Amount::from_whole(100),
    }
}

fn limit() {
    let cfg = LimitConfig::default();
    println!("limit: microseconds for one step of every account of a host");
    println!("hosts customers take maintain renew set_view clone_view");
    for hosts in FLEETS {
        let view = view(hosts);
        let now = Moment::from_start(Duration::from_secs(100));
        let env = Env {
            now,
            cfg: &cfg,
            view: &view,
        };
        for customers in CUSTOMERS {
            let mut accounts = accounts(env, customers);
            let steps = steps(env, &mut accounts);
            let clone = micros(ROUNDS, || {
                black_box(view.clone());
            });
            println!(
                "{hosts:5} {customers:9} {:7.1} {:8.1} {:7.1} {:8.0} {clone:10.1}",
                steps.take, steps.maintain, steps.renew, steps.set_view,
            );
        }
    }
}

/// Messages of the limiter by the hosts that share one customer's calls.
///
/// Messages of a run without calls, such as questions on floors, are taken off.
fn messages() {
    println!("limiter: one customer, 3 data centres, {CALLS_PER_SECOND} calls/s, 0.7 of its rate");
    println!("hosts calls/s_a_host messages/call refused_of_calls");
    for hosts in [2, 4, 8, 16] {
        let plan = plan(hosts);
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
        let all = 3 * hosts;
        println!(
            "{all:5} {:14.2} {:13.2} {refused}/{calls}",
            CALLS_PER_SECOND / all as f64,
            report.messages.saturating_sub(idle.messages) as f64 / calls as f64,
        );
    }
    message_bytes();
}

fn plan(hosts: usize) -> Plan {
    let end = MESSAGES_FROM + MESSAGES_FOR;
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
        calls: poisson(1, CALLS_PER_SECOND, MESSAGES_FROM, end, &weights),
        faults: Vec::new(),
        end,
    }
}

fn message_bytes() {
    let ask = GrantRequest {
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
    let answer = granted();
    let floor = FloorStatus {
        unused_for: Duration::from_millis(4_321),
    };
    let around = HEADS.len() + RPC.len();
    println!("bytes of a control call and its answer without bodies: {around}");
    println!(
        "bytes of a request for tokens: {}",
        around + json(&ask) + json(&answer)
    );
    println!(
        "bytes of a question on a floor: {}",
        around + "{}".len() + json(&floor)
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

/// Endpoints with one customer for every ten of them.
fn objects(endpoints: usize) -> Bundle {
    let mut items: Vec<Item> = (0..endpoints).map(|index| endpoint(index, 8, 1)).collect();
    for index in 0..endpoints / 10 {
        let name = format!("customer-{index}");
        items.push(item(Kind::Customer, name, 1, &Customer::default()));
    }
    bundle(items)
}

fn configuration() {
    println!("configuration: endpoints and a tenth as many customers");
    println!("objects all_B push_B digest_B pull_B load_us (ratio) change_us (ratio) summary_us");
    let mut first = None;
    for endpoints in ENDPOINTS {
        let all = objects(endpoints);
        let (count, all_bytes) = (all.items.len(), json(&all));
        let configuration = Configuration::default();
        let load = micros(1, || {
            configuration.apply(all.clone());
        });
        let old = configuration.digest();
        let mut version = 1;
        let change = micros(ROUNDS, || {
            version += 1;
            configuration.apply(bundle(vec![endpoint(7, 9, version)]));
        });
        let pulled = configuration.read(|catalogue| catalogue.difference(&old));
        let summary = micros(ROUNDS, || {
            black_box(configuration.digest().summary());
        });
        let (first_load, first_change) = *first.get_or_insert((load, change));
        println!(
            "{count:7} {all_bytes:7} {:6} {:8} {:6} {load:7.0} ({:5.2}) {change:9.0} ({:5.2}) {summary:10.1}",
            json(&bundle(vec![endpoint(7, 9, 2)])),
            json(&old),
            json(&pulled),
            load / first_load,
            change / first_change,
        );
    }
}

/// Answers every request with the same short text.
#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let module = RpcModule::new(());
        let body = Body::collect(req.into_body(), 64 * 1024).await;
        let body = body.expect("the request is whole");
        let text = std::str::from_utf8(&body).expect("the request is text");
        let answer = module.raw_json_request(text, 1).await;
        let (answer, _) = answer.expect("the request is well formed");
        Response::new(Body::from(answer.get().to_owned()))
    }
}

/// Processor time of this process so far, user and system.
fn processor() -> Duration {
    let now = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(now.tv_nsec.unsigned_abs())
}

/// Processor time of one control call at both ends, on a connection that is
/// open already.
fn control() {
    let spawner = Spawner::start(1);
    let spent = async_io::block_on(async {
        let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("an address");
        let to = listener.local_addr().expect("it is bound");
        let serving = server::serve(
            listener,
            spawner.clone(),
            ServerConfig::default(),
            ServerControl::default(),
            Echo,
        );
        spawner.detach(serving);
        let client = Client::new(spawner.clone(), ClientConfig::default());
        let secret = PeerSecret::new(vec!["0123456789abcdef0123456789abcdef".to_owned()]);
        let peers = HttpPeers::new(client, secret, PeerConfig::default());
        let mut started = processor();
        for number in 0..2 * CONTROL_CALLS {
            if number == CONTROL_CALLS {
                started = processor();
            }
            // The method is unknown; the answer says so.
            let answer = peers.call::<_, ()>(to, "none", &NoParams {}).await;
            assert!(matches!(answer, Err(PeerError::Refused(_))));
        }
        processor().saturating_sub(started)
    });
    let each = spent.as_secs_f64() * 1e6 / f64::from(CONTROL_CALLS);
    println!(
        "control: {each:.0} microseconds of processor time a control call, both ends together"
    );
}

fn main() {
    let only = std::env::var("CHICORYARCH_ONLY").ok();
    let parts: [(&str, fn()); 7] = [
        ("memory", memory),
        ("table", table),
        ("journal", journal),
        ("limit", limit),
        ("messages", messages),
        ("configuration", configuration),
        ("control", control),
    ];
    for (name, part) in parts {
        if only.as_ref().is_none_or(|only| only == name) {
            part();
        }
    }
}
