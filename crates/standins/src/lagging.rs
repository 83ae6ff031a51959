//! A value whose changes become visible after a delay.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// A value whose changes become visible after a delay.
#[derive(Debug)]
pub(crate) struct Lagging<T> {
    visible: T,
    pending: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagging<T> {
    /// Starts with a value that is visible at once.
    pub(crate) fn new(visible: T) -> Self {
        Self {
            visible,
            pending: VecDeque::new(),
        }
    }

    /// Sets a value that becomes visible after `lag`.
    pub(crate) fn set(&mut self, value: T, lag: Duration) {
        self.settle();
        self.pending.push_back((Instant::now() + lag, value));
    }

    /// The value that is visible now.
    pub(crate) fn get(&mut self) -> T {
        self.settle();
        self.visible.clone()
    }

    /// Drops the pending values that are due, keeping the last of them.
    fn settle(&mut self) {
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
