//! What the parts of a host share.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use parking_lot::Mutex;
use parking_lot::RwLock;

use super::accounts::Accounts;
use super::contact::RemoteContact;
use super::contact::ScoutReports;
use super::contact::StoreContact;
use super::directory::Directory;
use super::directory::Endpoint;
use super::isolation::IsolatedGrants;
use super::isolation::SpentPrograms;
use super::metrics::GatewayMetrics;
use super::placing::Pool;
use super::rate::Rates;
use super::roster::Peer;
use super::roster::Roster;
use super::routes::Configuration;
use crate::configs::gateway::GatewayConfig;
use crate::connection::peer::HttpPeers;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::ids::Version;
use crate::process::events::EventLog;
use crate::units::Moment;

/// The configuration in force with the text that other hosts are told.
#[derive(Debug, Default)]
pub struct InForce {
    /// The routing table.
    pub table: Configuration,
    /// The operators' text.
    pub text: Arc<str>,
}

/// Endpoints by service, each service under its own lock.
#[derive(Debug, Default)]
pub struct Pools(RwLock<HashMap<Arc<str>, Arc<Mutex<Pool>>>>);

impl Pools {
    /// The pool of a service, if any endpoint of it is known.
    pub fn get(&self, service: &str) -> Option<Arc<Mutex<Pool>>> {
        self.0.read().get(service).cloned()
    }

    /// Takes up the listed endpoints.
    pub fn replace(&self, endpoints: &[Arc<Endpoint>]) {
        let now = Moment::now();
        let mut pools = self.0.write();
        let listed: HashSet<&Arc<str>> = endpoints.iter().map(|e| &e.service).collect();
        for service in listed {
            pools.entry(Arc::clone(service)).or_default();
        }
        for (service, pool) in pools.iter() {
            let own = endpoints.iter().filter(|e| e.service == *service);
            pool.lock().replace(own.cloned(), now);
        }
    }
}

/// The listed endpoints with the store's version of the list.
#[derive(Debug, Default)]
pub struct Listed {
    /// The endpoints.
    pub directory: Directory,
    /// Version of the store up to which changes are known; `None` before any.
    pub upto: Option<Version>,
}

/// What this host holds for callers.
#[derive(Debug, Default)]
pub struct Held {
    /// Bytes of callers' bodies in memory.
    pub body_bytes: AtomicUsize,
}

/// Shared parts of one host.
#[derive(Debug)]
pub struct Gateway<P> {
    /// Settings.
    pub cfg: GatewayConfig,
    /// Executor.
    pub spawner: Spawner,
    /// The platform's store.
    pub store: P,
    /// Whether the store answers.
    pub contact: StoreContact,
    /// Signs of life from other data centres.
    pub outside: RemoteContact,
    /// Word from hosts that follow the store.
    pub scouting: ScoutReports,
    /// Connections to endpoints.
    pub client: Client,
    /// Calls to other hosts.
    pub peers: HttpPeers,
    /// Configuration in force.
    pub in_force: ArcSwap<InForce>,
    /// Listed endpoints.
    pub listed: Mutex<Listed>,
    /// Endpoints by service.
    pub pools: Pools,
    /// Hosts.
    pub roster: Mutex<Roster>,
    /// Rates of customers.
    pub rates: Rates,
    /// Budgets of programs.
    pub accounts: Accounts,
    /// What this host gave out while its data centre was cut off.
    pub isolated: IsolatedGrants,
    /// Programs whose budget is spent.
    pub spent: SpentPrograms,
    /// What is held for callers.
    pub held: Held,
    /// Set once the process is to end.
    pub is_draining: AtomicBool,
    /// Structured log.
    pub log: EventLog,
    /// Counters.
    pub metrics: GatewayMetrics,
}

/// Handle to the shared parts.
pub type Cx<P> = Arc<Gateway<P>>;

impl<P: Platform> Gateway<P> {
    /// True once the process is to end.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// True if this host can serve callers.
    pub fn is_ready(&self) -> bool {
        let is_configured = !self.in_force.load().table.is_unknown();
        let has_endpoints = self.listed.lock().upto.is_some();
        !self.is_draining() && is_configured && has_endpoints
    }

    /// True if this host's data centre is cut off from all others and from
    /// the store, as far as this host can tell.
    pub fn is_isolated(&self) -> bool {
        let silent = self.outside.silent_for(Moment::now());
        !self.contact.is_up() && silent >= self.cfg.isolation_after
    }

    /// True if this host follows the store itself: it is among the scouts of
    /// its data centre, or none of them is known to be current.
    pub fn follows_store(&self) -> bool {
        let now = Moment::now();
        if !self.scouting.is_current(now) {
            return true;
        }
        let scouts = self.scouts(now);
        scouts.is_empty() || self.is_among(&scouts)
    }

    /// True if this host is among those that follow the store for its data
    /// centre.
    pub fn is_scout(&self) -> bool {
        self.is_among(&self.scouts(Moment::now()))
    }

    fn is_among(&self, peers: &[Peer]) -> bool {
        peers.iter().any(|peer| peer.host == self.cfg.place.host)
    }

    /// Hosts of this data centre that follow the store for the others.
    pub fn scouts(&self, now: Moment) -> Vec<Peer> {
        let roster = self.roster.lock();
        roster.scouts(&self.cfg.place.data_centre, self.cfg.scouts, now)
    }

    /// Notes a message from a host.
    pub fn heard(&self, host: &HostId) {
        let mut roster = self.roster.lock();
        roster.mark_responsive(host);
        if roster.is_remote(host, &self.cfg.place.data_centre) {
            self.outside.record_message(Moment::now());
        }
    }

    /// Puts the listed endpoints into the pools.
    pub fn refresh_pools(&self) {
        let endpoints: Vec<Arc<Endpoint>> = {
            let listed = self.listed.lock();
            listed.directory.endpoints().cloned().collect()
        };
        self.pools.replace(&endpoints);
    }
}
