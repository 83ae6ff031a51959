//! Values whose changes become visible after a delay.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// A value whose changes become visible after a delay.
#[derive(Debug)]
pub(crate) struct Delayed<T> {
    visible: T,
    pending: VecDeque<(Instant, T)>,
}

impl<T: Clone> Delayed<T> {
    /// Creates a value that is visible immediately.
    pub(crate) fn new(visible: T) -> Self {
        Self {
            visible,
            pending: VecDeque::new(),
        }
    }

    /// Sets a value that becomes visible after `lag`, but not before any value set
    /// earlier.
    pub(crate) fn set(&mut self, value: T, lag: Duration) {
        self.apply_due();
        self.pending.push_back((Instant::now() + lag, value));
    }

    /// Returns the currently visible value.
    pub(crate) fn get(&mut self) -> T {
        self.apply_due();
        self.visible.clone()
    }

    /// Applies the pending values that are due.
    fn apply_due(&mut self) {
        let now = Instant::now();
        while let Some((due, _)) = self.pending.front() {
            if *due > now {
                return;
            }
            if let Some((_, value)) = self.pending.pop_front() {
                self.visible = value;
            }
        }
    }
}
