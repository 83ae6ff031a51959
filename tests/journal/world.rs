//! Simulation of hosts that compete for one partition, of an endpoint, and the
//! invariants checked after each step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::configs::journal::JournalConfig;
use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Written;
use chicoryarch::connection::platform::nonce_of;
use chicoryarch::ids::CustomerId;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Ordinal;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::ids::Version;
use chicoryarch::request::outcome::Ran;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::history::HistoryMode;
use chicoryarch::version::journal::Action;
use chicoryarch::version::journal::CallEnd;
use chicoryarch::version::journal::CallSpec;
use chicoryarch::version::journal::Digest;
use chicoryarch::version::journal::Document;
use chicoryarch::version::journal::Durability;
use chicoryarch::version::journal::Effect;
use chicoryarch::version::journal::Journal;
use chicoryarch::version::journal::JournalCounters;
use chicoryarch::version::journal::Once;
use chicoryarch::version::journal::OnceId;
use chicoryarch::version::journal::OnceState;
use chicoryarch::version::journal::Outcome;
use chicoryarch::version::journal::PartitionId;
use chicoryarch::version::journal::Permit;
use chicoryarch::version::journal::ProgramSpec;
use chicoryarch::version::journal::Reply;
use chicoryarch::version::journal::RequestId;
use chicoryarch::version::journal::Scope;
use chicoryarch::version::journal::Status;
use chicoryarch::version::journal::StoredAnswer;

use crate::steps::BeginStep;
use crate::steps::Fault;
use crate::steps::HOSTS;
use crate::steps::Step;
use crate::store::Store;

/// Maximum number of platform calls in one pump.
const MAX_PUMP_CALLS: usize = 6;

/// Stage of an attempt at its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Requested,
    Permitted,
    Checked,
    Dispatched,
    Done,
}

/// One attempt to run a call at one owner.
struct Attempt {
    request: RequestId,
    spec: CallSpec,
    once: Option<OnceId>,
    stage: Stage,
    permit: Option<Permit>,
    answer: Option<StoredAnswer>,
}

/// An active owner.
struct Owner {
    journal: Journal,
    io: Option<Action>,
    attempts: Vec<Attempt>,
    /// Intents that were open when the owner took over.
    open_at_takeover: BTreeSet<OnceId>,
    /// Highest started ordinal of each program.
    started: BTreeMap<ProgramId, Ordinal>,
}

/// A takeover that has read the journal but not written it.
struct Takeover {
    expected: Option<Version>,
    doc: Document,
}

#[derive(Default)]
struct Host {
    owner: Option<Owner>,
    takeover: Option<Takeover>,
    nonce: u64,
}

/// Event counts of a case, to check that the steps exercise every path.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) runs: u64,
    pub(crate) once_runs: u64,
    pub(crate) replays: u64,
    pub(crate) unknown: u64,
    pub(crate) not_run: u64,
    pub(crate) takeovers: u64,
    pub(crate) late_dispatches: u64,
    pub(crate) recorded: u64,
    pub(crate) archives: u64,
    pub(crate) archive_replays: u64,
}

pub(crate) struct World {
    now: Moment,
    store: Store,
    hosts: [Host; HOSTS],
    /// Whether the endpoint refuses a fencing token below the highest one received.
    checks_fence: bool,
    fence: Epoch,
    runs: BTreeMap<OnceId, StoredAnswer>,
    spent: BTreeMap<ProgramId, u64>,
    programs: Vec<(ProgramId, ProgramSpec)>,
    opening: BTreeMap<(usize, RequestId), ProgramSpec>,
    last_number: u64,
    pub(crate) totals: Totals,
}

fn partition() -> PartitionId {
    PartitionId {
        data_centre: "dc-1".parse().unwrap(),
        partition: Partition(0),
    }
}

fn customer(index: u8) -> CustomerId {
    format!("customer-{index}").parse().unwrap()
}

fn settings() -> JournalConfig {
    JournalConfig {
        budget_slice: 15,
        archive_above_bytes: 1500,
        inline_answer_bytes: 128,
        gap_wait: Duration::from_millis(300),
        commit_wait: Duration::from_millis(800),
        release_wait: Duration::from_millis(500),
        lazy_interval: Duration::from_millis(400),
        ..JournalConfig::default()
    }
}

/// Tokens that a run costs at the endpoint.
fn actual_cost(spec: &CallSpec) -> u64 {
    spec.max_cost.0 / 2 + 1
}

fn pick_from(pick: u8, from: &[usize]) -> Option<usize> {
    let index = usize::from(pick).checked_rem(from.len())?;
    from.get(index).copied()
}

