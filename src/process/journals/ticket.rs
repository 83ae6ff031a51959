//! Tickets: leave to dispatch a call, given back when dropped.

use std::fmt;
use std::sync::Arc;

use async_channel::Sender;

use super::JournalEvent;
use super::cell::Cell;
use super::cell::Pending;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::outcome::Result;
use crate::version::journal::CallEnd;
use crate::version::journal::Permit;
use crate::version::journal::RequestId;
use crate::version::journal::StoredAnswer;

/// A call that may start, or the answer of one that has run before.
#[derive(Debug)]
pub enum Begun {
    /// The call may be dispatched once its ticket has been checked.
    Run(Ticket),
    /// The call has run before and this is its answer.
    Replay(StoredAnswer),
}

/// Gives a request up when dropped.
pub(super) struct Guard {
    cell: Arc<Cell>,
    events: Sender<JournalEvent>,
    request: RequestId,
    is_armed: bool,
}

impl Guard {
    pub(super) fn new(cell: &Arc<Cell>, events: &Sender<JournalEvent>, request: RequestId) -> Self {
        Self {
            cell: Arc::clone(cell),
            events: events.clone(),
            request,
            is_armed: true,
        }
    }

    pub(super) fn into_ticket(self, permit: Permit) -> Ticket {
        Ticket {
            guard: self,
            permit,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.is_armed {
            let request = self.request;
            self.cell
                .step(&self.events, |journal, now| journal.abandon(now, request));
        }
    }
}

/// Leave to dispatch one call.
///
/// A ticket dropped without [`Journals::finish`](super::Journals::finish)
/// counts as not run if its dispatch was never checked, as unknown otherwise.
pub struct Ticket {
    guard: Guard,
    permit: Permit,
}

impl Ticket {
    /// The call's program, if it has one.
    pub fn program(&self) -> Option<&ProgramId> {
        self.permit.program.as_ref()
    }

    /// The call's position in its program.
    pub fn ordinal(&self) -> Option<Ordinal> {
        self.permit.ordinal
    }

    /// Fencing number that goes with the call to endpoints that check it.
    pub fn epoch(&self) -> Epoch {
        self.permit.epoch
    }

    pub(super) fn check_dispatch(&self) -> Result<()> {
        let request = self.guard.request;
        let cell = &self.guard.cell;
        cell.step(&self.guard.events, |journal, now| {
            journal.check_dispatch(now, request)
        })
    }

    pub(super) fn finish(mut self, finished: CallEnd) -> Pending {
        self.guard.is_armed = false;
        let request = self.guard.request;
        let cell = &self.guard.cell;
        cell.request(&self.guard.events, |journal, now| {
            journal.finish(now, request, finished)
        })
    }
}

impl fmt::Debug for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Ticket").field(&self.permit).finish()
    }
}
