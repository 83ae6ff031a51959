//! Storage of kept turns on archive hosts.
//!
//! A turn log on disk holds records ([`crate::turns::record`]), each of which is
//! acknowledged only after a sync. Decisions ([`index`], [`recovery`]) do no I/O
//! and take the time as an argument.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_net::server;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;
use parking_lot::Mutex;
use serde::Serialize;

use self::counters::CounterLine;
use self::counters::Counters;
use self::holders::Contacts;
use self::holders::ListedHost;
use self::holders::ListedHosts;
use self::index::Index;
use self::index::IndexLimits;
use self::peers::Peers;
use self::reader::Reader;
use self::registration::Registration;
use self::segments::Recovery;
use self::segments::Segments;
use self::segments::Since;
use self::server_api::IDLE_TIMEOUT;
use self::server_api::TurnsHandler;
use self::times::RepairTimes;
use self::writer::SEGMENT_BYTES;
use self::writer::Writer;
use crate::configs::gateway::ArchiveConfig;
use crate::configs::gateway::HostPlace;
use crate::connection::platform;
use crate::door::archive::ArchiveDoor;
use crate::gateway::routes::Configuration;
use crate::ids::HostId;
use crate::lists::ListKind;
use crate::lists::SharedList;
use crate::lists::archives::ArchiveEntry;
use crate::lists::archives::Archives;
use crate::platform::ObjectStore;
use crate::process::events::EventLog;
use crate::process::events::unix_ms;
use crate::protection::homes::Regions;
use crate::turns::placement::Demand;

pub mod copies;
pub mod counters;
pub mod directory;
pub mod holders;
pub mod index;
pub mod maintenance;
pub mod peers;
pub mod reader;
pub mod recovery;
pub mod refill;
pub mod registration;
pub mod segments;
pub mod server_api;
pub mod times;
pub mod transfer;
pub mod writer;

/// Folder of the turn log within the folder of the host.
const LOG_FOLDER: &str = "turns";
/// Divisor of the memory of the process that gives the memory of all bodies.
const BODY_MEMORY_DIVISOR: u64 = 8;
/// Divisor of the memory of the process that gives the memory of recent records.
const RECENT_MEMORY_DIVISOR: u64 = 8;
/// Divisor of the memory of the process that gives the memory of the index.
const INDEX_MEMORY_DIVISOR: u64 = 4;
/// Memory of a record in the index: a key of 48 characters, an entry of the map
/// and one of its segment, in bytes. A copy of these structures took 295 with
/// 100,000 records, and 405 right after the map had doubled.
const INDEX_RECORD_BYTES: u64 = 320;
/// Time that a record lives beyond its retention, since the clocks of hosts
/// differ, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 5000;
/// Delay before a failed call to the store or a failed start is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time without acknowledgements after which a connection of a lost host is
/// closed.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// Longest retention that is assumed before the configuration is known.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(600);
/// Interval of the lines about the turn log.
const LINE_PERIOD: Duration = Duration::from_secs(10);

/// Limits of the turn log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLimits {
    /// Size of all segments above which no record is stored, in bytes.
    pub log_bytes: u64,
    /// Number of records above which none is stored.
    pub records: usize,
    /// Memory of all bodies that are received or sent, in bytes.
    pub body_bytes: usize,
    /// Memory of recent records, in bytes.
    pub recent_bytes: usize,
    /// Time after which the holders of a new record are checked, in milliseconds.
    pub check_delay_ms: u64,
}

