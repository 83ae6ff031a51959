//! Divides the memory and the descriptors of a host.

use crate::configs::door::DoorConfig;

/// Memory of an idle connection, in bytes: the task, the smallest read buffer
/// and the system's structures.
const IDLE_BYTES: usize = 24 << 10;
/// Memory of a parsed head and of its request, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Descriptors for listeners, the store, other hosts and files.
const OWN_DESCRIPTORS: usize = 64;
/// Connections to the address of readiness checks and metrics. The load
/// balancer and a monitor need a few.
const READY_CONNECTIONS: usize = 16;
/// Divisor of an archive host's memory that gives the memory of its connections.
/// The turn log takes up to half of the rest of the memory.
const ARCHIVE_DIVISOR: u64 = 4;
/// Fewest connections of a port. With fewer, single callers would displace each
/// other.
const MIN_CONNECTIONS: usize = 8;

/// Limits of a host's ports and bodies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DoorLimits {
    /// Memory of connections and bodies together, in bytes.
    pub memory: usize,
    /// Memory of request bodies, and of answers, in bytes.
    pub body_memory: usize,
    /// Memory of large events of streams, in bytes.
    pub event_memory: usize,
    /// Memory of messages of other hosts, in bytes.
    pub message_memory: usize,
    /// Memory of callers' connections, in bytes.
    pub caller_memory: usize,
    /// Memory of other hosts' connections, in bytes.
    pub peer_memory: usize,
    /// Memory of an open connection, in bytes.
    pub idle_memory: usize,
    /// Further memory of a connection with a request, in bytes.
    pub active_memory: usize,
    /// Open connections of callers.
    pub callers: usize,
    /// Open connections of other hosts.
    pub peers: usize,
    /// Open connections for readiness checks and metrics.
    pub ready: usize,
}

/// Limits of the port of an archive host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ArchiveLimits {
    /// Memory of connections, in bytes. That of bodies is apart from it.
    pub memory: usize,
    /// Memory of an open connection, in bytes.
    pub idle_memory: usize,
    /// Further memory of a connection with a request, in bytes.
    pub active_memory: usize,
    /// Open connections.
    pub connections: usize,
}

/// Derives the limits of an archive host from its memory in bytes, its
/// descriptors, and the number of files of its turn log, which stay open.
pub fn derive_archive(
    memory_bytes: u64,
    max_descriptors: usize,
    log_files: usize,
    cfg: &DoorConfig,
) -> ArchiveLimits {
    let connections = max_descriptors.saturating_sub(OWN_DESCRIPTORS + log_files);
    ArchiveLimits {
        memory: usize::try_from(memory_bytes / ARCHIVE_DIVISOR).unwrap_or(usize::MAX),
        idle_memory: IDLE_BYTES,
        active_memory: active_bytes(cfg),
        connections: connections.max(MIN_CONNECTIONS),
    }
}

/// Returns the further memory of a connection with a request, in bytes.
fn active_bytes(cfg: &DoorConfig) -> usize {
    // The system doubles the size that is set. A peer that fills one of its two
    // buffers rarely fills the other.
    let system_buffer = cfg.receive_buffer.max(cfg.send_buffer) * 2;
    HEAD_BYTES + 2 * cfg.read_buffer + system_buffer
}

/// Derives the limits from the host's memory in bytes and its descriptors.
///
/// The parts together exceed the memory for connections and bodies, which each
/// of them is also counted in: a host with few connections has more memory for
/// bodies. A quarter of the host's memory stays for everything else.
pub fn derive(memory_bytes: u64, max_descriptors: usize, cfg: &DoorConfig) -> DoorLimits {
    let host = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
    let descriptors = max_descriptors.saturating_sub(OWN_DESCRIPTORS + READY_CONNECTIONS);
    // Each caller's request has a connection to an endpoint besides its own.
    let callers = descriptors * 3 / 8;
    let peers = descriptors / 4;
    DoorLimits {
        memory: host / 4 * 3,
        body_memory: host / 4,
        event_memory: host / 8,
        message_memory: host / 8,
        caller_memory: host / 8 * 3,
        peer_memory: host / 4,
        idle_memory: IDLE_BYTES,
        active_memory: active_bytes(cfg),
        callers: callers.max(MIN_CONNECTIONS),
        peers: peers.max(MIN_CONNECTIONS),
        ready: READY_CONNECTIONS,
    }
}
