//! Clearance to dispatch one call.

use crate::connection::endpoint;
use crate::connection::platform::Platform;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::process::context::Cx;
use crate::process::journals::Ticket;
use crate::request::call::Call;
use crate::request::outcome::Result;

/// Clearance to dispatch one call.
pub enum Clearance<P: Platform> {
    /// The call belongs to a program or may run only once: a partition's
    /// journal knows it.
    Journaled(Ticket<P>),
    /// A single call that may run again: nothing is kept of it.
    Single(ProgramId),
}

impl<P: Platform> Clearance<P> {
    /// The program, made up for a single call.
    pub fn program(&self) -> &ProgramId {
        match self {
            Self::Journaled(ticket) => ticket.program(),
            Self::Single(program) => program,
        }
    }

    /// Position within the program.
    pub fn ordinal(&self) -> Ordinal {
        match self {
            Self::Journaled(ticket) => ticket.ordinal(),
            Self::Single(_) => Ordinal(1),
        }
    }

    /// Fencing number; 0 for a single call, which leaves nothing to fence.
    pub fn epoch(&self) -> Epoch {
        match self {
            Self::Journaled(ticket) => ticket.epoch(),
            Self::Single(_) => Epoch(0),
        }
    }

    /// The cache that a model engine uses for the call, if it belongs to a
    /// program.
    pub fn cache_handle(&self, call: &Call) -> Option<String> {
        call.program.as_ref()?;
        let customer = call.account();
        Some(endpoint::cache_handle(customer, self.program(), self.epoch()))
    }

    /// Checks, right before the dispatch, that this host may still run it.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal if the partition has another owner.
    pub fn check_dispatch(&self, cx: &Cx<P>) -> Result<()> {
        match self {
            Self::Journaled(ticket) => cx.check_dispatch(ticket),
            Self::Single(_) => Ok(()),
        }
    }
}
