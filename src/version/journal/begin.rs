//! Start of calls: idempotency keys, order, budget and intent.

use super::budget::Coverage;
use super::call::ArchivedCall;
use super::call::CallSpec;
use super::call::Permit;
use super::call::Reply;
use super::call::RequestId;
use super::call::Scope;
use super::call::conflicting_key;
use super::document::Answer;
use super::document::OnceId;
use super::document::OnceRecord;
use super::document::OnceState;
use super::machine::Call;
use super::machine::Journal;
use super::machine::Phase;
use super::machine::Status;
use super::machine::Timer;
use super::machine::Wait;
use super::order::OrderError;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Moment;
use crate::units::Tokens;

impl Journal {
    /// Requests the start of a call.
    ///
    /// Replies [`Reply::Run`] once it is the call's turn and its intent and
    /// reservation are durable, [`Reply::Replay`] or [`Reply::Archived`] if the
    /// call has run before, or a refusal.
    pub fn begin(&mut self, now: Moment, spec: CallSpec) -> RequestId {
        let request = self.new_request();
        if let Some(reply) = self.duplicate_reply(&spec) {
            self.reply(request, reply);
            return request;
        }
        if let Err(refusal) = self.enqueue(now, request, spec) {
            self.reply(request, Reply::Refused(refusal));
        }
        request
    }

    /// The reply to a call whose idempotency key is already in use, `None` for a
    /// new or absent key.
    fn duplicate_reply(&self, spec: &CallSpec) -> Option<Reply> {
        let once = spec.once.as_ref()?;
        let id = spec.once_id()?;
        if let Some(name) = self.archived.get(&id) {
            return Some(Reply::Archived(ArchivedCall {
                name: name.clone(),
                id,
                body: once.body,
            }));
        }
        if self.body_digest(id)? != once.body {
            return Some(Reply::Refused(conflicting_key()));
        }
        Some(self.recorded_reply(id))
    }

    fn body_digest(&self, id: OnceId) -> Option<super::Digest> {
        let recorded = self.doc.once.get(&id).map(|record| record.body);
        let waiting = || {
            let request = self.in_flight.get(&id)?;
            let once = self.calls.get(request)?.spec.once.as_ref()?;
            Some(once.body)
        };
        recorded.or_else(waiting)
    }

    fn recorded_reply(&self, id: OnceId) -> Reply {
        if self.in_flight.contains_key(&id) {
            let detail = "the call may be running";
            return Reply::Refused(Refusal::unknown(Reason::StillRunning, detail));
        }
        let state = self.doc.once.get(&id).map(|record| &record.state);
        let answer = match (state, self.unstored_answers.get(&id)) {
            (Some(OnceState::Answered(answer)), _) => answer.clone(),
            (_, Some(answer)) => Answer::Inline(answer.clone()),
            _ => {
                let detail = "the call may have run; its outcome is not recorded";
                return Reply::Refused(Refusal::unknown(Reason::EndpointFailed, detail));
            }
        };
        if answer == Answer::Omitted {
            let detail = "the call has run; its answer was too large to keep";
            return Reply::Refused(Refusal::unknown(Reason::EndpointFailed, detail));
        }
        self.counters.replays.add(1);
        Reply::Replay(answer)
    }

    fn enqueue(&mut self, now: Moment, request: RequestId, spec: CallSpec) -> Result<()> {
        if let Some(refusal) = self.closed_refusal() {
            return Err(refusal);
        }
        let program = match &spec.scope {
            Scope::Program(program) => Some(program.clone()),
            Scope::Single(_) => None,
        };
        let mut ordinal = None;
        if let Some(program) = &program {
            self.check_program(program, &spec.customer)?;
            ordinal = Some(self.assign_position(request, program, &spec)?);
            self.count_call(now, program, 1);
        }
        let once = spec.once_id();
        if let Some(id) = once {
            self.in_flight.insert(id, request);
        }
        self.set_timeout(request, Some(spec.deadline));
        let call = Call {
            spec,
            once,
            ordinal,
            phase: Phase::Turn,
            charged: Vec::new(),
            intent: None,
        };
        self.calls.insert(request, call);
        match &program {
            Some(program) => self.advance(now, program),
            None => self.start(now, request),
        }
        Ok(())
    }

