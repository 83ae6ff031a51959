//! Endpoints in need that announce the rate they take from all hosts together.
//!
//! Callers reach several gateways, none of which sees all requests, so each
//! test counts what arrives at the endpoint.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryarch::gateway::roster::Home;
use chicoryarch::gateway::roster::HostEntry;
use chicoryarch::gateway::roster::Roster;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Incarnation;
use chicoryarch::units::Moment;
use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use http::StatusCode;
use parking_lot::Mutex;
use rustix::process::Signal;
use sha2::Digest;
use sha2::Sha256;

use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::wait_until;

/// Time from the first announcement until the endpoint relies on its limit.
const NOTICE: Duration = Duration::from_secs(1);
/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Pause between two requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(25);
/// Callers of each gateway.
const CALLERS: usize = 2;

const LIMITED: Behaviour = Behaviour {
    limit: Some("6.0"),
    ..Behaviour::SOUND
};

/// An answer as a caller saw it.
struct Seen {
    status: StatusCode,
    has_retry_time: bool,
    spent: Duration,
}

/// Stops the callers, also when a check fails before they are done.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends requests to all gateways while `during` runs and returns the answers.
fn press(fleet: &Fleet, gateways: &[Gateway], path: &str, during: impl FnOnce()) -> Vec<Seen> {
    let is_over = AtomicBool::new(false);
    let seen = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (index, gateway) in gateways.iter().enumerate() {
            for caller in 0..CALLERS {
                let (is_over, seen) = (&is_over, &seen);
                scope.spawn(move || {
                    let mut sent = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        let id = format!("r{index}-{caller}-{sent}");
                        sent += 1;
                        let start = Instant::now();
                        let answer = fleet.call(gateway, path, &[("request-id", &id)]);
                        seen.lock().push(Seen {
                            status: answer.status,
                            has_retry_time: answer.headers.contains_key("retry-after"),
                            spent: start.elapsed(),
                        });
                        std::thread::sleep(CALLER_PAUSE);
                    }
                });
            }
        }
        let _stop = StopOnDrop(&is_over);
        during();
    });
    seen.into_inner()
}

/// Starts gateways and waits until they know each other.
fn gateways<const N: usize>(fleet: &Fleet) -> [Gateway; N] {
    let gateways: [Gateway; N] = std::array::from_fn(|n| fleet.gateway(&format!("g{n}")));
    std::thread::sleep(Duration::from_millis(1500));
    gateways
}

/// Returns the largest number of requests that reached the endpoint within a
/// window that begins after `from`.
fn most_in_window(endpoint: &EndpointStandin, from: Instant) -> usize {
    let arrivals = endpoint.arrivals();
    let later: Vec<_> = arrivals.iter().filter(|at| **at >= from).collect();
    let counts = later.iter().enumerate().map(|(n, first)| {
        let end = **first + WINDOW;
        later[n..].iter().take_while(|at| ***at < end).count()
    });
    counts.max().unwrap_or(0)
}

/// Returns the most requests that the users' rule allows in a window.
fn allowed(per_s: f64) -> usize {
    let exact = (1.5 * per_s).mul_add(WINDOW.as_secs_f64(), 5.0);
    (0..)
        .take_while(|n| f64::from(*n) <= exact)
        .last()
        .map_or(0, |n| usize::try_from(n).expect("few requests"))
}

fn assert_within(endpoint: &EndpointStandin, per_s: f64, from: Instant) {
    let most = most_in_window(endpoint, from);
    assert!(most <= allowed(per_s), "{most} requests in a window");
}

fn run_for(duration: Duration) -> impl FnOnce() {
    move || std::thread::sleep(duration)
}

// Guards against hosts that choose endpoints by cost and ignore the limit.
#[test]
fn hosts_together_keep_an_endpoints_limit_and_use_the_others() {
    let fleet = Fleet::new();
    let limited = fleet.endpoint("e1", "plain", LIMITED);
    let free = fleet.endpoint("e2", "plain", Behaviour::SOUND);
    let gateways = gateways::<3>(&fleet);
    let start = Instant::now();
    let seen = press(&fleet, &gateways, "/safe/", run_for(NOTICE + WINDOW));
    assert_within(&limited, 6.0, start + NOTICE);
    assert!(seen.iter().all(|seen| seen.status == StatusCode::OK));
    assert!(!free.arrivals().is_empty());
}

// Guards against calls that are refused beside a free endpoint, since the
// limits of many others are asked first.
#[test]
fn a_free_endpoint_is_found_beyond_many_at_their_limits() {
    let fleet = Fleet::new();
    let scarce = Behaviour {
        limit: Some("0.1"),
        ..Behaviour::SOUND
    };
    for n in 0..8 {
        fleet.endpoint(&format!("limited{n}"), "plain", scarce);
    }
    fleet.endpoint("free", "plain", Behaviour::SOUND);
    let gateways = gateways::<2>(&fleet);
    let seen = press(&fleet, &gateways, "/safe/", run_for(NOTICE * 2));
    assert!(seen.iter().all(|seen| seen.status == StatusCode::OK));
}

