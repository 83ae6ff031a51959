//! Detection of connections whose other end has gone without a close.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;

/// Keep-alive probes without an answer after which a connection is given up.
const PROBES: u32 = 3;
/// Shortest time between two probes, which the system counts in whole seconds.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection fail once its peer has acknowledged nothing for `limit`.
///
/// # Errors
///
/// What the operating system answered.
pub fn detect(stream: &impl AsFd, limit: Duration) -> io::Result<()> {
    let millis = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    let interval = (limit / PROBES).max(MIN_PROBE_INTERVAL);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    Ok(())
}
