//! Service that each program has attained.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::ids::ProgramId;
use crate::units::Moment;

#[derive(Clone, Copy, Debug, Default)]
struct Attained {
    /// Service of ended calls.
    settled: Duration,
    /// Expected service of calls that wait or run.
    expected: Duration,
    /// Calls that wait or run.
    open: u32,
    /// When the last call ended.
    idle_since: Moment,
}

/// Attained service by root program.
///
/// Calls that wait or run count with their expected service, so a program
/// that sends many calls at once does not pass as a new one with each.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    attained: HashMap<ProgramId, Attained>,
    idle: BTreeSet<(Moment, ProgramId)>,
}

impl Programs {
    /// Service attained so far, open calls included.
    pub fn attained(&self, program: &ProgramId) -> Duration {
        let attained = self.attained.get(program).copied().unwrap_or_default();
        attained.settled.saturating_add(attained.expected)
    }

    /// Number of programs that are remembered.
    pub fn len(&self) -> usize {
        self.attained.len()
    }

    /// True if no program is remembered.
    pub fn is_empty(&self) -> bool {
        self.attained.is_empty()
    }

    /// Adds a call that is expected to cost `expected`.
    pub(super) fn open(&mut self, program: &ProgramId, expected: Duration) {
        let attained = self.attained.entry(program.clone()).or_default();
        if attained.open == 0 {
            self.idle.remove(&(attained.idle_since, program.clone()));
        }
        attained.open += 1;
        attained.expected = attained.expected.saturating_add(expected);
    }

    /// Replaces the expected cost of an open call by what it did cost.
    pub(super) fn close(
        &mut self,
        now: Moment,
        program: &ProgramId,
        expected: Duration,
        actual: Duration,
    ) {
        let attained = self.attained.get_mut(program);
        let attained = attained.expect("invariant: a program with an open call is remembered");
        attained.expected = attained.expected.saturating_sub(expected);
        attained.settled = attained.settled.saturating_add(actual);
        attained.open -= 1;
        if attained.open == 0 {
            attained.expected = Duration::ZERO;
            attained.idle_since = now;
            self.idle.insert((now, program.clone()));
        }
    }

    /// Forgets programs that have been idle for longer than `longest`.
    pub(super) fn forget_idle(&mut self, now: Moment, longest: Duration) {
        while let Some((since, _)) = self.idle.first() {
            if now.since(*since) <= longest {
                return;
            }
            if let Some((_, program)) = self.idle.pop_first() {
                self.attained.remove(&program);
            }
        }
    }
}
