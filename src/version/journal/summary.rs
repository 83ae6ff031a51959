//! Summaries of programs and calls for operators.

use serde::Deserialize;
use serde::Serialize;

use super::machine::Call;
use super::machine::Journal;
use super::machine::Phase;
use crate::ids::CustomerId;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::units::Tokens;
use crate::version::history::HistoryMode;

/// Summary of a program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramSummary {
    /// Id of the program.
    pub program: ProgramId,
    /// Customer of the program.
    pub customer: CustomerId,
    /// The program that opened this one as a sub-agent.
    pub parent: Option<ProgramId>,
    /// Tokens that the program may spend; `None` for a sub-agent without a
    /// budget of its own.
    pub budget: Option<Tokens>,
    /// Tokens of the budget reserved in the journal.
    pub reserved: Tokens,
    /// Tokens spent, counting running calls at their maximum cost.
    pub spent: Tokens,
    /// Highest ordinal recorded as finished.
    pub high_water: Ordinal,
    /// Whether the program has ended.
    pub ended: bool,
    /// Whether the caller or the owner keeps the conversation.
    pub history: HistoryMode,
    /// Running and waiting calls, by ordinal.
    pub calls: Vec<CallSummary>,
}

/// Summary of a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallSummary {
    /// Position of the call in its program.
    pub ordinal: Ordinal,
    /// Whether the call may run at most once.
    pub once: bool,
    /// The event that the call waits for.
    pub waits_for: WaitsFor,
}

/// The event that a call waits for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitsFor {
    /// The end of an earlier call of its program.
    Turn,
    /// A write of the journal.
    Commit,
    /// The dispatch to an endpoint.
    Dispatch,
    /// The endpoint's answer.
    Answer,
}

impl Journal {
    /// Root ancestor of a program; the program itself if it has no parent or is
    /// not in the journal.
    pub fn root(&self, program: &ProgramId) -> ProgramId {
        let mut chain = self.chain(program);
        chain.pop().unwrap_or_else(|| program.clone())
    }

    /// Summary of a program, `None` if it is not in the journal.
    pub fn program(&self, program: &ProgramId) -> Option<ProgramSummary> {
        let record = self.doc.programs.get(program)?;
        let live = self.programs.get(program);
        let account = live.and_then(|live| live.account.as_ref());
        let requests = live.into_iter().flat_map(|live| {
            let running = live.sequence.running().into_iter();
            running.chain(live.sequence.waiting())
        });
        let calls = requests.filter_map(|request| self.calls.get(&request)?.summary());
        Some(ProgramSummary {
            program: program.clone(),
            customer: record.customer.clone(),
            parent: record.parent.clone(),
            budget: record.budget,
            reserved: record.reserved,
            spent: account.map_or(record.reserved, |account| account.spent()),
            high_water: record.high_water,
            ended: record.ended_ms.is_some(),
            history: record.history,
            calls: calls.collect(),
        })
    }

    /// Summaries of all programs, by id.
    pub fn programs(&self) -> Vec<ProgramSummary> {
        let ids = self.doc.programs.keys();
        ids.filter_map(|id| self.program(id)).collect()
    }
}

impl Call {
    fn summary(&self) -> Option<CallSummary> {
        let waits_for = match self.phase {
            Phase::Turn => WaitsFor::Turn,
            Phase::Commit => WaitsFor::Commit,
            Phase::Permitted => WaitsFor::Dispatch,
            Phase::Dispatched => WaitsFor::Answer,
        };
        Some(CallSummary {
            ordinal: self.ordinal?,
            once: self.once.is_some(),
            waits_for,
        })
    }
}
