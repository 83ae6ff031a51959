//! Shared handle to a host's configuration.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use parking_lot::Mutex;

use super::ApplyReport;
use super::Bundle;
use super::Catalogue;
use super::ConfiguredEndpoint;
use super::Digest;
use super::ObjectId;
use super::Snapshot;
use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::Version;
use crate::version::objects::Customer;
use crate::version::objects::Endpoint;
use crate::version::objects::KeyRef;
use crate::version::objects::Service;

/// Number of subscribers below which closed ones are not pruned.
const MIN_PRUNE_THRESHOLD: usize = 64;

/// Counters of applied and refused configuration since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Objects updated to a higher version.
    pub applied: AtomicU64,
    /// Items skipped because their version was not higher than the applied one.
    pub stale: AtomicU64,
    /// Object versions refused as malformed, each counted once.
    pub refused: AtomicU64,
    /// Keys withdrawn.
    pub withdrawn: AtomicU64,
}

#[derive(Debug, Default)]
struct Subscribers {
    senders: Vec<Sender<()>>,
    prune_threshold: usize,
}

impl Subscribers {
    fn add(&mut self) -> Receiver<()> {
        if self.senders.len() >= self.prune_threshold.max(MIN_PRUNE_THRESHOLD) {
            self.senders.retain(|tx| !tx.is_closed());
            self.prune_threshold = self.senders.len() * 2;
        }
        let (tx, rx) = async_channel::bounded(1);
        self.senders.push(tx);
        rx
    }

    fn notify(&mut self) {
        for tx in &self.senders {
            // A full channel already holds an unread notification.
            let _already_notified = tx.try_send(());
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    catalogue: Mutex<Catalogue>,
    current: ArcSwap<Snapshot>,
    subscribers: Mutex<Subscribers>,
    counters: Counters,
}

/// Handle to a host's configuration; clones share it.
///
/// Reads of the published snapshot take no lock. A snapshot is published after
/// a whole bundle is applied, never in between.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    shared: Arc<Shared>,
}

impl Configuration {
    /// Applies the newer objects and withdrawals of a bundle and publishes a
    /// snapshot if anything changed.
    pub fn apply(&self, bundle: Bundle) -> ApplyReport {
        let mut catalogue = self.shared.catalogue.lock();
        let applied = catalogue.apply(bundle);
        self.update_counters(&applied);
        if applied.has_changes() {
            self.publish(&catalogue);
        }
        drop(catalogue);
        log_applied(&applied);
        applied
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.current.load_full()
    }

    /// Returns the valid key of a secret, if any.
    pub fn identify(&self, secret: &[u8]) -> Option<KeyRef> {
        self.shared.current.load().identify(secret)
    }

    /// Whether the key is withdrawn.
    pub fn is_withdrawn(&self, key: &KeyRef) -> bool {
        self.shared.current.load().is_withdrawn(key)
    }

    /// Waits until the key is withdrawn.
    pub async fn until_withdrawn(&self, key: &KeyRef) {
        let changes = self.subscribe();
        while !self.is_withdrawn(key) {
            changes
                .recv()
                .await
                .expect("a configuration handle keeps its subscriptions open");
        }
    }

    /// Returns a customer's configuration; `None` if it is unknown or removed.
    pub fn customer(&self, id: &CustomerId) -> Option<Arc<Customer>> {
        self.shared.current.load().customer(id).cloned()
    }

    /// Returns a service's configuration; `None` if it is unknown or removed.
    pub fn service(&self, id: &ServiceId) -> Option<Arc<Service>> {
        self.shared.current.load().service(id).cloned()
    }

    /// Returns an endpoint's configuration; `None` if it is unknown or removed.
    pub fn endpoint(&self, id: &EndpointId) -> Option<Arc<Endpoint>> {
        self.shared.current.load().endpoint(id).cloned()
    }

    /// Returns the endpoints of a service, sorted by name.
    pub fn endpoints_of(&self, service: &ServiceId) -> Arc<[ConfiguredEndpoint]> {
        self.shared.current.load().endpoints_of(service)
    }

    /// Whether operators retired the host.
    pub fn is_retired(&self, host: &HostId) -> bool {
        self.shared.current.load().is_retired(host)
    }

    /// Returns the highest applied version of all objects.
    pub fn version(&self) -> Version {
        self.shared.current.load().version()
    }

    /// Returns the digest of the applied versions and withdrawals.
    pub fn digest(&self) -> Digest {
        self.shared.current.load().digest().clone()
    }

    /// Returns the applied version of an object.
    pub fn applied_version(&self, id: &ObjectId) -> Option<Version> {
        self.read(|catalogue| catalogue.applied_version(id))
    }

    /// Reads the catalogue under its lock; the request path uses
    /// [`Self::snapshot`] instead.
    pub fn read<R>(&self, reader: impl FnOnce(&Catalogue) -> R) -> R {
        reader(&self.shared.catalogue.lock())
    }

    /// Subscribes to changes; a notification means that a new snapshot is
    /// published.
    ///
    /// Unread notifications are coalesced into one. Dropping the receiver ends
    /// the subscription.
    pub fn subscribe(&self) -> Receiver<()> {
        self.shared.subscribers.lock().add()
    }

    /// Returns the counters of applied and refused configuration.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    fn publish(&self, catalogue: &Catalogue) {
        let next = Snapshot::build(catalogue);
        next.assert_follows(&self.shared.current.load());
        self.shared.current.store(Arc::new(next));
        self.shared.subscribers.lock().notify();
    }

    fn update_counters(&self, applied: &ApplyReport) {
        let counters = &self.shared.counters;
        add(&counters.applied, applied.changed.len());
        add(&counters.stale, applied.stale);
        add(&counters.refused, applied.refused.len());
        add(&counters.withdrawn, applied.withdrawn.len());
    }
}

fn add(counter: &AtomicU64, count: usize) {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    counter.fetch_add(count, Ordering::Relaxed);
}

fn log_applied(applied: &ApplyReport) {
    for refused in &applied.refused {
        log::warn!(
            "configuration object refused kind={} name={} version={} reason=\"{}\"",
            refused.id.kind.as_str(),
            refused.id.name,
            refused.version,
            refused.detail
        );
    }
    for key in &applied.withdrawn {
        log::info!("key withdrawn customer={} key={}", key.customer, key.key);
    }
}
