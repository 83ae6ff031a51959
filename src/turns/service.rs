//! Kept turns as the gateway uses them: finds the chain of a request, and stores a
//! turn when it has ended.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::ReservedBytes;
use futures_lite::future;
use http::Response;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Serialize;

use super::cache::CachedTurn;
use super::cache::TurnCache;
use super::certainty::Verdict;
use super::client::ArchiveClient;
use super::client::FindReply;
use super::client::ReceiveError;
use super::client::StoreReply;
use super::concurrent::Concurrent;
use super::health::Health;
use super::key::TurnKey;
use super::lookup::Lookup;
use super::lookup::Stage;
use super::metrics::TurnMetrics;
use super::output::Output;
use super::placement;
use super::placement::ArchiveHost;
use super::placement::Demand;
use super::record::Record;
use super::record::RecordHead;
use super::store_plan::Assignment;
use super::store_plan::Fitness;
use super::store_plan::Form;
use super::store_plan::PlanInput;
use super::store_plan::StorePlan;
use super::tokens::ChainSize;
use crate::configs::gateway::GatewayConfig;
use crate::configs::turns::TurnsConfig;
use crate::connection::platform::Platform;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::lists::Entries;
use crate::lists::ListKind;
use crate::lists::SharedList;
use crate::lists::archives::Archives;
use crate::process::events::EventLog;
use crate::process::events::unix_ms;
use crate::protection::homes::HomeRule;
use crate::protection::homes::Homes;
use crate::protection::homes::Regions;
use crate::units::Moment;

/// Maximum length of a turn's id, in bytes. It is part of the archive hosts' paths
/// and of each record.
pub const MAX_ID_BYTES: usize = 512;
/// Divisor of the host's memory that gives the maximum size of the cache.
const CACHE_MEMORY_DIVISOR: u64 = 16;
/// Added to the time for which an archive host must have held everything, for the
/// way of its answer and for clocks of unlike rates.
const WHOLE_MARGIN: Duration = Duration::from_secs(1);
/// Time to receive a record. The largest takes 1.5 s at 22 Mbit/s.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a stored turn shows that turns can be stored. Hosts with few
/// callers store one every second or two.
const STORED_LATELY: Duration = Duration::from_secs(5);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Id that probes ask for; no header can contain it.
const PROBED_ID: &str = "\0";

/// What kept turns need of the gateway.
#[derive(Debug)]
pub struct Dependencies<P> {
    /// Archive hosts as this host knows them.
    pub archives: Arc<SharedList<Archives>>,
    /// Store from which a fresh list is read.
    pub store: P,
    /// HTTP client for archive hosts.
    pub client: Client,
    /// Memory of request bodies.
    pub memory: BodyMemory,
    /// Spawns probes.
    pub spawner: Spawner,
    /// Structured event log.
    pub log: EventLog,
    /// Metrics of kept turns.
    pub metrics: TurnMetrics,
}

/// A request on a route that keeps its turns.
#[derive(Clone, Copy, Debug)]
pub struct TurnRequest<'a> {
    /// Id of the request, which becomes that of the turn.
    pub id: &'a str,
    /// Customer to whom the turn belongs; empty if there is none.
    pub customer: &'a str,
    /// Program that the request belongs to.
    pub program: Option<&'a str>,
    /// Turn that the request continues.
    pub previous: Option<&'a str>,
    /// Regions in which its text must stay.
    pub homes: &'a Homes,
    /// Prompt tokens that the caller states; `None` if it states none, or nothing
    /// uses them.
    pub prompt_tokens: Option<u64>,
    /// How long the turn is kept.
    pub retention: Duration,
    /// The longest time for which any turn is kept.
    pub longest_retention: Duration,
    /// When the request was received.
    pub received: Moment,
    /// When the caller must have an answer or a refusal.
    pub deadline: Moment,
}

/// A turn that has begun: what is known of it beside its text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BegunTurn {
    id: Box<str>,
    customer: Box<str>,
    /// Key of the placement on archive hosts.
    program: Box<str>,
    previous: Option<Box<str>>,
    /// Archive hosts that have the turn before.
    holders: Vec<HostId>,
    /// Length of the text before the turn's input, in bytes.
    chain_bytes: usize,
    /// Tokens of that text that the caller has not stated.
    unstated_tokens: u64,
    /// Tokens of the text that the engine receives; `None` if the caller states
    /// none.
    prompt_tokens: Option<u64>,
    retention: Duration,
    homes: Homes,
}