// Guards against requests that wait for, or flood, endpoints that are all at
// their limits.
#[test]
fn what_no_endpoint_can_take_is_rejected_at_once() {
    let fleet = Fleet::new();
    let limited = fleet.endpoint("e1", "plain", LIMITED);
    let gateways = gateways::<3>(&fleet);
    let start = Instant::now();
    let seen = press(&fleet, &gateways, "/once/", run_for(NOTICE + WINDOW));
    assert_within(&limited, 6.0, start + NOTICE);
    let rejected: Vec<_> = seen.iter().filter(|seen| seen.status != 200).collect();
    assert!(!rejected.is_empty());
    for seen in rejected {
        assert_eq!(seen.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(seen.has_retry_time && seen.spent < Duration::from_millis(500));
    }
    let used = most_in_window(&limited, start + NOTICE);
    assert!(used >= 18, "only {used} requests in a window");
}

// Guards against retries that do not count against the limit.
#[test]
fn retries_count_against_the_limit() {
    let fleet = Fleet::new();
    let failing = Behaviour {
        refused_requests: u32::MAX,
        ..LIMITED
    };
    let limited = fleet.endpoint("e1", "plain", failing);
    let lossy = Behaviour {
        lost_answers: u32::MAX,
        ..Behaviour::SOUND
    };
    fleet.endpoint("e2", "plain", lossy);
    let gateways = gateways::<3>(&fleet);
    let start = Instant::now();
    press(&fleet, &gateways, "/safe/", run_for(NOTICE + WINDOW));
    assert_within(&limited, 6.0, start + NOTICE);
}

// Guards against streams that are resumed past the limit.
#[test]
fn resumed_streams_count_against_the_limit() {
    let fleet = Fleet::new();
    let breaking = Behaviour {
        events: 4,
        broken_streams: u32::MAX,
        ..LIMITED
    };
    let limited = fleet.endpoint("e1", "engine", breaking);
    let gateways = gateways::<3>(&fleet);
    let start = Instant::now();
    press(&fleet, &gateways, "/turns/", run_for(NOTICE + WINDOW));
    assert_within(&limited, 6.0, start + NOTICE);
}

// Guards against hosts that start with a share of their own, or that lose
// count when another host is killed and returns.
#[test]
fn a_limit_holds_while_hosts_are_killed_and_start() {
    let fleet = Fleet::new();
    let limited = fleet.endpoint("e1", "plain", LIMITED);
    fleet.endpoint("e2", "plain", Behaviour::SOUND);
    let gateways = gateways::<3>(&fleet);
    let start = Instant::now();
    let (kept, killed) = gateways.split_at(2);
    press(&fleet, kept, "/safe/", || {
        std::thread::sleep(NOTICE);
        let addresses = killed[0].addresses;
        killed[0].signal(rustix::process::Signal::KILL);
        std::thread::sleep(Duration::from_millis(500));
        let store = fleet.store.addr();
        let again = fleet.start_gateway_at("g2", addresses, store, &[], false);
        again.wait_ready(&fleet);
        press(&fleet, &[again], "/safe/", run_for(WINDOW));
    });
    assert_within(&limited, 6.0, start + NOTICE);
}

/// Number of hosts of the test below.
const HOSTS: usize = 6;

/// Index of the host that hands out the limit of endpoint `id`.
fn home_of(id: &str, hosts: usize) -> usize {
    let host = |n: usize| -> HostId { format!("g{n}").parse().expect("a name") };
    // A host that is no candidate itself.
    let mut roster = Roster::new("none".parse().expect("a name"));
    for n in 0..hosts {
        let entry = HostEntry {
            peers: "127.0.0.1:1".parse().expect("an address"),
            data_centre: "a".parse().expect("a name"),
            incarnation: Incarnation(1),
            is_founder: true,
            divides_tokens: true,
            passes_on: false,
        };
        roster.put(host(n), entry);
    }
    let digest = Sha256::digest(id);
    let key = u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"));
    match roster.home_near(key, "a", Moment::default()) {
        Home::Other(peer) => (0..hosts)
            .find(|n| host(*n) == peer.host)
            .expect("one of them"),
        Home::Own => unreachable!("it is not listed"),
    }
}

/// Lets a gateway run for a fifth of each tenth of a second.
fn slow_down(gateway: &Gateway, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        gateway.signal(Signal::STOP);
        std::thread::sleep(Duration::from_millis(80));
        gateway.signal(Signal::CONT);
        std::thread::sleep(Duration::from_millis(20));
    }
}

// Guards against two hosts that hand out one endpoint's limit: the first one is
// slow to reply, and those that do not wait for it ask the next.
#[test]
fn a_limit_holds_while_its_home_is_slow() {
    let fleet = Fleet::new();
    let limited = Behaviour {
        limit: Some("12.0"),
        ..Behaviour::SOUND
    };
    let endpoint = fleet.endpoint("e1", "plain", limited);
    let mut gateways = Vec::from(gateways::<HOSTS>(&fleet));
    let slow = gateways.remove(home_of("e1", HOSTS));
    let start = Instant::now();
    press(&fleet, &gateways, "/safe/", || {
        std::thread::sleep(NOTICE);
        for _ in 0..2 {
            slow_down(&slow, WINDOW);
            std::thread::sleep(NOTICE);
        }
    });
    assert_within(&endpoint, 12.0, start + NOTICE);
}