impl LogLimits {
    /// Derives the limits from the host's disk and memory.
    pub fn new(cfg: &ArchiveConfig) -> Self {
        let memory = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        let index_bytes = cfg.memory_bytes / INDEX_MEMORY_DIVISOR;
        let delay = RepairTimes::new(cfg.catch_up).check_delay();
        Self {
            log_bytes: cfg.turns_bytes(),
            records: memory(index_bytes / INDEX_RECORD_BYTES),
            body_bytes: memory(cfg.memory_bytes / BODY_MEMORY_DIVISOR),
            recent_bytes: memory(cfg.memory_bytes / RECENT_MEMORY_DIVISOR),
            check_delay_ms: u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// State that the threads and tasks of the storage share.
#[derive(Debug)]
pub struct Shared {
    /// Identity of the host.
    pub place: HostPlace,
    /// Regions of the data centres.
    pub regions: Regions,
    /// Limits of the turn log.
    pub limits: LogLimits,
    /// Index of the turn log.
    pub index: Mutex<Index>,
    /// Memory of the bodies of requests and answers.
    pub memory: BodyMemory,
    /// Counters of the turn log.
    pub counters: Counters,
    /// Archive hosts as listed in the store.
    pub archives: SharedList<Archives>,
    /// Folder of the turn log.
    pub folder: PathBuf,
    since: Mutex<Since>,
    switch: Arc<Switch>,
}

impl Shared {
    /// Whether the host takes no more records, since it is being emptied.
    pub fn is_draining(&self) -> bool {
        self.switch.is_draining.load(Ordering::Acquire)
    }

    /// For how long the disk has held everything that was acknowledged, in
    /// milliseconds.
    pub fn whole_for_ms(&self) -> u64 {
        self.since.lock().whole_for_ms(unix_ms())
    }

    /// Notes that acknowledged records may be missing from now on.
    pub fn note_damage(&self) {
        let since = Since::At(unix_ms());
        *self.since.lock() = since;
        let folder = self.folder.clone();
        // The sync must not block the thread that serves requests.
        thread::spawn(move || {
            let noted = segments::request_refill(&folder)
                .and_then(|()| segments::write_since(&folder, since));
            if let Err(e) = noted {
                log::error!("cannot write the age of the turn log: {e}");
            }
        });
    }
}

#[derive(Serialize)]
struct OpenedLine {
    records: usize,
    segments: usize,
    bytes: u64,
    torn_bytes: u64,
    damaged_bytes: u64,
    skipped_records: usize,
    broken_chains: usize,
    whole_for_ms: u64,
}

#[derive(Serialize)]
struct LogLine {
    live_segments: usize,
    log_bytes: u64,
    index_records: usize,
    body_bytes: usize,
    #[serde(flatten)]
    counters: CounterLine,
}

/// What the storage needs of the process.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings of the host.
    pub cfg: ArchiveConfig,
    /// Executor.
    pub spawner: Spawner,
    /// The platform's store.
    pub store: ObjectStore,
    /// Event log.
    pub log: EventLog,
}

/// The storage while it runs.
#[derive(Debug)]
pub struct Storage {
    /// State of the log.
    pub shared: Arc<Shared>,
    /// Writer of the log.
    pub writer: Writer,
    /// Reader of the log for turns that are asked for.
    pub reader: Reader,
    /// Reader of the log for records that are sent to other archive hosts, which
    /// must not delay a turn.
    pub bulk_reader: Reader,
    /// Client of the other archive hosts.
    pub peers: Peers,
    /// Contact with the other archive hosts.
    pub contacts: Mutex<Contacts>,
    /// Times of the repair of lost copies.
    pub times: RepairTimes,
    /// Number of hosts that must have a record.
    pub demand: Demand,
    /// The host's entry in the list of archive hosts.
    pub registration: Registration,
    /// Executor.
    pub spawner: Spawner,
    /// The platform's store.
    pub store: ObjectStore,
    /// Event log.
    pub log: EventLog,
}

impl Storage {
    /// Returns the longest time for which a route keeps turns.
    pub fn longest_retention(&self) -> Duration {
        self.shared.switch.longest_retention()
    }

    /// Returns the other listed archive hosts.
    pub fn other_hosts(&self) -> ListedHosts {
        let mut hosts = self.hosts();
        hosts.remove(&self.shared.place.host);
        hosts
    }

    /// Returns the listed archive hosts and this one.
    pub fn hosts_with_own(&self) -> ListedHosts {
        let mut hosts = self.hosts();
        let place = &self.shared.place;
        let own = ListedHost {
            data_centre: place.data_centre.clone(),
            is_draining: self.shared.is_draining(),
        };
        hosts.insert(place.host.clone(), own);
        hosts
    }

    /// Returns the listed archive hosts, including this one if it is listed.
    pub fn hosts(&self) -> ListedHosts {
        let entries = self.shared.archives.entries();
        let listed = entries.iter().filter_map(|(name, entry)| {
            let host: HostId = name.parse().ok()?;
            let listed = ListedHost {
                data_centre: entry.data_centre.clone(),
                is_draining: entry.is_draining,
            };
            Some((host, listed))
        });
        listed.collect()
    }

    /// Returns the address of a listed archive host.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        let entries = self.shared.archives.entries();
        entries.get(host.as_str()).map(|entry| entry.address)
    }
}

/// What the configuration and the operators ask of the storage.
#[derive(Debug, Default)]
struct Switch {
    is_draining: AtomicBool,
    /// Whether the configuration was read from the store.
    is_configured: AtomicBool,
    /// Longest retention of the routes, in milliseconds; 0 if it is not known.
    retention_ms: AtomicU64,
}

impl Switch {
    /// Whether a configuration has a route that keeps turns.
    fn is_wanted(&self) -> bool {
        self.retention_ms.load(Ordering::Acquire) > 0
    }