    fn assign_position(
        &mut self,
        request: RequestId,
        program: &ProgramId,
        spec: &CallSpec,
    ) -> Result<Ordinal> {
        let max_waiting = self.cfg.max_waiting_calls;
        let live = self.programs.get_mut(program).expect("the program is live");
        if live.sequence.waiting_len() >= max_waiting {
            let detail = "too many calls of the program are waiting";
            return Err(Refusal::not_run(Reason::Overloaded, detail));
        }
        let repeats = spec.repeatable && spec.once.is_none();
        let position = live.sequence.insert(request, spec.ordinal, repeats);
        position.map_err(|error| self.order_refusal(error, spec))
    }

    fn order_refusal(&self, error: OrderError, spec: &CallSpec) -> Refusal {
        self.counters.refused_order.add(1);
        match error {
            OrderError::InFlight => Refusal::unknown(
                Reason::StillRunning,
                "a call of this ordinal is waiting or running",
            ),
            // A once-only call whose key is not recorded has never started.
            OrderError::Passed if spec.once.is_some() => Refusal::not_run(
                Reason::OutOfOrder,
                "a call of this or a later ordinal has started",
            ),
            OrderError::Passed => Refusal::unknown(
                Reason::OutOfOrder,
                "a call of this or a later ordinal has started",
            ),
        }
    }

    /// Starts the calls of a program whose turn it is.
    pub(super) fn advance(&mut self, now: Moment, program: &ProgramId) {
        while let Some(request) = self.take_next(program) {
            self.start(now, request);
        }
        self.update_gap_timer(now, program);
        self.drop_if_finished(program);
    }

    fn take_next(&mut self, program: &ProgramId) -> Option<RequestId> {
        // No call starts once the partition is being released or is lost.
        if self.status != Status::Active {
            return None;
        }
        self.programs.get_mut(program)?.sequence.take_next()
    }

    fn update_gap_timer(&mut self, now: Moment, program: &ProgramId) {
        let Some(live) = self.programs.get_mut(program) else {
            return;
        };
        if !live.sequence.has_gap() {
            live.gap_since = None;
            return;
        }
        if live.gap_since.is_none() {
            live.gap_since = Some(now);
            let gap = Timer::Gap(program.clone());
            self.timers.insert((now + self.cfg.gap_wait, gap));
        }
    }

    /// Ends the wait for missing ordinals once `gap_wait` has passed.
    pub(super) fn check_gap(&mut self, now: Moment, program: &ProgramId) {
        let Some(live) = self.programs.get_mut(program) else {
            return;
        };
        let Some(since) = live.gap_since else {
            return;
        };
        let until = since + self.cfg.gap_wait;
        if until > now {
            self.timers.insert((until, Timer::Gap(program.clone())));
            return;
        }
        live.gap_since = None;
        if !live.sequence.skip_gap() {
            self.refuse_after_gap(now, program);
        }
        self.advance(now, program);
    }

    fn refuse_after_gap(&mut self, now: Moment, program: &ProgramId) {
        let live = self.programs.get(program);
        let after_gap: Vec<RequestId> = live
            .into_iter()
            .flat_map(|l| l.sequence.waiting())
            .collect();
        for request in after_gap {
            self.counters.refused_order.add(1);
            let detail = "earlier calls of the program have not come";
            self.refuse_without_advance(now, request, Refusal::not_run(Reason::OutOfOrder, detail));
        }
    }

    /// Permits a call whose turn it is, makes it wait for a journal write, or
    /// refuses it.
    fn start(&mut self, now: Moment, request: RequestId) {
        match self.prepare(now, request) {
            Ok(revision) if revision <= self.durable => self.permit(request),
            Ok(revision) => {
                let call = self
                    .calls
                    .get_mut(&request)
                    .expect("the call is registered");
                call.phase = Phase::Commit;
                let until = call.spec.deadline.min(now + self.cfg.commit_wait);
                self.set_timeout(request, Some(until));
                self.wait_for(request, Wait::Begin, revision);
            }
            Err(refusal) => self.refuse_without_advance(now, request, refusal),
        }
    }

