//! Refills a disk that has lost acknowledged records from the other archive
//! hosts. [`RefillPlan`] decides and does no I/O.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;
use serde::Serialize;

use super::Storage;
use super::peers::PageAnswer;
use super::peers::PeerError;
use super::segments;
use super::writer::Received;
use super::writer::Stored;
use crate::ids::HostId;
use crate::turns::TurnKey;
use crate::units::Moment;

/// Hosts that are read at the same time. The memory of bodies has room for a
/// page of each.
const PARALLEL: usize = 6;
/// Delay before a host that did not answer is asked again.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Attempts at a page.
const PAGE_ATTEMPTS: usize = 3;
/// Delay between attempts at a page, which may find the memory of bodies full.
const PAGE_RETRY: Duration = Duration::from_millis(100);
/// Interval at which an idle task looks for a host that can be asked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Waiting { from: Moment },
    Running,
    Done { is_whole: bool },
}

/// A host to read, without the records that hosts which were read hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step {
    /// The host.
    pub host: HostId,
    /// Hosts whose records are not needed again.
    pub skip: Vec<HostId>,
}

/// Which hosts have been read, and which are read next.
#[derive(Clone, Debug, Default)]
pub struct RefillPlan(BTreeMap<HostId, Progress>);

impl RefillPlan {
    /// Takes over the list of the other archive hosts. A host that is not listed
    /// any more need not be read.
    pub fn set_listed(&mut self, hosts: impl Iterator<Item = HostId>, now: Moment) {
        let before = std::mem::take(&mut self.0);
        self.0 = hosts
            .map(|host| {
                let progress = before.get(&host).copied();
                (host, progress.unwrap_or(Progress::Waiting { from: now }))
            })
            .collect();
    }

    /// Returns the next host to read.
    pub fn next(&mut self, now: Moment) -> Option<Step> {
        let is_due = |progress: &Progress| match progress {
            Progress::Waiting { from } => *from <= now,
            _ => false,
        };
        let mut hosts = self.0.iter();
        let host = hosts.find(|(_, progress)| is_due(progress))?.0.clone();
        self.0.insert(host.clone(), Progress::Running);
        let is_held = |progress: &Progress| *progress == Progress::Done { is_whole: true };
        let done = self.0.iter().filter(|(_, progress)| is_held(progress));
        Some(Step {
            host,
            skip: done.map(|(host, _)| host.clone()).collect(),
        })
    }

    /// Notes that a host was read to the end. If it has not held everything for
    /// the longest retention, other hosts may have records that it should have.
    pub fn set_done(&mut self, host: &HostId, is_whole: bool) {
        self.set(host, Progress::Done { is_whole });
    }

    /// Notes that a host could not be read to the end.
    pub fn set_failed(&mut self, host: &HostId, now: Moment) {
        let from = now + RETRY_AFTER;
        self.set(host, Progress::Waiting { from });
    }

    /// Whether all hosts have been read.
    pub fn is_complete(&self) -> bool {
        let mut hosts = self.0.values();
        hosts.all(|progress| matches!(progress, Progress::Done { .. }))
    }

    fn set(&mut self, host: &HostId, progress: Progress) {
        if let Some(current) = self.0.get_mut(host) {
            *current = progress;
        }
    }
}

#[derive(Debug, Default, Serialize)]
struct RefillLine {
    hosts: usize,
    records: usize,
    bytes: usize,
    spent_ms: u128,
    is_complete: bool,
}

