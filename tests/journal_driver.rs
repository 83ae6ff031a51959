//! Tests the journal driver of a host with an in-memory platform.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::block_on;
use chicoryarch::configs::journal::JournalConfig;
use chicoryarch::connection::platform;
use chicoryarch::connection::platform::Changes;
use chicoryarch::connection::platform::Expect;
use chicoryarch::connection::platform::HostStatus;
use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Object;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::Written;
use chicoryarch::connection::platform::memory::Faults;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::CustomerId;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Ordinal;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::ids::Version;
use chicoryarch::process::journals::AcquireError;
use chicoryarch::process::journals::BeginOutcome;
use chicoryarch::process::journals::JournalEvent;
use chicoryarch::process::journals::Journals;
use chicoryarch::process::journals::Ticket;
use chicoryarch::request::outcome::Ran;
use chicoryarch::request::outcome::Reason;
use chicoryarch::request::outcome::Refusal;
use chicoryarch::request::outcome::Result;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::history::HistoryMode;
use chicoryarch::version::journal::CallEnd;
use chicoryarch::version::journal::CallSpec;
use chicoryarch::version::journal::Digest;
use chicoryarch::version::journal::Durability;
use chicoryarch::version::journal::Once;
use chicoryarch::version::journal::Outcome;
use chicoryarch::version::journal::PartitionId;
use chicoryarch::version::journal::ProgramSpec;
use chicoryarch::version::journal::Scope;
use chicoryarch::version::journal::StoredAnswer;
use chicoryarch_net::Spawner;
use futures_lite::future;

/// Deadline of every call; bounds the wait for a call that hangs.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

fn settings() -> JournalConfig {
    JournalConfig {
        min_commit_interval: Duration::from_millis(1),
        writes_per_second: 1000,
        min_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(10),
        commit_wait: Duration::from_millis(200),
        gap_wait: Duration::from_millis(50),
        release_wait: Duration::from_millis(200),
        ..JournalConfig::default()
    }
}

fn partition() -> PartitionId {
    PartitionId {
        data_centre: "dc-1".parse().unwrap(),
        partition: Partition(0),
    }
}

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

fn host(platform: &MemoryPlatform) -> Journals<MemoryPlatform> {
    Journals::new(platform.clone(), settings(), Spawner::start(2))
}

async fn start_owner(platform: &MemoryPlatform, epoch: u64) -> Journals<MemoryPlatform> {
    let journals = host(platform);
    journals.acquire(&partition(), Epoch(epoch)).await.unwrap();
    journals
}

async fn open(journals: &Journals<MemoryPlatform>, budget: u64) -> ProgramId {
    let spec = ProgramSpec {
        customer: customer("acme"),
        budget: Some(Tokens(budget)),
        parent: None,
        history: HistoryMode::Carried,
    };
    journals.open_program(&partition(), spec).await.unwrap()
}

fn call(scope: Scope) -> CallSpec {
    CallSpec {
        scope,
        customer: customer("acme"),
        ordinal: None,
        max_cost: Tokens(10),
        once: None,
        repeatable: true,
        deadline: Moment::now() + CALL_TIMEOUT,
    }
}

fn once(key: &str) -> CallSpec {
    CallSpec {
        once: Some(Once {
            key: key.to_owned(),
            body: Digest::of(b"body"),
        }),
        repeatable: false,
        ..call(Scope::Single(partition()))
    }
}

fn answered(body: &[u8]) -> CallEnd {
    let answer = StoredAnswer {
        status: 200,
        content_type: Some("text/plain".to_owned()),
        body: body.to_owned(),
    };
    CallEnd {
        cost: Tokens(5),
        outcome: Outcome::Answered(answer),
    }
}

fn expect_ticket(outcome: Result<BeginOutcome>) -> Ticket {
    match outcome {
        Ok(BeginOutcome::Run(ticket)) => ticket,
        other => panic!("expected a ticket, got {other:?}"),
    }
}

fn expect_refusal(outcome: Result<BeginOutcome>) -> Refusal {
    outcome.expect_err("expected a refusal")
}

/// Dispatches a call and records its answer.
async fn run(journals: &Journals<MemoryPlatform>, spec: CallSpec, body: &[u8]) -> Durability {
    let ticket = expect_ticket(journals.begin(spec).await);
    journals.check_dispatch(&ticket).unwrap();
    journals.finish(ticket, answered(body)).await
}

async fn replay(journals: &Journals<MemoryPlatform>, spec: CallSpec) -> Vec<u8> {
    match journals.begin(spec).await {
        Ok(BeginOutcome::Replay(answer)) => answer.body,
        other => panic!("expected a replay, got {other:?}"),
    }
}

/// In-memory platform whose writes hang while `hangs` is set.
#[derive(Clone, Default)]
struct HangingPlatform {
    memory: MemoryPlatform,
    hangs: Arc<AtomicBool>,
}

