//! One partition's journal under its lock, with those who wait for replies.

use std::collections::HashMap;

use async_channel::Receiver;
use async_channel::Sender;
use parking_lot::Mutex;
use parking_lot::MutexGuard;

use super::JournalEvent;
use crate::units::Moment;
use crate::version::journal::Action;
use crate::version::journal::Effect;
use crate::version::journal::Journal;
use crate::version::journal::Reply;
use crate::version::journal::RequestId;

/// A journal and the senders of its replies.
pub(super) struct State {
    pub(super) journal: Journal,
    replies: HashMap<RequestId, Sender<Reply>>,
}

/// One partition's journal under its lock.
pub(super) struct Cell {
    state: Mutex<State>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    stop_tx: Sender<()>,
    stop_rx: Receiver<()>,
}

/// A reply to come.
pub(super) struct Pending {
    pub(super) request: RequestId,
    rx: Receiver<Reply>,
}

impl Pending {
    /// Waits for the reply.
    pub(super) async fn wait(self) -> Reply {
        self.rx
            .recv()
            .await
            .expect("every request to a journal gets a reply")
    }
}

impl Cell {
    pub(super) fn new(journal: Journal) -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let (stop_tx, stop_rx) = async_channel::bounded(1);
        let state = State {
            journal,
            replies: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
            wake_tx,
            wake_rx,
            stop_tx,
            stop_rx,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Makes a request whose reply is waited for.
    pub(super) fn request(
        &self,
        events: &Sender<JournalEvent>,
        ask: impl FnOnce(&mut Journal, Moment) -> RequestId,
    ) -> Pending {
        let (tx, rx) = async_channel::bounded(1);
        let mut state = self.state.lock();
        let request = ask(&mut state.journal, Moment::now());
        state.replies.insert(request, tx);
        state.deliver(events);
        drop(state);
        self.wake();
        Pending { request, rx }
    }

    /// Carries out one step of the journal and delivers its effects.
    pub(super) fn step<T>(
        &self,
        events: &Sender<JournalEvent>,
        step: impl FnOnce(&mut Journal, Moment) -> T,
    ) -> T {
        let mut state = self.state.lock();
        let result = step(&mut state.journal, Moment::now());
        state.deliver(events);
        drop(state);
        self.wake();
        result
    }

    /// Gives the next platform call of the journal.
    pub(super) fn poll(&self, events: &Sender<JournalEvent>) -> Action {
        let mut state = self.state.lock();
        let action = state.journal.poll(Moment::now());
        state.deliver(events);
        action
    }

    fn wake(&self) {
        // A full channel means that the task is to wake already.
        let _full = self.wake_tx.try_send(());
    }

    /// Waits for a step made by another task.
    pub(super) async fn woken(&self) {
        self.wake_rx.recv().await.expect("the cell holds a sender");
    }

    /// Notes that the task of this partition has stopped.
    pub(super) fn stop(&self) {
        self.stop_tx.close();
    }

    /// Waits until the task of this partition has stopped.
    pub(super) async fn stopped(&self) {
        let _closed = self.stop_rx.recv().await;
    }
}

impl State {
    fn deliver(&mut self, events: &Sender<JournalEvent>) {
        for effect in self.journal.take_effects() {
            match effect {
                Effect::Reply(request, reply) => self.reply(request, reply),
                Effect::ProgramEnded(end) => {
                    // Readers find out what they have missed by other means.
                    let _dropped = events.try_send(JournalEvent::ProgramEnded(end));
                }
            }
        }
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        if let Some(tx) = self.replies.remove(&request) {
            // A closed channel means that the caller has gone.
            let _gone = tx.try_send(reply);
        }
    }
}

/// Stops the process: a journal replied with something not asked for.
pub(super) fn unexpected(reply: &Reply) -> ! {
    panic!("reply-matches-request: {reply:?}")
}
