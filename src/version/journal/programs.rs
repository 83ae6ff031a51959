//! Opening and ending of programs, and retention of ended entries.

use std::time::Duration;

use super::ANSWER_KIND;
use super::budget::Account;
use super::call::Durability;
use super::call::Effect;
use super::call::ProgramEnd;
use super::call::ProgramSpec;
use super::call::Reply;
use super::call::RequestId;
use super::document::Answer;
use super::document::OnceId;
use super::document::OnceRecord;
use super::document::OnceState;
use super::document::ProgramRecord;
use super::machine::Journal;
use super::machine::LiveProgram;
use super::machine::Timer;
use super::machine::UnreferencedObject;
use super::machine::Wait;
use super::order::Sequence;
use super::size::Sizes;
use crate::ids::CustomerId;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Moment;
use crate::units::Tokens;

impl Journal {
    /// Opens a program whose id contains the random number.
    ///
    /// The number must be unused in the partition. Replies [`Reply::Opened`] once
    /// the program is durable, or a refusal.
    pub fn open(&mut self, now: Moment, random: u64, spec: ProgramSpec) -> RequestId {
        let request = self.new_request();
        match self.try_open(now, random, spec) {
            Ok(id) => {
                let revision = self.doc.header.revision;
                self.wait_for(request, Wait::Open(id), revision);
                self.set_timeout(request, Some(now + self.cfg.commit_wait));
            }
            Err(refusal) => self.reply(request, Reply::Refused(refusal)),
        }
        request
    }

    fn try_open(&mut self, now: Moment, random: u64, spec: ProgramSpec) -> Result<ProgramId> {
        let id = ProgramId {
            data_centre: self.id.data_centre.clone(),
            partition: self.id.partition,
            random,
        };
        self.check_open(&id, &spec)?;
        let record = ProgramRecord {
            customer: spec.customer,
            parent: spec.parent,
            budget: spec.budget,
            reserved: Tokens(0),
            high_water: Ordinal(0),
            ended_ms: None,
            history: spec.history,
        };
        self.make_room(now, Sizes::program_size(&id, &record))?;
        let new_account = |budget| Account::recover(budget, Tokens(0));
        let live = LiveProgram {
            sequence: Sequence::default(),
            account: spec.budget.map(new_account),
            last_active: now,
            gap_since: None,
            calls: 0,
            children: 0,
        };
        let idle = Timer::Idle(id.clone());
        self.timers.insert((now + self.cfg.idle_end, idle));
        self.sizes.set_program(&id, &record);
        self.count_child(record.parent.as_ref(), 1);
        self.doc.programs.insert(id.clone(), record);
        self.programs.insert(id.clone(), live);
        self.bump_revision(now);
        Ok(id)
    }

    fn check_open(&self, id: &ProgramId, spec: &ProgramSpec) -> Result<()> {
        if let Some(refusal) = self.closed_refusal() {
            return Err(refusal);
        }
        if self.pacer.is_platform_out() {
            return Err(self.unavailable_refusal());
        }
        if self.doc.programs.contains_key(id) {
            return Err(bad_request("the program id is in use"));
        }
        let Some(parent) = &spec.parent else {
            let has_budget = spec.budget.is_some();
            return has_budget
                .then_some(())
                .ok_or_else(|| bad_request("a program needs a budget"));
        };
        self.check_program(parent, &spec.customer)?;
        if self.chain(parent).len() > self.cfg.max_depth {
            return Err(bad_request("the chain of sub-agents is too long"));
        }
        Ok(())
    }

    /// Checks that a program has not ended and belongs to the customer.
    pub(super) fn check_program(&self, program: &ProgramId, customer: &CustomerId) -> Result<()> {
        let record = self.doc.programs.get(program);
        let is_owned = record.is_some_and(|record| record.customer == *customer);
        if is_owned && !self.is_ended(program) {
            return Ok(());
        }
        Err(Refusal::not_run(
            Reason::UnknownProgram,
            "the program does not exist, has ended or belongs to another customer",
        ))
    }

