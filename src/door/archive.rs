//! Limits of the port of an archive host.

use std::time::Duration;

use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::connections::ConnectionLimits;
use chicoryarch_net::connections::Connections;
use chicoryarch_net::connections::LimitCounts;
use chicoryarch_net::server::ServerConfig;
use serde::Serialize;

use super::limits;
use crate::configs::door::DoorConfig;
use crate::configs::gateway::ArchiveConfig;
use crate::process::events::EventLog;

/// Connections and memory of the port of an archive host.
#[derive(Debug)]
pub struct ArchiveDoor {
    cfg: DoorConfig,
    counts: LimitCounts,
    connections: Connections,
    /// Memory of the bodies of requests and answers.
    pub body_memory: BodyMemory,
}

impl ArchiveDoor {
    /// Creates the limits of a host whose bodies have `body_bytes` bytes, whose
    /// log has up to `log_files` files, and which keeps idle connections for
    /// `idle`.
    pub fn new(cfg: &ArchiveConfig, body_bytes: usize, log_files: usize, idle: Duration) -> Self {
        let limits =
            limits::derive_archive(cfg.memory_bytes, cfg.max_descriptors, log_files, &cfg.door);
        let counts = LimitCounts::default();
        let connections = Connections::new(
            ConnectionLimits {
                max_open: limits.connections,
                idle_memory: limits.idle_memory,
                active_memory: limits.active_memory,
                times: super::time_limits(&cfg.door, idle),
            },
            BodyMemory::new(limits.memory),
            counts.clone(),
        );
        let body_memory = BodyMemory::new(body_bytes);
        Self {
            cfg: cfg.door,
            body_memory: body_memory.relieved_by(connections.clone(), counts.clone()),
            connections,
            counts,
        }
    }

    /// Returns the settings of the port's server.
    pub fn server_config(&self, base: &ServerConfig) -> ServerConfig {
        super::server_config(&self.cfg, &self.connections, base)
    }

    /// Logs the limits that are reached, with at most one line for each in an
    /// interval.
    pub async fn report(self, log: EventLog) {
        let write = |limit, times| {
            let line = ArchiveLimitLine {
                limit,
                times,
                peers: self.connections.open(),
                body_bytes: self.body_memory.reserved(),
            };
            log.state("client-limit", &line);
        };
        super::report_limits(&self.counts, write).await;
    }
}

#[derive(Serialize)]
struct ArchiveLimitLine {
    limit: &'static str,
    /// Times that it was reached since the last line about it.
    times: u64,
    /// Open connections.
    peers: usize,
    body_bytes: usize,
}
