//! Permit to dispatch a call, and the record of how the call ended.

use super::answer::RelayEnd;
use super::call::Call;
use super::outcome::Ran;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use crate::connection::platform::Platform;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::process::context::Cx;
use crate::process::journals::Ticket;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::engine_memory::CacheHandle;
use crate::version::journal::CallEnd;
use crate::version::journal::Durability;
use crate::version::journal::Outcome;
use crate::version::journal::PartitionId;
use crate::version::journal::StoredAnswer;
use crate::version::table::ServeMode;

/// Permit for a call that is recorded in a partition's journal.
#[derive(Debug)]
pub struct Journaled {
    /// Ticket issued by the journal.
    pub ticket: Ticket,
    /// Partition whose journal records the call.
    pub partition: PartitionId,
    /// Program of the call; a generated id for a single call.
    pub program: ProgramId,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

/// Permit to dispatch one call.
#[derive(Debug)]
pub enum DispatchPermit {
    /// Permit for a call that belongs to a program or may run only once.
    Journaled(Journaled),
    /// Permit for a single call without an idempotency key, which has no journal
    /// entry. Holds the generated program id.
    Unjournaled(ProgramId),
}

impl DispatchPermit {
    /// Returns the call's program; a generated id for a single call.
    pub fn program(&self) -> &ProgramId {
        match self {
            Self::Journaled(journaled) => &journaled.program,
            Self::Unjournaled(program) => program,
        }
    }

    /// Returns the position within the program; 1 if the call has none.
    pub fn ordinal(&self) -> Ordinal {
        let ordinal = match self {
            Self::Journaled(journaled) => journaled.ticket.ordinal(),
            Self::Unjournaled(_) => None,
        };
        ordinal.unwrap_or(Ordinal(1))
    }

    /// Returns the fencing token; 0 for an unjournaled call, which needs no
    /// fencing.
    pub fn epoch(&self) -> Epoch {
        match self {
            Self::Journaled(journaled) => journaled.ticket.epoch(),
            Self::Unjournaled(_) => Epoch(0),
        }
    }

    /// Returns the handle of the call's cache at a model engine; `None` if the
    /// call belongs to no program.
    pub fn cache_handle(&self, call: &Call) -> Option<CacheHandle> {
        call.program.as_ref()?;
        Some(self.handle(call))
    }

    /// Returns the handle that identifies the call's program under the current
    /// owner.
    pub fn handle(&self, call: &Call) -> CacheHandle {
        CacheHandle {
            customer: call.account().clone(),
            program: self.program().clone(),
            epoch: self.epoch(),
        }
    }

    /// Checks, right before the dispatch, that this host may still run the call.
    ///
    /// # Errors
    ///
    /// Returns a `not-run` refusal if another host may own the partition, or if
    /// this host may run repeatable calls only and the call is not repeatable.
    pub fn check_dispatch<P: Platform>(&self, cx: &Cx<P>) -> Result<()> {
        let Self::Journaled(journaled) = self else {
            return Ok(());
        };
        check_owner(cx, &journaled.partition, journaled.repeatable)?;
        cx.journals.check_dispatch(&journaled.ticket)
    }

    /// Records that the call was refused after the permit was issued.
    pub async fn record_refusal<P: Platform>(self, cx: &Cx<P>, refusal: &Refusal) {
        let outcome = match refusal.ran {
            Ran::NotRun => Outcome::NotRun,
            Ran::Unknown => Outcome::Unknown,
        };
        let cost = Tokens(0);
        self.finish(cx, CallEnd { cost, outcome }).await;
    }

    /// Records the end of a streamed answer, without storing its body.
    pub async fn record_end<P: Platform>(self, cx: &Cx<P>, ended: RelayEnd, cost: Tokens) {
        let outcome = match ended {
            RelayEnd::Whole => Outcome::Answered(StoredAnswer {
                status: 0,
                content_type: None,
                body: Vec::new(),
            }),
            _ => Outcome::Unknown,
        };
        self.finish(cx, CallEnd { cost, outcome }).await;
    }

    /// Records the cost and outcome of the call in its journal entry, if any.
    ///
    /// Returns whether the record is durable; always durable if unjournaled.
    pub async fn finish<P: Platform>(self, cx: &Cx<P>, finished: CallEnd) -> Durability {
        match self {
            Self::Journaled(journaled) => cx.journals.finish(journaled.ticket, finished).await,
            Self::Unjournaled(_) => Durability::Durable,
        }
    }
}

/// Checks that this host may serve calls of a partition at this moment.
///
/// # Errors
///
/// Returns a `not-run` refusal if this host may not serve the partition, or if
/// it may serve repeatable calls only and the call is not repeatable.
pub fn check_owner<P: Platform>(
    cx: &Cx<P>,
    partition: &PartitionId,
    repeatable: bool,
) -> Result<()> {
    let now = Moment::now();
    let serve = cx
        .membership
        .serve_mode(&partition.data_centre, partition.partition, now);
    match serve {
        ServeMode::Full => Ok(()),
        ServeMode::RepeatableOnly if repeatable => Ok(()),
        ServeMode::RepeatableOnly => {
            let detail = "the platform is out; only repeatable calls are served";
            Err(Refusal::not_run(Reason::JournalUnavailable, detail)
                .retry_after(cx.cfg.caller.retry_after))
        }
        ServeMode::No => {
            let detail = "this host may not serve the program at the moment";
            Err(Refusal::not_run(Reason::OwnerUnavailable, detail)
                .retry_after(cx.cfg.caller.retry_after))
        }
    }
}