/// Why a host was not read to the end.
#[derive(Debug, thiserror::Error)]
enum RefillError {
    #[error("{0}")]
    Peer(#[from] PeerError),
    #[error("a frame is not valid")]
    Malformed,
    #[error("the disk is full")]
    Full,
    #[error("the host is not listed any more")]
    NotListed,
}

type Result<T> = std::result::Result<T, RefillError>;

/// Refills the disk. Gives up after the longest retention, when all records that
/// were lost have expired.
pub async fn run(storage: Arc<Storage>) {
    let started = Moment::now();
    while storage.shared.archives.upto().is_none() {
        Timer::after(POLL_INTERVAL).await;
    }
    let plan = Arc::new(Mutex::new(RefillPlan::default()));
    let line = Arc::new(Mutex::new(RefillLine::default()));
    let tasks: Vec<_> = (0..PARALLEL)
        .map(|_| {
            let (plan, line) = (Arc::clone(&plan), Arc::clone(&line));
            let reading = read_hosts(Arc::clone(&storage), plan, line, started);
            storage.spawner.spawn(reading)
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let mut line = std::mem::take(&mut *line.lock());
    line.spent_ms = Moment::now().since(started).as_millis();
    line.is_complete = plan.lock().is_complete();
    storage.log.state("turns-refilled", &line);
    if let Err(e) = segments::complete_refill(&storage.shared.folder)
        && e.kind() != io::ErrorKind::NotFound
    {
        log::error!("cannot note that the turn log has been refilled: {e}");
    }
}

async fn read_hosts(
    storage: Arc<Storage>,
    plan: Arc<Mutex<RefillPlan>>,
    line: Arc<Mutex<RefillLine>>,
    started: Moment,
) {
    loop {
        let now = Moment::now();
        let others = storage.other_hosts();
        let step = {
            let mut plan = plan.lock();
            plan.set_listed(others.keys().cloned(), now);
            if plan.is_complete() || now.since(started) > storage.longest_retention() {
                return;
            }
            plan.next(now)
        };
        let Some(step) = step else {
            Timer::after(POLL_INTERVAL).await;
            continue;
        };
        match read_host(&storage, &step, &line).await {
            Ok(whole_for) => {
                let is_whole = whole_for >= storage.longest_retention();
                plan.lock().set_done(&step.host, is_whole);
                line.lock().hosts += 1;
            }
            Err(e) => {
                log::warn!("cannot refill from host {} yet: {e}", step.host);
                plan.lock().set_failed(&step.host, Moment::now());
            }
        }
    }
}

/// Reads and stores all pages of a host. Returns for how long it has held
/// everything that it acknowledged; no time if it has records that this host
/// cannot read, which others may have in another format.
async fn read_host(storage: &Storage, step: &Step, line: &Mutex<RefillLine>) -> Result<Duration> {
    let to = storage
        .address_of(&step.host)
        .ok_or(RefillError::NotListed)?;
    let mut after = 0;
    let mut is_skipped = false;
    loop {
        let page = read_page(storage, to, &step.skip, after).await?;
        let bytes = page.frames.len();
        let decoded = Received::decode_all(page.frames);
        let (records, skipped) = decoded.map_err(|_| RefillError::Malformed)?;
        is_skipped |= skipped > 0;
        let count = records.len();
        let heads: Vec<_> = records
            .iter()
            .map(|received| {
                let head = &received.record.head;
                (head.key(), head.previous_key())
            })
            .collect();
        let missing = match storage.writer.store(records, Some(page.memory)).await {
            Stored::Except(missing) => missing,
            Stored::Full => return Err(RefillError::Full),
        };
        for (key, previous) in heads {
            if previous.is_some_and(|previous| missing.contains(&previous)) {
                read_whole(storage, to, &key).await?;
            }
        }
        {
            let mut line = line.lock();
            line.records += count;
            line.bytes += bytes;
        }
        match page.next {
            Some(next) => after = next,
            None if is_skipped => return Ok(Duration::ZERO),
            None => return Ok(page.whole_for),
        }
    }
}

/// Reads a page. It is retried a few times, since a new attempt at the host would
/// begin with the first page.
async fn read_page(
    storage: &Storage,
    to: SocketAddr,
    skip: &[HostId],
    after: u64,
) -> Result<PageAnswer> {
    for _ in 1..PAGE_ATTEMPTS {
        match storage.peers.page(to, skip, after).await {
            Ok(page) => return Ok(page),
            Err(e) => log::debug!("cannot read a page yet: {e}"),
        }
        Timer::after(PAGE_RETRY).await;
    }
    Ok(storage.peers.page(to, skip, after).await?)
}

/// Reads the whole text of a turn whose chain this host does not have.
async fn read_whole(storage: &Storage, to: SocketAddr, key: &TurnKey) -> Result<()> {
    let Some((frame, memory)) = storage.peers.whole(to, key).await? else {
        // It has expired since.
        return Ok(());
    };
    // A skipped record would be taken for one that this host has.
    let Ok((records, 0)) = Received::decode_all(frame) else {
        return Err(RefillError::Malformed);
    };
    match storage.writer.store(records, Some(memory)).await {
        Stored::Except(_) => Ok(()),
        Stored::Full => Err(RefillError::Full),
    }
}
