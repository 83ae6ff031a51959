//! Settings of a host that runs on the users' platform.
//!
//! The platform adapter fills in the values of the platform's settings file;
//! all others keep the defaults given here.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::Result;
use super::balance::BalanceConfig;
use super::door::DoorConfig;
use super::require;
use super::turns::TurnsConfig;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::protection::homes::Regions;

/// Identity of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostPlace {
    /// Name of the host, unique over all data centres.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Whether this is the first start of the whole deployment.
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

/// Losses that the deployment bears at the same time without losing anything
/// that it has acknowledged; set by the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FaultTolerance {
    /// Hosts with a disk.
    pub hosts: usize,
    /// Data centres.
    pub data_centres: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self {
            hosts: 1,
            data_centres: 0,
        }
    }
}

/// Settings of the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Address of the store.
    pub address: SocketAddr,
    /// Writes a second allowed to all hosts together; set by the platform.
    pub writes_per_s: f64,
    /// Largest value, in bytes; set by the platform.
    pub max_value_bytes: usize,
    /// Timeout of one call. The store usually answers within milliseconds, and
    /// within half a second when it is slow.
    pub timeout: Duration,
    /// Timeout of the first attempt of a write; later attempts have longer
    /// ones.
    pub write_timeout: Duration,
    /// How long a watch waits for a change; the platform allows 30 seconds.
    pub watch_wait: Duration,
    /// How long a watch of the configuration or the endpoints waits. A watch on
    /// a connection that carries nothing any more is given up after that.
    pub confirm_period: Duration,
    /// Pause before a call is repeated.
    pub retry_interval: Duration,
    /// Timeout for determining the outcome of a write.
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
            confirm_period: Duration::from_secs(1),
            retry_interval: Duration::from_millis(50),
            settle_timeout: Duration::from_secs(2),
        }
    }
}

/// Settings of a host that serves callers.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Identity of the host.
    pub place: HostPlace,
    /// Regions of the data centres; set by the platform.
    pub regions: Regions,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the load balancer's readiness checks and of the metrics.
    pub ready: SocketAddr,
    /// Address that other hosts connect to.
    pub peers: SocketAddr,
    /// Hosts to contact at start; some of them may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Connection to the platform's store.
    pub store: StoreConfig,
    /// Memory of the process, in bytes; set by the platform.
    pub memory_bytes: u64,
    /// Time between the signal to terminate and the kill; set by the platform.
    pub grace: Duration,
    /// How long endpoints that are missing from the list after an outage are
    /// kept; running ones are listed again about two seconds after its end.
    pub lapse_grace: Duration,
    /// Time after which all hosts have learnt of a new host. It uses its share of
    /// the rates only then, so that the others have reduced theirs.
    pub join_notice: Duration,
    /// Time without contact after which a host is considered permanently
    /// removed. Network partitions and restarts last a few seconds.
    pub host_gone_after: Duration,
    /// Pause between two exchanges of state with another host.
    pub exchange_period: Duration,
    /// Exchange period of a host that gets changes from other hosts instead of
    /// the store.
    pub follow_period: Duration,
    /// Number of hosts of a data centre that watch the store; the others get
    /// changes from them.
    pub scouts: usize,
    /// At the first start of the whole deployment, the time until a host lists
    /// objects in the store. All hosts start together and have registered by
    /// then.
    pub first_list_delay: Duration,
    /// Time after its start up to which a host waits for a scout's report before
    /// it watches the store itself.
    pub scout_wait: Duration,
    /// Exchange period while the store is unreachable.
    pub urgent_exchange_period: Duration,
    /// Timeout of a call to another host that a request waits for.
    pub borrow_timeout: Duration,
    /// Time without TCP acknowledgements after which a connection is closed.
    pub silence_limit: Duration,
    /// Timeout of a budget grant from the store that a request waits for.
    pub grant_timeout: Duration,
    /// Time without contact to other data centres after which a host considers
    /// its data centre isolated, if it cannot reach the store either.
    pub isolation_after: Duration,
    /// Timeout for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// How long a draining host still accepts connections. The load balancer
    /// removes a host after two failed checks, which are one second apart.
    pub drain_notice: Duration,
    /// Time before the kill at which a draining process exits.
    pub drain_margin: Duration,
    /// Time before the caller's deadline at which the caller gets an answer.
    pub answer_margin: Duration,
    /// Limit of log lines a second; lines above it are dropped and counted.
    pub log_lines_per_s: u32,
    /// Losses that kept turns outlast; set by the platform.
    pub fault_tolerance: FaultTolerance,
    /// Time within which the endpoints of an evacuated data centre get no more
    /// calls; `None` if operators evacuate none. Set by the platform.
    pub evacuation: Option<Duration>,
    /// Multiple of the requests a second of a cold endpoint above which it may end;
    /// set by the platform.
    pub cold_overshoot: f64,
    /// Requests in one second beyond that multiple that it bears; set by the
    /// platform.
    pub cold_slack: f64,
    /// Maximum number of open descriptors; set by the platform.
    pub max_descriptors: usize,
    /// Kept turns.
    pub turns: TurnsConfig,
    /// Balance of uneven load over engines; `None` if the deployment has no use
    /// for it. Set by the platform.
    pub balance: Option<BalanceConfig>,
    /// Limits on the connections of clients.
    pub door: DoorConfig,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            place: HostPlace::default(),
            regions: Regions::default(),
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
            first_list_delay: Duration::from_secs(1),
            scout_wait: Duration::from_millis(2500),
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
            fault_tolerance: FaultTolerance::default(),
            evacuation: None,
            cold_overshoot: 1.0,
            cold_slack: 0.0,
            max_descriptors: 4096,
            turns: TurnsConfig::default(),
            balance: None,
            door: DoorConfig::default(),
        }
    }
}