impl World {
    pub(crate) fn new(checks_fence: bool) -> Self {
        Self {
            now: Moment::from_start(Duration::from_secs(1)),
            store: Store::default(),
            hosts: Default::default(),
            checks_fence,
            fence: Epoch(0),
            runs: BTreeMap::new(),
            spent: BTreeMap::new(),
            programs: Vec::new(),
            opening: BTreeMap::new(),
            last_number: 0,
            totals: Totals::default(),
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => self.now += Duration::from_millis(ms.into()),
            Step::ApplyLate(pick) => self.store.apply_late(pick),
            Step::SetOutage(out) => self.store.out = out,
            Step::AcquireRead(host) => self.acquire_read(host),
            Step::AcquireWrite(host, fault) => self.acquire_write(host, fault),
            Step::TakeOver(host) => self.take_over(host),
            Step::Kill(host) => self.hosts[host] = Host::default(),
            Step::Pump(host) => self.pump(self.owner_or(host)),
            Step::Poll(host) => self.poll(self.owner_or(host)),
            Step::Complete(host, fault) => self.complete(self.owner_or(host), fault),
            Step::Release(host) => {
                self.with_owner(self.owner_or(host), |journal, now| journal.release(now));
            }
            Step::Open {
                host,
                budget,
                parent,
            } => self.open(self.owner_or(host), budget, parent),
            Step::End(host, program) => self.end(self.owner_or(host), program),
            Step::Begin(host, begin) => self.begin(self.owner_or(host), begin),
            Step::RunCall {
                host,
                begin,
                answer,
            } => self.run_call(self.owner_or(host), begin, answer),
            Step::Check(host, pick) => self.check(self.owner_or(host), pick),
            Step::Dispatch(host, pick) => self.dispatch(self.owner_or(host), pick),
            Step::Finish { host, pick, large } => self.finish(self.owner_or(host), pick, large),
            Step::LoseAnswer(host, pick) => self.lose_answer(self.owner_or(host), pick),
            Step::NotRun(host, pick) => self.not_run(self.owner_or(host), pick),
            Step::Abandon(host, pick) => self.abandon(self.owner_or(host), pick),
        }
    }

    /// Selects one of the hosts that consider themselves the owner; `host` itself
    /// if there is none.
    fn owner_or(&self, host: usize) -> usize {
        let owns = |host: &usize| self.hosts[*host].owner.is_some();
        let owners: Vec<usize> = (0..HOSTS).filter(owns).collect();
        let index = host.checked_rem(owners.len());
        index.map_or(host, |index| owners[index])
    }

    fn take_over(&mut self, host: usize) {
        self.acquire_read(host);
        self.acquire_write(host, Fault::None);
    }

