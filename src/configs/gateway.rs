//! Settings of a host on the users' platform.
//!
//! The adapter fills in what the platform's settings file says; everything
//! else has its default here.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::Result;
use super::require;
use crate::ids::DataCentre;
use crate::ids::HostId;

/// Which host this is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostPlace {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// True at the first start of the whole system.
    pub first_start: bool,
}

impl Default for HostPlace {
    fn default() -> Self {
        Self {
            host: "host".parse().expect("a constant name is valid"),
            data_centre: "local".parse().expect("a constant name is valid"),
            first_start: false,
        }
    }
}

/// Settings of the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Where it listens.
    pub address: SocketAddr,
    /// Writes a second that all hosts together may make; from the platform.
    pub writes_per_s: f64,
    /// Largest value, in bytes; from the platform.
    pub max_value_bytes: usize,
    /// Longest time for one call. An answer takes milliseconds, and a slow
    /// store still answers within half a second.
    pub timeout: Duration,
    /// Longest time for the first attempt of a write; later ones take longer.
    pub write_timeout: Duration,
    /// Longest time that a watch waits for a change; the platform allows thirty
    /// seconds.
    pub watch_wait: Duration,
    /// Pause before a call is repeated.
    pub retry_interval: Duration,
    /// Longest time to learn the outcome of a write.
    pub settle_timeout: Duration,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            address: loopback(),
            writes_per_s: 100.0,
            max_value_bytes: 1 << 20,
            timeout: Duration::from_millis(500),
            write_timeout: Duration::from_millis(150),
            watch_wait: Duration::from_secs(25),
            retry_interval: Duration::from_millis(50),
            settle_timeout: Duration::from_secs(2),
        }
    }
}

/// Settings of a host that serves callers.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Which host this is.
    pub place: HostPlace,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness, and metrics are served.
    pub ready: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Hosts to ask first, some of which may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreConfig,
    /// Memory of the process; from the platform.
    pub memory_bytes: u64,
    /// Time between the request to end and the kill; from the platform.
    pub grace: Duration,
    /// Time for which endpoints that are missing after an outage are kept;
    /// living ones are listed again about two seconds after it.
    pub lapse_grace: Duration,
    /// Time in which every host learns of a new one.
    pub join_notice: Duration,
    /// Silence after which a host is taken for gone for good. Cuts and
    /// restarts last a few seconds.
    pub host_gone_after: Duration,
    /// Pause between two exchanges with another host.
    pub exchange_period: Duration,
    /// The same at a host that follows others rather than the store.
    pub follow_period: Duration,
    /// Hosts of a data centre that follow the store; the others follow them.
    pub scouts: usize,
    /// The same while the store is out of reach.
    pub urgent_exchange_period: Duration,
    /// Longest time for a call to another host on the way of a request.
    pub borrow_timeout: Duration,
    /// Time after which a connection without acknowledgements is given up.
    pub silence_limit: Duration,
    /// Longest time for a grant from the store on the way of a request.
    pub grant_timeout: Duration,
    /// Time without a word from another data centre after which a host that
    /// the store does not answer either counts as cut off with its own.
    pub isolation_after: Duration,
    /// Longest time to connect to an endpoint.
    pub connect_timeout: Duration,
    /// Time for which a leaving host still takes connections, until the
    /// balancer has missed two answers a second apart.
    pub drain_notice: Duration,
    /// Time before the kill at which a leaving process ends by itself.
    pub drain_margin: Duration,
    /// Time before the caller's own limit at which it is answered.
    pub answer_margin: Duration,
    /// Log lines a second; more are dropped and counted.
    pub log_lines_per_s: u32,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            place: HostPlace::default(),
            callers: loopback(),
            ready: loopback(),
            peers: loopback(),
            seeds: Vec::new(),
            store: StoreConfig::default(),
            memory_bytes: 128 << 20,
            grace: Duration::from_secs(8),
            lapse_grace: Duration::from_secs(2),
            join_notice: Duration::from_secs(3),
            host_gone_after: Duration::from_secs(20),
            exchange_period: Duration::from_millis(500),
            follow_period: Duration::from_millis(300),
            scouts: 3,
            urgent_exchange_period: Duration::from_millis(150),
            borrow_timeout: Duration::from_millis(60),
            silence_limit: Duration::from_secs(2),
            grant_timeout: Duration::from_millis(400),
            isolation_after: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(250),
            drain_notice: Duration::from_millis(2500),
            drain_margin: Duration::from_millis(500),
            answer_margin: Duration::from_millis(15),
            log_lines_per_s: 600,
        }
    }
}

impl GatewayConfig {
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
    pub fn check(&self) -> Result<()> {
        let drains = self.drain_notice + self.drain_margin < self.grace;
        require(
            "grace",
            drains,
            || "longer than the drain's notice and margin",
        )?;
        require(
            "memory_bytes",
            self.memory_bytes >= MIN_MEMORY_BYTES,
            || "at least 32 MB",
        )?;
        require(
            "store.writes_per_s",
            self.store.writes_per_s > 0.0,
            || "more than 0",
        )
    }
}

/// Settings of a host that keeps the archive.
#[derive(Clone, Debug, PartialEq)]
pub struct ArchiveConfig {
    /// Which host this is.
    pub place: HostPlace,
    /// The platform's store.
    pub store: StoreConfig,
    /// Folder of the audit trail.
    pub folder: PathBuf,
    /// Size of the disk; from the platform.
    pub disk_bytes: u64,
    /// Part of the disk that the audit trail may take.
    pub disk_share: f64,
    /// Time for which a budget's record is kept after its last grant, well
    /// beyond the time in which a program may come back.
    pub budget_retention: Duration,
    /// Pause between two removals of old records.
    pub sweep_period: Duration,
    /// Part of the store's rate of writes that the removals may take, so that
    /// they do not delay grants.
    pub sweep_share: f64,
}

impl Default for ArchiveConfig {
    fn default() -> Self {
        Self {
            place: HostPlace::default(),
            store: StoreConfig::default(),
            folder: PathBuf::from("archive"),
            disk_bytes: 64 << 20,
            disk_share: 0.5,
            budget_retention: Duration::from_secs(600),
            sweep_period: Duration::from_secs(300),
            sweep_share: 0.02,
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

const MIN_MEMORY_BYTES: u64 = 32 << 20;
