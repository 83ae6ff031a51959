//! Writes, sizes and waits of the journal and of held history.
//!
//! Counts and waits come from a simulation in virtual time. CPU times are also
//! printed as a ratio to the first line of their table.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::block_on;
use chicoryarch::configs::history::HistoryConfig;
use chicoryarch::configs::journal::JournalConfig;
use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Object;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::Written;
use chicoryarch::connection::platform::decode;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Ordinal;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::ids::Version;
use chicoryarch::process::journals::history::History;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::history::CacheHandle;
use chicoryarch::version::history::HISTORY_KIND;
use chicoryarch::version::history::HistoryMode;
use chicoryarch::version::history::Message;
use chicoryarch::version::history::Turn;
use chicoryarch::version::history::TurnRequest;
use chicoryarch::version::journal::Action;
use chicoryarch::version::journal::CallEnd;
use chicoryarch::version::journal::CallSpec;
use chicoryarch::version::journal::Digest;
use chicoryarch::version::journal::Document;
use chicoryarch::version::journal::Effect;
use chicoryarch::version::journal::JOURNAL_KIND;
use chicoryarch::version::journal::Journal;
use chicoryarch::version::journal::Once;
use chicoryarch::version::journal::Outcome;
use chicoryarch::version::journal::PartitionId;
use chicoryarch::version::journal::ProgramSpec;
use chicoryarch::version::journal::Reply;
use chicoryarch::version::journal::RequestId;
use chicoryarch::version::journal::Scope;
use chicoryarch::version::journal::StoredAnswer;

/// Service time of a call at an endpoint.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Size of the answer to a once-only call, in bytes.
const ANSWER_BYTES: usize = 200;
/// Time between two arriving calls.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);
const CALLS: usize = 4000;

#[derive(Clone, Copy)]
enum Event {
    Arrival(usize),
    Answer(RequestId),
    Written(Version),
}

/// Simulates one partition owner in virtual time, on a platform with a fixed
/// write latency.
struct Sim {
    journal: Journal,
    now: Moment,
    latency: Duration,
    events: BTreeMap<(Moment, u64), Event>,
    wake: Option<Moment>,
    scheduled: u64,
    begun_at: HashMap<RequestId, Moment>,
    waits: Vec<Duration>,
    writes: u64,
    last_written: Vec<u8>,
    opened: Vec<ProgramId>,
}

fn partition() -> PartitionId {
    PartitionId {
        data_centre: "dc-1".parse().expect("a name"),
        partition: Partition(0),
    }
}

impl Sim {
    fn new(cfg: JournalConfig, latency: Duration) -> Self {
        let now = Moment::from_start(Duration::from_secs(1));
        let doc = Journal::takeover_document(None, Epoch(1), Nonce(1)).expect("a first owner");
        let counters = Arc::default();
        Self {
            journal: Journal::from_document(partition(), cfg, counters, doc, Version(1), now),
            now,
            latency,
            events: BTreeMap::new(),
            wake: None,
            scheduled: 0,
            begun_at: HashMap::new(),
            waits: Vec::new(),
            writes: 0,
            last_written: Vec::new(),
            opened: Vec::new(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after, self.scheduled), event);
    }

    fn run(&mut self, mut new_call: impl FnMut(usize, &[ProgramId]) -> CallSpec) {
        while !self.events.is_empty() || !self.begun_at.is_empty() {
            let next = self.events.keys().next().map(|(at, _)| *at);
            let earlier_wake = self
                .wake
                .filter(|wake| next.is_none_or(|next| *wake < next));
            if let Some(wake) = earlier_wake {
                self.now = self.now.max(wake);
            } else if let Some(((at, _), event)) = self.events.pop_first() {
                self.now = self.now.max(at);
                self.apply(event, &mut new_call);
            }
            self.step();
        }
    }

    fn apply(&mut self, event: Event, new_call: &mut impl FnMut(usize, &[ProgramId]) -> CallSpec) {
        match event {
            Event::Arrival(index) => {
                let spec = new_call(index, &self.opened);
                let request = self.journal.begin(self.now, spec);
                self.begun_at.insert(request, self.now);
            }
            Event::Answer(request) => self.finish(request),
            Event::Written(version) => {
                self.journal
                    .finish_write(self.now, &Ok(Written::Done(version)));
            }
        }
    }

    fn finish(&mut self, request: RequestId) {
        let answer = StoredAnswer {
            status: 200,
            content_type: None,
            body: vec![b'x'; ANSWER_BYTES],
        };
        let finished = CallEnd {
            cost: Tokens(10),
            outcome: Outcome::Answered(answer),
        };
        self.journal.finish(self.now, request, finished);
    }

