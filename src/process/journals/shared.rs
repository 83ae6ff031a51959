//! A partition's journal behind a lock, with the channels of pending replies.

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

/// A journal and the reply channels of its pending requests.
pub(super) struct State {
    pub(super) journal: Journal,
    replies: HashMap<RequestId, Sender<Reply>>,
}

/// A partition's journal, shared by its requests and its task.
pub(super) struct SharedJournal {
    state: Mutex<State>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    stop_tx: Sender<()>,
    stop_rx: Receiver<()>,
}

/// A request whose reply is pending.
pub(super) struct PendingReply {
    pub(super) request: RequestId,
    rx: Receiver<Reply>,
}

impl PendingReply {
    pub(super) async fn wait(self) -> Reply {
        self.rx
            .recv()
            .await
            .expect("every request to a journal gets a reply")
    }
}

impl SharedJournal {
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

    /// Submits a request to the journal and returns its pending reply.
    pub(super) fn request(
        &self,
        events: &Sender<JournalEvent>,
        submit: impl FnOnce(&mut Journal, Moment) -> RequestId,
    ) -> PendingReply {
        let (tx, rx) = async_channel::bounded(1);
        let mut state = self.state.lock();
        let request = submit(&mut state.journal, Moment::now());
        state.replies.insert(request, tx);
        state.deliver(events);
        drop(state);
        self.wake();
        PendingReply { request, rx }
    }

    /// Applies one step to the journal and delivers the resulting effects.
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

    /// Returns the next action for the task of this partition.
    pub(super) fn poll(&self, events: &Sender<JournalEvent>) -> Action {
        let mut state = self.state.lock();
        let action = state.journal.poll(Moment::now());
        state.deliver(events);
        action
    }

    fn wake(&self) {
        // A full channel means that a wake-up is already pending.
        let _full = self.wake_tx.try_send(());
    }

    /// Waits until another task has changed the journal.
    pub(super) async fn wait_for_wake(&self) {
        self.wake_rx
            .recv()
            .await
            .expect("the wake channel stays open while its sender is held");
    }

    /// Marks the task of this partition as stopped.
    pub(super) fn mark_stopped(&self) {
        self.stop_tx.close();
    }

    /// Waits until the task of this partition has stopped.
    pub(super) async fn wait_stopped(&self) {
        let _closed = self.stop_rx.recv().await;
    }
}

impl State {
    fn deliver(&mut self, events: &Sender<JournalEvent>) {
        for effect in self.journal.take_effects() {
            match effect {
                Effect::Reply(request, reply) => self.reply(request, reply),
                Effect::ProgramEnded(end) => {
                    // Readers detect missed events by other means.
                    let _dropped = events.try_send(JournalEvent::ProgramEnded(end));
                }
            }
        }
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        if let Some(tx) = self.replies.remove(&request) {
            // A closed channel means that the request was abandoned.
            let _abandoned = tx.try_send(reply);
        }
    }
}

/// Panics because the journal sent a reply of the wrong type for a request.
pub(super) fn panic_on_mismatch(reply: &Reply) -> ! {
    panic!("reply-matches-request: {reply:?}")
}
