//! Release of a partition, and loss of a partition to another owner.

use super::call::Durability;
use super::call::Reply;
use super::call::RequestId;
use super::commit::Io;
use super::machine::Journal;
use super::machine::Phase;
use super::machine::Status;
use super::machine::Timer;
use super::machine::Wait;
use super::machine::Waiter;
use crate::ids::ProgramId;
use crate::units::Moment;
use crate::units::Tokens;

impl Journal {
    /// Stops accepting requests, and writes the final state once running
    /// once-only calls have finished or `release_wait` has passed.
    pub fn release(&mut self, now: Moment) {
        if self.status != Status::Active {
            return;
        }
        let until = now + self.cfg.release_wait;
        self.status = Status::Releasing { until };
        self.refuse_undispatched(now);
    }

    fn refuse_undispatched(&mut self, now: Moment) {
        let is_waiting = |phase| matches!(phase, Phase::Turn | Phase::Commit);
        let waiting = self.calls.iter().filter(|(_, call)| is_waiting(call.phase));
        let mut waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        waiting.sort_unstable();
        for request in waiting {
            if let (true, Some(refusal)) =
                (self.calls.contains_key(&request), self.closed_refusal())
            {
                self.refuse(now, request, refusal);
            }
        }
    }

    pub(super) fn advance_release(&mut self, now: Moment) {
        match self.status {
            Status::Releasing { until } if until <= now || self.in_flight.is_empty() => {
                self.return_unspent(now);
                let until = now + self.cfg.commit_wait;
                self.status = Status::Flushing { until };
            }
            Status::Flushing { .. } if self.is_flushed() => {
                self.status = Status::Released { flushed: true };
            }
            Status::Flushing { until } if until <= now => {
                self.status = Status::Released { flushed: false };
                self.fail_waiters();
            }
            _ => return,
        }
        if let Status::Flushing { until } = self.status {
            // The timer makes the owner poll the journal again at `until`.
            self.timers.insert((until, Timer::Sweep));
        }
    }

    fn is_flushed(&self) -> bool {
        self.io == Io::Idle
            && self.large_answers.is_empty()
            && self.pending_archive.is_none()
            && self.durable == self.doc.header.revision
    }

    /// Lowers each reservation to the tokens spent, since no further call starts.
    fn return_unspent(&mut self, now: Moment) {
        let spent_of = |id: &ProgramId| Some(self.programs.get(id)?.account.as_ref()?.spent());
        let ids = self.programs.keys();
        let spent: Vec<(ProgramId, Tokens)> = ids
            .filter_map(|id| Some((id.clone(), spent_of(id)?)))
            .collect();
        for (id, spent) in spent {
            let record = self
                .doc
                .programs
                .get_mut(&id)
                .expect("live programs are recorded");
            record.reserved = spent;
        }
        self.bump_revision(now);
    }

    pub(super) fn depose(&mut self, now: Moment) {
        self.status = Status::Deposed;
        self.counters.deposed.add(1);
        self.refuse_undispatched(now);
        self.fail_waiters();
    }

    /// Replies to requests whose change will not be written.
    fn fail_waiters(&mut self) {
        let waits = std::mem::take(&mut self.waits);
        let mut waits: Vec<(RequestId, Waiter)> = waits.into_iter().collect();
        waits.sort_unstable_by_key(|(request, _)| *request);
        for (request, waiter) in waits {
            let lost = match (waiter.wait, self.closed_refusal()) {
                (Wait::Record, _) => Reply::Recorded(Durability::Lost),
                (Wait::End, _) => Reply::Ended(Durability::Lost),
                (_, Some(refusal)) => Reply::Refused(refusal),
                (_, None) => continue,
            };
            self.reply(request, lost);
        }
        self.commits.clear();
    }
}