    /// A program and its ancestors, the root last.
    pub(super) fn chain(&self, program: &ProgramId) -> Vec<ProgramId> {
        let mut chain = vec![program.clone()];
        let parent_of = |id: &ProgramId| self.doc.programs.get(id)?.parent.clone();
        while let Some(parent) = chain.last().and_then(parent_of) {
            chain.push(parent);
        }
        chain
    }

    /// Ends a program and its sub-agents.
    ///
    /// Calls that have not started are refused; running ones continue. Replies
    /// [`Reply::Ended`], or a refusal.
    pub fn end(&mut self, now: Moment, program: &ProgramId, customer: &CustomerId) -> RequestId {
        let request = self.new_request();
        let checked = match self.closed_refusal() {
            Some(refusal) => Err(refusal),
            None => self.check_program(program, customer),
        };
        if let Err(refusal) = checked {
            self.reply(request, Reply::Refused(refusal));
            return request;
        }
        self.end_tree(now, program);
        let revision = self.doc.header.revision;
        self.wait_for(request, Wait::End, revision);
        self.set_timeout(request, Some(now + self.cfg.commit_wait));
        request
    }

    pub(super) fn count_child(&mut self, parent: Option<&ProgramId>, delta: isize) {
        if let Some(live) = parent.and_then(|id| self.programs.get_mut(id)) {
            live.children = live.children.saturating_add_signed(delta);
        }
    }

    pub(super) fn end_tree(&mut self, now: Moment, program: &ProgramId) {
        let live = self.programs.get(program);
        if live.is_some_and(|live| live.children == 0) {
            self.end_one(now, program);
            return;
        }
        let ids: Vec<ProgramId> = self.programs.keys().cloned().collect();
        for id in ids {
            if self.chain(&id).contains(program) {
                self.end_one(now, &id);
            }
        }
    }

    fn end_one(&mut self, now: Moment, program: &ProgramId) {
        let ended_ms = self.clock_ms(now);
        let Some(record) = self.doc.programs.get_mut(program) else {
            return;
        };
        if record.ended_ms.is_some() {
            return;
        }
        record.ended_ms = Some(ended_ms);
        self.sizes.set_program(program, record);
        self.bump_revision(now);
        self.counters.programs_ended.add(1);
        let live = self.programs.get(program);
        let waiting: Vec<RequestId> = live
            .into_iter()
            .flat_map(|l| l.sequence.waiting())
            .collect();
        for request in waiting {
            let refusal = Refusal::not_run(Reason::Cancelled, "the program has ended");
            self.refuse(now, request, refusal);
        }
        self.drop_if_finished(program);
    }

    /// Removes an ended program from memory once its last call has finished.
    pub(super) fn drop_if_finished(&mut self, program: &ProgramId) {
        let Some(record) = self.doc.programs.get(program) else {
            return;
        };
        // Running sub-agents still charge this program's account.
        let is_idle = |live: &LiveProgram| live.sequence.is_idle() && live.children == 0;
        if record.ended_ms.is_none() || !self.programs.get(program).is_some_and(is_idle) {
            return;
        }
        let end = ProgramEnd {
            program: program.clone(),
            customer: record.customer.clone(),
            epoch: self.epoch(),
        };
        let parent = record.parent.clone();
        self.programs.remove(program);
        self.effects.push(Effect::ProgramEnded(end));
        if let Some(parent) = parent {
            self.count_child(Some(&parent), -1);
            self.drop_if_finished(&parent);
        }
    }

    pub(super) fn is_ended(&self, program: &ProgramId) -> bool {
        let record = self.doc.programs.get(program);
        record.is_none_or(|record| record.ended_ms.is_some())
    }

    /// Adjusts the call counts of a program and its ancestors.
    pub(super) fn count_call(&mut self, now: Moment, program: &ProgramId, delta: isize) {
        for id in self.chain(program) {
            if let Some(live) = self.programs.get_mut(&id) {
                live.last_active = now;
                live.calls = live.calls.saturating_add_signed(delta);
            }
        }
    }

