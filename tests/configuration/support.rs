//! Values for the tests, and hosts that run in one process.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::configs::distribution::DistributionConfig;
use chicoryarch::connection::peer::PeerError;
use chicoryarch::connection::peer::Peers;
use chicoryarch::connection::peer::Result;
use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::Version;
use chicoryarch::process::distribution::Distribution;
use chicoryarch::process::distribution::HostAddress;
use chicoryarch::process::distribution::hosts::FixedHosts;
use chicoryarch::process::distribution::proposal::Base;
use chicoryarch::process::distribution::proposal::Proposal;
use chicoryarch::process::distribution::rpc;
use chicoryarch::version::catalogue::Configuration;
use chicoryarch::version::catalogue::Item;
use chicoryarch::version::catalogue::ObjectId;
use chicoryarch::version::catalogue::secret_hash;
use chicoryarch::version::objects::Customer;
use chicoryarch::version::objects::Key;
use chicoryarch::version::objects::KeyRef;
use chicoryarch::version::objects::KeySet;
use chicoryarch::version::objects::Kind;
use chicoryarch::version::objects::Stamp;
use chicoryarch_net::Spawner;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::Response;
use jsonrpsee_types::ResponsePayload;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use serde_json::value::RawValue;

/// Time limit against hangs; no assertion depends on its value.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) type Host = Distribution<MemoryPlatform, LocalPeers, FixedHosts>;

pub(crate) fn stamp(command: &str) -> Stamp {
    Stamp {
        actor: "ana".to_owned(),
        at_ms: 1,
        command: command.to_owned(),
    }
}

pub(crate) fn key(customer: &str, name: &str) -> KeyRef {
    KeyRef {
        customer: customer.parse().unwrap(),
        key: name.parse().unwrap(),
    }
}

pub(crate) fn secret(customer: &str, name: &str) -> String {
    format!("chk_{customer}_{name}")
}

pub(crate) fn key_set(customer: &str, names: &[&str]) -> KeySet {
    let entry = |name: &&str| {
        let hash = secret_hash(secret(customer, name).as_bytes());
        let withdrawn = false;
        (name.parse().unwrap(), Key { hash, withdrawn })
    };
    KeySet {
        keys: names.iter().map(entry).collect(),
    }
}

pub(crate) fn customer_id(name: &str) -> ObjectId {
    ObjectId::new(Kind::Customer, name)
}

pub(crate) fn keys_id(name: &str) -> ObjectId {
    ObjectId::new(Kind::Keys, name)
}

pub(crate) fn creation<T: Serialize>(id: ObjectId, value: T) -> Proposal {
    let stamp = stamp("create");
    Proposal::new(id, Base::absent(), Some(value), &stamp, Nonce::random())
}

pub(crate) fn item<T: Serialize>(id: ObjectId, version: u64, value: T) -> Item {
    let stamp = stamp("create");
    Proposal::new(id, Base::absent(), Some(value), &stamp, Nonce(version)).item(Version(version))
}

pub(crate) fn customer(rate: f64) -> Customer {
    Customer {
        rate,
        ..Customer::default()
    }
}

/// Calls between hosts without sockets; calls to a disconnected host fail.
#[derive(Clone, Default)]
pub(crate) struct LocalPeers {
    modules: Arc<Mutex<HashMap<SocketAddr, RpcModule<()>>>>,
    disconnected: Arc<Mutex<HashSet<SocketAddr>>>,
}

impl LocalPeers {
    pub(crate) fn disconnect(&self, host: &HostAddress) {
        self.disconnected.lock().insert(host.address);
    }

    pub(crate) fn reconnect(&self, host: &HostAddress) {
        self.disconnected.lock().remove(&host.address);
    }

    pub(crate) fn serve(&self, at: &HostAddress, host: &Host) {
        let mut module = RpcModule::new(());
        rpc::register(&mut module, host).unwrap();
        self.serve_module(at, module);
    }

    pub(crate) fn serve_module(&self, at: &HostAddress, module: RpcModule<()>) {
        self.modules.lock().insert(at.address, module);
    }
}

impl Peers for LocalPeers {
    async fn call<P, R>(&self, to: SocketAddr, method: &'static str, params: &P) -> Result<R>
    where
        P: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        let unreachable = || PeerError::Unreachable("disconnected".to_owned());
        if self.disconnected.lock().contains(&to) {
            return Err(unreachable());
        }
        let module = self.modules.lock().get(&to).cloned();
        let module = module.ok_or_else(unreachable)?;
        let req = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": [params]});
        let (raw, _) = module.raw_json_request(&req.to_string(), 1).await.unwrap();
        let response: Response<'_, Box<RawValue>> = serde_json::from_str(raw.get()).unwrap();
        match response.payload {
            ResponsePayload::Success(value) => Ok(serde_json::from_str(value.get()).unwrap()),
            ResponsePayload::Error(e) => Err(PeerError::Refused(e.into_owned())),
        }
    }
}

/// Hosts that share an in-memory platform.
pub(crate) struct Fleet {
    pub(crate) platform: MemoryPlatform,
    pub(crate) peers: LocalPeers,
    pub(crate) addresses: Vec<HostAddress>,
    pub(crate) hosts: Vec<Host>,
}

impl Fleet {
    /// Starts hosts without their background tasks.
    pub(crate) fn start(count: u16) -> Self {
        let addresses: Vec<HostAddress> = (0..count).map(address).collect();
        let mut fleet = Self {
            platform: MemoryPlatform::default(),
            peers: LocalPeers::default(),
            addresses: addresses.clone(),
            hosts: Vec::new(),
        };
        for index in 0..addresses.len() {
            let host = fleet.start_host(index, DistributionConfig::default());
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Starts a host with an empty configuration at the address of the given
    /// index, and serves it instead of the previous one.
    pub(crate) fn start_host(&self, index: usize, cfg: DistributionConfig) -> Host {
        let own = self.addresses[index].clone();
        let others = self.addresses.iter().filter(|a| **a != own).cloned();
        let host = Distribution::new(
            cfg,
            Configuration::default(),
            self.platform.clone(),
            self.peers.clone(),
            FixedHosts::new(own.clone(), others.collect()),
            Spawner::start(1),
        )
        .unwrap();
        self.peers.serve(&own, &host);
        host
    }
}

fn address(index: u16) -> HostAddress {
    HostAddress {
        id: format!("h{index}").parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + index)),
    }
}