impl BegunTurn {
    /// Regions in which its text must stay: those of the request and of the turns
    /// before.
    pub const fn homes(&self) -> &Homes {
        &self.homes
    }
}

impl BegunTurn {
    /// Id of the turn.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Customer to whom the turn belongs; empty if there is none.
    pub fn customer(&self) -> &str {
        &self.customer
    }

    /// Id of the turn that it continues.
    pub fn previous(&self) -> Option<&str> {
        self.previous.as_deref()
    }

    /// Tokens of the text before the input that the caller has not stated.
    pub const fn unstated_tokens(&self) -> u64 {
        self.unstated_tokens
    }

    /// Tokens of the whole text once the turn has ended; `None` if they are not
    /// known.
    pub fn whole_tokens(&self, output_tokens: u64) -> Option<u64> {
        let prompt = self.prompt_tokens?;
        Some(prompt.saturating_add(output_tokens))
    }
}

/// A turn whose stream is complete.
#[derive(Clone, Copy, Debug)]
pub struct EndedTurn<'a> {
    /// What was known when it began.
    pub begun: &'a BegunTurn,
    /// Text that the engine received.
    pub body: &'a Bytes,
    /// Output of the engine.
    pub output: &'a Output,
    /// Tokens of the output.
    pub output_tokens: u64,
}

/// A request with the whole text for the engine.
#[derive(Debug)]
pub struct Assembled {
    /// The whole text.
    pub body: Bytes,
    /// Memory of the text.
    pub memory: ReservedBytes,
    /// The turn that the request begins.
    pub turn: BegunTurn,
}

/// Why the chain of a request is not known.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Unresolved {
    /// The turn does not exist, or belongs to another customer.
    #[error("no such turn")]
    Absent,
    /// The turn may exist.
    #[error("the turn cannot be looked up at present: {why}")]
    Unsure {
        /// What is not known.
        why: String,
    },
    /// The chain and the new input together are too large.
    #[error("the chain of turns is too large")]
    TooLarge,
}

/// Why a turn was not stored.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum StoreError {
    /// Too few archive hosts have stored it.
    #[error("too few archive hosts have stored the turn: {why}")]
    TooFewHolders {
        /// Last failure.
        why: String,
    },
}

#[derive(Serialize)]
struct ArchivesLine {
    hosts: usize,
    draining: usize,
}

#[derive(Serialize)]
struct UnresolvedLine<'a> {
    request: &'a str,
    program: Option<&'a str>,
    customer: &'a str,
    previous: &'a str,
    kind: &'static str,
    why: &'a str,
    /// Archive hosts that were asked.
    asked: usize,
    /// Archive hosts of these that gave no usable answer.
    silent: usize,
    spent_ms: u128,
}

#[derive(Serialize)]
struct NotStoredLine<'a> {
    request: &'a str,
    program: &'a str,
    customer: &'a str,
    why: &'a str,
    stored_by: &'a [HostId],
    replaced: u64,
    spent_ms: u128,
}

/// Chain of a request, from the cache or an archive host.
struct Chain {
    /// Texts in order.
    parts: [Bytes; 2],
    holders: Vec<HostId>,
    /// Regions in which the texts must stay.
    homes: Homes,
    /// Tokens of the texts; `None` if they are not known.
    tokens: Option<u64>,
    /// Memory of the texts; `None` if the cache has them.
    _memory: Option<ReservedBytes>,
}

impl Chain {
    fn len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }
}

/// The list of archive hosts as decoded last.
#[derive(Debug, Default)]
struct KnownHosts {
    entries: Arc<Entries<Archives>>,
    hosts: Arc<[ArchiveHost]>,
}

/// A read of the list of archive hosts from the store.
#[derive(Clone, Copy, Debug, Default)]
struct ListRead {
    /// When it was sent.
    at: Moment,
    /// When the last one that failed was sent.
    failed_at: Moment,
    /// Number of entries that cannot be decoded.
    unreadable: usize,
}

/// Archive hosts as listed by the store after a request had arrived.
struct FreshList {
    hosts: Arc<[ArchiveHost]>,
    unreadable: usize,
}

