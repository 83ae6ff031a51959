//! Conversation history of the programs that this host owns: a cache of the
//! segments that are stored in the platform.

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

/// Number of separately locked shards of the conversation cache.
const SHARDS: usize = 16;

/// Result of appending a completed turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The turn is stored in the platform.
    Durable,
    /// The turn is only in the owner's memory until a later write succeeds;
    /// the answer must say so.
    Pending,
    /// Another owner has continued the conversation, so the turn is not part
    /// of it and its answer must not be returned as one.
    Superseded,
    /// The turn exceeds `max_turn_bytes` and is not recorded, so its answer
    /// must not be returned as a turn of the conversation.
    TooLarge,
}

/// Counters of the conversation history.
#[derive(Debug, Default)]
pub struct HistoryCounters {
    /// Number of segments written.
    pub segments: Counter,
    /// Message bytes in the segments written.
    pub bytes: Counter,
    /// Number of times that a conversation was rebuilt from its segments.
    pub rebuilds: Counter,
    /// Calls refused because of a gap in the history.
    pub gaps: Counter,
    /// Failed platform reads and writes.
    pub failures: Counter,
}

/// A cached conversation with the value of the use counter at its last use.
struct Cached {
    conversation: Conversation,
    last_used: u64,
}

type Shard = Mutex<HashMap<ProgramId, Cached>>;

struct Inner<P> {
    platform: P,
    cfg: HistoryConfig,
    counters: HistoryCounters,
    shards: [Shard; SHARDS],
    use_counter: AtomicU64,
    cached_bytes: AtomicUsize,
    pending_bytes: AtomicUsize,
}

/// History of the programs that this host owns; clones share it.
///
/// The journal runs the calls of a program one at a time, so the turns of a
/// conversation do not race.
#[derive(Clone)]
pub struct History<P> {
    inner: Arc<Inner<P>>,
}