    fn step(&mut self) {
        self.wake = None;
        match self.journal.poll(self.now) {
            Action::Write(write) => {
                self.writes += 1;
                self.last_written = write.value;
                let version = Version(self.writes + 1);
                self.schedule(self.latency, Event::Written(version));
            }
            Action::StoreArchive { .. } => {
                self.journal.finish_archive(self.now, &Ok(()));
                self.wake = Some(self.now);
            }
            Action::Wait(at) => self.wake = at,
            _ => {}
        }
        for effect in self.journal.take_effects() {
            match effect {
                Effect::Reply(request, Reply::Run(_)) => self.dispatch(request),
                Effect::Reply(_, Reply::Opened(program)) => self.opened.push(program),
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, request: RequestId) {
        let checked = self.journal.check_dispatch(self.now, request);
        checked.expect("the owner is active");
        let begun_at = self.begun_at.remove(&request).expect("the call was begun");
        self.waits.push(self.now.since(begun_at));
        self.schedule(SERVICE_TIME, Event::Answer(request));
    }

    fn open_programs(&mut self, count: u64) {
        for random in 0..count {
            let spec = ProgramSpec {
                customer: "customer".parse().expect("a name"),
                budget: Some(Tokens(1_000_000)),
                parent: None,
                history: HistoryMode::Carried,
            };
            self.journal.open(self.now, random, spec);
        }
        while self.opened.len() < usize::try_from(count).expect("a small count") {
            self.now += Duration::from_millis(100);
            self.step();
            while let Some((_, Event::Written(version))) = self.events.pop_first() {
                self.journal
                    .finish_write(self.now, &Ok(Written::Done(version)));
            }
        }
    }

    fn schedule_arrivals(&mut self, calls: usize) {
        for index in 0..calls {
            let after = ARRIVAL_INTERVAL * u32::try_from(index).expect("a small count");
            self.schedule(after, Event::Arrival(index));
        }
    }

    /// Size of the last written journal in bytes, and the time to encode it in
    /// microseconds.
    fn measure_encoding(&self) -> (usize, f64) {
        const ROUNDS: u32 = 50;
        let object = Object {
            name: partition().to_string(),
            version: Version(1),
            value: self.last_written.clone(),
        };
        let doc: Document = decode(JOURNAL_KIND, &object).expect("the journal is readable");
        let started = Instant::now();
        let bytes = (0..ROUNDS).map(|_| doc.encode().1.len()).sum::<usize>();
        let spent = started.elapsed() / ROUNDS;
        (bytes / ROUNDS as usize, spent.as_secs_f64() * 1e6)
    }

    /// Percentile of the waits, in milliseconds.
    fn wait_percentile(&mut self, percent: usize) -> f64 {
        self.waits.sort_unstable();
        let index = (self.waits.len() * percent / 100).min(self.waits.len() - 1);
        self.waits[index].as_secs_f64() * 1000.0
    }
}

fn once_only_call(index: usize) -> CallSpec {
    let once = Once {
        key: format!("order-{index}"),
        body: Digest::of(b"body"),
    };
    CallSpec {
        scope: Scope::Single(partition()),
        customer: "customer".parse().expect("a name"),
        ordinal: None,
        max_cost: Tokens(0),
        once: Some(once),
        repeatable: false,
        deadline: Moment::from_start(Duration::from_secs(1_000_000)),
    }
}

fn repeatable_call(program: &ProgramId) -> CallSpec {
    CallSpec {
        scope: Scope::Program(program.clone()),
        max_cost: Tokens(20),
        once: None,
        repeatable: true,
        ..once_only_call(0)
    }
}

fn journal_config(interval_ms: u64) -> JournalConfig {
    JournalConfig {
        min_commit_interval: Duration::from_millis(interval_ms),
        writes_per_second: 1000,
        max_journal_bytes: 64 * 1024 * 1024,
        ..JournalConfig::default()
    }
}

fn measure_group_commit() {
    println!("once-only calls, one every {ARRIVAL_INTERVAL:?}, endpoint {SERVICE_TIME:?}");
    println!("platform_ms interval_ms writes/1000_calls wait_p50_ms wait_p95_ms wait_p99_ms");
    for latency in [3, 10, 50] {
        for interval in [1, 20, 50, 100, 200, 400] {
            let mut sim = Sim::new(journal_config(interval), Duration::from_millis(latency));
            sim.schedule_arrivals(CALLS);
            sim.run(|index, _| once_only_call(index));
            let writes = sim.writes * 1000 / CALLS as u64;
            let [p50, p95, p99] = [50, 95, 99].map(|percent| sim.wait_percentile(percent));
            println!("{latency:11} {interval:11} {writes:17} {p50:11.1} {p95:11.1} {p99:11.1}");
        }
    }
}

fn measure_repeatable_calls() {
    println!("repeatable calls of 100 programs, one every {ARRIVAL_INTERVAL:?}");
    println!("lazy_ms writes/1000_calls waited_for_journal");
    for lazy in [1000, 5000, 20_000] {
        let cfg = JournalConfig {
            lazy_interval: Duration::from_millis(lazy),
            ..journal_config(20)
        };
        let mut sim = Sim::new(cfg, Duration::from_millis(3));
        sim.open_programs(100);
        sim.writes = 0;
        sim.schedule_arrivals(CALLS);
        sim.run(|index, programs| repeatable_call(&programs[index % programs.len()]));
        let waited = sim.waits.iter().filter(|wait| !wait.is_zero()).count();
        let writes = sim.writes as f64 * 1000.0 / CALLS as f64;
        println!("{lazy:7} {writes:17.1} {waited}/{CALLS}");
    }
}

fn measure_size_and_time() {
    println!("programs journal_bytes bytes/program us/call(ratio) us/encoding(ratio)");
    let mut first = None;
    for count in [100, 400, 1600, 3200] {
        let mut sim = Sim::new(journal_config(20), Duration::from_millis(3));
        sim.open_programs(count);
        // The first call of each program waits for its first budget
        // reservation and is not timed.
        sim.schedule_arrivals(usize::try_from(count).expect("a small count"));
        sim.run(|index, programs| repeatable_call(&programs[index]));
        sim.schedule_arrivals(CALLS);
        let started = Instant::now();
        sim.run(|index, programs| repeatable_call(&programs[index % programs.len()]));
        let call = started.elapsed().as_secs_f64() * 1e6 / CALLS as f64;
        let (bytes, encoding) = sim.measure_encoding();
        let (first_call, first_encoding) = *first.get_or_insert((call, encoding));
        println!(
            "{count:8} {bytes:13} {:13} {call:7.1} ({:4.2}) {encoding:9.0} ({:5.2})",
            bytes as u64 / count,
            call / first_call,
            encoding / first_encoding
        );
    }
    println!("once_only_calls bound_bytes/call (answers of {ANSWER_BYTES} bytes)");
    for calls in [500, 2000, 8000, 16_000] {
        let mut sim = Sim::new(journal_config(20), Duration::from_millis(3));
        sim.schedule_arrivals(calls);
        sim.run(|index, _| once_only_call(index));
        println!("{calls:15} {}", sim.journal.size() / calls);
    }
}

async fn measure_held_history() {
    const TURNS: u64 = 160;
    println!("held history of {TURNS} turns");
    println!(
        "turn_bytes writes list_calls_to_rebuild stored/message_bytes rewritten/message_bytes"
    );
    for turn_bytes in [400, 4000] {
        let platform = MemoryPlatform::default();
        let history = History::new(platform.clone(), HistoryConfig::default());
        let before = platform.calls();
        for ordinal in 1..=TURNS {
            add_turn(&history, 1, ordinal, turn_bytes).await;
        }
        // The first turn also lists the program's segments.
        let writes = platform.calls() - before - 1;
        let next = History::new(platform.clone(), HistoryConfig::default());
        let before = platform.calls();
        let rebuilt = next.assemble(&request(2, TURNS + 1, turn_bytes)).await;
        rebuilt.expect("the history is complete");
        let reads = platform.calls() - before;
        let stored = platform
            .list(HISTORY_KIND, "")
            .await
            .expect("the in-memory platform injects no fault");
        let stored: usize = stored.objects.iter().map(|object| object.value.len()).sum();
        let messages = history.counters().bytes.get() as f64;
        let rewrite_ratio = (TURNS + 1) as f64 / 2.0;
        let ratio = stored as f64 / messages;
        println!("{turn_bytes:10} {writes:6} {reads:21} {ratio:20.2} {rewrite_ratio:23.1}");
    }
}

fn message(role: &str, bytes: usize) -> Message {
    let text = "x".repeat(bytes);
    Message::new(format!(r#"{{"role":"{role}","content":"{text}"}}"#)).expect("a message")
}

fn request(epoch: u64, ordinal: u64, turn_bytes: usize) -> TurnRequest {
    let handle = CacheHandle {
        customer: "customer".parse().expect("a name"),
        program: "dc-1.0.0000000000000001".parse().expect("a program id"),
        epoch: Epoch(epoch),
    };
    TurnRequest {
        handle,
        ordinal: Ordinal(ordinal),
        after: None,
        messages: vec![message("user", turn_bytes / 4)],
    }
}

async fn add_turn(history: &History<MemoryPlatform>, epoch: u64, ordinal: u64, bytes: usize) {
    let req = request(epoch, ordinal, bytes);
    history
        .assemble(&req)
        .await
        .expect("the history is complete");
    let turn = Turn {
        asked: req.messages,
        answered: vec![message("assistant", bytes * 3 / 4)],
    };
    let appended = history.append(&req.handle, req.ordinal, turn).await;
    appended.expect("the conversation is in memory");
}

fn main() {
    measure_group_commit();
    measure_repeatable_calls();
    measure_size_and_time();
    block_on(measure_held_history());
}
