//! Attained service of each program: the total time that its calls have run at
//! endpoints.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::ids::ProgramId;
use crate::units::Moment;

#[derive(Clone, Copy, Debug, Default)]
struct ProgramService {
    /// Service of completed calls.
    settled: Duration,
    /// Expected service of waiting and running calls.
    expected: Duration,
    /// Number of waiting and running calls.
    open_calls: u32,
    /// End of the last call.
    idle_since: Moment,
}

/// Attained service by root program.
///
/// Waiting and running calls count with their expected service, so that a
/// program with many concurrent calls does not rank as a new one.
#[derive(Clone, Debug, Default)]
pub struct AttainedService {
    by_program: HashMap<ProgramId, ProgramService>,
    idle: BTreeSet<(Moment, ProgramId)>,
}

impl AttainedService {
    /// Attained service of a program, including the expected service of its
    /// open calls.
    pub fn attained(&self, program: &ProgramId) -> Duration {
        let service = self.by_program.get(program).copied().unwrap_or_default();
        service.settled.saturating_add(service.expected)
    }

    /// Number of tracked programs.
    pub fn len(&self) -> usize {
        self.by_program.len()
    }

    /// Whether no program is tracked.
    pub fn is_empty(&self) -> bool {
        self.by_program.is_empty()
    }

    /// Adds an open call with the expected service `expected`.
    pub(super) fn open_call(&mut self, program: &ProgramId, expected: Duration) {
        let service = self.by_program.entry(program.clone()).or_default();
        if service.open_calls == 0 {
            self.idle.remove(&(service.idle_since, program.clone()));
        }
        service.open_calls += 1;
        service.expected = service.expected.saturating_add(expected);
    }

    /// Replaces the expected service of an open call with its actual service.
    pub(super) fn close_call(
        &mut self,
        now: Moment,
        program: &ProgramId,
        expected: Duration,
        actual: Duration,
    ) {
        let service = self.by_program.get_mut(program);
        let service = service.expect("invariant: a program with an open call is tracked");
        service.expected = service.expected.saturating_sub(expected);
        service.settled = service.settled.saturating_add(actual);
        service.open_calls -= 1;
        if service.open_calls == 0 {
            service.expected = Duration::ZERO;
            service.idle_since = now;
            self.idle.insert((now, program.clone()));
        }
    }

    /// Removes programs that have been idle for longer than `max_idle`.
    pub(super) fn remove_idle(&mut self, now: Moment, max_idle: Duration) {
        while let Some((since, _)) = self.idle.first() {
            if now.since(*since) <= max_idle {
                return;
            }
            if let Some((_, program)) = self.idle.pop_first() {
                self.by_program.remove(&program);
            }
        }
    }
}
