//! Group commit: when the journal is written, and how the outcome of a write is
//! determined.

use super::JOURNAL_KIND;
use super::archive::Archive;
use super::call::Durability;
use super::call::Reply;
use super::call::RequestId;
use super::document::Answer;
use super::document::Document;
use super::document::Header;
use super::document::OnceId;
use super::machine::Journal;
use super::machine::Phase;
use super::machine::Status;
use super::machine::Timer;
use super::machine::UnreferencedObject;
use super::machine::Wait;
use super::machine::Waiter;
use super::partition::PartitionId;
use crate::connection::platform::Nonce;
use crate::connection::platform::Object;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::connection::platform::decode;
use crate::ids::Version;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::units::Moment;

/// A conditional write of the journal's object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriteRequest {
    /// Version that the stored object must have for the write to apply.
    pub expected: Version,
    /// Nonce of the value's envelope.
    pub nonce: Nonce,
    /// The encoded document in its envelope.
    pub value: Vec<u8>,
}

/// The owner's next step; at most one platform call is in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the journal, then call [`Journal::finish_write`].
    Write(WriteRequest),
    /// Read the journal, then call [`Journal::finish_read`].
    Read,
    /// Create an object of kind [`ANSWER_KIND`](super::ANSWER_KIND), then call
    /// [`Journal::finish_answer`].
    StoreAnswer {
        /// Name of the object.
        name: String,
        /// The answer.
        answer: super::StoredAnswer,
    },
    /// Create an object of kind [`ARCHIVE_KIND`](super::ARCHIVE_KIND), then call
    /// [`Journal::finish_archive`].
    StoreArchive {
        /// Name of the object.
        name: String,
        /// Contents of the object.
        archive: Archive,
    },
    /// Remove an object, then call [`Journal::finish_remove`].
    Remove(UnreferencedObject),
    /// Wait for a request or until this moment, if any.
    Wait(Option<Moment>),
    /// Stop, since the partition is released or lost.
    Stop,
}

/// The platform call in flight; invariant `one-write-in-flight`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Io {
    /// No call is in flight.
    Idle,
    /// The journal is being written at this revision.
    Writing(u64),
    /// The outcome of a write is unknown and has to be read.
    Unsettled,
    /// The journal is being read to determine the outcome of a write.
    Settling,
    /// The object of an answer is being created.
    Storing(OnceId, RequestId),
    /// The object of an archive is being created.
    Archiving,
    /// An object is being removed.
    Removing,
}

impl Journal {
    /// Runs timers that are due and returns the next action.
    pub fn poll(&mut self, now: Moment) -> Action {
        self.run_timers(now);
        self.advance_release(now);
        if matches!(self.status, Status::Deposed | Status::Released { .. }) {
            return Action::Stop;
        }
        match self.io {
            Io::Idle => self.poll_idle(now),
            Io::Unsettled if self.pacer.next_try() <= now => {
                self.io = Io::Settling;
                self.counters.settling_reads.add(1);
                Action::Read
            }
            Io::Unsettled => self.wait(Some(self.pacer.next_try())),
            _ => self.wait(None),
        }
    }

    fn poll_idle(&mut self, now: Moment) -> Action {
        if let Some(large) = self.large_answers.front() {
            let (once, request) = (large.once, large.request);
            if self.pacer.next_try() <= now {
                return self.store_answer(once, request);
            }
        }
        if self.pacer.next_try() <= now
            && let Some(archive) = self.poll_archive()
        {
            return archive;
        }
        match self.write_due() {
            Some(at) if at <= now => Action::Write(self.write(now)),
            Some(at) => self.wait(Some(at)),
            None => self.poll_clean(now),
        }
    }

    /// Returns the next action of a journal that needs no write.
    fn poll_clean(&mut self, now: Moment) -> Action {
        let has_backlog = !self.large_answers.is_empty() || !self.unreferenced.is_empty();
        if !has_backlog {
            return self.wait(None);
        }
        let next_try = self.pacer.next_try();
        match self.unreferenced.front() {
            Some(object) if next_try <= now => {
                self.io = Io::Removing;
                Action::Remove(object.clone())
            }
            _ => self.wait(Some(next_try)),
        }
    }

