//! Clearance to dispatch one call.

use super::answer::Ended;
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
use crate::version::journal::Durability;
use crate::version::journal::Finished;
use crate::version::journal::Outcome;
use crate::version::journal::PartitionId;
use crate::version::journal::StoredAnswer;
use crate::version::table::Serve;

/// A call that a partition's journal knows.
#[derive(Debug)]
pub struct Journaled {
    /// Leave to dispatch it.
    pub ticket: Ticket,
    /// Partition that holds the journal.
    pub partition: PartitionId,
    /// Its program, made up for a single call.
    pub program: ProgramId,
    /// True if it may run more than once.
    pub repeatable: bool,
}

/// Clearance to dispatch one call.
#[derive(Debug)]
pub enum Clearance {
    /// The call belongs to a program or may run only once.
    Journaled(Journaled),
    /// A single call that may run again: nothing is kept of it.
    Single(ProgramId),
}

impl Clearance {
    /// The program, made up for a single call.
    pub fn program(&self) -> &ProgramId {
        match self {
            Self::Journaled(journaled) => &journaled.program,
            Self::Single(program) => program,
        }
    }

    /// Position within the program.
    pub fn ordinal(&self) -> Ordinal {
        let ordinal = match self {
            Self::Journaled(journaled) => journaled.ticket.ordinal(),
            Self::Single(_) => None,
        };
        ordinal.unwrap_or(Ordinal(1))
    }

    /// Fencing number; 0 for a single call, which leaves nothing to fence.
    pub fn epoch(&self) -> Epoch {
        match self {
            Self::Journaled(journaled) => journaled.ticket.epoch(),
            Self::Single(_) => Epoch(0),
        }
    }

    /// The cache that a model engine uses for the call, if it belongs to a
    /// program.
    pub fn cache_handle(&self, call: &Call) -> Option<CacheHandle> {
        call.program.as_ref()?;
        Some(self.handle(call))
    }

    /// Names the call's program under this owner.
    pub fn handle(&self, call: &Call) -> CacheHandle {
        CacheHandle {
            customer: call.account().clone(),
            program: self.program().clone(),
            epoch: self.epoch(),
        }
    }

    /// Checks, right before the dispatch, that this host may still run it.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal if the partition may have another owner.
    pub fn check_dispatch<P: Platform>(&self, cx: &Cx<P>) -> Result<()> {
        let Self::Journaled(journaled) = self else {
            return Ok(());
        };
        check_owner(cx, &journaled.partition, journaled.repeatable)?;
        cx.journals.check_dispatch(&journaled.ticket)
    }

    /// Records that the call was refused after its clearance.
    pub async fn refused<P: Platform>(self, cx: &Cx<P>, refusal: &Refusal) {
        let outcome = match refusal.ran {
            Ran::NotRun => Outcome::NotRun,
            Ran::Unknown => Outcome::Unknown,
        };
        let cost = Tokens(0);
        self.finish(cx, Finished { cost, outcome }).await;
    }

    /// Records the end of a streamed answer.
    pub async fn ended<P: Platform>(self, cx: &Cx<P>, ended: Ended, cost: Tokens) {
        let outcome = match ended {
            Ended::Whole => Outcome::Answered(StoredAnswer {
                status: 0,
                content_type: None,
                body: Vec::new(),
            }),
            _ => Outcome::Unknown,
        };
        self.finish(cx, Finished { cost, outcome }).await;
    }

    /// Records the end of the call.
    pub async fn finish<P: Platform>(self, cx: &Cx<P>, finished: Finished) -> Durability {
        match self {
            Self::Journaled(journaled) => cx.journals.finish(journaled.ticket, finished).await,
            Self::Single(_) => Durability::Durable,
        }
    }
}

/// Checks that this host may serve a partition's calls at this moment.
///
/// # Errors
///
/// A `not-run` refusal if it may not.
pub fn check_owner<P: Platform>(
    cx: &Cx<P>,
    partition: &PartitionId,
    repeatable: bool,
) -> Result<()> {
    let now = Moment::now();
    let serve = cx
        .membership
        .may_serve(&partition.data_centre, partition.partition, now);
    match serve {
        Serve::Full => Ok(()),
        Serve::RepeatableOnly if repeatable => Ok(()),
        Serve::RepeatableOnly => {
            let detail = "the platform is out; only repeatable calls are served";
            Err(Refusal::not_run(Reason::JournalUnavailable, detail)
                .retry_after(cx.cfg.caller.retry_after))
        }
        Serve::No => {
            let detail = "this host may not serve the program at the moment";
            Err(Refusal::not_run(Reason::OwnerUnavailable, detail)
                .retry_after(cx.cfg.caller.retry_after))
        }
    }
}
