//! State machine of one partition's journal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use super::archive::PendingArchive;
use super::budget::Account;
use super::call::CallSpec;
use super::call::Effect;
use super::call::Reply;
use super::call::RequestId;
use super::commit::Io;
use super::counters::JournalCounters;
use super::document::Document;
use super::document::Header;
use super::document::OnceId;
use super::document::StoredAnswer;
use super::order::Sequence;
use super::pace::Pacer;
use super::partition::PartitionId;
use super::size::Sizes;
use crate::configs::journal::JournalConfig;
use crate::connection::platform::Nonce;
use crate::ids::Epoch;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::ids::Version;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::units::Moment;
use crate::units::Tokens;

/// Another owner holds the journal at this epoch, which is not lower than the
/// requested one.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("another owner holds the journal at epoch {0}")]
pub struct Fenced(pub Epoch);

/// Stage of ownership of a journal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Accepts requests.
    Active,
    /// Refuses requests and waits for running once-only calls.
    Releasing {
        /// When the wait ends.
        until: Moment,
    },
    /// Writes the final state.
    Flushing {
        /// When the attempts end.
        until: Moment,
    },
    /// Has written the final state, or failed to write it in time.
    Released {
        /// Whether the final state is stored in the platform.
        flushed: bool,
    },
    /// Another owner has taken the partition over.
    Deposed,
}

/// Stage of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Waits for its turn in the program.
    Turn,
    /// Waits for a journal write.
    Commit,
    /// Permitted, but not yet checked for dispatch.
    Permitted,
    /// Has passed the dispatch check.
    Dispatched,
}

/// A call that is waiting or running.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) spec: CallSpec,
    pub(super) once: Option<OnceId>,
    pub(super) ordinal: Option<Ordinal>,
    pub(super) phase: Phase,
    pub(super) charged: Vec<ProgramId>,
    pub(super) intent: Option<u64>,
}

/// The kind of change that a request waits for.
#[derive(Clone, Debug)]
pub(super) enum Wait {
    /// Intent and reservation of a call that is to start.
    Begin,
    /// Outcome of a call that has ended.
    Record,
    /// A new program.
    Open(ProgramId),
    /// The end of a program.
    End,
}

/// A request that waits for a revision to be durable.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) wait: Wait,
    /// `None` while the change is not in the document.
    pub(super) revision: Option<u64>,
}

/// Event of a timer.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A request times out.
    Timeout(RequestId),
    /// The wait for missing ordinals of a program ends.
    Gap(ProgramId),
    /// A program is checked for idleness.
    Idle(ProgramId),
    /// Entries past their retention are removed.
    Sweep,
}

/// In-memory state of a program.
#[derive(Debug)]
pub(super) struct LiveProgram {
    pub(super) sequence: Sequence,
    pub(super) account: Option<Account>,
    pub(super) last_active: Moment,
    pub(super) gap_since: Option<Moment>,
    /// Number of waiting and running calls of the program and its sub-agents.
    pub(super) calls: usize,
    /// Number of its direct sub-agents that are still in memory.
    pub(super) children: usize,
}

/// An object that the journal no longer references, to be removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreferencedObject {
    /// Kind of the object.
    pub kind: &'static str,
    /// Name of the object.
    pub name: String,
}

/// A large answer whose object is not yet stored.
#[derive(Debug)]
pub(super) struct LargeAnswer {
    pub(super) once: OnceId,
    pub(super) request: RequestId,
}