// Guards against a limit that is used to a part only once its home has gone.
#[test]
fn a_limit_is_used_again_after_its_home_has_gone() {
    let fleet = Fleet::new();
    let limited = Behaviour {
        limit: Some("12.0"),
        ..Behaviour::SOUND
    };
    let endpoint = fleet.endpoint("e1", "plain", limited);
    let mut gateways = Vec::from(gateways::<HOSTS>(&fleet));
    drop(gateways.remove(home_of("e1", HOSTS)));
    press(&fleet, &gateways, "/safe/", || {
        std::thread::sleep(WINDOW * 2);
        let from = Instant::now();
        std::thread::sleep(WINDOW);
        let arrivals = endpoint.arrivals();
        let used = arrivals.iter().filter(|at| **at >= from).count();
        // A host in six is missing, and its part of the limit.
        assert!(used >= 30, "{used} of 48");
    });
}

// Guards against limits below one a second that are rounded up at each host.
#[test]
fn a_limit_below_one_a_second_holds() {
    let fleet = Fleet::new();
    let slow = Behaviour {
        limit: Some("0.5"),
        ..Behaviour::SOUND
    };
    let limited = fleet.endpoint("e1", "plain", slow);
    fleet.endpoint("e2", "plain", Behaviour::SOUND);
    let gateways = gateways::<3>(&fleet);
    let start = Instant::now();
    press(&fleet, &gateways, "/safe/", run_for(NOTICE + WINDOW));
    assert_within(&limited, 0.5, start + NOTICE);
}

// Guards against hosts that keep to a limit that has fallen, risen or ended.
#[test]
fn a_limit_that_changes_is_followed() {
    let fleet = Fleet::new();
    let limited = fleet.endpoint("e1", "plain", LIMITED);
    let gateways = gateways::<2>(&fleet);
    press(&fleet, &gateways, "/safe/", || {
        std::thread::sleep(NOTICE);
        limited.set_behaviour(Behaviour {
            limit: Some("2"),
            ..Behaviour::SOUND
        });
        std::thread::sleep(NOTICE);
        let fallen = Instant::now();
        std::thread::sleep(WINDOW);
        assert_within(&limited, 2.0, fallen);
        limited.set_behaviour(Behaviour::SOUND);
        let before = limited.arrivals().len();
        wait_until("the limit ends", || limited.arrivals().len() > before + 50);
    });
}

// Guards against limits that are no rate, which must neither stop an endpoint
// nor end a limit that is in force.
#[test]
fn an_unreadable_limit_changes_nothing() {
    let fleet = Fleet::new();
    let odd = |limit| Behaviour {
        limit: Some(limit),
        ..Behaviour::SOUND
    };
    let endpoint = fleet.endpoint("e1", "plain", odd("NaN"));
    let gateways = gateways::<2>(&fleet);
    for text in ["NaN", "inf", "-1", "soon", ""] {
        endpoint.set_behaviour(odd(text));
        let seen = press(&fleet, &gateways, "/safe/", run_for(NOTICE / 4));
        assert!(seen.iter().all(|seen| seen.status == StatusCode::OK));
    }
    endpoint.set_behaviour(LIMITED);
    press(&fleet, &gateways, "/safe/", run_for(NOTICE));
    endpoint.set_behaviour(odd("many"));
    let start = Instant::now();
    press(&fleet, &gateways, "/safe/", run_for(WINDOW));
    assert_within(&endpoint, 6.0, start);
}

// Guards against hosts that know of a limit only once an endpoint has answered
// them, and send all that comes until then.
#[test]
fn a_host_that_starts_keeps_a_limit_before_its_first_answer() {
    const CALLS: usize = 100;
    let fleet = Fleet::new();
    let slow = Behaviour {
        pause: Duration::from_millis(800),
        limit: Some("2"),
        ..Behaviour::SOUND
    };
    let limited = fleet.endpoint("e1", "plain", slow);
    let free = Behaviour {
        limit: None,
        ..slow
    };
    fleet.endpoint("e2", "plain", free);
    let gateways = gateways::<2>(&fleet);
    press(&fleet, &gateways, "/safe/", run_for(NOTICE));
    let started = fleet.gateway("g2");
    std::thread::sleep(NOTICE + NOTICE / 2);
    let start = Instant::now();
    std::thread::scope(|scope| {
        for call in 0..CALLS {
            let (fleet, started) = (&fleet, &started);
            scope.spawn(move || {
                let id = format!("n{call}");
                fleet.call(started, "/safe/", &[("request-id", &id)])
            });
        }
    });
    assert_within(&limited, 2.0, start);
}