    fn wait(&self, until: Option<Moment>) -> Action {
        let timer = self.timers.first().map(|(at, _)| *at);
        Action::Wait(until.into_iter().chain(timer).min())
    }

    fn write_due(&self) -> Option<Moment> {
        let dirty_since = self.dirty_since?;
        // After failures the next write also probes whether the platform is back.
        let is_urgent = !self.commits.is_empty() || self.is_flushing() || self.pacer.is_failing();
        let lazy_due = match is_urgent {
            true => Moment::default(),
            false => dirty_since + self.cfg.lazy_interval,
        };
        Some(lazy_due.max(self.pacer.next_write()))
    }

    fn is_flushing(&self) -> bool {
        matches!(self.status, Status::Flushing { .. })
    }

    fn write(&mut self, now: Moment) -> WriteRequest {
        assert_eq!(self.io, Io::Idle, "one-write-in-flight");
        self.doc.header.clock_ms = self.clock_ms(now);
        self.io = Io::Writing(self.doc.header.revision);
        self.dirty_since = None;
        self.pacer.record_start(now);
        let (nonce, value) = self.doc.encode();
        self.counters.writes.add(1);
        self.counters.written_bytes.add(value.len() as u64);
        WriteRequest {
            expected: self.version,
            nonce,
            value,
        }
    }

    fn store_answer(&mut self, once: OnceId, request: RequestId) -> Action {
        self.io = Io::Storing(once, request);
        Action::StoreAnswer {
            name: answer_object_name(&self.id, once),
            answer: self.unstored_answers[&once].clone(),
        }
    }

    /// Applies the result of [`Action::Write`].
    pub fn finish_write(&mut self, now: Moment, result: &Result<Written, PlatformError>) {
        let Io::Writing(revision) = self.io else {
            panic!("one-write-in-flight");
        };
        match result {
            Ok(Written::Done(version)) => {
                self.io = Io::Idle;
                self.version = *version;
                self.pacer.record_success(now);
                self.confirm(now, revision);
            }
            // Another owner wrote, or an earlier write of this owner applied late.
            Ok(Written::Conflict) => self.io = Io::Unsettled,
            Err(_) => {
                self.io = Io::Unsettled;
                self.counters.failures.add(1);
                self.pacer.record_failure(now);
            }
        }
    }

    /// Applies the result of [`Action::Read`], which determines the outcome of a
    /// write.
    pub fn finish_read(&mut self, now: Moment, result: Result<Option<Object>, PlatformError>) {
        assert_eq!(self.io, Io::Settling, "one-write-in-flight");
        let Ok(found) = result else {
            self.io = Io::Unsettled;
            self.counters.failures.add(1);
            self.pacer.record_failure(now);
            return;
        };
        let ours = found.and_then(|object| self.own_header(&object));
        let Some((version, header)) = ours else {
            self.depose(now);
            return;
        };
        self.io = Io::Idle;
        self.version = version;
        if header.revision > self.durable {
            self.pacer.reset_failures();
        }
        self.confirm(now, header.revision);
        if self.doc.header.revision > self.durable {
            self.dirty_since.get_or_insert(now);
        }
    }

    /// Version and header of a stored journal, `None` if another owner wrote it
    /// or it cannot be decoded.
    fn own_header(&self, object: &Object) -> Option<(Version, Header)> {
        let stored: Document = decode(JOURNAL_KIND, object).ok()?;
        let ours = self.doc.header;
        let header = stored.header;
        let is_ours = header.epoch == ours.epoch && header.owner == ours.owner;
        is_ours.then_some((object.version, header))
    }

