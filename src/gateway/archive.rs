//! Archive hosts, which have a disk: they keep an audit trail of the operators'
//! changes, maintain objects in the platform's store, and store kept turns
//! ([`crate::archive`]).

use std::collections::HashSet;
use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use futures_lite::StreamExt;
use parking_lot::Mutex;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use super::budget;
use super::budget::Record;
use super::follow;
use super::follow::WatchHandler;
use crate::archive;
use crate::archive::Turns;
use crate::configs::gateway::ArchiveConfig;
use crate::connection::platform;
use crate::connection::platform::Changes;
use crate::connection::platform::Object;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::ids::Version;
use crate::platform::ObjectStore;
use crate::platform::kinds;
use crate::platform::routes;
use crate::process::events::EventLog;
use crate::process::events::unix_ms;

/// File name of the audit trail.
const TRAIL_FILE: &str = "audit.jsonl";
/// File name of the previous audit trail after rotation.
const OLDER_TRAIL_FILE: &str = "audit.older.jsonl";
/// Maximum number of log lines per second; an archive writes few.
const LOG_LINES_PER_S: u32 = 50;
/// Status of a retired host once it holds no state.
const COMPLETED_STATUS: &str = r#"{"state":"completed"}"#;

/// Error on starting an archive.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ArchiveError {
    /// An operation of the operating system failed.
    #[error("the archive cannot start: {0}")]
    Io(#[from] io::Error),
}

/// Result of running an archive.
pub type Result<T> = std::result::Result<T, ArchiveError>;

/// A change by the operators. It omits the content, which may include API keys.
#[derive(Debug, Serialize)]
struct TrailLine<'a> {
    taken_ms: u64,
    object: &'a str,
    version: Version,
    digest: String,
}

#[derive(Serialize)]
struct ArchiveLine<'a> {
    detail: &'a str,
}

/// Audit trail on disk: the current file and the previous one, of limited total
/// size.
#[derive(Debug)]
pub struct AuditTrail {
    folder: PathBuf,
    max_bytes: u64,
}

impl AuditTrail {
    /// Opens the trail in a folder, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn open(folder: &Path, max_bytes: u64) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
            max_bytes,
        })
    }

    /// Appends lines and waits until they are on disk.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn append(&self, lines: &[u8]) -> io::Result<()> {
        let path = self.folder.join(TRAIL_FILE);
        let size = fs::metadata(&path).map_or(0, |m| m.len());
        if size > self.max_bytes / 2 {
            fs::rename(&path, self.folder.join(OLDER_TRAIL_FILE))?;
            fs::File::open(&self.folder)?.sync_all()?;
        }
        let mut file = fs::OpenOptions::new()
            .create(true)
            .read(true)
            .append(true)
            .open(&path)?;
        if is_torn(&file)? {
            file.write_all(b"\n")?;
        }
        file.write_all(lines)?;
        file.sync_data()
    }
}

/// Whether the last line of a file was not written to its end.
fn is_torn(file: &fs::File) -> io::Result<bool> {
    let Some(last) = file.metadata()?.len().checked_sub(1) else {
        return Ok(false);
    };
    let mut end = [0];
    file.read_exact_at(&mut end, last)?;
    Ok(end != *b"\n")
}