/// The journal of one partition at its owner.
#[derive(Debug)]
pub struct Journal {
    pub(super) cfg: JournalConfig,
    pub(super) id: PartitionId,
    pub(super) counters: Arc<JournalCounters>,
    pub(super) status: Status,
    pub(super) doc: Document,
    pub(super) version: Version,
    pub(super) durable: u64,
    pub(super) dirty_since: Option<Moment>,
    pub(super) io: Io,
    pub(super) pacer: Pacer,
    pub(super) sizes: Sizes,
    pub(super) programs: BTreeMap<ProgramId, LiveProgram>,
    pub(super) calls: HashMap<RequestId, Call>,
    pub(super) in_flight: HashMap<OnceId, RequestId>,
    pub(super) waits: HashMap<RequestId, Waiter>,
    pub(super) commits: BTreeSet<(u64, RequestId)>,
    pub(super) unstored_answers: HashMap<OnceId, StoredAnswer>,
    pub(super) large_answers: VecDeque<LargeAnswer>,
    /// Objects that the journal no longer references, to be removed.
    pub(super) unreferenced: VecDeque<UnreferencedObject>,
    /// Name of the archive of each archived call.
    pub(super) archived: HashMap<OnceId, String>,
    pub(super) pending_archive: Option<PendingArchive>,
    /// Size above which answers are archived, in bytes.
    pub(super) archive_above: usize,
    pub(super) timers: BTreeSet<(Moment, Timer)>,
    pub(super) timeouts: HashMap<RequestId, Moment>,
    pub(super) effects: Vec<Effect>,
    pub(super) next_request: u64,
    clock_base_ms: u64,
    active_since: Moment,
}

impl Journal {
    /// Builds the document with which an owner takes a partition over; it is to
    /// be written on condition that the stored one is unchanged.
    ///
    /// # Errors
    ///
    /// [`Fenced`] if another owner wrote the stored journal at the same or a
    /// higher epoch.
    pub fn takeover_document(
        stored: Option<Document>,
        epoch: Epoch,
        owner: Nonce,
    ) -> Result<Document, Fenced> {
        let header = Header {
            epoch,
            owner,
            revision: 1,
            clock_ms: 0,
        };
        let Some(stored) = stored else {
            return Ok(Document {
                header,
                programs: BTreeMap::new(),
                once: BTreeMap::new(),
                archives: Vec::new(),
            });
        };
        let held = stored.header;
        let is_ours = held.epoch == epoch && held.owner == owner;
        if held.epoch >= epoch && !is_ours {
            return Err(Fenced(held.epoch));
        }
        let revision = held.revision + 1;
        let clock_ms = held.clock_ms;
        let header = Header {
            revision,
            clock_ms,
            ..header
        };
        Ok(Document { header, ..stored })
    }

    /// Creates the journal of an owner from its takeover document, once that is
    /// written.
    pub fn from_document(
        id: PartitionId,
        cfg: JournalConfig,
        counters: Arc<JournalCounters>,
        doc: Document,
        version: Version,
        now: Moment,
    ) -> Self {
        let mut journal = Self {
            pacer: Pacer::new(&cfg),
            sizes: Sizes::new(cfg.inline_answer_bytes),
            cfg,
            id,
            counters,
            status: Status::Active,
            version,
            durable: doc.header.revision,
            dirty_since: None,
            io: Io::Idle,
            programs: BTreeMap::new(),
            calls: HashMap::new(),
            in_flight: HashMap::new(),
            waits: HashMap::new(),
            commits: BTreeSet::new(),
            unstored_answers: HashMap::new(),
            large_answers: VecDeque::new(),
            unreferenced: VecDeque::new(),
            archived: HashMap::new(),
            pending_archive: None,
            archive_above: 0,
            timers: BTreeSet::new(),
            timeouts: HashMap::new(),
            effects: Vec::new(),
            next_request: 0,
            clock_base_ms: doc.header.clock_ms,
            active_since: now,
            doc,
        };
        journal.recover(now);
        journal
    }

    /// Id of the partition.
    pub fn id(&self) -> &PartitionId {
        &self.id
    }

    /// Epoch of this owner.
    pub fn epoch(&self) -> Epoch {
        self.doc.header.epoch
    }

    /// Stage of this owner's ownership.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Upper bound of the journal's encoded size, in bytes.
    pub fn size(&self) -> usize {
        self.sizes.total()
    }

