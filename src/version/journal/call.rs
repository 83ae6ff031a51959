//! Requests to a journal and its replies.

use std::fmt;

use super::archive::Archive;
use super::document::Answer;
use super::document::Digest;
use super::document::OnceId;
use super::document::OnceState;
use super::document::StoredAnswer;
use super::home::PartitionId;
use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::history::HistoryMode;

/// Number of a request to one journal; its reply carries the same number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub(super) u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A program to open.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramSpec {
    /// The customer whose key came with the request.
    pub customer: CustomerId,
    /// Tokens it may spend; a sub-agent may do without a cap of its own.
    pub budget: Option<Tokens>,
    /// The program that opens it as a sub-agent.
    pub parent: Option<ProgramId>,
    /// Who keeps the conversation.
    pub history: HistoryMode,
}

/// What a call belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// A program, which gives order and budget.
    Program(ProgramId),
    /// Nothing; the partition is that of its idempotency key.
    Single(PartitionId),
}

impl Scope {
    /// The program, if there is one.
    pub fn program(&self) -> Option<&ProgramId> {
        match self {
            Self::Program(program) => Some(program),
            Self::Single(_) => None,
        }
    }

    /// The partition whose journal takes the call.
    pub fn partition(&self) -> PartitionId {
        match self {
            Self::Program(program) => PartitionId::of(program),
            Self::Single(partition) => partition.clone(),
        }
    }
}

/// Marks a call that may run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Once {
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of the request body.
    pub body: Digest,
}

/// A call that asks to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallSpec {
    /// What it belongs to.
    pub scope: Scope,
    /// The customer whose key came with the call.
    pub customer: CustomerId,
    /// Its position in the program; the next one if absent.
    pub ordinal: Option<Ordinal>,
    /// Most that it can cost.
    pub worst_cost: Tokens,
    /// Present if it may run at most once.
    pub once: Option<Once>,
    /// True if it may run again after it has finished.
    pub repeatable: bool,
    /// When its caller stops waiting.
    pub deadline: Moment,
}

impl CallSpec {
    /// The id of a once-only call.
    pub(super) fn once_id(&self) -> Option<OnceId> {
        let once = self.once.as_ref()?;
        Some(OnceId::new(&self.customer, self.scope.program(), &once.key))
    }
}

/// Leave to dispatch one call, once [`check_dispatch`] agrees.
///
/// [`check_dispatch`]: super::Journal::check_dispatch
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The request it answers.
    pub request: RequestId,
    /// The call's program.
    pub program: Option<ProgramId>,
    /// The call's position in its program.
    pub ordinal: Option<Ordinal>,
    /// Fencing number that goes with the call to endpoints that check it.
    pub epoch: Epoch,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran and gave this answer.
    Answered(StoredAnswer),
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A call's end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallEnd {
    /// What it cost; more than its worst case is cut to that.
    pub cost: Tokens,
    /// How it ended.
    pub outcome: Outcome,
}

/// Whether a change is known to survive its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Durability {
    /// It is in the platform.
    Durable,
    /// It waits in the owner's memory for the platform.
    Pending,
    /// Another owner has taken the partition; it will not be recorded.
    Lost,
}

/// Where the answer of an archived call is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArchivedCall {
    /// Name of the archive's object.
    pub name: String,
    /// The call in it.
    pub id: OnceId,
    /// Digest of the body that came now, to be compared with the recorded one.
    pub body: Digest,
}

impl ArchivedCall {
    /// The stored answer, or why the call is refused.
    ///
    /// # Errors
    ///
    /// A refusal if the key came with another body before, or if the archive
    /// does not hold the answer.
    pub fn resolve(&self, archive: &Archive) -> Result<Answer> {
        let record = archive.once.get(&self.id);
        if record.is_some_and(|record| record.body != self.body) {
            return Err(conflicting_key());
        }
        match record.map(|record| &record.state) {
            Some(OnceState::Answered(answer)) => Ok(answer.clone()),
            _ => Err(unreadable_answer()),
        }
    }
}

/// Refusal of a key that came with another body before.
pub(super) fn conflicting_key() -> Refusal {
    let detail = "the key came with another body before";
    Refusal::not_run(Reason::ConflictingKey, detail)
}

/// Refusal of a call that has run and whose answer cannot be read.
pub(crate) fn unreadable_answer() -> Refusal {
    let detail = "the call has run; its stored answer cannot be read";
    Refusal::unknown(Reason::JournalUnavailable, detail)
}

/// Reply to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The program is open and durable.
    Opened(ProgramId),
    /// The program has ended.
    Ended(Durability),
    /// The call may start.
    Run(Permit),
    /// The call has run before and this is its answer.
    Replay(Answer),
    /// The call has run before and its answer is in an archive.
    Archived(ArchivedCall),
    /// The call's end is recorded.
    Recorded(Durability),
    /// The request is refused.
    Refused(Refusal),
}

/// A program that has ended and whose last call has finished.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramEnd {
    /// The program.
    pub program: ProgramId,
    /// Its customer.
    pub customer: CustomerId,
    /// Epoch of the owner that saw it end.
    pub epoch: Epoch,
}

/// What the owner has to pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A request has its reply.
    Reply(RequestId, Reply),
    /// A program is gone; engines may release its memory.
    ProgramEnded(ProgramEnd),
}
