//! What operators see of a journal: programs, calls and who waits.

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

/// A program as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramSummary {
    /// The program.
    pub program: ProgramId,
    /// Its customer.
    pub customer: CustomerId,
    /// The program that opened it as a sub-agent.
    pub parent: Option<ProgramId>,
    /// Tokens it may spend.
    pub budget: Option<Tokens>,
    /// Tokens reserved in the journal.
    pub reserved: Tokens,
    /// Tokens spent, with running calls at their worst case.
    pub spent: Tokens,
    /// Highest ordinal that has finished.
    pub high_water: Ordinal,
    /// True once it has ended.
    pub ended: bool,
    /// Who keeps the conversation.
    pub history: HistoryMode,
    /// Its calls, by ordinal.
    pub calls: Vec<CallSummary>,
}

/// A call as operators see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallSummary {
    /// Position in its program.
    pub ordinal: Ordinal,
    /// True if it may run at most once.
    pub once: bool,
    /// What it waits for.
    pub waits_for: WaitsFor,
}

/// What a call waits for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitsFor {
    /// An earlier call of its program.
    Turn,
    /// A write of the journal.
    Commit,
    /// Its dispatch to an endpoint.
    Dispatch,
    /// The endpoint's answer.
    Answer,
}

impl Journal {
    /// The root of a program's chain of sub-agents; itself if it is not known.
    pub fn root(&self, program: &ProgramId) -> ProgramId {
        let mut chain = self.chain(program);
        chain.pop().unwrap_or_else(|| program.clone())
    }

    /// One program, if it is known.
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

    /// All programs, by id.
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
