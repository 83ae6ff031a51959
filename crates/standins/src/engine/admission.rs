//! Limit of the calls that run at once; more wait by priority.

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
    /// Ends one running call and starts the first that waits.
    fn release(&mut self) {
        self.running -= 1;
        if let Some((_, tx)) = self.waiting.pop_first() {
            self.running += 1;
            // The receiver lives as long as its ticket, which is in the queue.
            let _granted = tx.try_send(());
        }
    }
}

/// Limits the calls that run at once; clones share the limit.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    queue: Arc<Mutex<Queue>>,
}

/// Permission to run, until dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    admission: Admission,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.queue.lock().release();
    }
}

/// A call's place in the queue; dropping it gives the place up.
#[derive(Debug)]
pub(crate) struct Ticket {
    admission: Admission,
    rank: Rank,
    granted: Receiver<()>,
    taken: bool,
}

impl Ticket {
    /// Waits for permission to run.
    pub(crate) async fn wait(mut self) -> Slot {
        // The sender is kept in the queue until it has sent.
        let _granted = self.granted.recv().await;
        self.taken = true;
        Slot {
            admission: self.admission.clone(),
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let mut queue = self.admission.queue.lock();
        if queue.waiting.remove(&self.rank).is_none() {
            queue.release();
        }
    }
}

impl Admission {
    /// Lets `concurrency` calls run at once.
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

    /// Enters the queue, which a free place lets through at once.
    pub(crate) fn enter(&self, priority: i64) -> Ticket {
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
        Ticket {
            admission: self.clone(),
            rank,
            granted,
            taken: false,
        }
    }

    /// Calls that run and calls that wait.
    pub(crate) fn running_and_queued(&self) -> (usize, usize) {
        let queue = self.queue.lock();
        (queue.running, queue.waiting.len())
    }
}
