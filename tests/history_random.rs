//! Property test: one caller and two owners of a held conversation under random
//! faults.
//!
//! `CHICORYARCH_CASES` sets the number of cases and `CHICORYARCH_SEED` the seed.

use std::env;
use std::str::FromStr;

use async_io::block_on;
use chicoryarch::configs::history::HistoryConfig;
use chicoryarch::connection::platform::memory::Faults;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Ordinal;
use chicoryarch::process::journals::history::AppendOutcome;
use chicoryarch::process::journals::history::History;
use chicoryarch::request::outcome::Ran;
use chicoryarch::request::outcome::Reason;
use chicoryarch::version::history::Assembled;
use chicoryarch::version::history::CacheHandle;
use chicoryarch::version::history::Message;
use chicoryarch::version::history::Tip;
use chicoryarch::version::history::Turn;
use chicoryarch::version::history::TurnRequest;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const HOSTS: usize = 2;
const CASES: u32 = 300;
const SEED: u64 = 20_260_801;

#[derive(Clone, Copy, Debug)]
enum Step {
    Call { host: usize, is_answer_lost: bool },
    Kill(usize),
    Flush(usize),
    SetOutage(bool),
    LoseAnswer,
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..HOSTS;
    prop_oneof![
        8 => (host(), proptest::bool::weighted(0.2))
            .prop_map(|(host, is_answer_lost)| Step::Call { host, is_answer_lost }),
        1 => host().prop_map(Step::Kill),
        2 => host().prop_map(Step::Flush),
        2 => any::<bool>().prop_map(Step::SetOutage),
        2 => Just(Step::LoseAnswer),
    ]
}

/// One caller, which repeats a call until it receives the answer.
struct World {
    platform: MemoryPlatform,
    faults: Faults,
    hosts: [History<MemoryPlatform>; HOSTS],
    received: Vec<Message>,
    tip: Tip,
    ordinal: Ordinal,
    /// Whether all turns that the caller has received are stored in the platform.
    is_durable: bool,
    answers: u64,
}

fn message(text: &str) -> Message {
    Message::new(format!(r#"{{"role":"any","content":"{text}"}}"#)).unwrap()
}

fn handle(host: usize) -> CacheHandle {
    CacheHandle {
        customer: "acme".parse().unwrap(),
        program: "dc-1.0.00000000000000aa".parse().unwrap(),
        epoch: Epoch(host as u64 + 1),
    }
}

impl World {
    fn new() -> Self {
        let platform = MemoryPlatform::default();
        let host = |_| History::new(platform.clone(), HistoryConfig::default());
        Self {
            hosts: std::array::from_fn(host),
            platform: platform.clone(),
            faults: Faults::default(),
            received: Vec::new(),
            tip: Tip::NONE,
            ordinal: Ordinal(1),
            is_durable: true,
            answers: 0,
        }
    }

    async fn apply(&mut self, step: Step) {
        match step {
            Step::Call {
                host,
                is_answer_lost,
            } => self.call(host, is_answer_lost).await,
            Step::Kill(host) => {
                let fresh = History::new(self.platform.clone(), HistoryConfig::default());
                self.hosts[host] = fresh;
            }
            Step::Flush(host) => self.hosts[host].flush().await,
            Step::SetOutage(out) => self.faults.out = out,
            Step::LoseAnswer => self.faults.lost_answers = 1,
        }
        self.platform.set_faults(self.faults);
        self.faults.lost_answers = 0;
    }

    async fn call(&mut self, host: usize, is_answer_lost: bool) {
        let asked = vec![message(&format!("question {}", self.ordinal))];
        let req = TurnRequest {
            handle: handle(host),
            ordinal: self.ordinal,
            after: Some(self.tip),
            messages: asked.clone(),
        };
        let history = self.hosts[host].clone();
        let (answered, is_durable) = match history.assemble(&req).await {
            Ok(Assembled::Complete(answered)) => (answered, false),
            Ok(Assembled::Run(messages)) => {
                let whole = [self.received.clone(), asked.clone()].concat();
                assert_eq!(messages, whole, "whole-history");
                self.answers += 1;
                let answered = vec![message(&format!("answer {}", self.answers))];
                let turn = Turn {
                    asked: asked.clone(),
                    answered: answered.clone(),
                };
                match history.append(&req.handle, self.ordinal, turn).await {
                    Some(AppendOutcome::Durable) => (answered, true),
                    Some(AppendOutcome::Pending) => (answered, false),
                    _ => return,
                }
            }
            Err(refusal) => {
                assert_eq!(refusal.ran, Ran::NotRun);
                let is_lost = refusal.reason == Reason::HistoryGap;
                assert!(!(is_lost && self.is_durable), "no-durable-turn-lost");
                return;
            }
        };
        if is_answer_lost {
            return;
        }
        self.tip = history
            .tip(&req.handle)
            .expect("the conversation is in memory");
        self.received.extend([asked, answered].concat());
        self.ordinal = self.ordinal.next();
        self.is_durable &= is_durable;
    }
}

fn setting<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn a_call_runs_with_all_received_turns_or_not_at_all() {
    let seed: u64 = setting("CHICORYARCH_SEED", SEED);
    let config = Config {
        cases: setting("CHICORYARCH_CASES", CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let answers = std::cell::Cell::new(0);
    let result = TestRunner::new_with_rng(config, rng).run(&vec(step(), 1..60), |steps| {
        let mut world = World::new();
        for step in steps {
            block_on(world.apply(step));
        }
        answers.set(answers.get() + world.answers);
        Ok(())
    });
    if let Err(error) = result {
        panic!("CHICORYARCH_SEED={seed} fails: {error}");
    }
    println!("seed {seed}: {} answers", answers.get());
    assert!(answers.get() > 0);
}