    /// Applies the result of [`Action::StoreAnswer`].
    pub fn finish_answer(&mut self, now: Moment, result: &Result<(), PlatformError>) {
        let Io::Storing(once, request) = self.io else {
            panic!("one-write-in-flight");
        };
        self.io = Io::Idle;
        if result.is_err() {
            self.counters.failures.add(1);
            self.pacer.record_failure(now);
            return;
        }
        self.pacer.reset_failures();
        self.large_answers.pop_front();
        self.unstored_answers.remove(&once);
        let name = answer_object_name(&self.id, once);
        let is_waiting = self.waits.contains_key(&request);
        self.record_outcome(now, request, once, Answer::Object(name));
        if !is_waiting {
            self.stop_waiting(request);
        }
    }

    /// Applies the result of [`Action::Remove`].
    pub fn finish_remove(&mut self, now: Moment, result: &Result<(), PlatformError>) {
        assert_eq!(self.io, Io::Removing, "one-write-in-flight");
        self.io = Io::Idle;
        if result.is_err() {
            self.counters.failures.add(1);
            self.pacer.record_failure(now);
            return;
        }
        self.pacer.reset_failures();
        self.unreferenced.pop_front();
    }

    /// Records that the journal is durable up to a revision and completes the
    /// requests that waited for it.
    fn confirm(&mut self, now: Moment, revision: u64) {
        assert!(revision <= self.doc.header.revision, "durable-is-a-prefix");
        self.durable = self.durable.max(revision);
        for live in self.programs.values_mut() {
            if let Some(account) = &mut live.account {
                account.confirm(self.durable);
            }
        }
        let later = self.commits.split_off(&(self.durable + 1, RequestId(0)));
        let done = std::mem::replace(&mut self.commits, later);
        for (_, request) in done {
            self.complete_commit(now, request);
        }
    }

    fn complete_commit(&mut self, now: Moment, request: RequestId) {
        let Some(Waiter { wait, .. }) = self.waits.remove(&request) else {
            return;
        };
        match wait {
            Wait::Begin => self.complete_begin(now, request),
            Wait::Record => self.reply(request, Reply::Recorded(Durability::Durable)),
            Wait::Open(_) | Wait::End => self.reply_opened_or_ended(request, &wait),
        }
    }

    fn complete_begin(&mut self, now: Moment, request: RequestId) {
        let call = &self.calls[&request];
        let program = call.spec.scope.program();
        if program.is_some_and(|program| self.is_ended(program)) {
            let refusal = Refusal::not_run(Reason::Cancelled, "the program has ended");
            self.refuse(now, request, refusal);
        } else {
            self.permit(request);
        }
    }

    fn run_timers(&mut self, now: Moment) {
        while self.timers.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, timer)) = self.timers.pop_first() else {
                return;
            };
            match timer {
                Timer::Timeout(request) => self.time_out(now, request),
                Timer::Gap(program) => self.check_gap(now, &program),
                Timer::Idle(program) => self.check_idle(now, &program),
                Timer::Sweep => {
                    self.sweep(now);
                    self.timers
                        .insert((now + self.sweep_interval(), Timer::Sweep));
                }
            }
        }
    }

    fn time_out(&mut self, now: Moment, request: RequestId) {
        self.timeouts.remove(&request);
        let phase = self.calls.get(&request).map(|call| call.phase);
        if phase == Some(Phase::Turn) {
            let detail = "the call's deadline passed before its turn";
            self.refuse(now, request, Refusal::not_run(Reason::Overloaded, detail));
            return;
        }
        match self.stop_waiting(request) {
            Some(Wait::Begin) => {
                let refusal = self.unavailable_refusal();
                self.refuse(now, request, refusal);
            }
            Some(Wait::Record) => self.reply(request, Reply::Recorded(Durability::Pending)),
            Some(Wait::Open(program)) => {
                self.undo_open(now, &program);
                let refusal = self.unavailable_refusal();
                self.reply(request, Reply::Refused(refusal));
            }
            Some(Wait::End) => self.reply(request, Reply::Ended(Durability::Pending)),
            None => {}
        }
    }
}

fn answer_object_name(id: &PartitionId, once: OnceId) -> String {
    format!("{id}.{once}")
}
