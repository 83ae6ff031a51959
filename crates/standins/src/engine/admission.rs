//! Concurrency limit with a priority queue for the calls above it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use parking_lot::Mutex;

/// Order in which waiting calls start: larger priority, then earlier arrival.
type Rank = (Reverse<i64>, u64);

#[derive(Debug)]
struct Queue {
    concurrency: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<Rank, Sender<()>>,
}

impl Queue {
    /// Frees the slot of one running call and passes it to the first waiting call.
    fn release(&mut self) {
        self.running -= 1;
        if let Some((_, tx)) = self.waiting.pop_first() {
            self.running += 1;
            // Cannot fail: a dropped waiter removes its sender from the queue.
            let _granted = tx.try_send(());
        }
    }
}

/// Limits the number of concurrent calls; clones share the limit.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    queue: Arc<Mutex<Queue>>,
}

/// A concurrency slot, freed on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    admission: Admission,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.queue.lock().release();
    }
}

/// A queued call; dropping it gives up its queue position or granted slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    admission: Admission,
    rank: Rank,
    granted: Receiver<()>,
    admitted: bool,
}

impl Waiter {
    /// Waits for a slot.
    pub(crate) async fn wait(mut self) -> Slot {
        // Cannot fail: the queue keeps the sender until it has sent.
        let _granted = self.granted.recv().await;
        self.admitted = true;
        Slot {
            admission: self.admission.clone(),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.admitted {
            return;
        }
        let mut queue = self.admission.queue.lock();
        if queue.waiting.remove(&self.rank).is_none() {
            queue.release();
        }
    }
}

impl Admission {
    /// Creates a limit of `concurrency` concurrent calls.
    pub(crate) fn new(concurrency: usize) -> Self {
        let queue = Queue {
            concurrency,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            queue: Arc::new(Mutex::new(queue)),
        }
    }

    /// Queues a call; it is granted a slot immediately if one is free.
    pub(crate) fn enqueue(&self, priority: i64) -> Waiter {
        let mut queue = self.queue.lock();
        queue.arrivals += 1;
        let rank = (Reverse(priority), queue.arrivals);
        let (tx, granted) = async_channel::bounded(1);
        if queue.running < queue.concurrency {
            queue.running += 1;
            let _granted = tx.try_send(());
        } else {
            queue.waiting.insert(rank, tx);
        }
        Waiter {
            admission: self.clone(),
            rank,
            granted,
            admitted: false,
        }
    }

    /// Returns the numbers of running and of queued calls.
    pub(crate) fn running_and_queued(&self) -> (usize, usize) {
        let queue = self.queue.lock();
        (queue.running, queue.waiting.len())
    }
}