impl Platform for HangingPlatform {
    async fn read(&self, kind: &str, name: &str) -> platform::Result<Option<Object>> {
        self.memory.read(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> platform::Result<Changes> {
        self.memory.list(kind, prefix).await
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
        nonce: Nonce,
        value: Vec<u8>,
    ) -> platform::Result<Written> {
        if self.hangs.load(Ordering::Relaxed) {
            future::pending::<()>().await;
        }
        self.memory.write(kind, name, expect, nonce, value).await
    }

    async fn remove(&self, kind: &str, name: &str, at: Version) -> platform::Result<Written> {
        self.memory.remove(kind, name, at).await
    }

    async fn watch(&self, kind: &str, since: Version, wait: Duration) -> platform::Result<Changes> {
        self.memory.watch(kind, since, wait).await
    }

    async fn hosts(&self) -> platform::Result<Vec<HostStatus>> {
        self.memory.hosts().await
    }
}

#[test]
fn a_hanging_write_delays_neither_refusals_nor_release() {
    block_on(async {
        let platform = HangingPlatform::default();
        let journals = Journals::new(platform.clone(), settings(), Spawner::start(1));
        journals.acquire(&partition(), Epoch(1)).await.unwrap();
        platform.hangs.store(true, Ordering::Relaxed);
        let refused = expect_refusal(journals.begin(once("k")).await);
        assert_eq!(
            (refused.reason, refused.ran),
            (Reason::JournalUnavailable, Ran::NotRun)
        );
        assert!(!journals.release(&partition()).await);
    });
}

#[test]
fn a_once_only_call_is_replayed_by_its_owner_and_the_next_owner() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = start_owner(&platform, 1).await;
        assert_eq!(run(&first, once("k"), b"done").await, Durability::Durable);
        assert_eq!(replay(&first, once("k")).await, b"done");
        let second = start_owner(&platform, 2).await;
        assert_eq!(replay(&second, once("k")).await, b"done");
    });
}

#[test]
fn a_large_answer_is_replayed_from_its_object() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = start_owner(&platform, 1).await;
        let body = vec![0xff; 100_000];
        assert_eq!(run(&first, once("k"), &body).await, Durability::Durable);
        let second = start_owner(&platform, 2).await;
        assert_eq!(replay(&second, once("k")).await, body);
    });
}

#[test]
fn an_archived_answer_is_replayed_by_its_owner_and_the_next_owner() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let cfg = JournalConfig {
            archive_above_bytes: 2000,
            ..settings()
        };
        let first = Journals::new(platform.clone(), cfg, Spawner::start(2));
        first.acquire(&partition(), Epoch(1)).await.unwrap();
        for index in 0..20 {
            run(&first, once(&format!("k-{index}")), b"done").await;
        }
        assert!(first.counters().archives.get() > 0);
        assert_eq!(replay(&first, once("k-0")).await, b"done");
        let mut other = once("k-0");
        other.once.as_mut().unwrap().body = Digest::of(b"other");
        let refused = expect_refusal(first.begin(other).await);
        assert_eq!(refused.reason, Reason::ConflictingKey);
        let second = start_owner(&platform, 2).await;
        assert_eq!(replay(&second, once("k-0")).await, b"done");
    });
}

#[test]
fn a_running_key_is_refused_and_its_outcome_is_unknown_after_a_takeover() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = start_owner(&platform, 1).await;
        let held = expect_ticket(first.begin(once("k")).await);
        first.check_dispatch(&held).unwrap();
        let retry = expect_refusal(first.begin(once("k")).await);
        assert_eq!(
            (retry.reason, retry.ran),
            (Reason::StillRunning, Ran::Unknown)
        );
        let second = start_owner(&platform, 2).await;
        assert_eq!(
            expect_refusal(second.begin(once("k")).await).ran,
            Ran::Unknown
        );
    });
}

#[test]
fn a_key_with_another_body_conflicts() {
    block_on(async {
        let journals = start_owner(&MemoryPlatform::default(), 1).await;
        run(&journals, once("k"), b"done").await;
        let mut other = once("k");
        other.once.as_mut().unwrap().body = Digest::of(b"other");
        let refused = expect_refusal(journals.begin(other).await);
        assert_eq!(
            (refused.reason, refused.ran),
            (Reason::ConflictingKey, Ran::NotRun)
        );
    });
}

#[test]
fn the_same_key_of_two_customers_identifies_two_calls() {
    block_on(async {
        let journals = start_owner(&MemoryPlatform::default(), 1).await;
        run(&journals, once("k"), b"one").await;
        let other = CallSpec {
            customer: customer("other"),
            ..once("k")
        };
        run(&journals, other.clone(), b"two").await;
        assert_eq!(replay(&journals, other).await, b"two");
    });
}

#[test]
fn a_ticket_dropped_before_its_dispatch_frees_the_key() {
    block_on(async {
        let journals = start_owner(&MemoryPlatform::default(), 1).await;
        drop(expect_ticket(journals.begin(once("k")).await));
        assert_eq!(run(&journals, once("k"), b"x").await, Durability::Durable);
    });
}