    fn run_call(&mut self, host: usize, begin: BeginStep, answer: bool) {
        if self.hosts[host].owner.is_none() {
            self.take_over(host);
        }
        self.begin(host, begin);
        self.now += Duration::from_millis(120);
        self.pump(host);
        self.check(host, u8::MAX);
        if answer {
            self.dispatch(host, u8::MAX);
            self.finish(host, u8::MAX, begin.body);
            self.now += Duration::from_millis(120);
            self.pump(host);
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn with_owner(&mut self, host: usize, action: impl FnOnce(&mut Journal, Moment)) {
        if let Some(owner) = &mut self.hosts[host].owner {
            action(&mut owner.journal, self.now);
        }
        self.deliver(host);
    }

    fn acquire_read(&mut self, host: usize) {
        let Ok(found) = self.store.read(Fault::None) else {
            return;
        };
        if self.hosts[host].owner.is_some() {
            return;
        }
        if self.hosts[host].nonce == 0 {
            self.hosts[host].nonce = self.next_number();
        }
        let stored = self.store.document();
        let epoch = stored
            .as_ref()
            .map(|doc| doc.header.epoch)
            .unwrap_or_default();
        let owner = Nonce(self.hosts[host].nonce);
        let doc = Journal::takeover_document(stored, epoch.next(), owner).expect("a higher epoch");
        let expected = found.map(|object| object.version);
        self.hosts[host].takeover = Some(Takeover { expected, doc });
    }

    fn acquire_write(&mut self, host: usize, fault: Fault) {
        let Some(takeover) = self.hosts[host].takeover.take() else {
            return;
        };
        let (nonce, value) = takeover.doc.encode();
        let written = self.store.write(takeover.expected, value, fault);
        let version = match written {
            Ok(Written::Done(version)) => Some(version),
            Ok(Written::Conflict) => None,
            Err(_) => self.read_back(nonce),
        };
        let Some(version) = version else {
            return;
        };
        let once = takeover.doc.once.iter();
        let open = once.filter(|(_, record)| record.state == OnceState::Open);
        let open_at_takeover = open.map(|(id, _)| *id).collect();
        let counters = Arc::<JournalCounters>::default();
        let doc = takeover.doc;
        let journal =
            Journal::from_document(partition(), settings(), counters, doc, version, self.now);
        self.totals.takeovers += 1;
        self.hosts[host].owner = Some(Owner {
            journal,
            io: None,
            attempts: Vec::new(),
            open_at_takeover,
            started: BTreeMap::new(),
        });
    }

    fn read_back(&self, nonce: Nonce) -> Option<Version> {
        let object = self.store.read(Fault::None).ok()??;
        (nonce_of(&object.value) == Some(nonce)).then_some(object.version)
    }

    fn pump(&mut self, host: usize) {
        for _ in 0..MAX_PUMP_CALLS {
            self.poll(host);
            self.complete(host, Fault::None);
        }
    }

    fn poll(&mut self, host: usize) {
        let Some(owner) = &mut self.hosts[host].owner else {
            return;
        };
        if owner.io.is_none() {
            match owner.journal.poll(self.now) {
                Action::Wait(_) => {}
                Action::Stop => {
                    self.deliver(host);
                    self.hosts[host].owner = None;
                    return;
                }
                io => owner.io = Some(io),
            }
        }
        self.deliver(host);
    }

    fn complete(&mut self, host: usize, fault: Fault) {
        let now = self.now;
        let Some(owner) = &mut self.hosts[host].owner else {
            return;
        };
        match owner.io.take() {
            Some(Action::Write(write)) => {
                assert!(write.value.len() <= owner.journal.size(), "size-is-a-bound");
                let expected = Some(write.expected);
                let written = self.store.write(expected, write.value, fault);
                owner.journal.finish_write(now, &written);
            }
            Some(Action::Read) => {
                let found = self.store.read(fault);
                owner.journal.finish_read(now, found);
            }
            Some(Action::StoreAnswer { name, answer }) => {
                let stored = self.store.read(fault).map(|_| ());
                if stored.is_ok() {
                    self.store.answers.entry(name).or_insert(answer);
                }
                owner.journal.finish_answer(now, &stored);
            }
            Some(Action::StoreArchive { name, archive }) => {
                let stored = self.store.read(fault).map(|_| ());
                if stored.is_ok() {
                    self.store.archives.entry(name).or_insert(archive);
                    self.totals.archives += 1;
                }
                owner.journal.finish_archive(now, &stored);
            }
            Some(Action::Remove(dropped)) => {
                let removed = self.store.read(fault).map(|_| ());
                self.store.answers.remove(&dropped.name);
                self.store.archives.remove(&dropped.name);
                owner.journal.finish_remove(now, &removed);
            }
            _ => {}
        }
        self.deliver(host);
    }

    fn deliver(&mut self, host: usize) {
        let Some(owner) = &mut self.hosts[host].owner else {
            return;
        };
        for effect in owner.journal.take_effects() {
            if let Effect::Reply(request, reply) = effect {
                self.reply(host, request, reply);
            }
        }
    }

    fn reply(&mut self, host: usize, request: RequestId, reply: Reply) {
        if let Some(spec) = self.opening.remove(&(host, request)) {
            if let Reply::Opened(program) = reply {
                self.store.opened.insert(program.clone());
                self.programs.push((program, spec));
            }
            return;
        }
        let Some(owner) = &mut self.hosts[host].owner else {
            return;
        };
        let attempt = owner
            .attempts
            .iter_mut()
            .find(|attempt| attempt.request == request);
        let Some(attempt) = attempt else {
            return;
        };
        match reply {
            Reply::Run(permit) => {
                assert_eq!(attempt.stage, Stage::Requested, "one-reply-per-request");
                if let Some(id) = attempt.once {
                    let intent = (owner.journal.epoch(), id);
                    assert!(
                        self.store.intents.contains(&intent),
                        "permit-needs-durable-intent"
                    );
                    assert!(
                        !owner.open_at_takeover.contains(&id),
                        "open-intent-never-runs-again"
                    );
                }
                attempt.stage = Stage::Permitted;
                attempt.permit = Some(permit);
            }
            Reply::Replay(answer) => {
                let id = attempt.once.expect("only once-only calls are replayed");
                let answer = self.store.answer(&answer);
                assert_eq!(answer.as_ref(), self.runs.get(&id), "replay-is-the-answer");
                attempt.stage = Stage::Done;
                self.totals.replays += 1;
            }
            Reply::Archived(archived) => {
                let archive = &self.store.archives[&archived.name];
                if let Ok(answer) = archived.resolve(archive) {
                    let answer = self.store.answer(&answer);
                    assert_eq!(
                        answer.as_ref(),
                        self.runs.get(&archived.id),
                        "replay-is-the-answer"
                    );
                    self.totals.archive_replays += 1;
                }
                attempt.stage = Stage::Done;
            }
            Reply::Refused(refusal) => {
                assert_eq!(attempt.stage, Stage::Requested, "one-reply-per-request");
                attempt.stage = Stage::Done;
                match refusal.ran {
                    Ran::NotRun => self.totals.not_run += 1,
                    Ran::Unknown => self.totals.unknown += 1,
                }
            }
            Reply::Recorded(Durability::Durable) => {
                if let (Some(id), Some(answer)) = (attempt.once, attempt.answer.take()) {
                    self.store.recorded.insert(id, answer);
                    self.totals.recorded += 1;
                }
            }
            _ => {}
        }
    }

    fn open(&mut self, host: usize, budget: u8, parent: Option<u8>) {
        let random = self.next_number();
        let programs: Vec<usize> = (0..self.programs.len()).collect();
        let parent = parent.and_then(|pick| pick_from(pick, &programs));
        let spec = ProgramSpec {
            customer: customer(0),
            budget: Some(Tokens(budget.into())),
            parent: parent.map(|index| self.programs[index].0.clone()),
            history: HistoryMode::Carried,
        };
        let Some(owner) = &mut self.hosts[host].owner else {
            return;
        };
        let request = owner.journal.open(self.now, random, spec.clone());
        self.opening.insert((host, request), spec);
        self.deliver(host);
    }

    fn end(&mut self, host: usize, program: u8) {
        let programs: Vec<usize> = (0..self.programs.len()).collect();
        if let Some(index) = pick_from(program, &programs) {
            let program = self.programs[index].0.clone();
            self.with_owner(host, |journal, now| {
                journal.end(now, &program, &customer(0));
            });
        }
    }

    fn begin(&mut self, host: usize, begin: BeginStep) {
        let programs: Vec<usize> = (0..self.programs.len()).collect();
        let index = begin.program.and_then(|pick| pick_from(pick, &programs));
        let once = begin.key.map(|key| Once {
            key: format!("key-{key}"),
            body: Digest::of(&[u8::from(begin.body)]),
        });
        let scope = match index {
            Some(index) => Scope::Program(self.programs[index].0.clone()),
            None => Scope::Single(partition()),
        };
        let spec = CallSpec {
            scope,
            customer: customer(begin.customer),
            ordinal: begin.ordinal.map(|ordinal| Ordinal(ordinal.into())),
            max_cost: Tokens(begin.cost.into()),
            repeatable: once.is_none(),
            once,
            deadline: self.now + Duration::from_secs(5),
        };
        let Some(owner) = &mut self.hosts[host].owner else {
            return;
        };
        let once_id = |once: &Once| OnceId::new(&spec.customer, spec.scope.program(), &once.key);
        let once = spec.once.as_ref().map(once_id);
        let request = owner.journal.begin(self.now, spec.clone());
        owner.attempts.push(Attempt {
            request,
            spec,
            once,
            stage: Stage::Requested,
            permit: None,
            answer: None,
        });
        self.deliver(host);
    }

    fn pick(&mut self, host: usize, pick: u8, stages: &[Stage]) -> Option<(&mut Owner, usize)> {
        let owner = self.hosts[host].owner.as_mut()?;
        let matching = |index: &usize| stages.contains(&owner.attempts[*index].stage);
        let matching: Vec<usize> = (0..owner.attempts.len()).filter(matching).collect();
        let index = pick_from(pick, &matching)?;
        Some((owner, index))
    }

    fn check(&mut self, host: usize, pick: u8) {
        let now = self.now;
        let Some((owner, index)) = self.pick(host, pick, &[Stage::Permitted]) else {
            return;
        };
        let is_running = |attempt: &Attempt| {
            matches!(attempt.stage, Stage::Checked | Stage::Dispatched)
                && attempt.spec.scope.program().is_some()
                && attempt.spec.scope == owner.attempts[index].spec.scope
        };
        assert!(
            !owner.attempts.iter().any(is_running),
            "one-call-of-a-program-at-a-time"
        );
        let attempt = &mut owner.attempts[index];
        if owner.journal.check_dispatch(now, attempt.request).is_err() {
            attempt.stage = Stage::Done;
            self.totals.not_run += 1;
        } else {
            attempt.stage = Stage::Checked;
            let status = owner.journal.status();
            assert_eq!(status, Status::Active, "no-dispatch-after-loss");
        }
        self.deliver(host);
    }

    /// Runs a checked call at the endpoint, regardless of the time since the check.
    fn dispatch(&mut self, host: usize, pick: u8) {
        let (checks_fence, fence) = (self.checks_fence, self.fence);
        let stored = self.store.document().map(|doc| doc.header.epoch);
        let Some((owner, index)) = self.pick(host, pick, &[Stage::Checked]) else {
            return;
        };
        let epoch = owner.journal.epoch();
        if checks_fence && epoch < fence {
            self.finish_with(host, index, 0, Outcome::NotRun);
            return;
        }
        let attempt = &mut owner.attempts[index];
        attempt.stage = Stage::Dispatched;
        let permit = attempt.permit.as_ref().expect("the attempt was permitted");
        if let (Some(program), Some(ordinal)) = (&permit.program, permit.ordinal) {
            let started = owner.started.entry(program.clone()).or_default();
            let is_in_order =
                ordinal > *started || (ordinal == *started && attempt.spec.repeatable);
            assert!(is_in_order, "starts-in-order");
            *started = ordinal;
        }
        let (once, cost) = (attempt.once, actual_cost(&attempt.spec));
        let program = attempt.spec.scope.program().cloned();
        self.fence = fence.max(epoch);
        self.totals.runs += 1;
        self.totals.late_dispatches += u64::from(Some(epoch) < stored);
        if let Some(id) = once {
            self.totals.once_runs += 1;
            let run = StoredAnswer {
                status: 200,
                content_type: None,
                body: self.next_number().to_string().into_bytes(),
            };
            let old = self.runs.insert(id, run);
            assert!(old.is_none(), "once-only-runs-at-most-once");
        }
        self.spend(program, cost);
    }

    /// Charges a run's cost to its program and the program's ancestors.
    fn spend(&mut self, mut program: Option<ProgramId>, cost: u64) {
        let stored = self.store.document().expect("an owner has written it");
        while let Some(id) = program {
            let found = self.programs.iter().find(|(known, _)| *known == id);
            let (_, spec) = found.expect("calls run in known programs");
            let spent = self.spent.entry(id.clone()).or_default();
            *spent += cost;
            let budget = spec.budget.expect("all have a budget here");
            assert!(*spent <= budget.0, "spent-within-budget");
            let reserved = stored.programs[&id].reserved;
            assert!(*spent <= reserved.0, "spent-within-reservation");
            program = spec.parent.clone();
        }
    }

    fn finish(&mut self, host: usize, pick: u8, large: bool) {
        let runs = self.runs.clone();
        let Some((owner, index)) = self.pick(host, pick, &[Stage::Dispatched]) else {
            return;
        };
        let attempt = &mut owner.attempts[index];
        let cost = actual_cost(&attempt.spec);
        let mut answer = StoredAnswer {
            status: 200,
            content_type: None,
            body: b"again".to_vec(),
        };
        if let Some(id) = attempt.once {
            answer = runs[&id].clone();
            answer.body.resize(if large { 300 } else { 20 }, b'.');
            self.runs.insert(id, answer.clone());
        }
        self.finish_with(host, index, cost, Outcome::Answered(answer));
    }

    fn lose_answer(&mut self, host: usize, pick: u8) {
        if let Some((_, index)) = self.pick(host, pick, &[Stage::Dispatched]) {
            self.finish_with(host, index, 0, Outcome::Unknown);
        }
    }

    fn not_run(&mut self, host: usize, pick: u8) {
        if let Some((_, index)) = self.pick(host, pick, &[Stage::Checked]) {
            self.finish_with(host, index, 0, Outcome::NotRun);
        }
    }

    fn finish_with(&mut self, host: usize, index: usize, cost: u64, outcome: Outcome) {
        let Some(owner) = &mut self.hosts[host].owner else {
            return;
        };
        let attempt = &mut owner.attempts[index];
        attempt.stage = Stage::Done;
        if let Outcome::Answered(answer) = &outcome {
            attempt.answer = Some(answer.clone());
        }
        let finished = CallEnd {
            cost: Tokens(cost),
            outcome,
        };
        owner.journal.finish(self.now, attempt.request, finished);
        self.deliver(host);
    }

    fn abandon(&mut self, host: usize, pick: u8) {
        let stages = [Stage::Requested, Stage::Permitted, Stage::Dispatched];
        let now = self.now;
        if let Some((owner, index)) = self.pick(host, pick, &stages) {
            let attempt = &mut owner.attempts[index];
            attempt.stage = Stage::Done;
            owner.journal.abandon(now, attempt.request);
        }
        self.deliver(host);
    }
}