    fn longest_retention(&self) -> Duration {
        match self.retention_ms.load(Ordering::Acquire) {
            0 => UNKNOWN_RETENTION,
            known => Duration::from_millis(known),
        }
    }
}

/// Storage of kept turns on this host; clones share it.
#[derive(Clone, Debug)]
pub struct Turns {
    cx: Context,
    switch: Arc<Switch>,
    wanted_tx: Sender<()>,
    wanted_rx: Receiver<()>,
    running: Arc<OnceLock<Arc<Storage>>>,
}

impl Turns {
    /// Creates the storage, which [`Turns::run`] starts.
    pub fn new(cx: Context) -> Self {
        let (wanted_tx, wanted_rx) = async_channel::bounded(1);
        Self {
            cx,
            switch: Arc::default(),
            wanted_tx,
            wanted_rx,
            running: Arc::default(),
        }
    }

    /// Starts the storage once a configuration has a route that keeps turns.
    pub fn on_configuration(&self, table: &Configuration) {
        if let Some(longest) = table.longest_retention() {
            let millis = u64::try_from(longest.as_millis())
                .unwrap_or(u64::MAX)
                .max(1);
            self.switch.retention_ms.store(millis, Ordering::Release);
            // A full channel has been told already.
            let _told = self.wanted_tx.try_send(());
        }
    }

    /// Notes that the configuration, if there is one, was read from the store.
    pub fn on_configuration_read(&self) {
        self.switch.is_configured.store(true, Ordering::Release);
    }

    fn folder(&self) -> PathBuf {
        self.cx.cfg.folder.join(LOG_FOLDER)
    }

    /// Keeps turns from the moment that the configuration asks for it, or at once
    /// if the disk has a log.
    pub async fn run(self) {
        let folder = self.folder();
        if segments::read_since(&folder).is_none() && self.wanted_rx.recv().await.is_err() {
            return;
        }
        let Some(address) = self.cx.cfg.address else {
            log::error!("a route keeps turns, but the settings name no address for them");
            return;
        };
        let opened = retry("open the turn log", || open(&self, &folder)).await;
        if let Err(e) = self.serve(opened, address).await {
            log::error!("cannot keep turns: {e}");
        }
    }

