//! Timer service: a task that sends periodic ticks to its subscribers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use chicoryarch_net::Spawner;
use futures_lite::future;

use crate::units::Moment;

/// Capacity of the channel of new subscriptions.
const SUBSCRIPTION_CAPACITY: usize = 64;

struct Subscription {
    period: Duration,
    tx: Sender<Moment>,
}

struct Due {
    at: Moment,
    subscription: Subscription,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

/// Handle to the timer service; clones share it.
#[derive(Clone, Debug)]
pub struct Timers {
    tx: Sender<Subscription>,
}

impl Timers {
    /// Starts the timer service on an executor.
    pub fn start(spawner: &Spawner) -> Self {
        let (tx, rx) = async_channel::bounded(SUBSCRIPTION_CAPACITY);
        spawner.detach(run(rx));
        Self { tx }
    }

    /// Subscribes to a tick every `period`, the first after one period.
    ///
    /// A slow subscriber misses ticks, since at most one is buffered. Dropping
    /// the receiver ends the subscription.
    pub async fn subscribe(&self, period: Duration) -> Receiver<Moment> {
        let (tx, rx) = async_channel::bounded(1);
        let subscription = Subscription { period, tx };
        self.tx
            .send(subscription)
            .await
            .expect("the timer service runs as long as the process");
        rx
    }
}

async fn run(rx: Receiver<Subscription>) {
    let mut due: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    loop {
        let next = due.peek().map(|Reverse(next)| next.at);
        let wake = async {
            match next {
                Some(at) => Timer::after(Moment::now().until(at)).await,
                None => future::pending().await,
            };
            None
        };
        match future::or(async { Some(rx.recv().await) }, wake).await {
            Some(Ok(subscription)) => schedule(&mut due, subscription),
            Some(Err(_)) => return,
            None => send_due(&mut due),
        }
    }
}

fn schedule(due: &mut BinaryHeap<Reverse<Due>>, subscription: Subscription) {
    let at = Moment::now() + subscription.period;
    due.push(Reverse(Due { at, subscription }));
}

fn send_due(due: &mut BinaryHeap<Reverse<Due>>) {
    let now = Moment::now();
    while due.peek().is_some_and(|Reverse(next)| next.at <= now) {
        let Some(Reverse(Due { subscription, .. })) = due.pop() else {
            return;
        };
        // A full channel means that the last tick has not been received yet.
        let _missed = subscription.tx.try_send(now);
        if !subscription.tx.is_closed() {
            schedule(due, subscription);
        }
    }
}
