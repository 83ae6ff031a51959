//! Held history of the programs that this host owns.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

use crate::configs::history::HistoryConfig;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::connection::platform::decode;
use crate::connection::platform::read_value;
use crate::connection::platform::write_value;
use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::process::timers::Timers;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::version::history::Assembled;
use crate::version::history::CacheHandle;
use crate::version::history::Conversation;
use crate::version::history::Gap;
use crate::version::history::HISTORY_KIND;
use crate::version::history::Segment;
use crate::version::history::Tip;
use crate::version::history::Turn;
use crate::version::history::TurnRequest;
use crate::version::history::segment_name;
use crate::version::history::segment_prefix;
use crate::version::journal::Counter;

/// Locks over which conversations are divided.
const SHARDS: usize = 16;

/// Whether a completed turn survives its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appended {
    /// It is in the platform.
    Durable,
    /// It waits in the owner's memory; the answer must say so.
    Pending,
    /// Another owner has continued the conversation, so the turn is no part
    /// of it and its answer must not be given as one.
    Superseded,
    /// It is larger than the setting allows and is not recorded, so its answer
    /// must not be given as a turn of the conversation.
    TooLarge,
}

/// Counters of held history.
#[derive(Debug, Default)]
pub struct HistoryCounters {
    /// Segments written.
    pub segments: Counter,
    /// Bytes of messages in the segments written.
    pub bytes: Counter,
    /// Conversations rebuilt from segments.
    pub rebuilds: Counter,
    /// Calls refused for a gap.
    pub gaps: Counter,
    /// Writes and reads that failed.
    pub failures: Counter,
}

/// A conversation in memory and when it was used last.
struct Cached {
    conversation: Conversation,
    used: u64,
}

type Shard = Mutex<HashMap<ProgramId, Cached>>;

struct Inner<P> {
    platform: P,
    cfg: HistoryConfig,
    counters: HistoryCounters,
    shards: [Shard; SHARDS],
    uses: AtomicU64,
    cached_bytes: AtomicUsize,
    pending_bytes: AtomicUsize,
}

/// Held history of the programs that this host owns; clones share it.
///
/// The journal lets one call of a program run at a time, so the turns of one
/// conversation do not race.
#[derive(Clone)]
pub struct History<P> {
    inner: Arc<Inner<P>>,
}

