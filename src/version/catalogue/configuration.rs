//! The handle through which all parts of a host read the configuration.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use parking_lot::Mutex;

use super::Applied;
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

/// Subscriptions below which closed ones are not looked for.
const MIN_PRUNE: usize = 64;

/// Counts of what was applied.
#[derive(Debug, Default)]
pub struct Counters {
    /// Objects raised to a higher version.
    pub applied: AtomicU64,
    /// Items whose version was not higher than the applied one.
    pub stale: AtomicU64,
    /// Versions of objects refused as malformed.
    pub refused: AtomicU64,
    /// Keys withdrawn.
    pub withdrawn: AtomicU64,
}

#[derive(Debug, Default)]
struct Subscribers {
    senders: Vec<Sender<()>>,
    prune_at: usize,
}

impl Subscribers {
    fn add(&mut self) -> Receiver<()> {
        if self.senders.len() >= self.prune_at.max(MIN_PRUNE) {
            self.senders.retain(|tx| !tx.is_closed());
            self.prune_at = self.senders.len() * 2;
        }
        let (tx, rx) = async_channel::bounded(1);
        self.senders.push(tx);
        rx
    }

    fn notify(&mut self) {
        for tx in &self.senders {
            // A full channel means that a notice is waiting to be taken.
            let _waiting = tx.try_send(());
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
/// Reads take no lock. A bundle is applied as a whole, then published.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    shared: Arc<Shared>,
}

impl Configuration {
    /// Applies what is newer in a bundle and publishes the result.
    pub fn apply(&self, bundle: Bundle) -> Applied {
        let mut catalogue = self.shared.catalogue.lock();
        let applied = catalogue.apply(bundle);
        self.count(&applied);
        if applied.is_change() {
            self.publish(&catalogue);
        }
        drop(catalogue);
        report(&applied);
        applied
    }

    /// The present view, consistent in itself.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.current.load_full()
    }

    /// The valid key of a secret, if any.
    pub fn identify(&self, secret: &[u8]) -> Option<KeyRef> {
        self.shared.current.load().identify(secret)
    }

    /// True if the key is withdrawn.
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
                .expect("the configuration lives as long as its handles");
        }
    }

    /// One customer.
    pub fn customer(&self, id: &CustomerId) -> Option<Arc<Customer>> {
        self.shared.current.load().customer(id).cloned()
    }

    /// One service.
    pub fn service(&self, id: &ServiceId) -> Option<Arc<Service>> {
        self.shared.current.load().service(id).cloned()
    }

    /// One endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<Arc<Endpoint>> {
        self.shared.current.load().endpoint(id).cloned()
    }

    /// The endpoints of a service, by name.
    pub fn endpoints_of(&self, service: &ServiceId) -> Arc<[ConfiguredEndpoint]> {
        self.shared.current.load().endpoints_of(service)
    }

    /// True if operators retired the host.
    pub fn is_retired(&self, host: &HostId) -> bool {
        self.shared.current.load().is_retired(host)
    }

    /// Highest version applied of any object.
    pub fn version(&self) -> Version {
        self.shared.current.load().version()
    }

    /// Digest of the versions and withdrawals applied.
    pub fn digest(&self) -> Digest {
        self.shared.current.load().digest().clone()
    }

    /// Version applied of one object.
    pub fn applied_version(&self, id: &ObjectId) -> Option<Version> {
        self.read(|catalogue| catalogue.applied_version(id))
    }

    /// Reads the catalogue under its lock; not for the path of a call.
    pub fn read<R>(&self, reader: impl FnOnce(&Catalogue) -> R) -> R {
        reader(&self.shared.catalogue.lock())
    }

    /// Subscribes to changes: a notice tells to read the present view again.
    ///
    /// Notices do not pile up. Dropping the receiver ends the subscription.
    pub fn subscribe(&self) -> Receiver<()> {
        self.shared.subscribers.lock().add()
    }

    /// Counts of what was applied.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    fn publish(&self, catalogue: &Catalogue) {
        let next = Snapshot::build(catalogue);
        next.assert_follows(&self.shared.current.load());
        self.shared.current.store(Arc::new(next));
        self.shared.subscribers.lock().notify();
    }

    fn count(&self, applied: &Applied) {
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

fn report(applied: &Applied) {
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