    async fn serve(&self, opened: Opened, address: SocketAddr) -> io::Result<()> {
        let Opened {
            shared,
            segments,
            door,
        } = opened;
        let cx = &self.cx;
        let client = Client::new(cx.spawner.clone(), ClientConfig::default());
        let own = shared.place.host.clone();
        let times = RepairTimes::new(cx.cfg.catch_up);
        let storage = Arc::new(Storage {
            writer: Writer::start(Arc::clone(&shared), segments.clone())?,
            reader: Reader::start(segments.clone())?,
            bulk_reader: Reader::start(segments)?,
            peers: Peers::new(own, client, shared.memory.clone()),
            contacts: Mutex::new(Contacts::new(times.silence())),
            times,
            demand: Demand::from(cx.cfg.fault_tolerance),
            registration: Registration::new(Arc::clone(&shared), address),
            spawner: cx.spawner.clone(),
            store: cx.store.clone(),
            log: cx.log.clone(),
            shared,
        });
        let listener = retry("listen for turns", || server::bind(address)).await;
        let server_cfg = door.server_config(&ServerConfig {
            header_timeout: IDLE_TIMEOUT,
            silence_limit: Some(SILENCE_LIMIT),
            ..ServerConfig::default()
        });
        cx.spawner.detach(door.report(cx.log.clone()));
        cx.spawner.detach(server::serve(
            listener,
            cx.spawner.clone(),
            server_cfg,
            ServerControl::default(),
            TurnsHandler(Arc::clone(&storage)),
        ));
        storage.registration.start(cx);
        if segments::needs_refill(&storage.shared.folder) {
            cx.spawner.detach(refill::run(Arc::clone(&storage)));
        }
        cx.spawner.detach(maintenance::run(Arc::clone(&storage)));
        // Nothing else sets it.
        let _set = self.running.set(Arc::clone(&storage));
        log_counters(&storage).await;
        Ok(())
    }

    /// Takes no more records, sends all that it holds to other hosts, and waits
    /// until they are stored there.
    pub async fn drain(&self) {
        self.switch.is_draining.store(true, Ordering::Release);
        let is_kept = || segments::read_since(&self.folder()).is_some() || self.switch.is_wanted();
        while self.running.get().is_none() {
            if !is_kept() || self.cx.cfg.address.is_none() {
                return;
            }
            Timer::after(RETRY_DELAY).await;
        }
        if let Some(storage) = self.running.get() {
            storage.registration.refresh();
            transfer::drain(storage).await;
        }
    }

    /// Removes the entry of the host, which holds no records any more.
    pub async fn leave(&self) {
        if let Some(storage) = self.running.get() {
            storage.registration.remove(&storage.store).await;
        }
    }

    /// Takes records again after a retirement was cancelled.
    pub fn resume(&self) {
        self.switch.is_draining.store(false, Ordering::Release);
        if let Some(storage) = self.running.get() {
            storage.registration.refresh();
        }
    }

    /// Whether another host is listed as an archive host; `None` if this host
    /// keeps no turns or does not know the list.
    pub fn is_listed(&self, host: &str) -> Option<bool> {
        let storage = self.running.get()?;
        storage.shared.archives.upto()?;
        Some(storage.shared.archives.entries().contains_key(host))
    }

