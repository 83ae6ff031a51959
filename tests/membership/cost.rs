//! Platform calls and message bytes by number of hosts, in a simulation.

use std::time::Duration;

use chicoryarch::configs::membership::MembershipConfig;

use super::simulation::Simulation;
use super::simulation::Stats;

const HOSTS: [u32; 5] = [2, 4, 8, 16, 36];
const WARM_UP: Duration = Duration::from_secs(60);
const SECONDS: u32 = 60;

/// Bytes of the HTTP request and response heads of one message, as derived in the
/// design note.
const HEAD_BYTES: f64 = 250.0;

/// Maximum control traffic of one host in bytes per second, sent and received.
const MAX_HOST_BYTES: f64 = 2_000.0;

#[test]
fn platform_calls_do_not_grow_with_hosts_and_bytes_stay_within_bounds() {
    for hosts in HOSTS {
        let stats = measure(hosts);
        let seconds = f64::from(SECONDS);
        let calls = rate(stats.platform_calls, seconds);
        let messages = rate(stats.messages, seconds);
        let bytes = rate(stats.message_bytes, seconds) + messages * HEAD_BYTES;
        let written = rate(stats.platform_bytes, seconds);
        // Each message is sent by one host and received by another.
        let host_bytes = (2.0 * bytes + written) / f64::from(hosts);
        println!(
            "{hosts} hosts: {calls:.2} platform calls/s, {messages:.1} messages/s, \
             {written:.0} table bytes/s, {host_bytes:.0} bytes/s per host on average"
        );
        assert!(calls < 1.25, "platform calls grow with hosts");
        assert!(host_bytes < MAX_HOST_BYTES, "too many bytes per host");
    }
}

fn measure(hosts: u32) -> Stats {
    let hosts = usize::try_from(hosts).expect("few hosts");
    let mut simulation = Simulation::new(MembershipConfig::default(), 1, &[("east", hosts)]);
    simulation.run(WARM_UP);
    simulation.stats = Stats::default();
    simulation.run(Duration::from_secs(u64::from(SECONDS)));
    std::mem::take(&mut simulation.stats)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn rate(count: u64, seconds: f64) -> f64 {
    count as f64 / seconds
}
