//! Joins the configuration to the platform, the other hosts and the file.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_lock::Semaphore;
use chicoryarch_net::Spawner;

use super::Hosts;
use super::contact::Contact;
use super::file::SavedFile;
use super::saver::Saver;
use super::standing::Standing;
use super::standing::StandingCell;
use super::standing::Term;
use crate::configs::distribution::DistributionConfig;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::units::Moment;
use crate::version::catalogue::ApplyReport;
use crate::version::catalogue::Bundle;
use crate::version::catalogue::Configuration;

/// Hosts that one change is handed to at the same time.
const FAN_OUT: usize = 64;

/// Counts of the spread of configuration.
#[derive(Debug, Default)]
pub struct Counters {
    /// Digests compared with another host.
    pub exchanges: AtomicU64,
    /// Exchanges or hand-overs that got no answer.
    pub peer_failures: AtomicU64,
    /// Exchanges that found a difference.
    pub pulls: AtomicU64,
    /// Hand-overs to another host.
    pub pushes: AtomicU64,
    /// Lists read from the platform.
    pub lists: AtomicU64,
    /// Watches answered by the platform.
    pub watches: AtomicU64,
    /// Platform calls that failed.
    pub platform_failures: AtomicU64,
    /// Saves that failed.
    pub save_failures: AtomicU64,
}

pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The spread of configuration at one host; clones share it.
#[derive(Clone, Debug)]
pub struct Distribution<P, Q, H> {
    pub(super) cfg: DistributionConfig,
    pub(super) configuration: Configuration,
    pub(super) platform: P,
    pub(super) hosts: H,
    pub(super) spawner: Spawner,
    pub(super) counters: Arc<Counters>,
    pub(super) contact: Contact,
    pub(super) standing: StandingCell,
    pub(super) peers: Q,
    saver: Option<Saver>,
    pub(super) platform_out: Arc<AtomicBool>,
    pub(super) fan_out: Arc<Semaphore>,
}

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Creates the part; [`Self::catch_up`] and [`Self::start`] follow.
    ///
    /// # Errors
    ///
    /// If the saving thread cannot be started.
    pub fn new(
        cfg: DistributionConfig,
        configuration: Configuration,
        platform: P,
        peers: Q,
        hosts: H,
        spawner: Spawner,
    ) -> io::Result<Self> {
        let saver = match &cfg.data_dir {
            Some(dir) => Some(Saver::start(SavedFile::new(dir), configuration.clone())?),
            None => None,
        };
        Ok(Self {
            cfg,
            configuration,
            platform,
            hosts,
            spawner,
            counters: Arc::default(),
            contact: Contact::new(Moment::now()),
            standing: StandingCell::default(),
            peers,
            saver,
            platform_out: Arc::default(),
            fan_out: Arc::new(Semaphore::new(FAN_OUT)),
        })
    }

    /// The configuration that this part keeps up to date.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The other hosts, as membership knows them.
    pub fn hosts(&self) -> &H {
        &self.hosts
    }

    /// Counts of the spread of configuration.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// True if the last platform call failed.
    pub fn is_platform_out(&self) -> bool {
        self.platform_out.load(Ordering::Relaxed)
    }

    /// True if keys may still be accepted: there was news from outside within
    /// the configured limit.
    pub fn accepts_keys(&self, now: Moment) -> bool {
        let limit = self.cfg.max_isolation;
        limit.is_none_or(|limit| self.contact.age(now) <= limit)
    }

    /// How much this host's configuration can be relied on.
    pub fn standing(&self) -> Standing {
        self.standing.present(self.hosts.term())
    }

    /// Applies a bundle and, if it withdraws a key, saves before returning.
    pub(super) async fn apply_durably(&self, bundle: Bundle) -> ApplyReport {
        let applied = self.configuration.apply(bundle);
        if !applied.withdrawn.is_empty() {
            self.save().await;
        }
        applied
    }

    /// Saves the configuration, if there is a data folder.
    pub(super) async fn save(&self) -> bool {
        let Some(saver) = &self.saver else {
            return true;
        };
        let saved = saver.save().await;
        if !saved {
            count(&self.counters.save_failures);
        }
        saved
    }

    /// Takes what a source that was asked in a term gives.
    pub(super) fn gain(&self, source: Standing, asked: Option<Term>) {
        self.standing.gain(source, asked, self.hosts.term());
    }
}
