//! Dispatch check and end of calls.

use super::call::CallEnd;
use super::call::Durability;
use super::call::Outcome;
use super::call::Reply;
use super::call::RequestId;
use super::document::Answer;
use super::document::OnceId;
use super::document::OnceState;
use super::document::StoredAnswer;
use super::machine::Call;
use super::machine::Journal;
use super::machine::LargeAnswer;
use super::machine::Phase;
use super::machine::Status;
use super::machine::Wait;
use super::machine::Waiter;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Moment;
use crate::units::Tokens;

impl Journal {
    /// Checks a permitted call again, just before its dispatch.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal: the call has not run and must not be dispatched, and
    /// its permit is void.
    pub fn check_dispatch(&mut self, now: Moment, request: RequestId) -> Result<()> {
        let refusal = self.dispatch_refusal(request);
        if let Some(refusal) = refusal {
            self.drop_undispatched(now, request);
            return Err(refusal);
        }
        let call = self
            .calls
            .get_mut(&request)
            .expect("dispatch_refusal found the call");
        call.phase = Phase::Dispatched;
        let program = call.spec.scope.program().cloned();
        let live = program.and_then(|program| self.programs.get_mut(&program));
        if let Some(live) = live {
            live.sequence.start(request);
        }
        Ok(())
    }

    fn dispatch_refusal(&self, request: RequestId) -> Option<Refusal> {
        if let Some(refusal) = self.closed_refusal() {
            return Some(refusal);
        }
        let cancelled = || Refusal::not_run(Reason::Cancelled, "the call has been given up");
        let Some(call) = self.calls.get(&request) else {
            return Some(cancelled());
        };
        let program = call.spec.scope.program();
        let is_over = program.is_some_and(|program| self.is_ended(program));
        (is_over || call.phase != Phase::Permitted).then(cancelled)
    }

    /// Ends a permitted call; replies [`Reply::Recorded`].
    pub fn finish(&mut self, now: Moment, request: RequestId, finished: CallEnd) -> RequestId {
        if matches!(self.status, Status::Deposed | Status::Released { .. }) {
            self.calls.remove(&request);
            self.reply(request, Reply::Recorded(Durability::Lost));
            return request;
        }
        let Some(call) = self.take_permitted(request) else {
            self.reply(request, Reply::Recorded(Durability::Lost));
            return request;
        };
        match finished.outcome {
            Outcome::NotRun => self.finish_not_run(now, request, &call),
            Outcome::Unknown => {
                self.settle(&call, call.spec.max_cost);
                self.advance_high_water(now, request, &call);
                self.reply(request, Reply::Recorded(Durability::Durable));
            }
            Outcome::Answered(answer) => {
                self.settle(&call, finished.cost);
                self.advance_high_water(now, request, &call);
                self.record_answer(now, request, &call, answer);
            }
        }
        self.deregister_call(now, &call);
        request
    }

    fn take_permitted(&mut self, request: RequestId) -> Option<Call> {
        let phase = self.calls.get(&request)?.phase;
        let is_permitted = matches!(phase, Phase::Permitted | Phase::Dispatched);
        let call = is_permitted.then(|| self.calls.remove(&request))??;
        if let Some(id) = call.once {
            self.in_flight.remove(&id);
        }
        Some(call)
    }

    fn finish_not_run(&mut self, now: Moment, request: RequestId, call: &Call) {
        self.roll_back(now, request, call);
        let durability = match call.once {
            Some(_) => Durability::Pending,
            None => Durability::Durable,
        };
        self.reply(request, Reply::Recorded(durability));
    }

    /// Reverts the charge, the intent and the position of a call that has not
    /// run.
    fn roll_back(&mut self, now: Moment, request: RequestId, call: &Call) {
        self.settle(call, Tokens(0));
        if let (Some(id), Some(_)) = (call.once, call.intent) {
            self.doc.once.remove(&id);
            self.sizes.remove_once(id);
            self.bump_revision(now);
        }
        let program = call.spec.scope.program();
        if let Some(live) = program.and_then(|program| self.programs.get_mut(program)) {
            live.sequence.remove(request);
        }
    }

    fn settle(&mut self, call: &Call, cost: Tokens) {
        let max_cost = call.spec.max_cost;
        if cost > max_cost {
            self.counters.overruns.add(1);
        }
        for program in &call.charged {
            let account = self
                .programs
                .get_mut(program)
                .and_then(|l| l.account.as_mut());
            if let Some(account) = account {
                account.settle(max_cost, cost);
            }
        }
    }