#[test]
fn a_ticket_dropped_after_its_dispatch_leaves_the_outcome_unknown() {
    block_on(async {
        let journals = start_owner(&MemoryPlatform::default(), 1).await;
        let held = expect_ticket(journals.begin(once("k")).await);
        journals.check_dispatch(&held).unwrap();
        drop(held);
        assert_eq!(
            expect_refusal(journals.begin(once("k")).await).ran,
            Ran::Unknown
        );
    });
}

#[test]
fn during_an_outage_once_only_calls_are_refused_and_reserved_budgets_are_usable() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let journals = start_owner(&platform, 1).await;
        let program = open(&journals, 1000).await;
        let in_program = || call(Scope::Program(program.clone()));
        run(&journals, in_program(), b"").await;
        platform.set_faults(Faults {
            out: true,
            ..Faults::default()
        });
        let refused = expect_refusal(journals.begin(once("k")).await);
        assert_eq!(
            (refused.reason, refused.ran),
            (Reason::JournalUnavailable, Ran::NotRun)
        );
        assert!(refused.retry_after.is_some());
        run(&journals, in_program(), b"").await;
        platform.set_faults(Faults::default());
        let journals = &journals;
        let retried = async {
            loop {
                if let Ok(BeginOutcome::Run(ticket)) = journals.begin(once("k")).await {
                    return journals.check_dispatch(&ticket);
                }
            }
        };
        retried.await.unwrap();
    });
}

#[test]
fn a_write_with_a_lost_response_is_settled_by_a_read() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let journals = start_owner(&platform, 1).await;
        platform.set_faults(Faults {
            lost_answers: 2,
            ..Faults::default()
        });
        assert_eq!(run(&journals, once("k"), b"x").await, Durability::Durable);
        assert!(journals.counters().settling_reads.get() >= 2);
    });
}

#[test]
fn a_takeover_with_a_lost_response_is_settled_by_a_read() {
    block_on(async {
        let platform = MemoryPlatform::default();
        platform.set_faults(Faults {
            lost_answers: 1,
            ..Faults::default()
        });
        let journals = start_owner(&platform, 1).await;
        assert_eq!(journals.epoch(&partition()), Some(Epoch(1)));
    });
}

#[test]
fn a_deposed_owner_fails_its_next_write_and_refuses_dispatch() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = start_owner(&platform, 1).await;
        let held = expect_ticket(first.begin(once("k")).await);
        let second = start_owner(&platform, 2).await;
        let refused = expect_refusal(first.begin(once("other")).await);
        assert_eq!(
            (refused.reason, refused.ran),
            (Reason::OwnerUnavailable, Ran::NotRun)
        );
        assert_eq!(first.check_dispatch(&held).unwrap_err().ran, Ran::NotRun);
        assert!(!first.is_active(&partition()));
        assert_eq!(
            expect_refusal(second.begin(once("k")).await).ran,
            Ran::Unknown
        );
    });
}

#[test]
fn a_takeover_at_the_same_epoch_is_fenced() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let _owner = start_owner(&platform, 2).await;
        let late = host(&platform).acquire(&partition(), Epoch(2)).await;
        assert!(matches!(late, Err(AcquireError::Fenced(_))), "{late:?}");
    });
}

#[test]
fn a_release_records_the_spent_budget() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = start_owner(&platform, 1).await;
        let program = open(&first, 1000).await;
        run(&first, call(Scope::Program(program.clone())), b"").await;
        assert!(first.release(&partition()).await);
        let second = start_owner(&platform, 2).await;
        let summary = second.program_summary(&program).unwrap();
        assert_eq!((summary.spent, summary.high_water), (Tokens(5), Ordinal(1)));
    });
}

#[test]
fn an_ended_program_refuses_calls_and_is_reported() {
    block_on(async {
        let journals = start_owner(&MemoryPlatform::default(), 1).await;
        let program = open(&journals, 1000).await;
        let ended = journals.end_program(&program, &customer("acme")).await;
        assert_eq!(ended, Ok(Durability::Durable));
        let event = journals.events().recv().await.unwrap();
        assert!(matches!(event, JournalEvent::ProgramEnded(end) if end.program == program));
        let refused = expect_refusal(journals.begin(call(Scope::Program(program))).await);
        assert_eq!(refused.reason, Reason::UnknownProgram);
    });
}

#[test]
fn a_program_is_unknown_to_other_customers() {
    block_on(async {
        let journals = start_owner(&MemoryPlatform::default(), 1).await;
        let program = open(&journals, 1000).await;
        let other = CallSpec {
            customer: customer("other"),
            ..call(Scope::Program(program))
        };
        let refused = expect_refusal(journals.begin(other).await);
        assert_eq!(refused.reason, Reason::UnknownProgram);
    });
}