impl<P: Platform> History<P> {
    /// Creates a history with an empty cache.
    pub fn new(platform: P, cfg: HistoryConfig) -> Self {
        let inner = Inner {
            platform,
            cfg,
            counters: HistoryCounters::default(),
            shards: std::array::from_fn(|_| Mutex::default()),
            use_counter: AtomicU64::default(),
            cached_bytes: AtomicUsize::default(),
            pending_bytes: AtomicUsize::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counters summed over all conversations.
    pub fn counters(&self) -> &HistoryCounters {
        &self.inner.counters
    }

    /// Assembles the messages to send with a call, before the call is
    /// dispatched.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal if the history has a gap, cannot be read, or has
    /// too many turns that are not yet stored in the platform.
    pub async fn assemble(&self, req: &TurnRequest) -> Result<Assembled> {
        self.check_pending(&req.handle.program)?;
        if let Some(Ok(assembled)) = self.assemble_cached(req) {
            return Ok(assembled);
        }
        // The cache may be stale, for example after a former owner's late
        // write.
        self.reload(&req.handle).await?;
        let assembled = self.assemble_cached(req);
        let assembled = assembled.unwrap_or(Err(Gap(req.ordinal)));
        assembled.map_err(|gap| self.gap_refusal(gap))
    }

    fn assemble_cached(&self, req: &TurnRequest) -> Option<std::result::Result<Assembled, Gap>> {
        let mut shard = self.shard(&req.handle.program).lock();
        let cached = shard.get_mut(&req.handle.program)?;
        if *cached.conversation.handle() != req.handle {
            return None;
        }
        cached.last_used = self.inner.use_counter.fetch_add(1, Ordering::Relaxed);
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
        Err(self.backlog_refusal())
    }

    fn backlog_refusal(&self) -> Refusal {
        let detail = "turns of the history are waiting for the platform";
        Refusal::not_run(Reason::JournalUnavailable, detail)
            .retry_after(self.inner.cfg.flush_interval)
    }

    /// Writes the pending turns of a conversation, then rebuilds it from its
    /// segments.
    async fn reload(&self, handle: &CacheHandle) -> Result<()> {
        if self.flush_program(&handle.program).await == AppendOutcome::Pending {
            return Err(self.backlog_refusal());
        }
        let prefix = segment_prefix(&handle.program);
        let listed = self.inner.platform.list(HISTORY_KIND, &prefix).await;
        let segments: std::result::Result<Vec<Segment>, PlatformError> =
            listed.and_then(|changes| {
                let objects = changes.objects.iter();
                objects.map(|object| decode(HISTORY_KIND, object)).collect()
            });
        let segments = segments.map_err(|error| self.read_refusal(&error))?;
        self.inner.counters.rebuilds.add(1);
        let conversation = Conversation::rebuild(handle.clone(), segments);
        let conversation = conversation.map_err(|gap| self.gap_refusal(gap))?;
        self.insert(conversation);
        Ok(())
    }

    fn read_refusal(&self, error: &PlatformError) -> Refusal {
        self.inner.counters.failures.add(1);
        if matches!(error, PlatformError::Malformed { .. }) {
            return Refusal::not_run(Reason::HistoryGap, "the recorded history is unreadable");
        }
        Refusal::not_run(Reason::JournalUnavailable, "the history cannot be read")
            .retry_after(self.inner.cfg.flush_interval)
    }

    fn gap_refusal(&self, gap: Gap) -> Refusal {
        self.inner.counters.gaps.add(1);
        Refusal::not_run(Reason::HistoryGap, gap.to_string())
    }

    /// Appends a completed turn; called before the end of its answer is sent.
    ///
    /// Returns `None` if the conversation is not cached under this handle, or
    /// already has a turn at or after this ordinal; the call was then not
    /// assembled from the cached state.
    pub async fn append(
        &self,
        handle: &CacheHandle,
        ordinal: Ordinal,
        turn: Turn,
    ) -> Option<AppendOutcome> {
        let messages = turn.asked.iter().chain(&turn.answered);
        let bytes: usize = messages.map(|message| message.as_str().len()).sum();
        if bytes > self.inner.cfg.max_turn_bytes {
            return Some(AppendOutcome::TooLarge);
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

    /// Last turn of a conversation, returned to the caller; `None` if the
    /// conversation is not cached under this handle.
    pub fn tip(&self, handle: &CacheHandle) -> Option<Tip> {
        let shard = self.shard(&handle.program).lock();
        let conversation = &shard.get(&handle.program)?.conversation;
        (conversation.handle() == handle).then(|| conversation.tip())
    }

    /// Upper bound of the bytes that the cached messages add to a request.
    pub fn encoded_bytes(&self, program: &ProgramId) -> usize {
        let shard = self.shard(program).lock();
        let cached = shard.get(program);
        cached.map_or(0, |cached| cached.conversation.encoded_bytes())
    }

    /// Writes the pending turns of one program, oldest first.
    async fn flush_program(&self, program: &ProgramId) -> AppendOutcome {
        while let Some(segment) = self.next_pending(program) {
            match self.store(program, &segment).await {
                AppendOutcome::Durable => self.record_stored(program, &segment),
                AppendOutcome::Pending => return AppendOutcome::Pending,
                other => {
                    self.remove_cached(program);
                    return other;
                }
            }
        }
        AppendOutcome::Durable
    }

    fn next_pending(&self, program: &ProgramId) -> Option<Segment> {
        let shard = self.shard(program).lock();
        shard.get(program)?.conversation.pending().first().cloned()
    }

    async fn store(&self, program: &ProgramId, segment: &Segment) -> AppendOutcome {
        let platform = &self.inner.platform;
        let name = segment_name(program, segment.ordinal);
        let written = write_value(platform, HISTORY_KIND, &name, Expect::Absent, segment).await;
        if let Ok(Written::Done(_)) = written {
            return AppendOutcome::Durable;
        }
        let found = read_value::<Segment>(platform, HISTORY_KIND, &name).await;
        match found {
            Ok(Some((_, found))) if found == *segment => AppendOutcome::Durable,
            Ok(Some(_)) | Err(PlatformError::Malformed { .. }) => AppendOutcome::Superseded,
            Ok(None) | Err(_) => {
                self.inner.counters.failures.add(1);
                AppendOutcome::Pending
            }
        }
    }

    fn record_stored(&self, program: &ProgramId, segment: &Segment) {
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

    /// Writes the pending turns of all programs.
    pub async fn flush(&self) {
        for program in self.pending_programs() {
            self.flush_program(&program).await;
        }
    }

    /// Writes pending turns every `flush_interval_ms` while the process runs.
    pub async fn run(self, timers: Timers) {
        let ticks = timers.subscribe(self.inner.cfg.flush_interval).await;
        while ticks.recv().await.is_ok() {
            self.flush().await;
        }
    }

    fn pending_programs(&self) -> Vec<ProgramId> {
        let pending = |(program, cached): (&ProgramId, &Cached)| {
            let is_pending = !cached.conversation.pending().is_empty();
            is_pending.then(|| program.clone())
        };
        let shard_programs =
            |shard: &Shard| -> Vec<ProgramId> { shard.lock().iter().filter_map(pending).collect() };
        self.inner.shards.iter().flat_map(shard_programs).collect()
    }

    /// Removes a conversation from the cache and discards its pending turns.
    pub fn remove_cached(&self, program: &ProgramId) {
        let removed = self.shard(program).lock().remove(program);
        if let Some(removed) = removed {
            self.subtract_bytes(&removed.conversation);
        }
    }

    /// Removes the history of an ended program from the cache and the platform.
    ///
    /// # Errors
    ///
    /// The error of the failed platform call; some segments may remain.
    pub async fn remove_segments(
        &self,
        program: &ProgramId,
    ) -> std::result::Result<(), PlatformError> {
        self.remove_cached(program);
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
        self.remove_cached(&program);
        let bytes = conversation.bytes();
        self.inner.cached_bytes.fetch_add(bytes, Ordering::Relaxed);
        let last_used = self.inner.use_counter.fetch_add(1, Ordering::Relaxed);
        let cached = Cached {
            conversation,
            last_used,
        };
        let mut shard = self.shard(&program).lock();
        shard.insert(program.clone(), cached);
        self.evict(&mut shard, &program);
    }

    /// Evicts the least recently used conversations of a shard while the cache
    /// exceeds `max_cached_bytes`; `keep` and conversations with pending turns
    /// stay.
    fn evict(&self, shard: &mut HashMap<ProgramId, Cached>, keep: &ProgramId) {
        let is_full =
            || self.inner.cached_bytes.load(Ordering::Relaxed) > self.inner.cfg.max_cached_bytes;
        while is_full() {
            let is_evictable = |(program, cached): &(&ProgramId, &Cached)| {
                *program != keep && cached.conversation.pending().is_empty()
            };
            let oldest = shard
                .iter()
                .filter(is_evictable)
                .min_by_key(|(_, cached)| cached.last_used);
            let Some(oldest) = oldest.map(|(program, _)| program.clone()) else {
                return;
            };
            if let Some(removed) = shard.remove(&oldest) {
                self.subtract_bytes(&removed.conversation);
            }
        }
    }

    fn subtract_bytes(&self, conversation: &Conversation) {
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
        &self.inner.shards[usize::try_from(index).expect("the shard index fits in usize")]
    }
}