#[derive(Debug)]
struct Inner<P> {
    cfg: TurnsConfig,
    demand: Demand,
    tolerated: usize,
    own: DataCentre,
    regions: Regions,
    archives: Arc<SharedList<Archives>>,
    store: P,
    client: ArchiveClient,
    memory: BodyMemory,
    spawner: Spawner,
    log: EventLog,
    metrics: TurnMetrics,
    cache: Mutex<TurnCache>,
    health: Mutex<Health>,
    /// When a turn was last stored.
    stored_at: Mutex<Option<Moment>>,
    known: Mutex<KnownHosts>,
    /// The last read of the list; locked while one is under way, which then serves
    /// all that wait for it.
    list_read: async_lock::Mutex<ListRead>,
}

/// Kept turns; clones share all state.
#[derive(Debug)]
pub struct Turns<P>(Arc<Inner<P>>);

impl<P> Clone for Turns<P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

/// A step of a search.
enum SearchStep {
    Ask(usize, Box<ArchiveHost>),
    Receive(usize, Box<Response<Incoming>>),
    ReadList,
}

/// Result of a step of a search.
enum SearchEvent {
    Replied(usize, FindReply),
    Received(usize, Result<(Record, ReservedBytes), ReceiveError>),
    ListRead(Option<FreshList>),
    Tick,
}

impl<P: Platform> Turns<P> {
    /// Creates the kept turns of a host.
    pub fn new(cfg: &GatewayConfig, needed: Dependencies<P>) -> Self {
        let cache_bytes = usize::try_from(cfg.memory_bytes / CACHE_MEMORY_DIVISOR);
        Self(Arc::new(Inner {
            cfg: cfg.turns.clone(),
            demand: cfg.fault_tolerance.into(),
            tolerated: cfg.fault_tolerance.hosts,
            own: cfg.place.data_centre.clone(),
            regions: cfg.regions.clone(),
            archives: needed.archives,
            store: needed.store,
            client: ArchiveClient::new(needed.client, needed.memory.clone()),
            memory: needed.memory,
            spawner: needed.spawner,
            log: needed.log,
            metrics: needed.metrics,
            cache: Mutex::new(TurnCache::new(cache_bytes.unwrap_or(usize::MAX))),
            health: Mutex::default(),
            stored_at: Mutex::default(),
            known: Mutex::default(),
            list_read: async_lock::Mutex::default(),
        }))
    }

    /// Whether enough archive hosts within the homes are usable to store a turn.
    pub fn can_store(&self, homes: &Homes) -> bool {
        let inner = &self.0;
        let hosts = inner.hosts_within(homes);
        let now = Moment::now();
        let usable: Vec<usize> = {
            let health = inner.health.lock();
            let grace = inner.cfg.unusable_after;
            let is_usable = |host: &ArchiveHost| {
                !host.entry.is_draining && health.is_usable(&host.name, grace, now)
            };
            (0..hosts.len()).filter(|i| is_usable(&hosts[*i])).collect()
        };
        let mut chosen = Vec::with_capacity(usable.len());
        inner.demand.complete(&hosts, &usable, &mut chosen)
    }

    /// Whether a turn was stored in the last few seconds.
    pub fn has_stored_lately(&self, now: Moment) -> bool {
        let last = *self.0.stored_at.lock();
        last.is_some_and(|at| now.since(at) < STORED_LATELY)
    }

    /// Starts to collect the output of a turn.
    pub fn collect_output(&self) -> Output {
        Output::new(self.0.cfg.max_output_bytes, &self.0.memory)
    }