impl<P: Platform> History<P> {
    /// A history with nothing in memory.
    pub fn new(platform: P, cfg: HistoryConfig) -> Self {
        let inner = Inner {
            platform,
            cfg,
            counters: HistoryCounters::default(),
            shards: std::array::from_fn(|_| Mutex::default()),
            uses: AtomicU64::default(),
            cached_bytes: AtomicUsize::default(),
            pending_bytes: AtomicUsize::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counters of all conversations.
    pub fn counters(&self) -> &HistoryCounters {
        &self.inner.counters
    }

    /// Gives the messages that a call runs with, before anything runs.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal: the history has a gap, cannot be read, or has too
    /// many turns waiting for the platform.
    pub async fn assemble(&self, req: &TurnRequest) -> Result<Assembled> {
        self.check_pending(&req.handle.program)?;
        if let Some(Ok(assembled)) = self.assemble_cached(req) {
            return Ok(assembled);
        }
        // Memory may be behind, for example by a former owner's late write.
        self.reload(&req.handle).await?;
        let assembled = self.assemble_cached(req);
        let assembled = assembled.unwrap_or(Err(Gap(req.ordinal)));
        assembled.map_err(|gap| self.refuse_gap(gap))
    }

    fn assemble_cached(&self, req: &TurnRequest) -> Option<std::result::Result<Assembled, Gap>> {
        let mut shard = self.shard(&req.handle.program).lock();
        let cached = shard.get_mut(&req.handle.program)?;
        if *cached.conversation.handle() != req.handle {
            return None;
        }
        cached.used = self.inner.uses.fetch_add(1, Ordering::Relaxed);
        Some(cached.conversation.assemble(req))
    }

    fn check_pending(&self, program: &ProgramId) -> Result<()> {
        let cfg = &self.inner.cfg;
        let shard = self.shard(program).lock();
        let cached = shard.get(program);
        let turns = cached.map_or(0, |cached| cached.conversation.pending().len());
        let bytes = self.inner.pending_bytes.load(Ordering::Relaxed);
        if turns < cfg.max_pending_turns && bytes < cfg.max_pending_bytes {
            return Ok(());
        }
        Err(self.busy())
    }

    fn busy(&self) -> Refusal {
        let detail = "turns of the history are waiting for the platform";
        Refusal::not_run(Reason::JournalUnavailable, detail)
            .retry_after(self.inner.cfg.flush_interval)
    }

    /// Rebuilds a conversation from its segments once no turn of it waits.
    async fn reload(&self, handle: &CacheHandle) -> Result<()> {
        if self.flush_program(&handle.program).await == Appended::Pending {
            return Err(self.busy());
        }
        let prefix = segment_prefix(&handle.program);
        let listed = self.inner.platform.list(HISTORY_KIND, &prefix).await;
        let segments: std::result::Result<Vec<Segment>, PlatformError> =
            listed.and_then(|changes| {
                let objects = changes.objects.iter();
                objects.map(|object| decode(HISTORY_KIND, object)).collect()
            });
        let segments = segments.map_err(|error| self.unreadable(&error))?;
        self.inner.counters.rebuilds.add(1);
        let conversation = Conversation::rebuild(handle.clone(), segments);
        let conversation = conversation.map_err(|gap| self.refuse_gap(gap))?;
        self.insert(conversation);
        Ok(())
    }

    fn unreadable(&self, error: &PlatformError) -> Refusal {
        self.inner.counters.failures.add(1);
        if matches!(error, PlatformError::Malformed { .. }) {
            return Refusal::not_run(Reason::HistoryGap, "the recorded history is unreadable");
        }
        Refusal::not_run(Reason::JournalUnavailable, "the history cannot be read")
            .retry_after(self.inner.cfg.flush_interval)
    }

    fn refuse_gap(&self, gap: Gap) -> Refusal {
        self.inner.counters.gaps.add(1);
        Refusal::not_run(Reason::HistoryGap, gap.to_string())
    }

    /// Adds a completed turn, before the end of its answer is released.
    ///
    /// Gives nothing if the conversation is not in memory, in which case the
    /// turn was not assembled here.
    pub async fn append(
        &self,
        handle: &CacheHandle,
        ordinal: Ordinal,
        turn: Turn,
    ) -> Option<Appended> {
        let messages = turn.asked.iter().chain(&turn.answered);
        let bytes: usize = messages.map(|message| message.as_str().len()).sum();
        if bytes > self.inner.cfg.max_turn_bytes {
            return Some(Appended::TooLarge);
        }
        self.push(handle, ordinal, turn)?;
        Some(self.flush_program(&handle.program).await)
    }

    fn push(&self, handle: &CacheHandle, ordinal: Ordinal, turn: Turn) -> Option<()> {
        let mut shard = self.shard(&handle.program).lock();
        let conversation = &mut shard.get_mut(&handle.program)?.conversation;
        if conversation.handle() != handle || ordinal <= conversation.tip().ordinal {
            return None;
        }
        let before = conversation.bytes();
        conversation.push(ordinal, turn);
        let added = conversation.bytes() - before;
        self.inner.cached_bytes.fetch_add(added, Ordering::Relaxed);
        self.inner.pending_bytes.fetch_add(added, Ordering::Relaxed);
        Some(())
    }

    /// The last turn of a conversation in memory, to be given to the caller.
    pub fn tip(&self, handle: &CacheHandle) -> Option<Tip> {
        let shard = self.shard(&handle.program).lock();
        let conversation = &shard.get(&handle.program)?.conversation;
        (conversation.handle() == handle).then(|| conversation.tip())
    }

    /// Upper bound of what the messages in memory add to a request, in bytes.
    pub fn encoded_bytes(&self, program: &ProgramId) -> usize {
        let shard = self.shard(program).lock();
        let cached = shard.get(program);
        cached.map_or(0, |cached| cached.conversation.encoded_bytes())
    }

    /// Writes the waiting turns of one program, oldest first.
    async fn flush_program(&self, program: &ProgramId) -> Appended {
        while let Some(segment) = self.next_pending(program) {
            match self.store(program, &segment).await {
                Appended::Durable => self.note_stored(program, &segment),
                Appended::Pending => return Appended::Pending,
                other => {
                    self.forget(program);
                    return other;
                }
            }
        }
        Appended::Durable
    }

    fn next_pending(&self, program: &ProgramId) -> Option<Segment> {
        let shard = self.shard(program).lock();
        shard.get(program)?.conversation.pending().first().cloned()
    }

    async fn store(&self, program: &ProgramId, segment: &Segment) -> Appended {
        let platform = &self.inner.platform;
        let name = segment_name(program, segment.ordinal);
        let written = write_value(platform, HISTORY_KIND, &name, Expect::Absent, segment).await;
        if let Ok(Written::Done(_)) = written {
            return Appended::Durable;
        }
        let found = read_value::<Segment>(platform, HISTORY_KIND, &name).await;
        match found {
            Ok(Some((_, found))) if found == *segment => Appended::Durable,
            Ok(Some(_)) | Err(PlatformError::Malformed { .. }) => Appended::Superseded,
            Ok(None) | Err(_) => {
                self.inner.counters.failures.add(1);
                Appended::Pending
            }
        }
    }

    fn note_stored(&self, program: &ProgramId, segment: &Segment) {
        let mut shard = self.shard(program).lock();
        let Some(cached) = shard.get_mut(program) else {
            return;
        };
        let before = cached.conversation.pending().len();
        cached.conversation.mark_stored(segment.ordinal);
        if cached.conversation.pending().len() == before {
            return;
        }
        let bytes = segment.bytes();
        self.inner.pending_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.inner.counters.segments.add(1);
        self.inner.counters.bytes.add(bytes as u64);
    }

    /// Writes the waiting turns of all programs.
    pub async fn flush(&self) {
        for program in self.pending_programs() {
            self.flush_program(&program).await;
        }
    }

    /// Writes waiting turns at every interval, as long as the process runs.
    pub async fn run(self, timers: Timers) {
        let ticks = timers.subscribe(self.inner.cfg.flush_interval).await;
        while ticks.recv().await.is_ok() {
            self.flush().await;
        }
    }

    fn pending_programs(&self) -> Vec<ProgramId> {
        let pending = |(program, cached): (&ProgramId, &Cached)| {
            let is_waiting = !cached.conversation.pending().is_empty();
            is_waiting.then(|| program.clone())
        };
        let of_shard =
            |shard: &Shard| -> Vec<ProgramId> { shard.lock().iter().filter_map(pending).collect() };
        self.inner.shards.iter().flat_map(of_shard).collect()
    }

    /// Drops a conversation from memory, with turns of it that wait.
    pub fn forget(&self, program: &ProgramId) {
        let removed = self.shard(program).lock().remove(program);
        if let Some(removed) = removed {
            self.uncount(&removed.conversation);
        }
    }

    /// Removes the stored segments of a program that is gone.
    ///
    /// # Errors
    ///
    /// Why the platform gave no result; segments may be left.
    pub async fn erase(&self, program: &ProgramId) -> std::result::Result<(), PlatformError> {
        self.forget(program);
        let platform = &self.inner.platform;
        let listed = platform
            .list(HISTORY_KIND, &segment_prefix(program))
            .await?;
        for object in listed.objects {
            platform
                .remove(HISTORY_KIND, &object.name, object.version)
                .await?;
        }
        Ok(())
    }

    fn insert(&self, conversation: Conversation) {
        let program = conversation.handle().program.clone();
        self.forget(&program);
        let bytes = conversation.bytes();
        self.inner.cached_bytes.fetch_add(bytes, Ordering::Relaxed);
        let used = self.inner.uses.fetch_add(1, Ordering::Relaxed);
        let cached = Cached { conversation, used };
        let mut shard = self.shard(&program).lock();
        shard.insert(program.clone(), cached);
        self.evict(&mut shard, &program);
    }

    /// Drops what was used least recently in a shard while memory is short.
    fn evict(&self, shard: &mut HashMap<ProgramId, Cached>, keep: &ProgramId) {
        let is_full =
            || self.inner.cached_bytes.load(Ordering::Relaxed) > self.inner.cfg.max_cached_bytes;
        while is_full() {
            let idle = |(program, cached): &(&ProgramId, &Cached)| {
                *program != keep && cached.conversation.pending().is_empty()
            };
            let oldest = shard
                .iter()
                .filter(idle)
                .min_by_key(|(_, cached)| cached.used);
            let Some(oldest) = oldest.map(|(program, _)| program.clone()) else {
                return;
            };
            if let Some(removed) = shard.remove(&oldest) {
                self.uncount(&removed.conversation);
            }
        }
    }

    fn uncount(&self, conversation: &Conversation) {
        let pending: usize = conversation.pending().iter().map(Segment::bytes).sum();
        self.inner
            .pending_bytes
            .fetch_sub(pending, Ordering::Relaxed);
        self.inner
            .cached_bytes
            .fetch_sub(conversation.bytes(), Ordering::Relaxed);
    }

    fn shard(&self, program: &ProgramId) -> &Shard {
        let mut hasher = DefaultHasher::new();
        program.hash(&mut hasher);
        let index = hasher.finish() % SHARDS as u64;
        &self.inner.shards[usize::try_from(index).expect("fewer shards than addresses")]
    }
}
