//! Fencing numbers that the engine has seen.

use std::collections::HashMap;

/// The fencing number is lower than one seen before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Stale {
    /// Highest number seen.
    pub(crate) highest: u64,
}

/// Highest fencing numbers by scope.
#[derive(Debug, Default)]
pub(crate) struct Fences {
    highest: HashMap<String, u64>,
}

impl Fences {
    /// Records a number; an error if a higher one has been seen.
    pub(crate) fn check(&mut self, scope: &str, fence: u64) -> Result<(), Stale> {
        let highest = self.highest.entry(scope.to_owned()).or_default();
        if fence < *highest {
            return Err(Stale { highest: *highest });
        }
        *highest = fence;
        Ok(())
    }
}

/// Scope of the fencing numbers of a program: its data centre and partition.
pub(crate) fn scope_of_program(program: &str) -> &str {
    match program.rsplit_once('.') {
        Some((scope, _random)) => scope,
        None => program,
    }
}

/// Scope of the fencing numbers of a cache handle: that of its program.
pub(crate) fn scope_of_handle(handle: &str) -> &str {
    let program = handle.split('/').nth(1).unwrap_or(handle);
    scope_of_program(program)
}
