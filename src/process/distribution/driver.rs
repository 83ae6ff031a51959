//! Connects the configuration to the platform, the other hosts and the saved
//! file.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_lock::Semaphore;
use chicoryarch_net::Spawner;

use super::Hosts;
use super::contact::LastContact;
use super::file::SavedFile;
use super::saver::Saver;
use super::standing::SharedStanding;
use super::standing::Standing;
use super::standing::Term;
use crate::configs::distribution::DistributionConfig;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::units::Moment;
use crate::version::catalogue::ApplyReport;
use crate::version::catalogue::Bundle;
use crate::version::catalogue::Configuration;

/// Limit of concurrent calls to other hosts when several hosts are called.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Counters of configuration distribution; exported as metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Exchanges started with another host.
    pub exchanges: AtomicU64,
    /// Calls to other hosts that failed.
    pub peer_failures: AtomicU64,
    /// Exchanges whose digests differed.
    pub pulls: AtomicU64,
    /// Bundles sent to another host.
    pub pushes: AtomicU64,
    /// List calls to the platform.
    pub lists: AtomicU64,
    /// Watch calls that the platform answered.
    pub watches: AtomicU64,
    /// Platform calls that found the platform unavailable or whose answer was
    /// lost.
    pub platform_failures: AtomicU64,
    /// Failed saves of the configuration file.
    pub save_failures: AtomicU64,
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Configuration distribution at one host; clones share their state.
#[derive(Clone, Debug)]
pub struct Distribution<P, Q, H> {
    pub(super) cfg: DistributionConfig,
    pub(super) configuration: Configuration,
    pub(super) platform: P,
    pub(super) hosts: H,
    pub(super) spawner: Spawner,
    pub(super) counters: Arc<Counters>,
    pub(super) contact: LastContact,
    pub(super) standing: SharedStanding,
    pub(super) peers: Q,
    saver: Option<Saver>,
    pub(super) platform_down: Arc<AtomicBool>,
    pub(super) call_permits: Arc<Semaphore>,
}

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Creates the distribution and starts its saver thread. The caller then
    /// runs [`Self::catch_up`] and [`Self::start`].
    ///
    /// # Errors
    ///
    /// If the saver thread cannot be started.
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
            contact: LastContact::new(Moment::now()),
            standing: SharedStanding::default(),
            peers,
            saver,
            platform_down: Arc::default(),
            call_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
        })
    }

    /// The configuration that this distribution keeps up to date.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// This host and its live peers, as reported by membership.
    pub fn hosts(&self) -> &H {
        &self.hosts
    }

    /// Counters of calls and failures since the start.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Whether the last platform call found the platform unavailable or lost
    /// its answer.
    pub fn is_platform_down(&self) -> bool {
        self.platform_down.load(Ordering::Relaxed)
    }

    /// Whether keys may still be accepted: the last contact outside the data
    /// centre is at most `max_isolation` old, or no such limit is set.
    pub fn accepts_keys(&self, now: Moment) -> bool {
        let limit = self.cfg.max_isolation;
        limit.is_none_or(|limit| self.contact.age(now) <= limit)
    }

    /// How current this host's configuration is.
    pub fn standing(&self) -> Standing {
        self.standing.in_term(self.hosts.term())
    }

    /// Applies a bundle and, if it withdraws a key, saves before returning.
    pub(super) async fn apply_and_persist(&self, bundle: Bundle) -> ApplyReport {
        let applied = self.configuration.apply(bundle);
        if !applied.withdrawn.is_empty() {
            self.save().await;
        }
        applied
    }

    /// Saves the configuration if a data folder is set. Returns false if the
    /// save failed.
    pub(super) async fn save(&self) -> bool {
        let Some(saver) = &self.saver else {
            return true;
        };
        let saved = saver.save().await;
        if !saved {
            increment(&self.counters.save_failures);
        }
        saved
    }

    /// Raises the standing after a source has answered that was queried in the
    /// term `queried_in`.
    pub(super) fn raise_standing(&self, source: Standing, queried_in: Option<Term>) {
        self.standing.raise(source, queried_in, self.hosts.term());
    }
}