    /// Begins a turn: puts the text before it in front of the request's input.
    ///
    /// # Errors
    ///
    /// Returns [`Unresolved`] if that text is not known, and the request must be
    /// refused.
    pub async fn begin(
        &self,
        request: TurnRequest<'_>,
        input: Bytes,
        memory: ReservedBytes,
    ) -> Result<Assembled, Unresolved> {
        let inner = &self.0;
        // Without a program, a turn is looked for where its own record was placed.
        let program = request.program.or(request.previous).unwrap_or(request.id);
        let mut turn = BegunTurn {
            id: request.id.into(),
            customer: request.customer.into(),
            program: request.program.unwrap_or(request.id).into(),
            previous: None,
            holders: Vec::new(),
            chain_bytes: 0,
            unstated_tokens: 0,
            prompt_tokens: request.prompt_tokens,
            retention: request.retention,
            homes: request.homes.clone(),
        };
        let Some(previous) = request.previous else {
            return Ok(Assembled {
                body: input,
                memory,
                turn,
            });
        };
        // No turn has such an id.
        if previous.is_empty() || previous.len() > MAX_ID_BYTES {
            inner.metrics.absent.inc();
            return Err(Unresolved::Absent);
        }
        let chain = inner.resolve(&request, previous, program).await?;
        // The turn before may be from a route with other homes.
        turn.homes = request.homes.and(&chain.homes);
        let is_narrower = turn.homes != *request.homes;
        if is_narrower && (turn.homes.is_nowhere() || !self.can_store(&turn.homes)) {
            inner.metrics.unsure.inc();
            let why = "the turn before must stay in regions where this one cannot be kept";
            return Err(Unresolved::Unsure { why: why.into() });
        }
        let length = chain.len() + input.len();
        if length > inner.cfg.max_chain_bytes {
            inner.metrics.too_large.inc();
            return Err(Unresolved::TooLarge);
        }
        let assembled = inner.memory.reserve(length).map_err(|e| {
            inner.metrics.unsure.inc();
            Unresolved::Unsure { why: e.to_string() }
        })?;
        let mut body = BytesMut::with_capacity(length);
        for part in chain.parts.iter().chain([&input]) {
            body.put_slice(part);
        }
        turn.previous = Some(previous.into());
        turn.chain_bytes = chain.len();
        if let Some(stated) = request.prompt_tokens {
            let size = ChainSize::new(length_of(&chain.parts), chain.tokens);
            turn.unstated_tokens = size.unstated_tokens(stated, length_of(&[input]));
            turn.prompt_tokens = Some(stated.saturating_add(turn.unstated_tokens));
        }
        turn.holders = chain.holders;
        Ok(Assembled {
            body: body.freeze(),
            memory: assembled,
            turn,
        })
    }

    /// Stores a turn and returns the archive hosts that have it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if too few have stored it in time. Some may have it.
    pub async fn store(&self, turn: EndedTurn<'_>) -> Result<Vec<HostId>, StoreError> {
        self.0.store_turn(turn).await
    }
}

impl<P: Platform> Inner<P> {
    /// Returns the archive hosts as this host knows them.
    fn hosts(&self) -> Arc<[ArchiveHost]> {
        let entries = self.archives.entries();
        let mut known = self.known.lock();
        if Arc::ptr_eq(&known.entries, &entries) {
            return Arc::clone(&known.hosts);
        }
        let hosts = placement::hosts_of(&entries);
        let mut health = self.health.lock();
        for before in known.hosts.iter() {
            if !hosts.iter().any(|host| host.is_same_process(before)) {
                health.forget(&before.name);
            }
        }
        let line = ArchivesLine {
            hosts: hosts.len(),
            draining: hosts.iter().filter(|h| h.entry.is_draining).count(),
        };
        self.log.state("archives-changed", &line);
        *known = KnownHosts {
            entries,
            hosts: Arc::clone(&hosts),
        };
        hosts
    }

    /// Returns the archive hosts that may hold texts with these homes.
    fn hosts_within(&self, homes: &Homes) -> Arc<[ArchiveHost]> {
        let hosts = self.hosts();
        match HomeRule::new(homes, &self.regions) {
            Some(rule) => {
                let within = hosts.iter().filter(|host| is_within(rule, host));
                within.cloned().collect()
            }
            None => hosts,
        }
    }

    /// Returns the hosts of a list that was read from the store after `since`;
    /// `None` if the store did not answer.
    async fn fresh_list(&self, since: Moment) -> Option<FreshList> {
        let mut read = self.list_read.lock().await;
        if read.at < since {
            // One failure serves all that waited for it, and those right after it.
            let is_lost = |now: Moment| now.since(read.failed_at) < self.cfg.list_interval;
            if read.failed_at >= since || is_lost(Moment::now()) {
                return None;
            }
            let next = read.at + self.cfg.list_interval;
            Timer::after(Moment::now().until(next)).await;
            let at = Moment::now();
            self.metrics.lists.inc();
            let listed = match self.store.list(Archives::KIND, "").await {
                Ok(listed) => listed,
                Err(e) => {
                    log::debug!("cannot read the list of archive hosts: {e}");
                    read.failed_at = at;
                    return None;
                }
            };
            self.archives.replace(&listed);
            let readable = listed.objects.iter().filter_map(Archives::decode).count();
            read.at = at;
            read.unreadable = listed.objects.len() - readable;
        }
        Some(FreshList {
            hosts: self.hosts(),
            unreadable: read.unreadable,
        })
    }

