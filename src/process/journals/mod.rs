//! Drives the journals of the partitions that this host owns.
//!
//! [`Journals`] holds one [`Journal`](crate::version::journal::Journal) for
//! each partition under its own lock, and runs one task for each that carries
//! out its platform calls. No lock is held while a future waits.

mod acquire;
mod cell;
pub mod history;
mod run;
mod ticket;

use std::collections::BTreeMap;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use chicoryarch_net::Spawner;
use parking_lot::RwLock;

pub use acquire::AcquireError;
pub use ticket::Begun;
pub use ticket::Ticket;

use cell::Cell;
use cell::unexpected;
use ticket::Guard;

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

/// Events that wait for a reader; later ones are dropped.
const PENDING_EVENTS: usize = 4096;

/// What the owner of journals tells the rest of the host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalEvent {
    /// A program is gone; engines may release its memory.
    ProgramEnded(ProgramEnd),
    /// Another owner has taken a partition.
    Deposed {
        /// The partition.
        partition: PartitionId,
        /// The epoch that this host held.
        epoch: Epoch,
    },
}

struct Inner<P> {
    platform: P,
    cfg: JournalConfig,
    spawner: Spawner,
    owner: Nonce,
    counters: Arc<JournalCounters>,
    cells: RwLock<BTreeMap<PartitionId, Arc<Cell>>>,
    events_tx: Sender<JournalEvent>,
    events_rx: Receiver<JournalEvent>,
}

/// The journals of the partitions that this host owns; clones share them.
#[derive(Clone)]
pub struct Journals<P> {
    inner: Arc<Inner<P>>,
}

