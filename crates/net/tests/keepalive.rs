//! Detection of peers that have disappeared.

use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use chicoryarch_net::keepalive;
use rustix::net::sockopt;

/// Returns when Linux gives an idle connection up whose peer falls silent right
/// after its last packet, and when it sends the last probe before.
///
/// Probes are sent at each interval. With a user timeout, it alone decides: the
/// connection ends at the first interval at which it has passed, if a probe was
/// sent before.
fn give_up(stream: &TcpStream) -> (Duration, Duration) {
    let idle = sockopt::tcp_keepidle(stream).expect("the option is known");
    let interval = sockopt::tcp_keepintvl(stream).expect("the option is known");
    let user_timeout = sockopt::tcp_user_timeout(stream).expect("the option is known");
    let user_timeout = Duration::from_millis(user_timeout.into());
    let (mut probe, mut at) = (idle, idle + interval);
    while at < user_timeout {
        probe = at;
        at += interval;
    }
    (at, probe)
}

// Guards against connections to a peer that was silent for little more than a
// second: one unanswered probe ended them, since the user timeout overrides the
// number of probes.
#[test]
fn a_peer_may_be_silent_for_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    for limit in [2, 4, 6].map(Duration::from_secs) {
        let stream = TcpStream::connect(address).expect("a connection");
        keepalive::enable(&stream, limit).expect("the options are known");
        let (gives_up, last_probe) = give_up(&stream);
        assert!(last_probe >= limit, "{limit:?}: {last_probe:?}");
        assert!(gives_up <= limit * 2, "{limit:?}: {gives_up:?}");
    }
}
