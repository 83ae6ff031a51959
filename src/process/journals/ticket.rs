//! Tickets: permits to dispatch a call. Dropping a ticket abandons its call.

use std::fmt;
use std::sync::Arc;

use async_channel::Sender;

use super::JournalEvent;
use super::shared::PendingReply;
use super::shared::SharedJournal;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::outcome::Result;
use crate::version::journal::CallEnd;
use crate::version::journal::Permit;
use crate::version::journal::RequestId;
use crate::version::journal::StoredAnswer;

/// Result of [`Journals::begin`](super::Journals::begin): a call to dispatch,
/// or the recorded answer of one that has already run.
#[derive(Debug)]
pub enum BeginOutcome {
    /// The call may be dispatched once
    /// [`Journals::check_dispatch`](super::Journals::check_dispatch) accepts
    /// its ticket.
    Run(Ticket),
    /// The call has already run; this is its recorded answer.
    Replay(StoredAnswer),
}

/// Abandons a request when dropped, unless its result has been recorded.
pub(super) struct RequestGuard {
    shared: Arc<SharedJournal>,
    events: Sender<JournalEvent>,
    request: RequestId,
    is_armed: bool,
}

impl RequestGuard {
    pub(super) fn new(
        shared: &Arc<SharedJournal>,
        events: &Sender<JournalEvent>,
        request: RequestId,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
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

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let request = self.request;
            self.shared
                .step(&self.events, |journal, now| journal.abandon(now, request));
        }
    }
}

/// Permit to dispatch one call.
///
/// If it is dropped without [`Journals::finish`](super::Journals::finish), the
/// call counts as not run if its dispatch was never checked, and its outcome as
/// unknown otherwise.
pub struct Ticket {
    guard: RequestGuard,
    permit: Permit,
}

impl Ticket {
    /// Program of the call; `None` for a single call.
    pub fn program(&self) -> Option<&ProgramId> {
        self.permit.program.as_ref()
    }

    /// Position of the call in its program; `None` for a single call.
    pub fn ordinal(&self) -> Option<Ordinal> {
        self.permit.ordinal
    }

    /// Fencing token to send with the call to endpoints that check it.
    pub fn epoch(&self) -> Epoch {
        self.permit.epoch
    }

    pub(super) fn check_dispatch(&self) -> Result<()> {
        let request = self.guard.request;
        let shared = &self.guard.shared;
        shared.step(&self.guard.events, |journal, now| {
            journal.check_dispatch(now, request)
        })
    }

    pub(super) fn finish(mut self, finished: CallEnd) -> PendingReply {
        self.guard.is_armed = false;
        let request = self.guard.request;
        let shared = &self.guard.shared;
        shared.request(&self.guard.events, |journal, now| {
            journal.finish(now, request, finished)
        })
    }
}

impl fmt::Debug for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Ticket").field(&self.permit).finish()
    }
}
