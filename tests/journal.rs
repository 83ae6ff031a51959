//! Unit tests of one journal's state machine in virtual time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::configs::journal::JournalConfig;
use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Object;
use chicoryarch::connection::platform::PlatformError;
use chicoryarch::connection::platform::Written;
use chicoryarch::connection::platform::decode;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Ordinal;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::ids::Version;
use chicoryarch::request::outcome::Ran;
use chicoryarch::request::outcome::Reason;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::history::HistoryMode;
use chicoryarch::version::journal::Action;
use chicoryarch::version::journal::Archive;
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
use chicoryarch::version::journal::WaitsFor;
use chicoryarch::version::journal::partition_of_key;

fn partition() -> PartitionId {
    PartitionId {
        data_centre: "dc-1".parse().unwrap(),
        partition: Partition(3),
    }
}

/// An owner with an in-memory platform that holds one document.
struct Owner {
    journal: Journal,
    now: Moment,
    stored: Document,
    writes: u64,
    is_out: bool,
    replies: HashMap<RequestId, Reply>,
    ended: Vec<ProgramId>,
    programs: u64,
    stored_answers: usize,
    archives: Vec<Archive>,
}

impl Owner {
    fn new(cfg: JournalConfig) -> Self {
        Self::take_over(cfg, None, 1)
    }

    fn take_over(cfg: JournalConfig, stored: Option<Document>, epoch: u64) -> Self {
        let now = Moment::from_start(Duration::from_secs(epoch));
        let stored = Journal::takeover_document(stored, Epoch(epoch), Nonce(epoch)).unwrap();
        let doc = stored.clone();
        let counters = Arc::default();
        let journal = Journal::from_document(partition(), cfg, counters, doc, Version(1), now);
        Self {
            journal,
            now,
            stored,
            writes: 0,
            is_out: false,
            replies: HashMap::new(),
            ended: Vec::new(),
            programs: epoch * 1000,
            stored_answers: 0,
            archives: Vec::new(),
        }
    }

    /// Performs platform calls until the journal waits or stops.
    fn run_platform(&mut self) {
        loop {
            match self.journal.poll(self.now) {
                Action::Write(write) => {
                    let written = self.write(write.value);
                    self.journal.finish_write(self.now, &written);
                }
                Action::Read => {
                    let failed = Err(PlatformError::UnknownOutcome);
                    self.journal.finish_read(self.now, failed);
                }
                Action::StoreAnswer { .. } => {
                    self.stored_answers += 1;
                    self.journal.finish_answer(self.now, &Ok(()));
                }
                Action::StoreArchive { archive, .. } => {
                    self.archives.push(archive);
                    self.journal.finish_archive(self.now, &Ok(()));
                }
                Action::Remove(_) => {
                    self.stored_answers -= 1;
                    self.journal.finish_remove(self.now, &Ok(()));
                }
                Action::Wait(_) | Action::Stop => return self.collect_effects(),
            }
        }
    }

    fn write(&mut self, value: Vec<u8>) -> Result<Written, PlatformError> {
        if self.is_out {
            return Err(PlatformError::UnknownOutcome);
        }
        self.writes += 1;
        let object = Object {
            name: partition().to_string(),
            version: Version(self.writes + 1),
            value,
        };
        self.stored = decode(JOURNAL_KIND, &object).unwrap();
        Ok(Written::Done(object.version))
    }