    /// Finishes a call that has, or may have, run, and raises its program's high
    /// water mark.
    fn advance_high_water(&mut self, now: Moment, request: RequestId, call: &Call) {
        let Some(program) = call.spec.scope.program() else {
            return;
        };
        let live = self.programs.get_mut(program);
        let Some(ordinal) = live.and_then(|live| live.sequence.finish(request)) else {
            return;
        };
        let Some(record) = self.doc.programs.get_mut(program) else {
            return;
        };
        if ordinal > record.high_water {
            record.high_water = ordinal;
            self.bump_revision(now);
        }
    }

    fn record_answer(
        &mut self,
        now: Moment,
        request: RequestId,
        call: &Call,
        answer: StoredAnswer,
    ) {
        let Some(id) = call.once else {
            self.reply(request, Reply::Recorded(Durability::Durable));
            return;
        };
        self.set_timeout(request, Some(now + self.cfg.commit_wait));
        let bytes = answer.encoded_len();
        if bytes > self.cfg.max_answer_bytes {
            self.record_outcome(now, request, id, Answer::Omitted);
        } else if bytes > self.cfg.inline_answer_bytes {
            self.unstored_answers.insert(id, answer);
            self.large_answers
                .push_back(LargeAnswer { once: id, request });
            let waiter = Waiter {
                wait: Wait::Record,
                revision: None,
            };
            self.waits.insert(request, waiter);
        } else {
            self.record_outcome(now, request, id, Answer::Inline(answer));
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        now: Moment,
        request: RequestId,
        id: OnceId,
        answer: Answer,
    ) {
        let record = self
            .doc
            .once
            .get_mut(&id)
            .expect("a permitted once-only call has a record");
        record.state = OnceState::Answered(answer);
        self.sizes.set_once(id, record);
        let revision = self.bump_revision(now);
        self.wait_for(request, Wait::Record, revision);
    }

    /// Abandons a call whose caller has disconnected or whose permit was dropped.
    ///
    /// A call that was not dispatched has not run, and its key can be used again;
    /// one that was dispatched ends with [`Outcome::Unknown`].
    pub fn abandon(&mut self, now: Moment, request: RequestId) {
        let phase = self.calls.get(&request).map(|call| call.phase);
        if phase == Some(Phase::Dispatched) {
            let finished = CallEnd {
                cost: Tokens(u64::MAX),
                outcome: Outcome::Unknown,
            };
            self.finish(now, request, finished);
        } else {
            self.drop_undispatched(now, request);
        }
    }

    /// Removes a call that was not dispatched and starts the calls behind it.
    fn drop_undispatched(&mut self, now: Moment, request: RequestId) {
        let Some(call) = self.remove_undispatched(now, request) else {
            self.stop_waiting(request);
            return;
        };
        self.deregister_call(now, &call);
    }

    fn remove_undispatched(&mut self, now: Moment, request: RequestId) -> Option<Call> {
        let call = self.calls.remove(&request)?;
        assert!(call.phase != Phase::Dispatched, "not-run-is-true");
        self.stop_waiting(request);
        self.set_timeout(request, None);
        if let Some(id) = call.once {
            self.in_flight.remove(&id);
        }
        self.roll_back(now, request, &call);
        Some(call)
    }

    fn deregister_call(&mut self, now: Moment, call: &Call) {
        if let Some(program) = call.spec.scope.program() {
            self.count_call(now, program, -1);
            self.advance(now, program);
        }
    }

    /// Refuses a call that was not dispatched and starts the calls behind it.
    pub(super) fn refuse(&mut self, now: Moment, request: RequestId, refusal: Refusal) {
        let call = self.remove_undispatched(now, request);
        self.reply(request, Reply::Refused(refusal));
        if let Some(call) = call {
            self.deregister_call(now, &call);
        }
    }

    /// Refuses a call that was not dispatched, without starting the calls behind
    /// it.
    pub(super) fn refuse_without_advance(
        &mut self,
        now: Moment,
        request: RequestId,
        refusal: Refusal,
    ) {
        if let Some(call) = self.remove_undispatched(now, request)
            && let Some(program) = call.spec.scope.program()
        {
            self.count_call(now, program, -1);
        }
        self.reply(request, Reply::Refused(refusal));
    }
}