    /// Finds the chain that ends with the turn `previous`.
    async fn resolve(
        self: &Arc<Self>,
        request: &TurnRequest<'_>,
        previous: &str,
        program: &str,
    ) -> Result<Chain, Unresolved> {
        let started = Moment::now();
        let cached = self.cache.lock().get(request.customer, previous, started);
        if let Some(turn) = cached {
            self.metrics.in_cache.inc();
            return Ok(Chain {
                parts: [turn.input, turn.output],
                holders: turn.holders,
                homes: turn.homes,
                tokens: turn.tokens,
                _memory: None,
            });
        }
        let mut lookup = {
            let hosts = self.hosts();
            let health = self.health.lock();
            // A host outside the homes may only be asked whether it has the turn.
            let rule = HomeRule::new(request.homes, &self.regions);
            let outside = hosts
                .iter()
                .filter(|host| rule.is_some_and(|r| !is_within(r, host)));
            let outside: Vec<HostId> = outside.map(|host| host.name.clone()).collect();
            let answers = |host: &HostId| !health.is_failing(host) && !outside.contains(host);
            let (own, demand) = (&self.own, self.demand);
            Lookup::new(hosts, program, own, demand, &self.cfg, answers, started)
        };
        let key = TurnKey::new(request.customer, previous);
        let found = self.search(&mut lookup, request, &key).await;
        let unresolved = match found {
            Ok((index, record, memory)) => {
                let host = lookup.host(index);
                match *host.data_centre() == self.own {
                    true => self.metrics.near.inc(),
                    false => self.metrics.far.inc(),
                };
                // It may have been sent the record by another archive host.
                let mut holders = record.head.holders;
                if !holders.contains(&host.name) {
                    holders.push(host.name.clone());
                }
                return Ok(Chain {
                    parts: [record.text, Bytes::new()],
                    holders,
                    homes: record.head.homes,
                    tokens: record.head.tokens,
                    _memory: Some(memory),
                });
            }
            Err(unresolved) => unresolved,
        };
        let (kind, counter) = match &unresolved {
            Unresolved::Absent => ("absent", &self.metrics.absent),
            Unresolved::Unsure { .. } => ("unsure", &self.metrics.unsure),
            Unresolved::TooLarge => ("too-large", &self.metrics.too_large),
        };
        counter.inc();
        let (asked, silent) = lookup.counts();
        let why = unresolved.to_string();
        let line = UnresolvedLine {
            request: request.id,
            program: request.program,
            customer: request.customer,
            previous,
            kind,
            why: &why,
            asked,
            silent,
            spent_ms: Moment::now().since(started).as_millis(),
        };
        self.log.request("turn-unresolved", &line);
        Err(unresolved)
    }