/// Runs the archive until the process receives a signal to stop.
///
/// # Errors
///
/// [`ArchiveError`] if it cannot start.
pub async fn run(cfg: ArchiveConfig, spawner: Spawner, mut signals: Signals) -> Result<()> {
    let log = EventLog::start(cfg.place.host.as_str(), LOG_LINES_PER_S);
    let wait = cfg.store.watch_wait;
    let client = Client::new(spawner.clone(), ClientConfig::default());
    let store = ObjectStore::new(client, cfg.store.clone());
    let trail = AuditTrail::open(&cfg.folder, cfg.trail_bytes())?;
    log.state("started", &ArchiveLine { detail: "archive" });
    let turns = Turns::new(archive::Context {
        cfg: cfg.clone(),
        spawner: spawner.clone(),
        store: store.clone(),
        log: log.clone(),
    });
    let auditor = Auditor {
        trail,
        turns: turns.clone(),
        log: log.clone(),
        seen: Mutex::default(),
    };
    spawner.detach(follow::watch_kind(
        store.clone(),
        kinds::CONFIGURATION,
        wait,
        auditor,
    ));
    let reporter = RetirementReporter {
        own: cfg.place.host.to_string(),
        turns: turns.clone(),
        store: store.clone(),
        log: log.clone(),
        reported: Arc::default(),
        spawner: spawner.clone(),
    };
    spawner.detach(follow::watch_kind(
        store.clone(),
        kinds::RETIREMENTS,
        wait,
        reporter,
    ));
    spawner.detach(turns.run());
    spawner.detach(sweep_budgets(store, cfg));
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        let detail = "settings take effect at the next start";
        log.state("reload", &ArchiveLine { detail });
    }
    log.state("stopped", &ArchiveLine { detail: "archive" });
    Ok(())
}

/// Writes each change of the operators' configuration to the audit trail.
struct Auditor {
    trail: AuditTrail,
    turns: Turns,
    log: EventLog,
    seen: Mutex<HashSet<(String, Version)>>,
}

impl Auditor {
    fn record(&self, objects: &[Object]) {
        let mut lines = Vec::new();
        for object in objects {
            let id = (object.name.clone(), object.version);
            if !self.seen.lock().insert(id) {
                continue;
            }
            let line = TrailLine {
                taken_ms: unix_ms(),
                object: &object.name,
                version: object.version,
                digest: hex::encode(Sha256::digest(&object.value)),
            };
            self.log.state("configuration-changed", &line);
            if object.name == kinds::CURRENT {
                self.start_turns(&object.value);
            }
            let text = serde_json::to_vec(&line).expect("typed fields always encode as JSON");
            lines.extend(text);
            lines.push(b'\n');
        }
        if lines.is_empty() {
            return;
        }
        if let Err(e) = self.trail.append(&lines) {
            // If the disk is full or faulty, only the trail is lost; the
            // store's own log still has the changes.
            log::error!("cannot write the audit trail: {e}");
        }
    }
}

impl Auditor {
    fn start_turns(&self, configuration: &[u8]) {
        match routes::decode(configuration) {
            Ok(table) => self.turns.on_configuration(&table),
            Err(e) => log::error!("cannot read the configuration: {e}"),
        }
    }
}

impl WatchHandler for Auditor {
    async fn on_list(&self, listed: Changes) {
        self.record(&listed.objects);
        self.turns.on_configuration_read();
    }

    async fn on_change(&self, changes: Changes) {
        self.record(&changes.objects);
    }

    fn on_error(&self, error: &PlatformError) {
        log::debug!("cannot list or watch the configuration: {error}");
    }

    fn on_success(&self) {}
}

/// Reports retired archive hosts as completed.
///
/// A host that keeps turns reports its own retirement once others have its
/// records. Others report it only for a host without an entry, whose records
/// have expired or were replaced. Without kept turns, no state is stored on an
/// archive host alone, and all report at once.
struct RetirementReporter {
    own: String,
    turns: Turns,
    store: ObjectStore,
    log: EventLog,
    reported: Arc<Mutex<HashSet<String>>>,
    spawner: Spawner,
}

/// Time that a host has to report its own retirement before others do.
const OWN_REPORT_WAIT: Duration = Duration::from_secs(2);

/// Interval at which it is checked whether a retired host is still listed.
const GONE_POLL: Duration = Duration::from_secs(1);

/// Delay before writing a status is retried.
const STATUS_RETRY_DELAY: Duration = Duration::from_millis(300);