    /// Charges a call and records its intent; returns the revision that must be
    /// durable before the call may start, 0 if none.
    fn prepare(&mut self, now: Moment, request: RequestId) -> Result<u64> {
        let call = &self.calls[&request];
        let (once, max_cost) = (call.once, call.spec.max_cost);
        if once.is_some() && self.pacer.is_platform_out() {
            return Err(self.unavailable_refusal());
        }
        let mut revision = 0;
        if let Some(program) = call.spec.scope.program().cloned() {
            revision = self.charge(now, request, &program, max_cost)?;
        }
        if revision > self.durable && self.pacer.is_platform_out() {
            return Err(self.unavailable_refusal());
        }
        if let Some(id) = once {
            revision = self.record_intent(now, request, id)?;
        }
        Ok(revision)
    }

    /// Charges a program and its ancestors; returns the revision whose reservation
    /// covers the charge, 0 if the durable reservation does.
    fn charge(
        &mut self,
        now: Moment,
        request: RequestId,
        program: &ProgramId,
        cost: Tokens,
    ) -> Result<u64> {
        let chain = self.chain(program);
        let fits = |id: &ProgramId| {
            let account = self.programs.get(id).and_then(|live| live.account.as_ref());
            account.is_none_or(|account| account.can_charge(cost))
        };
        if !chain.iter().all(fits) {
            self.counters.refused_budget.add(1);
            let detail = "the budget does not cover the call's worst case";
            return Err(Refusal::not_run(Reason::BudgetSpent, detail));
        }
        let covered = chain.iter().map(|id| self.charge_one(now, id, cost)).max();
        let call = self
            .calls
            .get_mut(&request)
            .expect("the call is registered");
        call.charged = chain;
        Ok(covered.unwrap_or_default())
    }

    fn charge_one(&mut self, now: Moment, program: &ProgramId, cost: Tokens) -> u64 {
        let slice = self.budget_slice();
        let account = self
            .programs
            .get_mut(program)
            .and_then(|l| l.account.as_mut());
        let Some(account) = account else {
            return 0;
        };
        let coverage = account.charge(cost, slice);
        let prefetch = account.prefetch_target(slice);
        match (coverage, prefetch) {
            (Coverage::Grow(reserved), _) => self.reserve(now, program, reserved),
            (Coverage::Revision(revision), _) => revision,
            (Coverage::Durable, Some(reserved)) => {
                self.reserve(now, program, reserved);
                0
            }
            (Coverage::Durable, None) => 0,
        }
    }

    fn reserve(&mut self, now: Moment, program: &ProgramId, reserved: Tokens) -> u64 {
        let revision = self.bump_revision(now);
        let record = self
            .doc
            .programs
            .get_mut(program)
            .expect("live programs are recorded");
        record.reserved = reserved;
        let account = self
            .programs
            .get_mut(program)
            .and_then(|l| l.account.as_mut());
        account
            .expect("the account was charged")
            .grow(reserved, revision);
        revision
    }

    fn record_intent(&mut self, now: Moment, request: RequestId, id: OnceId) -> Result<u64> {
        let call = &self.calls[&request];
        let once = call.spec.once.as_ref().expect("the call has a key");
        let record = OnceRecord {
            customer: call.spec.customer.clone(),
            body: once.body,
            at_ms: self.clock_ms(now),
            state: OnceState::Open,
        };
        self.make_room(now, self.sizes.once_size(id, &record))?;
        self.sizes.set_once(id, &record);
        let old = self.doc.once.insert(id, record);
        assert!(old.is_none(), "one-intent-per-key");
        let revision = self.bump_revision(now);
        let call = self
            .calls
            .get_mut(&request)
            .expect("the call is registered");
        call.intent = Some(revision);
        self.counters.intents.add(1);
        Ok(revision)
    }

    /// Permits a call's dispatch; invariant `permit-needs-durable-intent`.
    pub(super) fn permit(&mut self, request: RequestId) {
        let epoch = self.epoch();
        let call = self
            .calls
            .get_mut(&request)
            .expect("the call is registered");
        let is_durable = call.intent.is_some_and(|revision| revision <= self.durable);
        assert!(
            is_durable || call.once.is_none(),
            "permit-needs-durable-intent"
        );
        call.phase = Phase::Permitted;
        let permit = Permit {
            request,
            program: call.spec.scope.program().cloned(),
            ordinal: call.ordinal,
            epoch,
        };
        self.reply(request, Reply::Run(permit));
    }
}
