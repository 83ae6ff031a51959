//! Cluster of hosts in one process with an in-memory platform and loopback peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use chicoryarch::configs::membership::MembershipConfig;
use chicoryarch::connection::peer::PeerError;
use chicoryarch::connection::peer::Peers;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::DataCentre;
use chicoryarch::process::membership;
use chicoryarch::process::membership::Membership;
use chicoryarch::process::timers::Timers;
use chicoryarch::version::table::Identity;
use chicoryarch::version::table::PartitionEvent;
use chicoryarch_net::Spawner;
use jsonrpsee_core::server::RpcModule;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

const WORKERS: usize = 4;
const POLL: Duration = Duration::from_millis(5);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const REPLY_BUFFER: usize = 1;

type Modules = BTreeMap<SocketAddr, RpcModule<Membership>>;

/// Peer transport that calls the RPC modules of other hosts directly.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loopback(Arc<Mutex<Modules>>);

impl Loopback {
    async fn exchange(&self, to: SocketAddr, request: String) -> Result<String, PeerError> {
        let unreachable = || PeerError::Unreachable("no such host".to_owned());
        let module = self.0.lock().get(&to).cloned();
        let module = module.ok_or_else(unreachable)?;
        let reply = module.raw_json_request(&request, REPLY_BUFFER).await;
        let reply = reply.map_err(|e| PeerError::Malformed(e.to_string()))?.0;
        Ok(reply.get().to_owned())
    }
}

impl Peers for Loopback {
    async fn call<P, R>(
        &self,
        to: SocketAddr,
        method: &'static str,
        params: &P,
    ) -> Result<R, PeerError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        let malformed = |e: serde_json::Error| PeerError::Malformed(e.to_string());
        let params = serde_json::to_string(params).map_err(malformed)?;
        let request =
            format!(r#"{{"jsonrpc":"2.0","id":1,"method":"{method}","params":[{params}]}}"#);
        let reply = self.exchange(to, request).await?;
        let mut reply: serde_json::Value = serde_json::from_str(&reply).map_err(malformed)?;
        let refused = || PeerError::Unreachable("refused".to_owned());
        let result = reply.get_mut("result").ok_or_else(refused)?;
        serde_json::from_value(result.take()).map_err(malformed)
    }
}

pub(crate) struct Cluster {
    pub(crate) platform: MemoryPlatform,
    pub(crate) peers: Loopback,
    cfg: MembershipConfig,
    spawner: Spawner,
    timers: Timers,
}

pub(crate) fn fast_config() -> MembershipConfig {
    MembershipConfig {
        heartbeat_period: Duration::from_millis(20),
        lease_ttl: Duration::from_millis(200),
        drift_margin: Duration::from_millis(20),
        adoption_timeout: Duration::from_millis(600),
        removal_timeout: Duration::from_millis(600),
        refresh_period: Duration::from_millis(60),
        partitions: 6,
        seeds: vec![address("east", 1)],
    }
}

/// Settings with leases longer than any test, so that only hand-over moves
/// partitions.
pub(crate) fn long_lease_config() -> MembershipConfig {
    MembershipConfig {
        lease_ttl: Duration::from_secs(300),
        drift_margin: Duration::from_secs(10),
        adoption_timeout: Duration::from_secs(1_000),
        removal_timeout: Duration::from_secs(1_000),
        ..fast_config()
    }
}

impl Cluster {
    pub(crate) fn new(cfg: MembershipConfig) -> Self {
        cfg.check().expect("settings are within bounds");
        let spawner = Spawner::start(WORKERS);
        Self {
            platform: MemoryPlatform::default(),
            peers: Loopback::default(),
            timers: Timers::start(&spawner),
            spawner,
            cfg,
        }
    }

    /// Starts or restarts a host and confirms its partition events.
    pub(crate) fn start(&self, data_centre: &str, number: u16) -> Membership {
        let identity = Identity {
            host: format!("{data_centre}-{number}")
                .parse()
                .expect("a valid name"),
            data_centre: data_centre.parse().expect("a valid name"),
            peer: address(data_centre, number),
            caller: address(data_centre, number),
        };
        let (membership, events) = membership::start(
            identity,
            &self.cfg,
            self.platform.clone(),
            self.peers.clone(),
            self.timers.clone(),
            &self.spawner,
        );
        let module = membership::rpc_module(membership.clone());
        let peer = address(data_centre, number);
        self.peers.0.lock().insert(peer, module);
        self.spawner
            .detach(confirm_events(membership.clone(), events));
        membership
    }

    /// Stops a host without a drain and makes it unreachable.
    pub(crate) fn kill(&self, membership: &Membership, data_centre: &str, number: u16) {
        membership.stop();
        let peer = address(data_centre, number);
        self.peers.0.lock().remove(&peer);
    }
}

fn address(data_centre: &str, number: u16) -> SocketAddr {
    let last = data_centre.as_bytes()[0];
    SocketAddr::from(([127, 0, 0, last], number))
}

async fn confirm_events(membership: Membership, events: Receiver<PartitionEvent>) {
    while let Ok(event) = events.recv().await {
        match event {
            PartitionEvent::Gained {
                data_centre,
                partition,
                epoch,
            } => membership.mark_active(&data_centre, partition, epoch),
            PartitionEvent::Lost {
                data_centre,
                partition,
                epoch,
                ..
            } => membership.mark_released(&data_centre, partition, epoch),
        }
    }
}

/// Polls until a condition holds and panics after [`WAIT_TIMEOUT`], which guards
/// against a hang.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let polls = WAIT_TIMEOUT.as_millis() / POLL.as_millis();
    for _ in 0..polls {
        if condition() {
            return;
        }
        thread::sleep(POLL);
    }
    panic!("timed out waiting until {what}");
}

pub(crate) fn parse_data_centre(data_centre: &str) -> DataCentre {
    data_centre.parse().expect("a valid name")
}