    fn collect_effects(&mut self) {
        for effect in self.journal.take_effects() {
            match effect {
                Effect::Reply(request, reply) => {
                    self.replies.insert(request, reply);
                }
                Effect::ProgramEnded(end) => self.ended.push(end.program),
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.run_platform();
    }

    fn open(&mut self, budget: Option<u64>, parent: Option<&ProgramId>) -> Reply {
        let spec = ProgramSpec {
            customer: "acme".parse().unwrap(),
            budget: budget.map(Tokens),
            parent: parent.cloned(),
            history: HistoryMode::Carried,
        };
        self.programs += 1;
        let request = self.journal.open(self.now, self.programs, spec);
        self.advance(1000);
        self.replies[&request].clone()
    }

    fn open_root(&mut self, budget: u64) -> ProgramId {
        opened_program(self.open(Some(budget), None))
    }

    fn begin(&mut self, spec: CallSpec) -> RequestId {
        let request = self.journal.begin(self.now, spec);
        self.run_platform();
        request
    }

    fn is_permitted(&self, request: RequestId) -> bool {
        matches!(self.replies.get(&request), Some(Reply::Run(_)))
    }

    fn refusal_of(&self, request: RequestId) -> (Reason, Ran) {
        match self.replies.get(&request) {
            Some(Reply::Refused(refusal)) => (refusal.reason, refusal.ran),
            other => panic!("expected a refusal, got {other:?}"),
        }
    }

    fn end(&mut self, request: RequestId, outcome: Outcome) {
        assert!(self.is_permitted(request));
        self.journal.check_dispatch(self.now, request).unwrap();
        let finished = CallEnd {
            cost: Tokens(5),
            outcome,
        };
        self.journal.finish(self.now, request, finished);
        self.collect_effects();
    }

    /// Begins a call and ends it with an answer.
    fn run(&mut self, spec: CallSpec) {
        let request = self.begin(spec);
        self.advance(1000);
        self.end(request, answered_outcome());
        self.advance(1000);
    }
}

fn opened_program(reply: Reply) -> ProgramId {
    match reply {
        Reply::Opened(program) => program,
        other => panic!("expected a program, got {other:?}"),
    }
}

fn answered_outcome() -> Outcome {
    Outcome::Answered(StoredAnswer {
        status: 200,
        content_type: None,
        body: b"done".to_vec(),
    })
}

fn call(program: &ProgramId, ordinal: Option<u64>) -> CallSpec {
    CallSpec {
        scope: Scope::Program(program.clone()),
        customer: "acme".parse().unwrap(),
        ordinal: ordinal.map(Ordinal),
        max_cost: Tokens(10),
        once: None,
        repeatable: true,
        deadline: Moment::from_start(Duration::from_secs(100_000)),
    }
}

fn once_call(key: &str) -> CallSpec {
    let once = Once {
        key: key.to_owned(),
        body: Digest::of(b"body"),
    };
    CallSpec {
        scope: Scope::Single(partition()),
        once: Some(once),
        repeatable: false,
        ..call(&"dc-1.3.0000000000000000".parse().unwrap(), None)
    }
}

fn owner_with_program() -> (Owner, ProgramId) {
    let mut owner = Owner::new(JournalConfig::default());
    let program = owner.open_root(10_000);
    owner.run(call(&program, None));
    (owner, program)
}

const OUT_OF_ORDER: (Reason, Ran) = (Reason::OutOfOrder, Ran::NotRun);

#[test]
fn a_call_waits_for_the_previous_one() {
    let (mut owner, program) = owner_with_program();
    let second = owner.begin(call(&program, Some(2)));
    let third = owner.begin(call(&program, Some(3)));
    assert!(owner.is_permitted(second) && !owner.is_permitted(third));
    let summary = owner.journal.program(&program).unwrap();
    assert_eq!(summary.calls[1].waits_for, WaitsFor::Turn);
    owner.end(second, answered_outcome());
    assert!(owner.is_permitted(third));
}

#[test]
fn calls_that_arrive_out_of_order_start_in_order() {
    let (mut owner, program) = owner_with_program();
    let third = owner.begin(call(&program, Some(3)));
    let second = owner.begin(call(&program, Some(2)));
    assert!(owner.is_permitted(second) && !owner.is_permitted(third));
    owner.end(second, answered_outcome());
    assert!(owner.is_permitted(third));
}

#[test]
fn a_call_after_a_gap_is_refused_after_the_gap_wait() {
    let (mut owner, program) = owner_with_program();
    let ahead = owner.begin(call(&program, Some(3)));
    owner.advance(2000);
    assert_eq!(owner.refusal_of(ahead), OUT_OF_ORDER);
    let next = owner.begin(call(&program, Some(2)));
    assert!(owner.is_permitted(next));
}

#[test]
fn after_a_takeover_a_call_after_a_gap_runs_after_the_gap_wait() {
    let (owner, program) = owner_with_program();
    let mut next = Owner::take_over(JournalConfig::default(), Some(owner.stored), 2);
    let ahead = next.begin(call(&program, Some(7)));
    assert!(!next.is_permitted(ahead));
    next.advance(2000);
    next.advance(1000);
    assert!(next.is_permitted(ahead));
}

#[test]
fn a_duplicate_of_an_ordinal_in_flight_is_refused_as_still_running() {
    let (mut owner, program) = owner_with_program();
    owner.begin(call(&program, Some(2)));
    let again = owner.begin(call(&program, Some(2)));
    let expected = (Reason::StillRunning, Ran::Unknown);
    assert_eq!(owner.refusal_of(again), expected);
}

#[test]
fn the_last_repeatable_call_may_run_again_and_earlier_ones_may_not() {
    let (mut owner, program) = owner_with_program();
    owner.run(call(&program, Some(2)));
    owner.run(call(&program, Some(2)));
    let passed = owner.begin(call(&program, Some(1)));
    let expected = (Reason::OutOfOrder, Ran::Unknown);
    assert_eq!(owner.refusal_of(passed), expected);
}

#[test]
fn a_once_only_call_with_a_passed_ordinal_and_a_new_key_has_not_run() {
    let (mut owner, program) = owner_with_program();
    let late = CallSpec {
        scope: Scope::Program(program),
        ordinal: Some(Ordinal(1)),
        ..once_call("fresh")
    };
    let late = owner.begin(late);
    assert_eq!(owner.refusal_of(late), OUT_OF_ORDER);
}

#[test]
fn an_abandoned_call_without_an_ordinal_does_not_block_the_next() {
    let (mut owner, program) = owner_with_program();
    let running = owner.begin(call(&program, None));
    let abandoned = owner.begin(call(&program, None));
    let last = owner.begin(call(&program, None));
    owner.journal.abandon(owner.now, abandoned);
    owner.end(running, answered_outcome());
    assert!(owner.is_permitted(last));
}

#[test]
fn the_ordinal_of_a_call_that_did_not_run_can_be_reused() {
    let (mut owner, program) = owner_with_program();
    let second = owner.begin(call(&program, Some(2)));
    owner.end(second, Outcome::NotRun);
    owner.run(call(&program, Some(2)));
}

#[test]
fn a_sub_agent_spends_the_budget_of_its_root() {
    let mut owner = Owner::new(JournalConfig::default());
    let root = owner.open_root(25);
    let sub = opened_program(owner.open(None, Some(&root)));
    let first = owner.begin(call(&sub, None));
    let second = owner.begin(call(&root, None));
    owner.advance(1000);
    assert!(owner.is_permitted(first) && owner.is_permitted(second));
    let third = opened_program(owner.open(None, Some(&sub)));
    let third = owner.begin(call(&third, None));
    let expected = (Reason::BudgetSpent, Ran::NotRun);
    assert_eq!(owner.refusal_of(third), expected);
}

#[test]
fn a_sub_agent_cannot_exceed_its_own_budget() {
    let mut owner = Owner::new(JournalConfig::default());
    let root = owner.open_root(1000);
    let sub = opened_program(owner.open(Some(9), Some(&root)));
    let refused = owner.begin(call(&sub, None));
    assert_eq!(owner.refusal_of(refused).0, Reason::BudgetSpent);
}

#[test]
fn a_takeover_loses_at_most_one_budget_slice_and_running_calls() {
    let cfg = JournalConfig {
        budget_slice: 100,
        ..JournalConfig::default()
    };
    let mut owner = Owner::new(cfg.clone());
    let program = owner.open_root(10_000);
    for _ in 0..30 {
        owner.run(call(&program, None));
    }
    let before = owner.journal.program(&program).unwrap().spent;
    let next = Owner::take_over(cfg, Some(owner.stored), 2);
    let after = next.journal.program(&program).unwrap().spent;
    assert_eq!(before, Tokens(150));
    assert!(
        after >= before && after <= Tokens(150 + 100 + 10),
        "{after:?}"
    );
}

#[test]
fn one_write_commits_all_waiting_calls() {
    let mut owner = Owner::new(JournalConfig::default());
    owner.run(once_call("first"));
    let before = owner.writes;
    let begin = |index| {
        owner
            .journal
            .begin(owner.now, once_call(&format!("key-{index}")))
    };
    let requests: Vec<RequestId> = (0..50).map(begin).collect();
    owner.advance(1000);
    assert!(requests.iter().all(|request| owner.is_permitted(*request)));
    assert_eq!(owner.writes, before + 1);
}

#[test]
fn writes_burst_after_idle_time_and_stay_within_the_rate() {
    const SECONDS: u64 = 20;
    let cfg = JournalConfig {
        writes_per_second: 2,
        ..JournalConfig::default()
    };
    let mut owner = Owner::new(cfg);
    let mut begun = 0;
    let mut call = |owner: &mut Owner| {
        begun += 1;
        let request = owner.begin(once_call(&format!("key-{begun}")));
        owner.advance(25);
        owner.is_permitted(request)
    };
    assert!(
        (0..5).all(|_| call(&mut owner)),
        "a write within the burst allowance had to wait"
    );
    let before = owner.writes;
    for _ in 0..SECONDS * 40 {
        call(&mut owner);
    }
    let most = SECONDS * 2 + 10;
    assert!(owner.writes - before <= most, "{}", owner.writes - before);
}

#[test]
fn the_key_of_a_call_that_did_not_run_can_be_reused_at_the_next_owner() {
    let mut owner = Owner::new(JournalConfig::default());
    let request = owner.begin(once_call("key"));
    owner.advance(1000);
    owner.end(request, Outcome::NotRun);
    owner.advance(10_000);
    let mut next = Owner::take_over(JournalConfig::default(), Some(owner.stored), 2);
    next.run(once_call("key"));
}

#[test]
fn a_once_only_call_is_refused_immediately_during_a_platform_outage() {
    let mut owner = Owner::new(JournalConfig::default());
    owner.is_out = true;
    owner.begin(once_call("first"));
    (0..100).for_each(|_| owner.advance(100));
    let refused = owner.begin(once_call("second"));
    let expected = (Reason::JournalUnavailable, Ran::NotRun);
    assert_eq!(owner.refusal_of(refused), expected);
}

#[test]
fn a_full_journal_refuses_new_programs_and_keeps_live_ones() {
    let cfg = JournalConfig {
        max_journal_bytes: 8 * 1024,
        ..JournalConfig::default()
    };
    let mut owner = Owner::new(cfg);
    let mut programs = Vec::new();
    let refused = loop {
        match owner.open(Some(100), None) {
            Reply::Opened(program) => programs.push(program),
            other => break other,
        }
    };
    let reason = |reply| match reply {
        Reply::Refused(refusal) => refusal.reason,
        other => panic!("expected a refusal, got {other:?}"),
    };
    assert_eq!(reason(refused), Reason::Overloaded);
    let ended = programs.pop().unwrap();
    owner
        .journal
        .end(owner.now, &ended, &"acme".parse().unwrap());
    owner.advance(1000);
    assert_eq!(reason(owner.open(Some(100), None)), Reason::Overloaded);
    let retention = JournalConfig::default().ended_retention;
    owner.now += retention;
    opened_program(owner.open(Some(100), None));
    assert!(
        programs
            .iter()
            .all(|program| owner.stored.programs.contains_key(program))
    );
}

#[test]
fn an_outcome_past_its_retention_is_dropped() {
    let mut owner = Owner::new(JournalConfig::default());
    owner.run(once_call("key"));
    assert_eq!(owner.stored.once.len(), 1);
    owner.now += JournalConfig::default().once_retention;
    owner.advance(1000);
    owner.advance(10_000);
    assert!(owner.stored.once.is_empty());
}

#[test]
fn the_object_of_a_large_answer_is_removed_after_its_retention() {
    let mut owner = Owner::new(JournalConfig::default());
    let request = owner.begin(once_call("key"));
    owner.advance(1000);
    let answer = StoredAnswer {
        status: 200,
        content_type: None,
        body: vec![b'x'; 100_000],
    };
    owner.end(request, Outcome::Answered(answer));
    owner.advance(1000);
    assert_eq!(owner.stored_answers, 1);
    owner.now += JournalConfig::default().once_retention;
    owner.advance(1000);
    owner.advance(10_000);
    assert_eq!(owner.stored_answers, 0);
}

#[test]
fn an_idle_program_ends_and_an_active_one_does_not() {
    let (mut owner, idle) = owner_with_program();
    let busy = owner.open_root(1000);
    owner.begin(call(&busy, None));
    owner.now += JournalConfig::default().idle_end;
    owner.advance(1000);
    assert_eq!(owner.ended, [idle]);
}

#[test]
fn the_end_of_a_program_is_reported_after_its_last_call() {
    let (mut owner, program) = owner_with_program();
    let running = owner.begin(call(&program, None));
    let waiting = owner.begin(call(&program, None));
    owner.journal.check_dispatch(owner.now, running).unwrap();
    owner
        .journal
        .end(owner.now, &program, &"acme".parse().unwrap());
    owner.run_platform();
    assert_eq!(owner.refusal_of(waiting), (Reason::Cancelled, Ran::NotRun));
    assert!(owner.ended.is_empty());
    owner.journal.abandon(owner.now, running);
    owner.run_platform();
    assert_eq!(owner.ended, [program]);
}

#[test]
fn ending_a_root_ends_its_sub_agents() {
    let mut owner = Owner::new(JournalConfig::default());
    let root = owner.open_root(100);
    let sub = opened_program(owner.open(None, Some(&root)));
    owner
        .journal
        .end(owner.now, &root, &"acme".parse().unwrap());
    owner.advance(1000);
    assert_eq!(owner.ended, [sub, root]);
}

#[test]
fn a_release_refuses_each_waiting_call_once() {
    let (mut owner, program) = owner_with_program();
    let running = owner.begin(call(&program, None));
    let waiting: Vec<RequestId> = (0..3).map(|_| owner.begin(call(&program, None))).collect();
    owner.journal.release(owner.now);
    let effects = owner.journal.take_effects();
    assert_eq!(effects.len(), waiting.len());
    let refused = owner
        .journal
        .check_dispatch(owner.now, running)
        .unwrap_err();
    assert_eq!(
        (refused.reason, refused.ran),
        (Reason::Draining, Ran::NotRun)
    );
}

#[test]
fn the_partition_of_a_key_does_not_depend_on_the_order_of_data_centres() {
    let names = ["dc-1", "dc-2", "dc-3", "dc-4"];
    let mut data_centres: Vec<DataCentre> = names.iter().map(|n| n.parse().unwrap()).collect();
    let customer = "acme".parse().unwrap();
    let assign =
        |data_centres: &[DataCentre], key| partition_of_key(&customer, key, data_centres, 8);
    let keys: Vec<String> = (0..100).map(|index| format!("key-{index}")).collect();
    let before: Vec<_> = keys.iter().map(|key| assign(&data_centres, key)).collect();
    data_centres.reverse();
    let after: Vec<_> = keys.iter().map(|key| assign(&data_centres, key)).collect();
    assert_eq!(before, after);
    let removed = data_centres.pop();
    let moved = keys
        .iter()
        .zip(&before)
        .filter(|(key, old)| assign(&data_centres, key) != **old);
    let of_removed = before
        .iter()
        .flatten()
        .filter(|partition| Some(&partition.data_centre) == removed.as_ref());
    assert_eq!(moved.count(), of_removed.count());
}

#[test]
fn the_partition_of_a_key_is_the_same_in_every_release() {
    let data_centres = ["dc-1", "dc-2"].map(|name| name.parse().unwrap());
    let partition = partition_of_key(&"acme".parse().unwrap(), "invoice-1", &data_centres, 8);
    assert_eq!(partition.unwrap().to_string(), "dc-1.1");
}

#[test]
fn settings_out_of_range_are_reported_by_name() {
    let cfg = JournalConfig {
        writes_per_second: 0,
        ..JournalConfig::default()
    };
    assert_eq!(cfg.check().unwrap_err().field, "writes_per_second");
    assert_eq!(JournalConfig::default().check(), Ok(()));
}
