//! TCP keep-alive and user timeout, which detect a peer that has disappeared
//! without closing its connection.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;

/// Keep-alive probes that an idle connection sends within its limit.
const PROBES: u32 = 3;
/// Shortest time between two probes; the kernel counts it in whole seconds.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection fail if its peer acknowledges nothing for longer than
/// `limit`: within two intervals of its probes after that.
///
/// # Errors
///
/// Returns the error of the operating system if a socket option cannot be set.
pub fn enable(stream: &impl AsFd, limit: Duration) -> io::Result<()> {
    let interval = (limit / PROBES).max(MIN_PROBE_INTERVAL);
    // Linux checks it at each probe and ignores their number. Between two of
    // them, it leaves the probe that is sent at the limit time for its answer.
    let user_timeout = limit + interval / 2;
    let millis = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    Ok(())
}
