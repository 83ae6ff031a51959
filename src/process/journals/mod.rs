//! Drives the journals of the partitions that this host owns.
//!
//! [`Journals`] keeps one [`Journal`](crate::version::journal::Journal) per
//! partition, each behind its own lock, and spawns one task per partition to
//! execute its platform calls. No lock is held across an `await`.

mod acquire;
pub mod history;
mod run;
mod shared;
mod ticket;

use std::collections::BTreeMap;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use chicoryarch_net::Spawner;
use parking_lot::RwLock;

pub use acquire::AcquireError;
pub use ticket::BeginOutcome;
pub use ticket::Ticket;

use shared::SharedJournal;
use shared::panic_on_mismatch;
use ticket::RequestGuard;

use crate::configs::journal::JournalConfig;
use crate::connection::platform::Nonce;
use crate::connection::platform::Platform;
use crate::connection::platform::read_value;
use crate::ids::CustomerId;
use crate::ids::Epoch;
use crate::ids::ProgramId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::version::journal::ANSWER_KIND;
use crate::version::journal::ARCHIVE_KIND;
use crate::version::journal::Answer;
use crate::version::journal::ArchivedCall;
use crate::version::journal::CallEnd;
use crate::version::journal::CallSpec;
use crate::version::journal::Durability;
use crate::version::journal::JournalCounters;
use crate::version::journal::PartitionId;
use crate::version::journal::ProgramEnd;
use crate::version::journal::ProgramSpec;
use crate::version::journal::ProgramSummary;
use crate::version::journal::Reply;
use crate::version::journal::Status;
use crate::version::journal::StoredAnswer;
use crate::version::journal::unreadable_answer;

/// Capacity of the event channel; events beyond it are dropped.
const EVENT_CAPACITY: usize = 4096;

/// Event that the journals report to the other components of the host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalEvent {
    /// A program has ended; engines may release its memory.
    ProgramEnded(ProgramEnd),
    /// An owner at a higher epoch has taken over a partition.
    Deposed {
        /// Partition that this host has lost.
        partition: PartitionId,
        /// Epoch at which this host owned the partition.
        epoch: Epoch,
    },
}

struct Inner<P> {
    platform: P,
    cfg: JournalConfig,
    spawner: Spawner,
    owner: Nonce,
    counters: Arc<JournalCounters>,
    by_partition: RwLock<BTreeMap<PartitionId, Arc<SharedJournal>>>,
    events_tx: Sender<JournalEvent>,
    events_rx: Receiver<JournalEvent>,
}

/// The journals of the partitions that this host owns; clones share them.
#[derive(Clone)]
pub struct Journals<P> {
    inner: Arc<Inner<P>>,
}

