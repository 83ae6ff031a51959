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

/// A call that waits; dropping it gives up its place.
struct Ticket<'a> {
    admission: &'a Admission,
    rank: Rank,
    granted: Receiver<()>,
    taken: bool,
}

impl Drop for Ticket<'_> {
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

    /// Waits for permission to run.
    pub(crate) async fn admit(&self, priority: i64) -> Slot {
        let ticket = self.enqueue(priority);
        if let Some(mut ticket) = ticket {
            let _granted = ticket.granted.recv().await;
            ticket.taken = true;
        }
        Slot {
            admission: self.clone(),
        }
    }

    /// Calls that run and calls that wait.
    pub(crate) fn running_and_queued(&self) -> (usize, usize) {
        let queue = self.queue.lock();
        (queue.running, queue.waiting.len())
    }

    /// Takes a free place, or a ticket if there is none.
    fn enqueue(&self, priority: i64) -> Option<Ticket<'_>> {
        let mut queue = self.queue.lock();
        if queue.running < queue.concurrency {
            queue.running += 1;
            return None;
        }
        queue.arrivals += 1;
        let rank = (Reverse(priority), queue.arrivals);
        let (tx, granted) = async_channel::bounded(1);
        queue.waiting.insert(rank, tx);
        Some(Ticket {
            admission: self,
            rank,
            granted,
            taken: false,
        })
    }
}
