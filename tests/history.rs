//! Held conversation history on an in-memory platform.

use async_io::block_on;
use chicoryarch::configs::history::HistoryConfig;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::memory::Faults;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Ordinal;
use chicoryarch::ids::ProgramId;
use chicoryarch::process::journals::history::AppendOutcome;
use chicoryarch::process::journals::history::History;
use chicoryarch::request::outcome::Ran;
use chicoryarch::request::outcome::Reason;
use chicoryarch::request::outcome::Refusal;
use chicoryarch::version::history::Assembled;
use chicoryarch::version::history::CacheHandle;
use chicoryarch::version::history::HISTORY_KIND;
use chicoryarch::version::history::Message;
use chicoryarch::version::history::Turn;
use chicoryarch::version::history::TurnRequest;
use chicoryarch::version::history::segment_name;

type MemoryHistory = History<MemoryPlatform>;

const OUTAGE: Faults = Faults {
    out: true,
    lost_answers: 0,
};

fn program() -> ProgramId {
    "dc-1.0.00000000000000aa".parse().unwrap()
}

fn handle(epoch: u64) -> CacheHandle {
    CacheHandle {
        customer: "acme".parse().unwrap(),
        program: program(),
        epoch: Epoch(epoch),
    }
}

fn message(role: &str, text: &str) -> Message {
    Message::new(format!(r#"{{"role":"{role}","content":"{text}"}}"#)).unwrap()
}

fn question(ordinal: u64) -> Vec<Message> {
    vec![message("user", &format!("question {ordinal}"))]
}

fn answer(ordinal: u64) -> Vec<Message> {
    vec![message("assistant", &format!("answer {ordinal}"))]
}

fn request(epoch: u64, ordinal: u64) -> TurnRequest {
    TurnRequest {
        handle: handle(epoch),
        ordinal: Ordinal(ordinal),
        after: None,
        messages: question(ordinal),
    }
}

fn turn(ordinal: u64) -> Turn {
    Turn {
        asked: question(ordinal),
        answered: answer(ordinal),
    }
}

fn new_history(platform: &MemoryPlatform) -> MemoryHistory {
    History::new(platform.clone(), HistoryConfig::default())
}

async fn run(history: &MemoryHistory, epoch: u64, ordinal: u64) -> AppendOutcome {
    let assembled = history.assemble(&request(epoch, ordinal)).await.unwrap();
    assert_eq!(assembled, Assembled::Run(conversation(ordinal)));
    let handle = handle(epoch);
    let appended = history.append(&handle, Ordinal(ordinal), turn(ordinal));
    appended.await.unwrap()
}

/// All messages up to and including the question of a turn.
fn conversation(ordinal: u64) -> Vec<Message> {
    let before = (1..ordinal).flat_map(|turn| [question(turn), answer(turn)].concat());
    before.chain(question(ordinal)).collect()
}

async fn expect_refusal(history: &MemoryHistory, req: &TurnRequest) -> Refusal {
    let refusal = history.assemble(req).await.unwrap_err();
    assert_eq!(refusal.ran, Ran::NotRun);
    refusal
}

async fn remove(platform: &MemoryPlatform, ordinal: u64) {
    let name = segment_name(&program(), Ordinal(ordinal));
    let object = platform.read(HISTORY_KIND, &name).await.unwrap().unwrap();
    let removed = platform.remove(HISTORY_KIND, &name, object.version);
    removed.await.unwrap();
}

#[test]
fn a_new_owner_rebuilds_the_whole_conversation() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = new_history(&platform);
        for ordinal in 1..=12 {
            assert_eq!(run(&first, 1, ordinal).await, AppendOutcome::Durable);
        }
        assert_eq!(
            run(&new_history(&platform), 2, 13).await,
            AppendOutcome::Durable
        );
    });
}

#[test]
fn a_missing_segment_is_refused_before_the_call_runs() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = new_history(&platform);
        for ordinal in 1..=3 {
            run(&first, 1, ordinal).await;
        }
        remove(&platform, 2).await;
        let refusal = expect_refusal(&new_history(&platform), &request(2, 4)).await;
        assert_eq!(refusal.reason, Reason::HistoryGap);
    });
}

