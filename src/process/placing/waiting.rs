//! The future of a waiting call.

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

/// What a waiting call is told.
#[derive(Debug)]
pub(super) enum Wake {
    /// It has a place.
    Placed(Slot),
    /// It was removed from the full queue and may come back after this time.
    Displaced(Duration),
    /// The configuration changed.
    Recheck,
    /// Its deadline has passed.
    Expired,
}

/// A waiting call; it leaves the queue when dropped.
pub(super) struct Waiting {
    pub(super) placing: Placing,
    pub(super) shard: Arc<Shard>,
    pub(super) ticket: Ticket,
    pub(super) rx: Receiver<Wake>,
}

impl Waiting {
    /// The next thing that happens to the call.
    pub(super) async fn next(&mut self, deadline: Moment) -> Wake {
        if let Ok(wake) = self.rx.try_recv() {
            return wake;
        }
        let wake = async {
            let wake = self.rx.recv().await;
            wake.expect("invariant: a waiting call keeps its sender until it is told its end")
        };
        let expiry = async {
            Timer::after(Moment::now().until(deadline)).await;
            Wake::Expired
        };
        future::or(wake, expiry).await
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.shard.leave(&self.placing, self.ticket);
    }
}