    /// Asks archive hosts until one has the turn or it is known not to exist.
    async fn search(
        self: &Arc<Self>,
        lookup: &mut Lookup,
        request: &TurnRequest<'_>,
        key: &TurnKey,
    ) -> Result<(usize, Record, ReservedBytes), Unresolved> {
        let limit = request
            .deadline
            .min(Moment::now() + self.cfg.lookup_timeout);
        let mut steps = Concurrent::new();
        let mut is_list_read = false;
        let mut fresh: Option<FreshList> = None;
        // Answers of further hosts that have the turn, in case the first breaks off.
        let mut spare: Vec<(usize, Box<Response<Incoming>>)> = Vec::new();
        let mut is_receiving = false;
        let mut is_found = false;
        let mut why = "no archive host has answered".to_owned();
        loop {
            let event = match steps.ready().await {
                Some(event) => event,
                // Only now does a host count as silent.
                None => {
                    let now = Moment::now();
                    if !is_receiving {
                        for index in lookup.due(now) {
                            let host = Box::new(lookup.host(index).clone());
                            steps.push(self.search_step(
                                SearchStep::Ask(index, host),
                                request,
                                key,
                            ));
                        }
                        if lookup.stage() == Stage::All && !is_list_read {
                            is_list_read = true;
                            steps.push(self.search_step(SearchStep::ReadList, request, key));
                        }
                        if let Some(fresh) = &fresh {
                            match self.judge(lookup, fresh, request, now) {
                                // A host that has it has not sent it whole.
                                Verdict::Absent if is_found => (),
                                Verdict::Absent => return Err(Unresolved::Absent),
                                Verdict::Unsure { unknown, listed } => {
                                    why =
                                        format!("{unknown} of {listed} archive hosts may have it");
                                }
                            }
                        }
                    }
                    if steps.is_empty() || (now >= limit && !is_receiving) {
                        return Err(Unresolved::Unsure { why });
                    }
                    let wake = match lookup.next_stage_at() {
                        _ if is_receiving => request.deadline,
                        Some(at) => at.min(limit),
                        None => limit,
                    };
                    let next = steps.next_within(now.until(wake)).await;
                    next.unwrap_or(SearchEvent::Tick)
                }
            };
            match event {
                SearchEvent::Replied(index, FindReply::Found(response)) => {
                    is_found = true;
                    spare.push((index, response));
                }
                SearchEvent::Replied(index, FindReply::Exists) => {
                    is_found = true;
                    self.health.lock().record_answer(&lookup.host(index).name);
                    lookup.record_failed(index);
                    "it is stored outside the allowed regions".clone_into(&mut why);
                }
                SearchEvent::Replied(index, FindReply::Absent(whole_for)) => {
                    self.health.lock().record_answer(&lookup.host(index).name);
                    lookup.record_absent(index, whole_for);
                }
                SearchEvent::Replied(index, FindReply::Unusable(e)) => {
                    self.health.lock().record_answer(&lookup.host(index).name);
                    lookup.record_failed(index);
                    why = e;
                }
                SearchEvent::Replied(index, FindReply::Failed(e)) => {
                    self.record_failure(lookup.host(index));
                    lookup.record_failed(index);
                    why = e;
                }
                SearchEvent::Received(index, Ok((record, memory))) => {
                    // Another record is a fault of that host.
                    if record.head.key() == *key && record.head.previous.is_none() {
                        self.health.lock().record_answer(&lookup.host(index).name);
                        return Ok((index, record, memory));
                    }
                    is_receiving = false;
                    lookup.record_failed(index);
                    "an archive host sent another record".clone_into(&mut why);
                }
                SearchEvent::Received(index, Err(e)) => {
                    is_receiving = false;
                    lookup.record_failed(index);
                    why = match e {
                        ReceiveError::TooLarge => return Err(Unresolved::TooLarge),
                        ReceiveError::MemoryFull => {
                            let why = "too many bodies are being received".to_owned();
                            return Err(Unresolved::Unsure { why });
                        }
                        ReceiveError::Failed(why) => why,
                    };
                }
                SearchEvent::ListRead(Some(list)) => {
                    lookup.extend(&list.hosts);
                    fresh = Some(list);
                }
                SearchEvent::ListRead(None) => {
                    "the list of archive hosts cannot be read".clone_into(&mut why);
                }
                SearchEvent::Tick if is_receiving => {
                    return Err(Unresolved::Unsure { why });
                }
                SearchEvent::Tick => (),
            }
            if !is_receiving && let Some((index, response)) = spare.pop() {
                is_receiving = true;
                steps.push(self.search_step(SearchStep::Receive(index, response), request, key));
            }
        }
    }

    fn judge(
        &self,
        lookup: &Lookup,
        fresh: &FreshList,
        request: &TurnRequest<'_>,
        now: Moment,
    ) -> Verdict {
        let spent = now.since(request.received);
        let retention = request.longest_retention + spent + WHOLE_MARGIN;
        let (listed, unreadable) = (&fresh.hosts, fresh.unreadable);
        lookup.judge(listed, retention, unreadable, self.tolerated)
    }

    async fn search_step(
        &self,
        step: SearchStep,
        request: &TurnRequest<'_>,
        key: &TurnKey,
    ) -> SearchEvent {
        match step {
            SearchStep::Ask(index, host) => {
                let timeout = self.cfg.lookup_timeout;
                let rule = HomeRule::new(request.homes, &self.regions);
                let reply = match rule.is_some_and(|rule| !is_within(rule, &host)) {
                    true => self.client.exists(host.entry.address, key, timeout).await,
                    false => self.client.find(host.entry.address, key, timeout).await,
                };
                SearchEvent::Replied(index, reply)
            }
            SearchStep::Receive(index, response) => {
                let max_bytes = self.cfg.max_chain_bytes;
                let receive = self.client.receive(response.into_body(), max_bytes);
                let expire = async {
                    Timer::after(RECEIVE_TIMEOUT).await;
                    let why = "the record did not arrive in time".to_owned();
                    Err(ReceiveError::Failed(why))
                };
                SearchEvent::Received(index, future::or(receive, expire).await)
            }
            SearchStep::ReadList => SearchEvent::ListRead(self.fresh_list(request.received).await),
        }
    }

