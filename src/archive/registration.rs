//! The host's entry in the list of archive hosts, and the list itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use serde::Serialize;

use super::Context;
use super::RETRY_DELAY;
use super::Shared;
use crate::connection::platform;
use crate::connection::platform::Changes;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::gateway::follow;
use crate::gateway::follow::WatchHandler;
use crate::ids::Incarnation;
use crate::lists::ListKind;
use crate::lists::archives::ArchiveEntry;
use crate::lists::archives::Archives;
use crate::platform::ObjectStore;
use crate::process::events::EventLog;
use crate::process::events::unix_ms;

#[derive(Serialize)]
struct EntryLine<'a> {
    #[serde(flatten)]
    entry: &'a ArchiveEntry,
}

/// Keeps the entry of the host in the store as it should be; clones share it.
#[derive(Clone, Debug)]
pub struct Registration {
    shared: Arc<Shared>,
    address: SocketAddr,
    incarnation: Arc<AtomicU64>,
    has_left: Arc<AtomicBool>,
    changed_tx: Sender<()>,
    changed_rx: Receiver<()>,
}

impl Registration {
    /// Creates the registration of a process that starts now.
    pub fn new(shared: Arc<Shared>, address: SocketAddr) -> Self {
        let (changed_tx, changed_rx) = async_channel::bounded(1);
        Self {
            shared,
            address,
            incarnation: Arc::new(AtomicU64::new(unix_ms())),
            has_left: Arc::default(),
            changed_tx,
            changed_rx,
        }
    }

    /// Writes the entry, and follows the list of archive hosts.
    pub fn start(&self, cx: &Context) {
        self.refresh();
        let (store, log) = (cx.store.clone(), cx.log.clone());
        cx.spawner.detach(self.clone().run(store, log));
        let wait = cx.cfg.store.watch_wait;
        let watch = follow::watch_kind(cx.store.clone(), Archives::KIND, wait, self.clone());
        cx.spawner.detach(watch);
    }

    /// Removes the entry and does not write it again until the host takes records.
    pub async fn remove(&self, store: &ObjectStore) {
        self.has_left.store(true, Ordering::Release);
        while let Err(e) = self.try_remove(store).await {
            log::warn!("cannot remove the entry of this archive host yet: {e}");
            Timer::after(RETRY_DELAY).await;
        }
    }

    async fn try_remove(&self, store: &ObjectStore) -> platform::Result<()> {
        let name = self.shared.place.host.as_str();
        while let Expect::At(version) = self.version(store, name).await? {
            let removed = store.remove(Archives::KIND, name, version).await?;
            if let Written::Done(_) = removed {
                return Ok(());
            }
        }
        Ok(())
    }

    fn is_leaving(&self) -> bool {
        self.has_left.load(Ordering::Acquire) && self.shared.is_draining()
    }

    /// Writes the entry again if it differs from what it should be.
    pub fn refresh(&self) {
        if self.is_leaving() {
            return;
        }
        // A full channel has been told already.
        let _told = self.changed_tx.try_send(());
    }

    fn wanted(&self) -> ArchiveEntry {
        ArchiveEntry {
            address: self.address,
            data_centre: self.shared.place.data_centre.clone(),
            incarnation: Incarnation(self.incarnation.load(Ordering::Acquire)),
            is_draining: self.shared.is_draining(),
        }
    }

    async fn run(self, store: ObjectStore, log: EventLog) {
        while self.changed_rx.recv().await.is_ok() {
            while let Err(e) = self.write(&store, &log).await {
                log::warn!("cannot write the entry of this archive host yet: {e}");
                Timer::after(RETRY_DELAY).await;
            }
        }
    }

    async fn write(&self, store: &ObjectStore, log: &EventLog) -> platform::Result<()> {
        let name = self.shared.place.host.as_str();
        while !self.is_leaving() {
            let stored = platform::read_value::<ArchiveEntry>(store, Archives::KIND, name).await;
            let expect = match stored {
                Ok(None) => Expect::Absent,
                Ok(Some((_, entry))) if entry == self.wanted() => return Ok(()),
                Ok(Some((version, entry))) => {
                    let next = entry.incarnation.next().0;
                    self.incarnation.fetch_max(next, Ordering::AcqRel);
                    Expect::At(version)
                }
                Err(PlatformError::Malformed { .. }) => self.version(store, name).await?,
                Err(e) => return Err(e),
            };
            let entry = self.wanted();
            let written =
                platform::write_value(store, Archives::KIND, name, expect, &entry).await?;
            if let Written::Done(_) = written {
                log.state("archive-registered", &EntryLine { entry: &entry });
                return Ok(());
            }
        }
        Ok(())
    }

    async fn version(&self, store: &ObjectStore, name: &str) -> platform::Result<Expect> {
        let object = store.read(Archives::KIND, name).await?;
        Ok(object.map_or(Expect::Absent, |object| Expect::At(object.version)))
    }

    /// Writes the entry again if others have changed or removed it.
    fn check_own(&self) {
        let entries = self.shared.archives.entries();
        if entries.get(self.shared.place.host.as_str()) != Some(&self.wanted()) {
            self.refresh();
        }
    }
}

impl WatchHandler for Registration {
    async fn on_list(&self, listed: Changes) {
        self.shared.archives.replace(&listed);
        self.check_own();
    }

    async fn on_change(&self, changes: Changes) {
        self.shared.archives.apply(&changes);
        self.check_own();
    }

    fn on_error(&self, error: &PlatformError) {
        log::debug!("cannot list or watch the archive hosts: {error}");
    }

    fn on_success(&self) {}
}
