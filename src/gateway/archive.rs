//! Hosts with a disk: an audit trail of the operators' changes, and upkeep of
//! objects in the platform's store.
//!
//! Nothing that must last is only here, so such a host can be emptied and
//! taken away at any moment.

use std::collections::HashSet;
use std::fs;
use std::io;
use std::io::Write;
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
use crate::configs::gateway::ArchiveConfig;
use crate::connection::platform;
use crate::connection::platform::Changes;
use crate::connection::platform::Object;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::ids::Version;
use crate::platform::ObjectStore;
use crate::platform::kinds;
use crate::process::events::EventLog;
use crate::process::events::unix_ms;

/// File of the audit trail.
const TRAIL_FILE: &str = "audit.jsonl";
/// The file before the last change of files.
const OLDER_TRAIL_FILE: &str = "audit.older.jsonl";
/// Log lines a second; an archive has few.
const LOG_LINES_PER_S: u32 = 50;
/// Status of a host that holds nothing any more.
const COMPLETED_STATUS: &str = r#"{"state":"completed"}"#;

/// Why an archive cannot run.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ArchiveError {
    /// The system refused something.
    #[error("the archive cannot start: {0}")]
    Io(#[from] io::Error),
}

/// Result of running an archive.
pub type Result<T> = std::result::Result<T, ArchiveError>;

/// One change of the operators, without its content, which may hold keys.
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

/// The audit trail on disk: a file and the one before it, of bounded size.
#[derive(Debug)]
pub struct AuditTrail {
    folder: PathBuf,
    max_bytes: u64,
}

impl AuditTrail {
    /// Opens the trail in a folder, which is made if it is missing.
    ///
    /// # Errors
    ///
    /// What the operating system answered.
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
    /// What the operating system answered.
    pub fn append(&self, lines: &[u8]) -> io::Result<()> {
        let path = self.folder.join(TRAIL_FILE);
        let size = fs::metadata(&path).map_or(0, |m| m.len());
        if size > self.max_bytes / 2 {
            fs::rename(&path, self.folder.join(OLDER_TRAIL_FILE))?;
            fs::File::open(&self.folder)?.sync_all()?;
        }
        let mut file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)?;
        file.write_all(lines)?;
        file.sync_data()
    }
}

/// Keeps the archive until the process is told to end.
///
/// # Errors
///
/// [`ArchiveError`] if it cannot start.
pub async fn run(cfg: ArchiveConfig, spawner: Spawner) -> Result<()> {
    let mut signals = Signals::new([Signal::Int, Signal::Term, Signal::Hup])?;
    let log = EventLog::start(cfg.place.host.as_str(), LOG_LINES_PER_S);
    let wait = cfg.store.watch_wait;
    let client = Client::new(spawner.clone(), ClientConfig::default());
    let store = ObjectStore::new(client, cfg.store.clone());
    let max_bytes = share_of(cfg.disk_bytes, cfg.disk_share);
    let trail = AuditTrail::open(&cfg.folder, max_bytes)?;
    log.state("started", &ArchiveLine { detail: "archive" });
    let auditor = Auditor {
        trail,
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
    spawner.detach(sweep_budgets(store, cfg));
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        let detail = "the settings hold from the next start on";
        log.state("reload", &ArchiveLine { detail });
    }
    log.state("stopped", &ArchiveLine { detail: "archive" });
    Ok(())
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a share of a disk's size, which doubles hold exactly"
)]
fn share_of(bytes: u64, share: f64) -> u64 {
    (bytes as f64 * share.clamp(0.0, 1.0)) as u64
}

/// Writes each change of the operators' configuration to the trail.
struct Auditor {
    trail: AuditTrail,
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
            let text = serde_json::to_vec(&line).expect("typed fields always encode as JSON");
            lines.extend(text);
            lines.push(b'\n');
        }
        if lines.is_empty() {
            return;
        }
        if let Err(e) = self.trail.append(&lines) {
            // A full or faulty disk costs the trail, which the store's own log backs.
            log::error!("the audit trail cannot be written: {e}");
        }
    }
}

impl WatchHandler for Auditor {
    async fn on_list(&self, listed: Changes) {
        self.record(&listed.objects);
    }

    async fn on_change(&self, changes: Changes) {
        self.record(&changes.objects);
    }

    fn on_error(&self, error: &PlatformError) {
        log::debug!("the store does not answer the archive: {error}");
    }

    fn on_success(&self) {}
}

/// Reports hosts with a disk as emptied, since nothing is only there.
struct RetirementReporter {
    own: String,
    store: ObjectStore,
    log: EventLog,
    reported: Arc<Mutex<HashSet<String>>>,
    spawner: Spawner,
}

/// Time that a host is given to report for itself before others do.
const OWN_REPORT_WAIT: Duration = Duration::from_secs(2);

/// Pause before a status is written again.
const STATUS_RETRY_DELAY: Duration = Duration::from_millis(300);

impl RetirementReporter {
    fn report(&self, objects: Vec<Object>) {
        for object in objects {
            let is_own = object.name == self.own;
            let reported = Arc::clone(&self.reported);
            let store = self.store.clone();
            let log = self.log.clone();
            self.spawner.detach(async move {
                if !is_own {
                    Timer::after(OWN_REPORT_WAIT).await;
                }
                write_retirement_status(&store, &log, &reported, object).await;
            });
        }
    }
}

async fn write_retirement_status(
    store: &ObjectStore,
    log: &EventLog,
    reported: &Mutex<HashSet<String>>,
    object: Object,
) {
    let name = object.name;
    if !reported.lock().insert(name.clone()) {
        return;
    }
    while let Err(e) = store
        .write_status(kinds::RETIREMENTS, &name, COMPLETED_STATUS)
        .await
    {
        log::warn!("the status of {name} is not written yet: {e}");
        Timer::after(STATUS_RETRY_DELAY).await;
    }
    log.state("host-emptied", &ArchiveLine { detail: &name });
}

impl WatchHandler for RetirementReporter {
    async fn on_list(&self, listed: Changes) {
        self.report(listed.objects);
    }

    async fn on_change(&self, changes: Changes) {
        self.report(changes.objects);
    }

    fn on_error(&self, error: &PlatformError) {
        log::debug!("the store does not answer the archive: {error}");
    }

    fn on_success(&self) {}
}

/// Removes budget records of programs that can no longer come back.
async fn sweep_budgets(store: ObjectStore, cfg: ArchiveConfig) {
    let pause = Duration::from_secs_f64(1.0 / (cfg.store.writes_per_s * cfg.sweep_share));
    loop {
        Timer::after(cfg.sweep_period).await;
        let listed = match store.list(budget::KIND, "").await {
            Ok(listed) => listed,
            Err(e) => {
                log::debug!("old budget records are not removed now: {e}");
                continue;
            }
        };
        let now = unix_ms();
        let keep_ms = u64::try_from(cfg.budget_retention.as_millis()).unwrap_or(u64::MAX);
        for object in listed.objects {
            let record = platform::decode::<Record>(budget::KIND, &object);
            let is_old = record.is_ok_and(|r| r.at_ms.saturating_add(keep_ms) < now);
            if is_old {
                // A record that another archive removed first is a conflict.
                let removed = store
                    .remove(budget::KIND, &object.name, object.version)
                    .await;
                if let Err(e) = removed {
                    log::debug!("a budget record is removed later: {e}");
                }
                Timer::after(pause).await;
            }
        }
    }
}