    async fn store_turn(self: &Arc<Self>, turn: EndedTurn<'_>) -> Result<Vec<HostId>, StoreError> {
        let started = Moment::now();
        let limit = started + self.cfg.store_timeout;
        // The response ends after the turn is stored, at the latest at the limit.
        let ended_ms = unix_ms() + millis(self.cfg.store_timeout);
        let mut plan = self.plan(turn, started);
        let mut steps = Concurrent::new();
        let mut frames = Frames::new(turn, ended_ms, &self.memory);
        let mut why = "no archive host is usable".to_owned();
        let stored = loop {
            if plan.is_done() {
                break true;
            }
            let (index, reply) = match steps.ready().await {
                Some(reply) => reply,
                // Only now does a host count as late.
                None => {
                    let now = Moment::now();
                    for assignment in plan.due(now) {
                        let to = plan.host(assignment.host).clone();
                        let frame = frames.encode(&assignment);
                        steps.push(self.store_step(assignment.host, to, frame));
                    }
                    for late in plan.late() {
                        self.record_failure(plan.host(late));
                    }
                    if steps.is_empty() || now >= limit {
                        break false;
                    }
                    let wake = plan.next_check_at().map_or(limit, |at| at.min(limit));
                    match steps.next_within(now.until(wake)).await {
                        Some(reply) => reply,
                        None => continue,
                    }
                }
            };
            let name = plan.host(index).name.clone();
            match reply {
                StoreReply::Stored => {
                    self.health.lock().record_answer(&name);
                    plan.record_stored(index);
                }
                StoreReply::Missing => {
                    self.health.lock().record_answer(&name);
                    why = format!("{name} lacks the turn before");
                    if let Some(whole) = plan.record_missing(index, Moment::now()) {
                        let to = plan.host(index).clone();
                        let frame = frames.encode(&whole);
                        steps.push(self.store_step(index, to, frame));
                    }
                }
                StoreReply::Refused => {
                    self.health.lock().record_full(&name, Moment::now());
                    plan.record_failed(index);
                    why = format!("{name} has no room");
                }
                StoreReply::Failed(e) => {
                    self.record_failure(plan.host(index));
                    plan.record_failed(index);
                    why = format!("{name}: {e}");
                }
                StoreReply::Rejected(e) => {
                    // It says nothing of the host's health.
                    plan.record_failed(index);
                    why = format!("{name}: {e}");
                }
            }
        };
        let spent = Moment::now().since(started);
        self.metrics.replaced.inc_by(plan.replaced());
        let holders = plan.stored_by();
        if stored {
            self.metrics.stored.inc();
            *self.stored_at.lock() = Some(Moment::now());
            self.metrics.store_time.observe(spent.as_secs_f64());
            self.remember(turn, holders.clone());
            return Ok(holders);
        }
        self.metrics.not_stored.inc();
        let line = NotStoredLine {
            request: &turn.begun.id,
            program: &turn.begun.program,
            customer: &turn.begun.customer,
            why: &why,
            stored_by: &holders,
            replaced: plan.replaced(),
            spent_ms: spent.as_millis(),
        };
        self.log.request("turn-not-stored", &line);
        Err(StoreError::TooFewHolders { why })
    }

    fn plan(&self, turn: EndedTurn<'_>, now: Moment) -> StorePlan {
        let begun = turn.begun;
        let whole = turn.body.len() + turn.output.text().len();
        let input = PlanInput {
            hosts: self.hosts_within(&begun.homes),
            program: &begun.program,
            own: &self.own,
            previous: begun.previous.as_ref().map(|_| &*begun.holders),
            demand: self.demand,
            holder_timeout: self.cfg.holder_timeout,
            last_bytes: whole - begun.chain_bytes,
            whole_bytes: whole,
        };
        let health = self.health.lock();
        StorePlan::new(input, |host| match host.entry.is_draining {
            true => Fitness::Unfit,
            false if health.is_sound(&host.name, now) => Fitness::Sound,
            false => Fitness::Doubtful,
        })
    }

