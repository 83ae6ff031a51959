//! A call in the queue and the events that wake it.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;

use super::Placing;
use super::shard::Shard;
use super::slot::Slot;
use crate::request::queue::Ticket;
use crate::units::Moment;

/// Event for a waiting call.
#[derive(Debug)]
pub(super) enum Wake {
    /// The call has got a slot.
    Placed(Slot),
    /// The call was removed from the full queue and may be retried after this
    /// time.
    Displaced(Duration),
    /// The configuration has changed.
    Recheck,
    /// The deadline of the call has passed.
    Expired,
}

/// A waiting call, removed from the queue when dropped.
pub(super) struct WaitingCall {
    pub(super) placing: Placing,
    pub(super) shard: Arc<Shard>,
    pub(super) ticket: Ticket,
    pub(super) rx: Receiver<Wake>,
}

impl WaitingCall {
    /// Waits for the next event of the call.
    pub(super) async fn next_event(&mut self, deadline: Moment) -> Wake {
        if let Ok(wake) = self.rx.try_recv() {
            return wake;
        }
        let wake = async {
            let wake = self.rx.recv().await;
            wake.expect("invariant: a waiting call keeps its sender until its final event")
        };
        let expiry = async {
            Timer::after(Moment::now().until(deadline)).await;
            Wake::Expired
        };
        future::or(wake, expiry).await
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.shard.cancel(&self.placing, self.ticket);
    }
}