    /// Whether the host keeps turns, or may be about to.
    pub fn is_keeping(&self) -> bool {
        !self.switch.is_configured.load(Ordering::Acquire)
            || self.running.get().is_some()
            || self.switch.is_wanted()
            || segments::read_since(&self.folder()).is_some()
    }
}

/// Calls until it succeeds.
async fn retry<T, F: Future<Output = io::Result<T>>>(what: &str, call: impl Fn() -> F) -> T {
    loop {
        match call().await {
            Ok(done) => return done,
            Err(e) => log::error!("cannot {what} yet: {e}"),
        }
        Timer::after(RETRY_DELAY).await;
    }
}

struct Opened {
    shared: Arc<Shared>,
    segments: Segments,
    door: ArchiveDoor,
}

async fn open(turns: &Turns, folder: &Path) -> io::Result<Opened> {
    let cx = &turns.cx;
    let since = segments::read_since(folder);
    let new_since = match since {
        Some(since) => since,
        None => first_since(cx).await,
    };
    let limits = LogLimits::new(&cx.cfg);
    let (tx, rx) = async_channel::bounded(1);
    let log_folder = folder.to_owned();
    // Reading a large log takes a while.
    thread::Builder::new()
        .name("turn-recovery".to_owned())
        .spawn(move || {
            let opened = open_log(&log_folder, since, new_since, limits);
            let _gone = tx.try_send(opened);
        })?;
    let stopped = |_| io::Error::other("the recovery has stopped");
    let (index, segments, recovery, since) = rx.recv().await.map_err(stopped)??;
    let line = OpenedLine {
        records: index.len(),
        segments: index.segments(),
        bytes: index.bytes(),
        torn_bytes: recovery.torn_bytes,
        damaged_bytes: recovery.damaged_bytes,
        skipped_records: recovery.skipped_records,
        broken_chains: recovery.broken_chains,
        whole_for_ms: since.whole_for_ms(unix_ms()),
    };
    cx.log.state("turns-opened", &line);
    let log_files = limits.log_bytes / SEGMENT_BYTES;
    let log_files = usize::try_from(log_files).unwrap_or(usize::MAX);
    let door = ArchiveDoor::new(&cx.cfg, limits.body_bytes, log_files, IDLE_TIMEOUT);
    let shared = Arc::new(Shared {
        place: cx.cfg.place.clone(),
        regions: cx.cfg.regions.clone(),
        limits,
        index: Mutex::new(index),
        memory: door.body_memory.clone(),
        counters: Counters::default(),
        archives: SharedList::default(),
        folder: folder.to_owned(),
        since: Mutex::new(since),
        switch: Arc::clone(&turns.switch),
    });
    Ok(Opened {
        shared,
        segments,
        door,
    })
}

/// Returns since when an empty disk holds everything. Only a host that was never
/// listed can be at the first start of the deployment: the setting may still say
/// so after a disk was lost.
async fn first_since(cx: &Context) -> Since {
    let name = cx.cfg.place.host.as_str();
    let entry = retry("read the own entry", || async {
        platform::read_value::<ArchiveEntry>(&cx.store, Archives::KIND, name)
            .await
            .map_err(io::Error::other)
    });
    if cx.cfg.place.first_start && entry.await.is_none() {
        Since::FirstStart
    } else {
        Since::At(unix_ms())
    }
}

type OpenedLog = (Index, Segments, Recovery, Since);

fn open_log(
    folder: &Path,
    since: Option<Since>,
    new_since: Since,
    limits: LogLimits,
) -> io::Result<OpenedLog> {
    let now_ms = unix_ms();
    let mut index = Index::new(IndexLimits {
        margin_ms: CLOCK_MARGIN_MS,
        recent_bytes: limits.recent_bytes,
        check_delay_ms: limits.check_delay_ms,
    });
    let (segments, recovery) = Segments::open(folder, &mut index, now_ms)?;
    let wanted = match recovery.is_incomplete() {
        true => Since::At(now_ms),
        false => new_since,
    };
    let is_new = since != Some(wanted);
    if is_new && wanted != Since::FirstStart {
        segments::request_refill(folder)?;
    }
    if is_new || segments::is_readable_by_earlier(folder) {
        segments::write_since(folder, wanted)?;
    }
    Ok((index, segments, recovery, wanted))
}

async fn log_counters(storage: &Storage) {
    let shared = &storage.shared;
    loop {
        Timer::after(LINE_PERIOD).await;
        let counters = shared.counters.take();
        if counters == CounterLine::default() {
            continue;
        }
        let line = {
            let index = shared.index.lock();
            LogLine {
                live_segments: index.segments(),
                log_bytes: index.bytes(),
                index_records: index.len(),
                body_bytes: shared.memory.reserved(),
                counters,
            }
        };
        storage.log.state("turns", &line);
    }
}
