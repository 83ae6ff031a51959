//! Limits on clients that the operators do not control: open connections, the
//! memory of connections and bodies, and time without progress.
//!
//! The connections are in [`chicoryarch_net::connections`], the choice of the
//! one to close in [`chicoryarch_net::pressure`].

use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::connections::ConnectionLimits;
use chicoryarch_net::connections::Connections;
use chicoryarch_net::connections::Limit;
use chicoryarch_net::connections::LimitCounts;
use chicoryarch_net::pressure::TimeLimits;
use chicoryarch_net::server::ServerConfig;
use rustix::process::Resource;
use rustix::process::getrlimit;
use serde::Serialize;

use self::limits::DoorLimits;
use crate::configs::door::DoorConfig;
use crate::configs::gateway::GatewayConfig;
use crate::configs::host::HostConfig;
use crate::gateway::routes::CallerLimits;
use crate::process::events::EventLog;

pub mod archive;
pub mod limits;
pub mod metrics;

/// Interval of the log lines about limits that were reached.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Memory of a host with a settings file of its own that is not divided among
/// clients, in bytes. It held 24 MiB after its start (debug build), of which the
/// quarter that the division leaves is 9 MiB on the smallest host.
const HOST_BYTES: u64 = 12 << 20;

/// Bytes of a head beside its fields.
const FIRST_LINE_BYTES: usize = 16 << 10;

/// A port of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// Of callers.
    Callers,
    /// Of operators and metrics.
    Operators,
    /// Of other hosts.
    Peers,
    /// Of readiness checks and metrics.
    Ready,
}

/// Connections and memory of a host's ports.
#[derive(Debug)]
pub struct Door {
    cfg: DoorConfig,
    counts: LimitCounts,
    callers: Connections,
    peers: Connections,
    ready: Connections,
    /// Memory of request bodies.
    pub request_memory: BodyMemory,
    /// Memory of buffered answers.
    pub answer_memory: BodyMemory,
    /// Memory of large events of streams.
    pub event_memory: BodyMemory,
    /// Memory of messages from other hosts.
    pub message_memory: BodyMemory,
}

impl Door {
    /// Creates the limits of a host; `counts` counts when they are reached.
    pub fn new(cfg: &GatewayConfig, counts: LimitCounts) -> Self {
        let limits = limits::derive(cfg.memory_bytes, cfg.max_descriptors, &cfg.door);
        Self::with_limits(cfg.door, limits, counts)
    }

    /// Creates the limits of a host with a settings file of its own.
    pub fn of_host(cfg: &HostConfig, counts: LimitCounts) -> Self {
        let door = DoorConfig {
            head_time: cfg.door.head_time.min(cfg.caller.header_timeout),
            read_buffer: cfg
                .door
                .read_buffer
                .max(cfg.caller.max_header_bytes + FIRST_LINE_BYTES),
            ..cfg.door
        };
        let descriptors = cfg.resources.max_descriptors;
        let memory = cfg.resources.memory_mib << 20;
        let limits = limits::derive(
            memory.saturating_sub(HOST_BYTES),
            descriptors.unwrap_or_else(system_descriptors),
            &door,
        );
        Self::with_limits(door, limits, counts)
    }

    fn with_limits(cfg: DoorConfig, limits: DoorLimits, counts: LimitCounts) -> Self {
        let memory = BodyMemory::new(limits.memory);
        let times = time_limits(&cfg, CallerLimits::default().idle_timeout);
        let connections = |max_open, memory| {
            let limits = ConnectionLimits {
                max_open,
                idle_memory: limits.idle_memory,
                active_memory: limits.active_memory,
                times,
            };
            Connections::new(limits, memory, counts.clone())
        };
        let callers = connections(limits.callers, memory.part(limits.caller_memory));
        let peers = connections(limits.peers, memory.part(limits.peer_memory));
        // Apart from the others, so that a host under pressure stays ready.
        let ready_memory = limits.ready * (limits.idle_memory + limits.active_memory);
        let part = |bytes, relief: &Connections| {
            let part = memory.part(bytes);
            part.relieved_by(relief.clone(), counts.clone())
        };
        Self {
            cfg,
            request_memory: part(limits.body_memory, &callers),
            answer_memory: part(limits.body_memory, &callers),
            event_memory: part(limits.event_memory, &callers),
            message_memory: part(limits.message_memory, &peers),
            ready: connections(limits.ready, BodyMemory::new(ready_memory)),
            callers,
            peers,
            counts,
        }
    }

    /// Returns the settings of a port's server, with the limits of its
    /// connections.
    pub fn server_config(&self, port: Port, base: &ServerConfig) -> ServerConfig {
        let connections = match port {
            Port::Callers => &self.callers,
            Port::Peers => &self.peers,
            Port::Operators | Port::Ready => &self.ready,
        };
        server_config(&self.cfg, connections, base)
    }

    /// Logs the limits that are reached, with at most one line for each in an
    /// interval.
    pub async fn report(self, log: EventLog) {
        let write = |limit, times| log.state("client-limit", &self.line(limit, times));
        report_limits(&self.counts, write).await;
    }

    /// Logs the limits like [`Door::report`] in a host without an event log.
    pub async fn report_as_text(&self) {
        let write = |limit, times| {
            let LimitLine {
                callers,
                peers,
                request_bytes,
                answer_bytes,
                ..
            } = self.line(limit, times);
            log::warn!(
                "client limit reached limit={limit} times={times} callers={callers} \
                 peers={peers} request_bytes={request_bytes} answer_bytes={answer_bytes}"
            );
        };
        report_limits(&self.counts, write).await;
    }

    fn line(&self, limit: &'static str, times: u64) -> LimitLine {
        LimitLine {
            limit,
            times,
            callers: self.callers.open(),
            peers: self.peers.open(),
            request_bytes: self.request_memory.reserved(),
            answer_bytes: self.answer_memory.reserved(),
        }
    }
}

/// Returns the operating system's limit on the open descriptors of the process.
fn system_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}

fn time_limits(cfg: &DoorConfig, idle: Duration) -> TimeLimits {
    TimeLimits {
        head: cfg.head_time,
        body_pause: cfg.body_pause,
        read_pause: cfg.read_pause,
        stuck: cfg.stuck_time,
        idle,
    }
}

/// Returns the settings of a port's server, with the limits of its connections.
fn server_config(cfg: &DoorConfig, connections: &Connections, base: &ServerConfig) -> ServerConfig {
    ServerConfig {
        max_buf_size: cfg.read_buffer,
        max_fields: cfg.max_fields,
        receive_buffer: Some(cfg.receive_buffer),
        send_buffer: base.send_buffer.or(Some(cfg.send_buffer)),
        connections: connections.clone(),
        ..base.clone()
    }
}

/// Calls `write` for each limit that was reached in an interval, with its name
/// and the number of times.
async fn report_limits(counts: &LimitCounts, write: impl Fn(&'static str, u64)) {
    let mut reported = [0; Limit::ALL.len()];
    loop {
        Timer::after(REPORT_INTERVAL).await;
        for (limit, reported) in Limit::ALL.iter().zip(&mut reported) {
            let times = counts.get(*limit);
            if times != *reported {
                write(limit.as_str(), times - *reported);
                *reported = times;
            }
        }
    }
}

#[derive(Serialize)]
struct LimitLine {
    limit: &'static str,
    /// Times that it was reached since the last line about it.
    times: u64,
    /// Open connections of callers.
    callers: usize,
    /// Open connections of other hosts.
    peers: usize,
    request_bytes: usize,
    answer_bytes: usize,
}
