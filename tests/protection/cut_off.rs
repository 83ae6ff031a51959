//! Hosts that are cut off from a service: when they know it, when they use
//! their own paths again, and through which host they send.

use std::time::Duration;

use chicoryarch::ids::HostId;
use chicoryarch::protection::helpers::Helpers;
use chicoryarch::protection::paths::Due;
use chicoryarch::protection::paths::Probed;
use chicoryarch::protection::paths::ServicePath;
use chicoryarch::units::Moment;

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

/// A path on which an endpoint was heard at the start.
fn heard() -> ServicePath {
    let mut path = ServicePath::default();
    assert_eq!(path.begin_due(at(0)), Some(Due::Check));
    path.record_check(Probed::Reached, false, at(0));
    path.record_heard(at(0));
    path
}

/// Runs the path for a time with endpoints that answer probes as given.
/// Returns when the host was cut off and when it was no longer.
fn run(
    path: &mut ServicePath,
    span: std::ops::Range<u64>,
    probed: impl Fn(u64) -> Probed,
) -> (Vec<u64>, Vec<u64>) {
    let (mut lost, mut regained) = (Vec::new(), Vec::new());
    for ms in span.step_by(50) {
        match path.begin_due(at(ms)) {
            Some(Due::Check) if path.record_check(probed(ms), true, at(ms)) => lost.push(ms),
            Some(Due::Probe) if path.record_probe(probed(ms), at(ms)).is_some() => {
                regained.push(ms);
            }
            _ => (),
        }
    }
    (lost, regained)
}

// Guards against a host that waits for its callers to find the cut.
#[test]
fn a_silent_path_is_checked_while_calls_wait() {
    let mut path = heard();
    path.begin_wait(at(100));
    let (lost, _) = run(&mut path, 100..1000, |_| Probed::Silent);
    assert_eq!(lost, [500]);
    assert!(path.silent_cut().is_closed());
}

#[test]
fn a_path_without_waiting_calls_is_not_checked() {
    let mut path = heard();
    assert_eq!(run(&mut path, 0..60_000, |_| Probed::Silent).0, [0; 0]);
}

#[test]
fn a_host_checks_its_paths_when_it_starts() {
    let mut path = ServicePath::default();
    let (lost, _) = run(&mut path, 0..200, |_| Probed::Refused);
    assert_eq!(lost, [0]);
    // Connections that are open may live on.
    assert!(!path.silent_cut().is_closed());
}

// Guards against giving up an endpoint that is silent for a second, and
// against many probes while a long call waits alone.
#[test]
fn a_silent_endpoint_that_accepts_connections_is_not_given_up() {
    let mut path = heard();
    path.begin_wait(at(0));
    let mut checks = 0;
    for ms in (0..20_000).step_by(50) {
        if path.begin_due(at(ms)) == Some(Due::Check) {
            checks += 1;
            path.record_check(Probed::Reached, true, at(ms));
        }
    }
    assert!(!path.is_cut_off());
    assert!((5..12).contains(&checks), "{checks}");
}

// Guards against a host that blames its paths for endpoints that are down.
#[test]
fn a_host_is_not_cut_off_if_no_other_host_reaches_the_endpoints() {
    let mut path = heard();
    path.begin_wait(at(0));
    assert_eq!(path.begin_due(at(500)), Some(Due::Check));
    assert!(!path.record_check(Probed::Silent, false, at(500)));
    assert!(!path.is_cut_off());
}

#[test]
fn a_host_uses_its_paths_again_soon_after_the_cut() {
    let mut path = heard();
    path.begin_wait(at(0));
    let end = 12_000;
    let probed = |ms| match ms < end {
        true => Probed::Silent,
        false => Probed::Reached,
    };
    let (lost, regained) = run(&mut path, 0..20_000, probed);
    assert_eq!(lost.len(), 1);
    assert_eq!(regained.len(), 1);
    assert!(regained[0] < end + 1000, "{regained:?}");
    assert!(!path.silent_cut().is_closed());
}

// Guards against callers that feel each of many short cuts.
#[test]
fn cuts_that_come_and_go_lengthen_the_way_back() {
    let mut path = heard();
    path.begin_wait(at(0));
    let probed = |ms| match (ms / 1200) % 2 {
        0 => Probed::Silent,
        _ => Probed::Reached,
    };
    let (lost, _) = run(&mut path, 0..30_000, probed);
    // Twelve cuts; the host uses its paths in between only at first.
    assert!(lost.len() <= 3, "{lost:?}");
}

fn host(name: &str) -> HostId {
    name.parse().expect("a name")
}

fn choose(helpers: &Helpers, hosts: &[HostId], now: Moment) -> Option<HostId> {
    let costs = hosts.iter().enumerate().filter_map(|(n, host)| {
        let cost = helpers.cost(host, "s", n < 2, 0.0, now)?;
        Some((cost, host))
    });
    let cheapest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    cheapest.map(|(_, host)| host.clone())
}

// Guards against a helper that gets all the calls of a host.
#[test]
fn calls_are_spread_over_all_hosts_that_help() {
    let hosts: Vec<HostId> = (0..4).map(|n| host(&format!("h{n}"))).collect();
    let mut helpers = Helpers::default();
    let mut counts = [0; 4];
    for _ in 0..80 {
        let chosen = choose(&helpers, &hosts, at(0)).expect("a host");
        helpers.begin(&chosen);
        let n = hosts.iter().position(|host| *host == chosen);
        counts[n.expect("one of them")] += 1;
    }
    // The first two are in the endpoint's data centre.
    assert_eq!(counts, [21, 21, 19, 19]);
    for host in &hosts {
        (0..21).for_each(|_| helpers.end(host));
    }
    assert_eq!(helpers.cost(&hosts[0], "s", true, 0.0, at(0)), Some(0.0));
}

#[test]
fn a_host_that_could_not_help_is_not_asked_for_a_while() {
    let hosts = [host("h0"), host("h1")];
    let mut helpers = Helpers::default();
    helpers.avoid(&hosts[0], "s", at(1000), at(0));
    helpers.avoid_host(&hosts[1], at(500), at(0));
    assert_eq!(choose(&helpers, &hosts, at(100)), None);
    assert_eq!(choose(&helpers, &hosts, at(600)), Some(hosts[1].clone()));
    // It may help with another service.
    assert!(helpers.cost(&hosts[0], "t", true, 0.0, at(100)).is_some());
    // A shorter time does not replace a longer one.
    helpers.avoid(&hosts[0], "s", at(700), at(600));
    assert_eq!(helpers.cost(&hosts[0], "s", true, 0.0, at(900)), None);
}