impl GatewayConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let fits_drain = self.drain_notice + self.drain_margin < self.grace;
        require(
            "grace",
            fits_drain,
            || "longer than drain_notice and drain_margin together",
        )?;
        require(
            "memory_bytes",
            self.memory_bytes >= MIN_MEMORY_BYTES,
            || "at least 32 MB",
        )?;
        self.balance.as_ref().map_or(Ok(()), BalanceConfig::check)?;
        self.door.check()?;
        require(
            "store.writes_per_s",
            self.store.writes_per_s > 0.0,
            || "more than 0",
        )?;
        self.turns.check()
    }
}

/// Settings of a host that stores the archive.
#[derive(Clone, Debug, PartialEq)]
pub struct ArchiveConfig {
    /// Identity of the host.
    pub place: HostPlace,
    /// Regions of the data centres; set by the platform.
    pub regions: Regions,
    /// Connection to the platform's store.
    pub store: StoreConfig,
    /// Folder of the audit trail and of the turn log.
    pub folder: PathBuf,
    /// Address at which the host takes and returns kept turns; `None` if it keeps
    /// none.
    pub address: Option<SocketAddr>,
    /// Losses that kept turns outlast; set by the platform.
    pub fault_tolerance: FaultTolerance,
    /// Time from a loss within which the lost copies of turns are on other hosts;
    /// set by the platform.
    pub catch_up: Duration,
    /// Memory of the process, in bytes; set by the platform.
    pub memory_bytes: u64,
    /// Size of the disk, in bytes; set by the platform.
    pub disk_bytes: u64,
    /// Fraction of the disk that the audit trail may use, from 0 to 1.
    pub disk_share: f64,
    /// Fraction of the disk above which no turn is stored, from 0 to 1. What
    /// remains beside the audit trail takes the writes that are in progress.
    pub turns_share: f64,
    /// How long the record of a budget is kept after its last grant. It exceeds
    /// by far the time within which a program may resume.
    pub budget_retention: Duration,
    /// Pause between two sweeps that remove old records.
    pub sweep_period: Duration,
    /// Fraction of the store's write rate that sweeps may use, so that they do
    /// not delay grants.
    pub sweep_share: f64,
    /// Maximum number of open descriptors; set by the platform.
    pub max_descriptors: usize,
    /// Limits on the connections of clients.
    pub door: DoorConfig,
}

impl Default for ArchiveConfig {
    fn default() -> Self {
        Self {
            place: HostPlace::default(),
            regions: Regions::default(),
            store: StoreConfig::default(),
            folder: PathBuf::from("archive"),
            address: None,
            fault_tolerance: FaultTolerance::default(),
            catch_up: Duration::from_secs(30),
            memory_bytes: 128 << 20,
            disk_bytes: 64 << 20,
            disk_share: 0.1,
            turns_share: 0.8,
            budget_retention: Duration::from_secs(600),
            sweep_period: Duration::from_secs(300),
            sweep_share: 0.02,
            max_descriptors: 4096,
            door: DoorConfig::default(),
        }
    }
}

impl ArchiveConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        self.door.check()?;
        require("catch_up", self.catch_up > Duration::ZERO, || "more than 0")?;
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        require("disk_share", is_share(self.disk_share), || "from 0 to 1")?;
        require("turns_share", is_share(self.turns_share), || "from 0 to 1")?;
        require(
            "turns_share",
            self.disk_share + self.turns_share < 1.0,
            || "less than 1 together with disk_share",
        )?;
        require(
            "sweep_share",
            self.sweep_share > 0.0 && self.sweep_share <= 1.0,
            || "above 0 and at most 1",
        )
    }

    /// Size of the audit trail, in bytes.
    pub fn trail_bytes(&self) -> u64 {
        share_of(self.disk_bytes, self.disk_share)
    }

    /// Size of the turn log above which no turn is stored, in bytes.
    pub fn turns_bytes(&self) -> u64 {
        share_of(self.disk_bytes, self.turns_share)
    }
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

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

const MIN_MEMORY_BYTES: u64 = 32 << 20;
