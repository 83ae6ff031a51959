//! The settings file of a host: its identity and a table for each part.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

use super::caller::CallerConfig;
use super::check_range;
use super::distribution::DistributionConfig;
use super::door::DoorConfig;
use super::drain::DrainConfig;
use super::endpoints::EndpointsConfig;
use super::history::HistoryConfig;
use super::journal::JournalConfig;
use super::limit::LimitConfig;
use super::membership::MembershipConfig;
use super::operator::OperatorConfig;
use super::peer::PeerConfig;
use super::place::PlaceConfig;
use super::platform::PlatformConfig;
use super::queue::QueueConfig;
use super::resources::ResourcesConfig;
use super::retry::RetryConfig;
use crate::ids::DataCentre;
use crate::ids::HostId;

/// Settings of a host; the tables of the file are its fields.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostConfig {
    /// Name of the host, unique over all data centres.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// All data centres of the deployment; the same on every host. Empty for a
    /// deployment with one data centre.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<DataCentre>,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Folder for local files; `None` on hosts without a disk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_folder: Option<PathBuf>,
    /// Addresses that the host listens on.
    pub listen: ListenConfig,
    /// Files that hold secrets.
    pub secrets: SecretsConfig,
    /// Settings of log lines.
    #[serde(default)]
    pub log: LogConfig,
    /// Settings of the port that serves callers.
    #[serde(default)]
    pub caller: CallerConfig,
    /// Distribution of configuration.
    #[serde(default)]
    pub distribution: DistributionConfig,
    /// Limits on the connections of clients.
    #[serde(default)]
    pub door: DoorConfig,
    /// Graceful shutdown.
    #[serde(default)]
    pub drain: DrainConfig,
    /// Draining endpoint hosts and engine memory.
    #[serde(default)]
    pub endpoints: EndpointsConfig,
    /// Held conversations, whose history the owner stores.
    #[serde(default)]
    pub history: HistoryConfig,
    /// Journals of partitions.
    #[serde(default)]
    pub journal: JournalConfig,
    /// Rate and burst limits of customers.
    #[serde(default)]
    pub limit: LimitConfig,
    /// Heartbeats, leases and partitions.
    #[serde(default)]
    pub membership: MembershipConfig,
    /// Operators' queries and commands.
    #[serde(default)]
    pub operator: OperatorConfig,
    /// Settings of calls between hosts.
    #[serde(default)]
    pub peer: PeerConfig,
    /// Placement of calls on endpoints.
    #[serde(default)]
    pub place: PlaceConfig,
    /// Connection to the platform.
    #[serde(default)]
    pub platform: PlatformConfig,
    /// Queue of calls that wait for an endpoint.
    #[serde(default)]
    pub queue: QueueConfig,
    /// Resources of the process.
    #[serde(default)]
    pub resources: ResourcesConfig,
    /// Retries of calls.
    #[serde(default)]
    pub retry: RetryConfig,
}

/// Worker threads of a host unless its settings give a number.
pub const DEFAULT_THREADS: usize = 4;

const fn default_threads() -> usize {
    DEFAULT_THREADS
}

/// Addresses that a host listens on; port 0 lets the kernel choose.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenConfig {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub peers: SocketAddr,
    /// Address for operators and metrics.
    pub operators: SocketAddr,
}

/// Files that hold secrets, readable by their owner only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SecretsConfig {
    /// Secrets shared by the hosts, one a line; the first is sent, all are
    /// accepted.
    pub peers: PathBuf,
    /// Operators and the hashes of their secrets, one `name:sha256` a line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<PathBuf>,
}

/// Lowest severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only failures that require an operator.
    Error,
    /// Also refused changes and lost peers.
    Warn,
    /// Also every change of state.
    #[default]
    Info,
    /// Also details for finding a fault.
    Debug,
}

/// Settings of log lines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Lowest severity of the lines that are written.
    pub level: LogLevel,
}

const MAX_THREADS: usize = 256;

impl HostConfig {
    /// Returns all data centres of the deployment, sorted, including the one of
    /// this host.
    pub fn all_data_centres(&self) -> Vec<DataCentre> {
        let mut all = self.data_centres.clone();
        all.push(self.data_centre.clone());
        all.sort();
        all.dedup();
        all
    }

    /// Checks that the settings of every part are within their ranges.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range, with its table.
    pub fn check(&self) -> std::result::Result<(), SettingError> {
        let own = check_range("threads", self.threads, 1, MAX_THREADS);
        own.map_err(|e| SettingError::new("", e.field, &e))?;
        let caller = self.caller.check();
        caller.map_err(|e| SettingError::new("caller", e.field, &e))?;
        let distribution = self.distribution.check();
        distribution.map_err(|e| SettingError::new("distribution", e.field, &e))?;
        let door = self.door.check();
        door.map_err(|e| SettingError::new("door", e.field, &e))?;
        let drain = self.drain.check();
        drain.map_err(|e| SettingError::new("drain", e.field, &e))?;
        let endpoints = self.endpoints.check();
        endpoints.map_err(|e| SettingError::new("endpoints", e.field, &e))?;
        let history = self.history.check();
        history.map_err(|e| SettingError::new("history", e.field, &e))?;
        let journal = self.journal.check();
        journal.map_err(|e| SettingError::new("journal", e.field, &e))?;
        let limit = self.limit.check();
        limit.map_err(|e| SettingError::new("limit", e.field, &e))?;
        let membership = self.membership.check();
        membership.map_err(|e| SettingError::new("membership", e.field, &e))?;
        let operator = self.operator.check();
        operator.map_err(|e| SettingError::new("operator", e.field, &e))?;
        let peer = self.peer.check();
        peer.map_err(|e| SettingError::new("peer", e.field, &e))?;
        let place = self.place.check();
        place.map_err(|e| SettingError::new("place", e.field, &e))?;
        let platform = self.platform.check();
        platform.map_err(|e| SettingError::new("platform", e.field, &e))?;
        let queue = self.queue.check();
        queue.map_err(|e| SettingError::new("queue", e.field, &e))?;
        let resources = self.resources.check();
        resources.map_err(|e| SettingError::new("resources", e.field, &e))?;
        let retry = self.retry.check();
        retry.map_err(|e| SettingError::new("retry", e.field, &e))
    }
}

/// A setting that is out of range, with its table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingError {
    /// Name of the table; empty for a top-level setting.
    pub table: &'static str,
    /// Name of the setting.
    pub field: &'static str,
    /// Error message with the allowed range.
    pub message: String,
}

impl SettingError {
    fn new(table: &'static str, field: &'static str, e: &impl std::fmt::Display) -> Self {
        Self {
            table,
            field,
            message: e.to_string(),
        }
    }
}