impl RetirementReporter {
    fn report(&self, objects: Vec<Object>) {
        for object in objects {
            let name = object.name;
            if !self.reported.lock().insert(name.clone()) {
                continue;
            }
            let is_own = name == self.own;
            let reported = Arc::clone(&self.reported);
            let (store, log) = (self.store.clone(), self.log.clone());
            let turns = self.turns.clone();
            self.spawner.detach(async move {
                if is_own {
                    turns.drain().await;
                } else {
                    Timer::after(OWN_REPORT_WAIT).await;
                    wait_until_gone(&turns, &name).await;
                }
                let is_requested = || reported.lock().contains(&name);
                let is_written = write_retirement_status(&store, &log, &name, is_requested).await;
                if is_own && is_written {
                    turns.leave().await;
                }
            });
        }
    }

    fn withdraw(&self, names: &[String]) {
        for name in names {
            let was_reported = self.reported.lock().remove(name);
            if was_reported && *name == self.own {
                self.turns.resume();
            }
        }
    }
}

/// Waits until another host cannot hold any kept turn.
async fn wait_until_gone(turns: &Turns, host: &str) {
    while turns.is_keeping() && turns.is_listed(host) != Some(false) {
        Timer::after(GONE_POLL).await;
    }
}

/// Writes the status of a retired host unless the request is withdrawn. Returns
/// whether it is written.
async fn write_retirement_status(
    store: &ObjectStore,
    log: &EventLog,
    name: &str,
    is_requested: impl Fn() -> bool,
) -> bool {
    while is_requested() {
        let written = store.write_status(kinds::RETIREMENTS, name, COMPLETED_STATUS);
        match written.await {
            Ok(()) => {
                log.state("host-emptied", &ArchiveLine { detail: name });
                return true;
            }
            Err(e) => {
                log::warn!("cannot write the retirement status of host {name} yet: {e}");
                Timer::after(STATUS_RETRY_DELAY).await;
            }
        }
    }
    false
}

impl WatchHandler for RetirementReporter {
    async fn on_list(&self, listed: Changes) {
        let names = listed.objects.iter().map(|object| object.name.as_str());
        let names: HashSet<&str> = names.collect();
        let reported = self.reported.lock().clone();
        let withdrawn: Vec<String> = reported
            .into_iter()
            .filter(|name| !names.contains(name.as_str()))
            .collect();
        self.withdraw(&withdrawn);
        self.report(listed.objects);
    }

    async fn on_change(&self, changes: Changes) {
        self.withdraw(&changes.removed);
        self.report(changes.objects);
    }

    fn on_error(&self, error: &PlatformError) {
        log::debug!("cannot list or watch the retirements: {error}");
    }

    fn on_success(&self) {}
}

/// Removes budget records whose last grant is older than the retention period,
/// since their programs can no longer continue.
async fn sweep_budgets(store: ObjectStore, cfg: ArchiveConfig) {
    let pause = Duration::from_secs_f64(1.0 / (cfg.store.writes_per_s * cfg.sweep_share));
    loop {
        Timer::after(cfg.sweep_period).await;
        let listed = match store.list(budget::KIND, "").await {
            Ok(listed) => listed,
            Err(e) => {
                log::debug!("cannot list budget records: {e}");
                continue;
            }
        };
        let now = unix_ms();
        let keep_ms = u64::try_from(cfg.budget_retention.as_millis()).unwrap_or(u64::MAX);
        for object in listed.objects {
            let record = platform::decode::<Record>(budget::KIND, &object);
            let is_old = record.is_ok_and(|r| r.at_ms.saturating_add(keep_ms) < now);
            if is_old {
                // If another archive removed the record first, the result is a
                // conflict, not an error.
                let removed = store
                    .remove(budget::KIND, &object.name, object.version)
                    .await;
                if let Err(e) = removed {
                    log::debug!("cannot remove a budget record yet: {e}");
                }
                Timer::after(pause).await;
            }
        }
    }
}