impl<P: Platform> Journals<P> {
    /// Journals of a host that owns no partition yet.
    pub fn new(platform: P, cfg: JournalConfig, spawner: Spawner) -> Self {
        let (events_tx, events_rx) = async_channel::bounded(PENDING_EVENTS);
        let inner = Inner {
            platform,
            cfg,
            spawner,
            owner: Nonce::random(),
            counters: Arc::default(),
            cells: RwLock::default(),
            events_tx,
            events_rx,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counters over all partitions.
    pub fn counters(&self) -> &JournalCounters {
        &self.inner.counters
    }

    /// Events of all partitions; each goes to one reader.
    ///
    /// Events are dropped while too many wait, so a reader must be able to
    /// find out by other means what it has missed.
    pub fn events(&self) -> Receiver<JournalEvent> {
        self.inner.events_rx.clone()
    }

    /// The epoch at which this host owns a partition, if it does.
    pub fn epoch(&self, partition: &PartitionId) -> Option<Epoch> {
        let cell = self.cell(partition)?;
        let state = cell.lock();
        let is_active = state.journal.status() == Status::Active;
        is_active.then(|| state.journal.epoch())
    }

    /// True if this host owns a partition and takes requests for it.
    pub fn is_active(&self, partition: &PartitionId) -> bool {
        self.epoch(partition).is_some()
    }

    /// Hands a partition over: refuses what has not started, waits for running
    /// once-only calls up to a setting and writes the last state.
    ///
    /// Gives true if the last state is in the platform, or if the partition
    /// was not owned.
    pub async fn release(&self, partition: &PartitionId) -> bool {
        let Some(cell) = self.cell(partition) else {
            return true;
        };
        cell.step(&self.inner.events_tx, |journal, now| journal.release(now));
        cell.stopped().await;
        let status = cell.lock().journal.status();
        status == Status::Released { flushed: true }
    }

    /// Opens a program in a partition; its id is durable when this returns.
    ///
    /// # Errors
    ///
    /// A refusal, always `not-run`.
    pub async fn open_program(
        &self,
        partition: &PartitionId,
        spec: ProgramSpec,
    ) -> Result<ProgramId> {
        let cell = self.owned(partition)?;
        let random = rand::random();
        let events = &self.inner.events_tx;
        let reply = cell.request(events, |journal, now| journal.open(now, random, spec));
        match reply.wait().await {
            Reply::Opened(program) => Ok(program),
            Reply::Refused(refusal) => Err(refusal),
            other => unexpected(&other),
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
        let cell = self.owned(&PartitionId::of(program))?;
        let events = &self.inner.events_tx;
        let reply = cell.request(events, |journal, now| journal.end(now, program, customer));
        match reply.wait().await {
            Reply::Ended(durability) => Ok(durability),
            Reply::Refused(refusal) => Err(refusal),
            other => unexpected(&other),
        }
    }

    /// Waits for a call's turn and for what it needs in the journal.
    ///
    /// Dropping the future gives the call up; it has then not run.
    ///
    /// # Errors
    ///
    /// A refusal; `unknown` only for a call that may have run before.
    pub async fn begin(&self, spec: CallSpec) -> Result<Begun> {
        let cell = self.owned(&spec.scope.partition())?;
        let events = &self.inner.events_tx;
        let reply = cell.request(events, |journal, now| journal.begin(now, spec));
        let guard = Guard::new(&cell, events, reply.request);
        let reply = reply.wait().await;
        match reply {
            Reply::Run(permit) => Ok(Begun::Run(guard.into_ticket(permit))),
            Reply::Replay(answer) => self.replay(answer).await.map(Begun::Replay),
            Reply::Archived(archived) => {
                let answer = self.unarchive(&archived).await?;
                self.replay(answer).await.map(Begun::Replay)
            }
            Reply::Refused(refusal) => Err(refusal),
            other => unexpected(&other),
        }
    }

    /// Checks a call once more just before its dispatch.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal; the call must not be dispatched.
    pub fn check_dispatch(&self, ticket: &Ticket) -> Result<()> {
        ticket.check_dispatch()
    }

    /// Ends a call, and for a once-only call waits until that is durable.
    pub async fn finish(&self, ticket: Ticket, finished: CallEnd) -> Durability {
        let reply = ticket.finish(finished);
        match reply.wait().await {
            Reply::Recorded(durability) => durability,
            other => unexpected(&other),
        }
    }

    /// The root of a program's chain of sub-agents; itself if this host does
    /// not own it.
    pub fn root(&self, program: &ProgramId) -> ProgramId {
        let cell = self.cell(&PartitionId::of(program));
        cell.map_or_else(|| program.clone(), |cell| cell.lock().journal.root(program))
    }

    /// One program, if this host owns and knows it.
    pub fn program_summary(&self, program: &ProgramId) -> Option<ProgramSummary> {
        let cell = self.cell(&PartitionId::of(program))?;
        cell.lock().journal.program(program)
    }

    /// All programs of the partitions that this host owns.
    pub fn programs(&self) -> Vec<ProgramSummary> {
        let cells: Vec<Arc<Cell>> = self.inner.cells.read().values().cloned().collect();
        let programs = |cell: Arc<Cell>| cell.lock().journal.programs();
        cells.into_iter().flat_map(programs).collect()
    }

    /// Partitions that this host holds, with their state and size in bytes.
    pub fn partitions(&self) -> Vec<PartitionSummary> {
        let cells = self.inner.cells.read();
        let summary = |(partition, cell): (&PartitionId, &Arc<Cell>)| {
            let state = cell.lock();
            PartitionSummary {
                partition: partition.clone(),
                epoch: state.journal.epoch(),
                status: state.journal.status(),
                bytes: state.journal.size(),
            }
        };
        cells.iter().map(summary).collect()
    }

    fn cell(&self, partition: &PartitionId) -> Option<Arc<Cell>> {
        self.inner.cells.read().get(partition).cloned()
    }

    fn owned(&self, partition: &PartitionId) -> Result<Arc<Cell>> {
        self.cell(partition).ok_or_else(|| {
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

/// A partition as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionSummary {
    /// The partition.
    pub partition: PartitionId,
    /// Epoch of this host's ownership.
    pub epoch: Epoch,
    /// Whether requests are taken.
    pub status: Status,
    /// Upper bound of the journal's encoded size, in bytes.
    pub bytes: usize,
}
