//! Fencing tokens seen by the engine.

use std::collections::HashMap;

/// Error for a fencing token lower than the highest one seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StaleFence {
    /// Highest fencing token seen in the scope.
    pub(crate) highest: u64,
}

/// Highest fencing token seen in each scope.
#[derive(Debug, Default)]
pub(crate) struct Fences {
    highest: HashMap<String, u64>,
}

impl Fences {
    /// Records a fencing token, or returns an error if the scope has seen a
    /// higher one.
    pub(crate) fn check(&mut self, scope: &str, fence: u64) -> Result<(), StaleFence> {
        let highest = self.highest.entry(scope.to_owned()).or_default();
        if fence < *highest {
            return Err(StaleFence { highest: *highest });
        }
        *highest = fence;
        Ok(())
    }
}

/// Returns a program's fencing scope: its data centre and partition.
pub(crate) fn scope_of_program(program: &str) -> &str {
    match program.rsplit_once('.') {
        Some((scope, _random)) => scope,
        None => program,
    }
}

/// Returns the fencing scope of a cache handle, which is its program's.
pub(crate) fn scope_of_handle(handle: &str) -> &str {
    let program = handle.split('/').nth(1).unwrap_or(handle);
    scope_of_program(program)
}