    async fn store_step(
        &self,
        index: usize,
        host: ArchiveHost,
        frame: Result<Frame, String>,
    ) -> (usize, StoreReply) {
        let reply = match frame {
            Ok(frame) => {
                let timeout = self.cfg.store_timeout;
                let sent = self.client.store(host.entry.address, frame.bytes, timeout);
                sent.await
            }
            Err(why) => StoreReply::Rejected(why),
        };
        (index, reply)
    }

    /// Adds a stored turn to the cache.
    fn remember(&self, turn: EndedTurn<'_>, holders: Vec<HostId>) {
        let now = Moment::now();
        let cached = CachedTurn {
            input: turn.body.clone(),
            output: turn.output.to_bytes(),
            holders,
            homes: turn.begun.homes.clone(),
            tokens: turn.begun.whole_tokens(turn.output_tokens),
        };
        let begun = turn.begun;
        let mut cache = self.cache.lock();
        cache.expire(now);
        cache.insert(&begun.customer, &begun.id, cached, now + begun.retention);
    }

    /// Records that a host did not answer, and probes it until it does.
    fn record_failure(self: &Arc<Self>, host: &ArchiveHost) {
        let now = Moment::now();
        if self.health.lock().record_failure(&host.name, now) {
            let probing = Arc::clone(self).probe(host.clone());
            self.spawner.detach(probing);
        }
    }

    async fn probe(self: Arc<Self>, host: ArchiveHost) {
        let key = TurnKey::new("", PROBED_ID);
        loop {
            Timer::after(self.cfg.probe_period).await;
            let is_listed = |listed: &ArchiveHost| listed.is_same_process(&host);
            if !self.hosts().iter().any(is_listed) || !self.health.lock().continue_probe(&host.name)
            {
                return;
            }
            let address = host.entry.address;
            let reply = self.client.find(address, &key, PROBE_TIMEOUT).await;
            if !matches!(reply, FindReply::Failed(_)) {
                self.health.lock().record_answer(&host.name);
            }
        }
    }
}

/// An encoded record, with the memory of a whole text.
#[derive(Clone, Debug)]
struct Frame {
    bytes: Bytes,
    _memory: Arc<ReservedBytes>,
}

/// Frames of one record for several hosts.
struct Frames<'a> {
    turn: EndedTurn<'a>,
    ended_ms: u64,
    memory: &'a BodyMemory,
    last: Option<(Form, Vec<HostId>, Frame)>,
}

impl<'a> Frames<'a> {
    const fn new(turn: EndedTurn<'a>, ended_ms: u64, memory: &'a BodyMemory) -> Self {
        Self {
            turn,
            ended_ms,
            memory,
            last: None,
        }
    }

    fn encode(&mut self, assignment: &Assignment) -> Result<Frame, String> {
        let Assignment { form, holders, .. } = assignment;
        if let Some((last_form, last_holders, frame)) = &self.last
            && last_form == form
            && last_holders == holders
        {
            return Ok(frame.clone());
        }
        let begun = self.turn.begun;
        let (before, previous) = match form {
            Form::Last => (begun.chain_bytes, begun.previous.clone()),
            Form::Whole => (0, None),
        };
        let input = self.turn.body.slice(before..);
        let output = self.turn.output.text();
        let length = input.len() + output.len();
        // The text and its frame.
        let memory = self.memory.reserve(2 * length).map_err(|e| e.to_string())?;
        let mut text = BytesMut::with_capacity(length);
        text.put_slice(&input);
        text.put_slice(output);
        let record = Record {
            head: RecordHead {
                id: begun.id.clone(),
                customer: begun.customer.clone(),
                previous,
                ended_ms: self.ended_ms,
                retention_ms: millis(begun.retention),
                holders: holders.clone(),
                homes: begun.homes.clone(),
                tokens: begun.whole_tokens(self.turn.output_tokens),
            },
            text: text.freeze(),
        };
        let frame = Frame {
            bytes: record.to_frame(),
            _memory: Arc::new(memory),
        };
        self.last = Some((*form, holders.clone(), frame.clone()));
        Ok(frame)
    }
}

fn is_within(rule: HomeRule<'_>, host: &ArchiveHost) -> bool {
    rule.contains(host.data_centre().as_str())
}

/// Length of texts, in bytes.
fn length_of(texts: &[Bytes]) -> u64 {
    let bytes = texts.iter().map(Bytes::len).sum::<usize>();
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