    /// Takes the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn recover(&mut self, now: Moment) {
        for (id, record) in &self.doc.programs {
            self.sizes.set_program(id, record);
            if record.ended_ms.is_some() {
                continue;
            }
            let new_account = |budget| Account::recover(budget, record.reserved);
            let live = LiveProgram {
                sequence: Sequence::recover(record.high_water),
                account: record.budget.map(new_account),
                last_active: now,
                gap_since: None,
                calls: 0,
                children: 0,
            };
            let idle = Timer::Idle(id.clone());
            self.timers.insert((now + self.cfg.idle_end, idle));
            self.programs.insert(id.clone(), live);
        }
        for id in self.programs.keys().cloned().collect::<Vec<_>>() {
            let parent = self.doc.programs[&id].parent.clone();
            self.count_child(parent.as_ref(), 1);
        }
        for (id, record) in &self.doc.once {
            self.sizes.set_once(*id, record);
        }
        for record in &self.doc.archives {
            self.sizes.set_archive(record);
            let named = record.ids.0.iter().map(|id| (*id, record.name.clone()));
            self.archived.extend(named);
        }
        self.archive_above = self.cfg.archive_above_bytes + self.sizes.archives_size();
        self.timers
            .insert((now + self.sweep_interval(), Timer::Sweep));
    }

    pub(super) fn clock_ms(&self, now: Moment) -> u64 {
        let elapsed = now.since(self.active_since).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.clock_base_ms.saturating_add(elapsed)
    }

    pub(super) fn new_request(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    pub(super) fn reply(&mut self, request: RequestId, reply: Reply) {
        self.set_timeout(request, None);
        self.effects.push(Effect::Reply(request, reply));
    }

    /// Marks the document as changed and returns its new revision.
    pub(super) fn bump_revision(&mut self, now: Moment) -> u64 {
        self.dirty_since.get_or_insert(now);
        self.doc.header.revision += 1;
        self.doc.header.revision
    }

    /// Registers a request to wait until a revision is durable.
    pub(super) fn wait_for(&mut self, request: RequestId, wait: Wait, revision: u64) {
        self.counters.commit_waits.add(1);
        let waiter = Waiter {
            wait,
            revision: Some(revision),
        };
        self.waits.insert(request, waiter);
        self.commits.insert((revision, request));
    }

    pub(super) fn stop_waiting(&mut self, request: RequestId) -> Option<Wait> {
        let waiter = self.waits.remove(&request)?;
        if let Some(revision) = waiter.revision {
            self.commits.remove(&(revision, request));
        }
        Some(waiter.wait)
    }

    pub(super) fn set_timeout(&mut self, request: RequestId, at: Option<Moment>) {
        let old = match at {
            Some(at) => self.timeouts.insert(request, at),
            None => self.timeouts.remove(&request),
        };
        if let Some(old) = old {
            self.timers.remove(&(old, Timer::Timeout(request)));
        }
        if let Some(at) = at {
            self.timers.insert((at, Timer::Timeout(request)));
        }
    }

    /// Refusal of new requests, `None` while the journal accepts them.
    pub(super) fn closed_refusal(&self) -> Option<Refusal> {
        match self.status {
            Status::Active => None,
            Status::Releasing { .. } | Status::Flushing { .. } => Some(
                Refusal::not_run(Reason::Draining, "the partition is being handed over")
                    .retry_after(self.cfg.min_backoff),
            ),
            Status::Released { .. } | Status::Deposed => Some(
                Refusal::not_run(Reason::OwnerUnavailable, "the partition has another owner")
                    .retry_after(self.cfg.min_backoff),
            ),
        }
    }

    pub(super) fn unavailable_refusal(&self) -> Refusal {
        self.counters.refused_unavailable.add(1);
        Refusal::not_run(Reason::JournalUnavailable, "the journal cannot be written")
            .retry_after(self.pacer.backoff())
    }

    pub(super) fn full_refusal(&self) -> Refusal {
        self.counters.refused_full.add(1);
        Refusal::not_run(Reason::Overloaded, "the journal of the partition is full")
            .retry_after(self.cfg.ended_retention)
    }

    pub(super) fn budget_slice(&self) -> Tokens {
        Tokens(self.cfg.budget_slice)
    }
}