    /// Ends a program that has been idle for `idle_end`, or schedules the next
    /// check.
    pub(super) fn check_idle(&mut self, now: Moment, program: &ProgramId) {
        let Some(live) = self.programs.get(program) else {
            return;
        };
        let idle_at = live.last_active + self.cfg.idle_end;
        if live.calls > 0 {
            let later = Timer::Idle(program.clone());
            self.timers.insert((now + self.cfg.idle_end, later));
        } else if idle_at > now {
            self.timers.insert((idle_at, Timer::Idle(program.clone())));
        } else {
            self.end_tree(now, program);
        }
    }

    /// Time between two sweeps for entries past their retention.
    pub(super) fn sweep_interval(&self) -> Duration {
        self.cfg.ended_retention.min(self.cfg.once_retention)
    }

    /// Removes entries past their retention.
    pub(super) fn sweep(&mut self, now: Moment) {
        let clock_ms = self.clock_ms(now);
        let is_past = |since: u64, retention: Duration| {
            u128::from(clock_ms.saturating_sub(since)) > retention.as_millis()
        };
        let is_old = |id: &OnceId, record: &OnceRecord| {
            is_past(record.at_ms, self.cfg.once_retention) && !self.in_flight.contains_key(id)
        };
        let once = self
            .doc
            .once
            .iter()
            .filter(|(id, record)| is_old(id, record));
        let once: Vec<OnceId> = once.map(|(id, _)| *id).collect();
        let has_ended = |id: &ProgramId, record: &ProgramRecord| {
            let ended = record.ended_ms;
            ended.is_some_and(|at| is_past(at, self.cfg.ended_retention))
                && !self.programs.contains_key(id)
        };
        let programs = self.doc.programs.iter();
        let programs = programs.filter(|(id, record)| has_ended(id, record));
        let programs: Vec<ProgramId> = programs.map(|(id, _)| id.clone()).collect();
        let once_retention = self.cfg.once_retention;
        let archives = self.sweep_archives(|newest| is_past(newest, once_retention));
        if once.is_empty() && programs.is_empty() && !archives {
            return;
        }
        for id in once {
            self.drop_once(id);
        }
        for id in programs {
            self.doc.programs.remove(&id);
            self.sizes.remove_program(&id);
        }
        self.bump_revision(now);
    }

    /// Drops the record of a once-only call and, once that is durable, the object
    /// of its answer.
    fn drop_once(&mut self, id: OnceId) {
        let record = self.doc.once.remove(&id);
        self.sizes.remove_once(id);
        if let Some(OnceState::Answered(Answer::Object(name))) = record.map(|r| r.state) {
            let kind = ANSWER_KIND;
            self.unreferenced
                .push_back(UnreferencedObject { kind, name });
        }
    }

    /// Checks that an entry fits in the journal; sweeps first if it does not.
    pub(super) fn make_room(&mut self, now: Moment, bytes: usize) -> Result<()> {
        let fits = |journal: &Self| journal.size() + bytes <= journal.cfg.max_journal_bytes;
        if fits(self) {
            return Ok(());
        }
        self.sweep(now);
        if fits(self) {
            Ok(())
        } else {
            Err(self.full_refusal())
        }
    }

    /// Removes a program whose id was never returned to the caller.
    pub(super) fn undo_open(&mut self, now: Moment, program: &ProgramId) {
        let record = self.doc.programs.remove(program);
        let parent = record.and_then(|record| record.parent);
        self.count_child(parent.as_ref(), -1);
        self.programs.remove(program);
        self.sizes.remove_program(program);
        self.bump_revision(now);
    }

    pub(super) fn reply_opened_or_ended(&mut self, request: RequestId, wait: &Wait) {
        let reply = match wait {
            Wait::Open(id) => Reply::Opened(id.clone()),
            _ => Reply::Ended(Durability::Durable),
        };
        self.reply(request, reply);
    }
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