#[test]
fn a_missing_last_segment_is_refused_before_the_call_runs() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = new_history(&platform);
        run(&first, 1, 1).await;
        platform.set_faults(OUTAGE);
        assert_eq!(run(&first, 1, 2).await, AppendOutcome::Pending);
        platform.set_faults(Faults::default());
        let refusal = expect_refusal(&new_history(&platform), &request(2, 3)).await;
        assert_eq!(refusal.reason, Reason::HistoryGap);
    });
}

#[test]
fn pending_turns_are_written_after_an_outage() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = new_history(&platform);
        run(&first, 1, 1).await;
        platform.set_faults(OUTAGE);
        assert_eq!(run(&first, 1, 2).await, AppendOutcome::Pending);
        assert_eq!(run(&first, 1, 3).await, AppendOutcome::Pending);
        platform.set_faults(Faults::default());
        first.flush().await;
        run(&new_history(&platform), 2, 4).await;
    });
}

#[test]
fn a_call_is_refused_while_too_many_turns_are_pending() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let history = new_history(&platform);
        run(&history, 1, 1).await;
        platform.set_faults(OUTAGE);
        let most = HistoryConfig::default().max_pending_turns as u64;
        for ordinal in 2..2 + most {
            run(&history, 1, ordinal).await;
        }
        let refusal = expect_refusal(&history, &request(1, 2 + most)).await;
        assert_eq!(refusal.reason, Reason::JournalUnavailable);
    });
}

#[test]
fn a_segment_write_with_a_lost_answer_is_verified_by_a_read() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let history = new_history(&platform);
        run(&history, 1, 1).await;
        platform.set_faults(Faults {
            out: false,
            lost_answers: 1,
        });
        assert_eq!(run(&history, 1, 2).await, AppendOutcome::Durable);
    });
}

#[test]
fn a_former_owner_cannot_continue_a_conversation() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let first = new_history(&platform);
        run(&first, 1, 1).await;
        first.assemble(&request(1, 2)).await.unwrap();
        run(&new_history(&platform), 2, 2).await;
        let mut late = turn(2);
        late.answered = answer(99);
        let appended = first.append(&handle(1), Ordinal(2), late).await;
        assert_eq!(appended, Some(AppendOutcome::Superseded));
    });
}

#[test]
fn a_late_turn_of_a_former_owner_is_kept_if_the_caller_received_it() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let (first, second) = (new_history(&platform), new_history(&platform));
        run(&first, 1, 1).await;
        second.assemble(&request(2, 2)).await.unwrap();
        run(&first, 1, 2).await;
        run(&second, 2, 3).await;
    });
}

#[test]
fn a_repeated_call_of_a_completed_turn_gets_its_answer() {
    block_on(async {
        let history = new_history(&MemoryPlatform::default());
        run(&history, 1, 1).await;
        let again = history.assemble(&request(1, 1)).await;
        assert_eq!(again, Ok(Assembled::Complete(answer(1))));
    });
}

#[test]
fn a_caller_that_sends_its_last_turn_may_skip_ordinals() {
    block_on(async {
        let history = new_history(&MemoryPlatform::default());
        run(&history, 1, 1).await;
        let without_tip = expect_refusal(&history, &request(1, 5)).await;
        assert_eq!(without_tip.reason, Reason::HistoryGap);
        let with_tip = TurnRequest {
            after: history.tip(&handle(1)),
            ..request(1, 5)
        };
        assert!(history.assemble(&with_tip).await.is_ok());
    });
}

#[test]
fn erasing_a_history_removes_all_segments() {
    block_on(async {
        let platform = MemoryPlatform::default();
        let history = new_history(&platform);
        run(&history, 1, 1).await;
        run(&history, 1, 2).await;
        history.remove_segments(&program()).await.unwrap();
        let remaining = platform.list(HISTORY_KIND, "").await.unwrap();
        assert!(remaining.objects.is_empty());
    });
}

#[test]
fn only_objects_with_a_role_and_a_content_are_messages() {
    let texts = [r#"{"role":"user"}"#, "[]", r#"{"content":"x"}"#, "{"];
    assert!(
        texts
            .iter()
            .all(|text| Message::new((*text).to_owned()).is_err())
    );
}