impl<P: Platform> Journals<P> {
    /// Creates the driver of a host that owns no partition yet.
    pub fn new(platform: P, cfg: JournalConfig, spawner: Spawner) -> Self {
        let (events_tx, events_rx) = async_channel::bounded(EVENT_CAPACITY);
        let inner = Inner {
            platform,
            cfg,
            spawner,
            owner: Nonce::random(),
            counters: Arc::default(),
            by_partition: RwLock::default(),
            events_tx,
            events_rx,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counters summed over all partitions.
    pub fn counters(&self) -> &JournalCounters {
        &self.inner.counters
    }

    /// Events of all partitions; each event is received by one reader.
    ///
    /// Events are dropped while the channel is full, so a reader must be able
    /// to detect missed events by other means.
    pub fn events(&self) -> Receiver<JournalEvent> {
        self.inner.events_rx.clone()
    }

    /// Epoch at which this host owns a partition; `None` if it does not own it
    /// or no longer accepts requests for it.
    pub fn epoch(&self, partition: &PartitionId) -> Option<Epoch> {
        let shared = self.find(partition)?;
        let state = shared.lock();
        let is_active = state.journal.status() == Status::Active;
        is_active.then(|| state.journal.epoch())
    }

    /// Whether this host owns a partition and accepts requests for it.
    pub fn is_active(&self, partition: &PartitionId) -> bool {
        self.epoch(partition).is_some()
    }

    /// Releases a partition: refuses calls that have not started, waits up to
    /// `release_wait_ms` for running once-only calls and writes the final
    /// state.
    ///
    /// Returns `true` if the final state is stored in the platform, or if this
    /// host does not hold the partition.
    pub async fn release(&self, partition: &PartitionId) -> bool {
        let Some(shared) = self.find(partition) else {
            return true;
        };
        shared.step(&self.inner.events_tx, |journal, now| journal.release(now));
        shared.wait_stopped().await;
        let status = shared.lock().journal.status();
        status == Status::Released { flushed: true }
    }

    /// Opens a program in a partition and returns its id once that is durable.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal.
    pub async fn open_program(
        &self,
        partition: &PartitionId,
        spec: ProgramSpec,
    ) -> Result<ProgramId> {
        let shared = self.find_owned(partition)?;
        let random = rand::random();
        let events = &self.inner.events_tx;
        let reply = shared.request(events, |journal, now| journal.open(now, random, spec));
        match reply.wait().await {
            Reply::Opened(program) => Ok(program),
            Reply::Refused(refusal) => Err(refusal),
            other => panic_on_mismatch(&other),
        }
    }

    /// Ends a program and its sub-agents.
    ///
    /// # Errors
    ///
    /// A refusal if the program is not live or belongs to another customer.
    pub async fn end_program(
        &self,
        program: &ProgramId,
        customer: &CustomerId,
    ) -> Result<Durability> {
        let shared = self.find_owned(&PartitionId::of(program))?;
        let events = &self.inner.events_tx;
        let reply = shared.request(events, |journal, now| journal.end(now, program, customer));
        match reply.wait().await {
            Reply::Ended(durability) => Ok(durability),
            Reply::Refused(refusal) => Err(refusal),
            other => panic_on_mismatch(&other),
        }
    }

    /// Waits until earlier calls of the program and the journal writes that
    /// the call depends on have completed.
    ///
    /// Dropping the future abandons the call, which then has not run.
    ///
    /// # Errors
    ///
    /// A refusal; its outcome is `unknown` only if the call may have run
    /// before.
    pub async fn begin(&self, spec: CallSpec) -> Result<BeginOutcome> {
        let shared = self.find_owned(&spec.scope.partition())?;
        let events = &self.inner.events_tx;
        let reply = shared.request(events, |journal, now| journal.begin(now, spec));
        let guard = RequestGuard::new(&shared, events, reply.request);
        let reply = reply.wait().await;
        match reply {
            Reply::Run(permit) => Ok(BeginOutcome::Run(guard.into_ticket(permit))),
            Reply::Replay(answer) => self.replay(answer).await.map(BeginOutcome::Replay),
            Reply::Archived(archived) => {
                let answer = self.unarchive(&archived).await?;
                self.replay(answer).await.map(BeginOutcome::Replay)
            }
            Reply::Refused(refusal) => Err(refusal),
            other => panic_on_mismatch(&other),
        }
    }

    /// Checks immediately before dispatch that the call may still be
    /// dispatched.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal, after which the call must not be dispatched.
    pub fn check_dispatch(&self, ticket: &Ticket) -> Result<()> {
        ticket.check_dispatch()
    }

    /// Records the result of a call; for a once-only call, waits until the
    /// record is durable.
    pub async fn finish(&self, ticket: Ticket, finished: CallEnd) -> Durability {
        let reply = ticket.finish(finished);
        match reply.wait().await {
            Reply::Recorded(durability) => durability,
            other => panic_on_mismatch(&other),
        }
    }

    /// Root of a program's chain of sub-agents; the program itself if this
    /// host does not own its partition.
    pub fn root(&self, program: &ProgramId) -> ProgramId {
        let shared = self.find(&PartitionId::of(program));
        shared.map_or_else(
            || program.clone(),
            |shared| shared.lock().journal.root(program),
        )
    }

    /// Summary of a program; `None` if this host does not own its partition or
    /// the journal has no record of it.
    pub fn program_summary(&self, program: &ProgramId) -> Option<ProgramSummary> {
        let shared = self.find(&PartitionId::of(program))?;
        shared.lock().journal.program(program)
    }

    /// Summaries of all programs in the partitions that this host holds.
    pub fn programs(&self) -> Vec<ProgramSummary> {
        let journals: Vec<Arc<SharedJournal>> =
            self.inner.by_partition.read().values().cloned().collect();
        let programs = |shared: Arc<SharedJournal>| shared.lock().journal.programs();
        journals.into_iter().flat_map(programs).collect()
    }

    /// Summaries of the partitions that this host holds or is releasing.
    pub fn partitions(&self) -> Vec<PartitionSummary> {
        let by_partition = self.inner.by_partition.read();
        let summary = |(partition, shared): (&PartitionId, &Arc<SharedJournal>)| {
            let state = shared.lock();
            PartitionSummary {
                partition: partition.clone(),
                epoch: state.journal.epoch(),
                status: state.journal.status(),
                bytes: state.journal.size(),
            }
        };
        by_partition.iter().map(summary).collect()
    }

    fn find(&self, partition: &PartitionId) -> Option<Arc<SharedJournal>> {
        self.inner.by_partition.read().get(partition).cloned()
    }

    fn find_owned(&self, partition: &PartitionId) -> Result<Arc<SharedJournal>> {
        self.find(partition).ok_or_else(|| {
            Refusal::not_run(
                Reason::OwnerUnavailable,
                "this host does not own the partition",
            )
            .retry_after(self.inner.cfg.min_backoff)
        })
    }

    async fn unarchive(&self, archived: &ArchivedCall) -> Result<Answer> {
        let platform = &self.inner.platform;
        let found = read_value(platform, ARCHIVE_KIND, &archived.name).await;
        match found {
            Ok(Some((_, archive))) => archived.resolve(&archive),
            _ => Err(unreadable_answer().retry_after(self.inner.cfg.max_backoff)),
        }
    }

    async fn replay(&self, answer: Answer) -> Result<StoredAnswer> {
        let name = match answer {
            Answer::Inline(answer) => return Ok(answer),
            Answer::Object(name) => name,
            Answer::Omitted => return Err(unreadable_answer()),
        };
        let found = read_value(&self.inner.platform, ANSWER_KIND, &name).await;
        match found {
            Ok(Some((_, answer))) => Ok(answer),
            _ => Err(unreadable_answer().retry_after(self.inner.cfg.max_backoff)),
        }
    }
}

/// Status of a partition on this host, shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionSummary {
    /// Identifier of the partition.
    pub partition: PartitionId,
    /// Epoch at which this host owns the partition.
    pub epoch: Epoch,
    /// Whether the journal accepts requests.
    pub status: Status,
    /// Upper bound of the journal's encoded size, in bytes.
    pub bytes: usize,
}
