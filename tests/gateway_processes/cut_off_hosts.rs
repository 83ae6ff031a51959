//! Hosts that lose their paths to the endpoints, while callers, the store and
//! the other hosts still reach them.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::Proxy;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::endpoint::DEADLY;
use chicoryarch_standins::fleet::proxy::Cut;
use chicoryarch_standins::fleet::proxy::Mode;
use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;

use super::fleet::Answer;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::HANG_GUARD;
use super::fleet::configuration;
use super::fleet::wait_until;

const CUTS: [Cut; 3] = [Cut::Silent, Cut::Reset, Cut::Refuse];
/// Time within which a host notices that it is cut off, or not any more.
const NOTICED: Duration = Duration::from_millis(1500);
/// Time within which hosts tell each other.
const EXCHANGE: Duration = Duration::from_millis(1500);
const ENGINE: Behaviour = Behaviour {
    events: 5,
    pause: Duration::from_millis(5),
    ..Behaviour::SOUND
};

/// Refuses all requests.
const FULL: Behaviour = Behaviour {
    refused_requests: 1000,
    ..ENGINE
};

/// A gateway with paths of its own to the endpoints.
struct Host {
    gateway: Gateway,
    links: Vec<Proxy>,
}

impl Host {
    fn start(fleet: &Fleet, name: &str, endpoints: &[EndpointStandin]) -> Self {
        let host = Self::starting(fleet, name, endpoints);
        host.gateway.wait_ready(fleet);
        host
    }

    fn starting(fleet: &Fleet, name: &str, endpoints: &[EndpointStandin]) -> Self {
        let links = endpoints.iter().map(|e| (e.addr(), fleet.link(e.addr())));
        let (replaced, links): (Vec<_>, Vec<_>) =
            links.map(|(to, link)| ((to, link.address()), link)).unzip();
        Self {
            gateway: fleet.start_gateway(name, fleet.store_view(&replaced), &[]),
            links,
        }
    }

    fn cut(&self, cut: Cut) {
        for link in &self.links {
            link.cut(cut);
        }
    }

    fn heal(&self) {
        for link in &self.links {
            link.heal();
        }
    }

    fn connections(&self) -> u64 {
        self.links.iter().map(Proxy::connections).sum()
    }
}

struct Deployment {
    fleet: Fleet,
    plain: Vec<EndpointStandin>,
    engines: Vec<EndpointStandin>,
}

impl Deployment {
    fn new(plain: Behaviour, engine: Behaviour) -> Self {
        let fleet = Fleet::new();
        let start = |service: &str, behaviour| {
            let ids = (0..4).map(|n| format!("{service}{n}"));
            ids.map(|id| fleet.endpoint(&id, service, behaviour))
                .collect()
        };
        Self {
            plain: start("plain", plain),
            engines: start("engine", engine),
            fleet,
        }
    }

    fn endpoints(&self) -> Vec<EndpointStandin> {
        [&self.plain[..], &self.engines[..]].concat()
    }

    /// Starts hosts and waits until they know each other.
    fn hosts<const N: usize>(&self) -> [Host; N] {
        let endpoints = self.endpoints();
        let hosts: [Host; N] =
            std::array::from_fn(|n| Host::start(&self.fleet, &format!("g{n}"), &endpoints));
        std::thread::sleep(EXCHANGE);
        hosts
    }

    fn call(&self, host: &Host, path: &str, id: &str) -> Answer {
        let headers = [("request-id", id)];
        self.fleet.call(&host.gateway, path, &headers)
    }

    /// Number of calls, each with an id of its own, that a host answers well.
    fn served(&self, host: &Host, path: &str, calls: usize) -> usize {
        let ids = (0..calls).map(|n| format!("{path}{n}-{}", host.gateway.id()));
        let ok = |id: &String| {
            let answer = self.call(host, path, id);
            answer.status == StatusCode::OK && answer.body.is_some()
        };
        ids.filter(ok).count()
    }

    fn runs_of(&self, id: &str) -> usize {
        let endpoints = self.endpoints();
        let runs = endpoints.iter().flat_map(EndpointStandin::runs);
        runs.filter(|run| run.id == id).count()
    }
}

/// Cuts a host off and waits until it has noticed.
fn cut_and_wait(deployment: &Deployment, host: &Host, cut: Cut) {
    host.cut(cut);
    // Calls tell the host of the cut; how they end does not matter.
    deployment.served(host, "/safe/", 4);
    let _ended = send(host, "/turns/", "first", 600).read_to_string(&mut String::new());
    std::thread::sleep(NOTICED);
}

/// Starts two hosts, the first of which is cut off silently.
fn cut_off_deployment(plain: Behaviour, engine: Behaviour) -> (Deployment, [Host; 2]) {
    let deployment = Deployment::new(plain, engine);
    let hosts = deployment.hosts::<2>();
    cut_and_wait(&deployment, &hosts[0], Cut::Silent);
    (deployment, hosts)
}

// Guards against callers that are refused, or wait in vain, at a host that is
// cut off from all endpoints although other hosts reach them.
#[test]
fn calls_are_served_at_a_host_without_a_path_to_any_endpoint() {
    for cut in CUTS {
        let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
        let hosts = deployment.hosts::<3>();
        cut_and_wait(&deployment, &hosts[0], cut);
        for path in ["/safe/", "/once/", "/turns/"] {
            let started = Instant::now();
            assert_eq!(deployment.served(&hosts[0], path, 20), 20, "{path} {cut:?}");
            let spent = started.elapsed();
            assert!(spent < Duration::from_secs(2), "{path} {cut:?}: {spent:?}");
            assert_eq!(deployment.served(&hosts[1], path, 5), 5);
        }
    }
}

// Guards against a host that notices a cut of one service only, or forwards
// the calls of a service that it reaches.
#[test]
fn a_host_may_lose_its_paths_to_one_service() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let hosts = deployment.hosts::<2>();
    for link in &hosts[0].links[..4] {
        link.cut(Cut::Silent);
    }
    deployment.served(&hosts[0], "/safe/", 4);
    std::thread::sleep(NOTICED);
    assert_eq!(deployment.served(&hosts[0], "/safe/", 20), 20);
    let before = hosts[1].connections();
    assert_eq!(deployment.served(&hosts[0], "/turns/", 20), 20);
    assert_eq!(hosts[1].connections(), before);
}

// Guards against a host that starts inside a cut and never had a path.
#[test]
fn a_host_that_starts_inside_a_cut_serves_its_first_calls() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let _others = deployment.hosts::<2>();
    let host = Host::starting(&deployment.fleet, "late", &deployment.endpoints());
    host.cut(Cut::Silent);
    host.gateway.wait_ready(&deployment.fleet);
    std::thread::sleep(NOTICED);
    for path in ["/safe/", "/once/", "/turns/"] {
        assert_eq!(deployment.served(&host, path, 10), 10, "{path}");
    }
}

// Guards against a host that goes on burdening others after its cut.
#[test]
fn a_host_returns_to_its_own_paths_soon_after_the_cut() {
    for cut in CUTS {
        let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
        let mut hosts = deployment.hosts::<2>();
        cut_and_wait(&deployment, &hosts[0], cut);
        hosts[0].heal();
        std::thread::sleep(NOTICED);
        hosts[1].gateway.kill();
        assert_eq!(deployment.served(&hosts[0], "/safe/", 10), 10, "{cut:?}");
    }
}

// Guards against callers that are refused again at each turn of a cut that
// comes and goes.
#[test]
fn cuts_that_come_and_go_are_not_felt_each_time() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let hosts = deployment.hosts::<2>();
    cut_and_wait(&deployment, &hosts[0], Cut::Refuse);
    let mut served = 0;
    for _ in 0..6 {
        hosts[0].heal();
        served += deployment.served(&hosts[0], "/safe/", 10);
        std::thread::sleep(Duration::from_millis(300));
        hosts[0].cut(Cut::Refuse);
        served += deployment.served(&hosts[0], "/safe/", 10);
        std::thread::sleep(Duration::from_millis(300));
    }
    assert!(served >= 114, "{served} of 120");
}

// Guards against giving up endpoints that are silent for a second for all.
#[test]
fn endpoints_that_are_silent_for_a_second_are_not_given_up() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let hosts = deployment.hosts::<2>();
    for host in &hosts {
        assert_eq!(deployment.served(host, "/once/", 4), 4);
        for link in &host.links {
            link.set(Mode::Stall);
        }
    }
    std::thread::scope(|scope| {
        let (deployment, hosts) = (&deployment, &hosts);
        let calls: Vec<_> = (0..8)
            .map(|n| {
                scope.spawn(move || deployment.call(&hosts[n % 2], "/once/", &format!("s{n}")))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1200));
        for link in hosts.iter().flat_map(|host| &host.links) {
            link.set(Mode::Forward);
        }
        for call in calls {
            assert_eq!(call.join().expect("an answer").status, StatusCode::OK);
        }
    });
}

// Guards against a host that takes its own cut for crashes of endpoints: it
// would bar sound requests at all hosts.
#[test]
fn a_host_that_is_cut_off_blames_no_endpoint() {
    for cut in [Cut::Reset, Cut::Refuse] {
        let slow = Behaviour {
            pause: Duration::from_millis(100),
            ..Behaviour::SOUND
        };
        let deployment = Deployment::new(slow, ENGINE);
        let hosts = deployment.hosts::<2>();
        std::thread::scope(|scope| {
            let (deployment, hosts) = (&deployment, &hosts);
            for n in 0..24 {
                scope.spawn(move || deployment.call(&hosts[0], "/once/", &format!("f{n}")));
            }
            std::thread::sleep(Duration::from_millis(50));
            // Reset what is open while new connections are refused.
            for link in &hosts[0].links {
                link.cut(cut);
                link.set(Mode::Reset);
            }
        });
        std::thread::sleep(EXCHANGE);
        assert_eq!(deployment.served(&hosts[1], "/once/", 10), 10, "{cut:?}");
        hosts[0].heal();
        std::thread::sleep(NOTICED);
        assert_eq!(deployment.served(&hosts[0], "/once/", 10), 10, "{cut:?}");
    }
}

// Guards against requests that crash endpoints and are not recognised since
// they come to a host that is cut off.
#[test]
fn deadly_requests_end_few_endpoints_through_another_host() {
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, ENGINE);
    let fleet = &deployment.fleet;
    let answers: Vec<_> = (0..6)
        .map(|n| {
            let id = format!("deadly{n}");
            let headers = [("request-id", &*id)];
            fleet.call_with_body(&hosts[0].gateway, "/once/", &headers, DEADLY)
        })
        .map(|answer| answer.status.as_u16())
        .collect();
    let crashed = deployment.plain.iter().filter(|e| e.has_crashed()).count();
    assert_eq!(crashed, 3);
    assert_eq!(answers, [502, 502, 502, 503, 503, 503]);
}

/// Sends a request and returns the caller's connection.
fn send(host: &Host, path: &str, id: &str, deadline_ms: u32) -> TcpStream {
    let mut caller = TcpStream::connect(host.gateway.addresses.callers).expect("a connection");
    caller
        .set_read_timeout(Some(HANG_GUARD))
        .expect("the timeout is valid");
    let req = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nrequest-id: {id}\r\ndeadline-ms: {deadline_ms}\r\n\
         credential: key-1\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    caller.write_all(req.as_bytes()).expect("the request fits");
    caller
}

/// Sends a request and returns the text of its answer.
fn answer_to(host: &Host, path: &str, id: &str, deadline_ms: u32) -> String {
    let mut answer = String::new();
    let read = send(host, path, id, deadline_ms).read_to_string(&mut answer);
    read.expect("an answer");
    answer
}

/// Reads the events of a stream and when each arrived.
fn read_events(deployment: &Deployment, host: &Host, id: &str) -> Vec<(String, Duration)> {
    let mut caller = send(host, "/turns/", id, 8000);
    let started = Instant::now();
    let mut buf = [0; 4096];
    let mut seen = String::new();
    let mut events = Vec::new();
    while let Ok(length @ 1..) = caller.read(&mut buf) {
        seen.push_str(&String::from_utf8_lossy(&buf[..length]));
        let arrived = seen.matches("data: piece").count();
        for n in events.len()..arrived {
            events.push((format!("piece {}", n + 1), started.elapsed()));
        }
    }
    assert!(deployment.runs_of(id) >= 1);
    events
}

fn assert_no_gap(events: &[(String, Duration)], limit: Duration) {
    let longest = events.windows(2).map(|pair| pair[1].1 - pair[0].1).max();
    assert!(longest < Some(limit), "{longest:?}");
}

// Guards against streams that another host collects before it passes them on.
#[test]
fn a_stream_goes_on_event_by_event_through_another_host() {
    let slow = Behaviour {
        events: 6,
        pause: Duration::from_millis(200),
        ..Behaviour::SOUND
    };
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, slow);
    let events = read_events(&deployment, &hosts[0], "slow");
    assert_eq!(events.len(), 6);
    for (n, (_, at)) in events.iter().enumerate() {
        let due = Duration::from_millis(200) * u32::try_from(n + 1).expect("a few");
        assert!(
            *at < due + Duration::from_millis(150),
            "event {n} at {at:?}"
        );
    }
}

// Guards against a stream that hangs on a silent path until its time is up.
#[test]
fn a_stream_on_a_path_that_falls_silent_goes_on_through_another_host() {
    let slow = Behaviour {
        events: 20,
        pause: Duration::from_millis(100),
        ..Behaviour::SOUND
    };
    let deployment = Deployment::new(Behaviour::SOUND, slow);
    let hosts = deployment.hosts::<2>();
    std::thread::scope(|scope| {
        let (deployment, hosts) = (&deployment, &hosts);
        let events = scope.spawn(move || read_events(deployment, &hosts[0], "cut"));
        std::thread::sleep(Duration::from_millis(700));
        hosts[0].cut(Cut::Silent);
        let events = events.join().expect("the caller's thread");
        assert_eq!(events.len(), 20);
        assert_no_gap(&events, Duration::from_millis(1500));
    });
}

// Guards against a stream that hangs when the host in between is cut off too,
// and against calls that are refused although the own path works again.
#[test]
fn calls_return_to_the_own_path_when_the_other_host_is_cut_off() {
    let slow = Behaviour {
        events: 30,
        pause: Duration::from_millis(100),
        ..Behaviour::SOUND
    };
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, slow);
    std::thread::scope(|scope| {
        let (deployment, hosts) = (&deployment, &hosts);
        let events = scope.spawn(move || read_events(deployment, &hosts[0], "moved"));
        std::thread::sleep(Duration::from_millis(700));
        hosts[0].heal();
        hosts[1].cut(Cut::Silent);
        assert_eq!(deployment.served(&hosts[0], "/safe/", 20), 20);
        let events = events.join().expect("the caller's thread");
        assert_eq!(events.len(), 30);
        assert_no_gap(&events, Duration::from_millis(2000));
    });
}

// Guards against engines that work on after the caller of a cut-off host left.
#[test]
fn the_callers_close_reaches_the_engine_through_another_host() {
    let slow = Behaviour {
        events: 100,
        pause: Duration::from_millis(50),
        ..Behaviour::SOUND
    };
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, slow);
    let caller = send(&hosts[0], "/turns/", "left", 8000);
    let sent = || -> u64 { deployment.engines.iter().map(|e| e.sent_events()).sum() };
    wait_until("the stream runs", || sent() >= 5);
    drop(caller);
    std::thread::sleep(Duration::from_millis(500));
    let left = sent();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(sent(), left);
}

// Guards against endpoints that are given more time than the caller has left.
#[test]
fn the_time_left_holds_across_the_hop() {
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, ENGINE);
    let answer = answer_to(&hosts[0], "/once/", "timed", 700);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let runs = deployment.plain.iter().flat_map(EndpointStandin::runs);
    let left: Vec<_> = runs
        .filter(|run| run.id == "timed")
        .map(|run| run.time_left_ms)
        .collect();
    assert_eq!(left.len(), 1);
    assert!(left[0] <= Some(700), "{left:?}");
    assert!(!deployment.plain.iter().flat_map(|e| e.runs()).any(|run| {
        let internal = |name: &String| name.starts_with("chicoryarch-");
        run.headers.iter().any(internal)
    }));
}

// Guards against a call that may run once and runs again, or is said not to
// have run, when the host that it was passed to dies.
#[test]
fn a_lost_hop_is_not_said_to_have_not_run() {
    let slow = Behaviour {
        pause: Duration::from_millis(600),
        ..Behaviour::SOUND
    };
    let (deployment, mut hosts) = cut_off_deployment(slow, ENGINE);
    std::thread::scope(|scope| {
        let [cut_off, helper] = &mut hosts;
        let (deployment, cut_off) = (&deployment, &*cut_off);
        let call = scope.spawn(move || deployment.call(cut_off, "/once/", "lost").status);
        wait_until("the call runs", || deployment.runs_of("lost") == 1);
        helper.gateway.kill();
        let status = call.join().expect("an answer");
        assert_eq!(status, StatusCode::BAD_GATEWAY);
    });
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(deployment.runs_of("lost"), 1);
}

// Guards against a host that was suspended and then runs calls whose callers
// have long been told that there is no answer.
#[test]
fn a_host_that_was_suspended_runs_no_call_that_was_given_up() {
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, ENGINE);
    let call = |id: &str| {
        let answer = answer_to(&hosts[0], "/once/", id, 400);
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    hosts[1].gateway.signal(Signal::STOP);
    std::thread::scope(|scope| {
        for n in 0..8 {
            scope.spawn(move || call(&format!("late{n}")));
        }
    });
    std::thread::sleep(Duration::from_millis(1500));
    hosts[1].gateway.signal(Signal::CONT);
    std::thread::sleep(Duration::from_secs(1));
    let late = (0..8).map(|n| deployment.runs_of(&format!("late{n}")));
    assert_eq!(late.sum::<usize>(), 0);
}

// Guards against a planned stop that cuts off what another host passed on.
#[test]
fn a_host_that_stops_ends_what_it_forwards_first() {
    let slow = Behaviour {
        pause: Duration::from_secs(4),
        ..Behaviour::SOUND
    };
    let mut config = configuration(2);
    config["routes"][1]["timeout_ms"] = json!(20_000);
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    deployment.fleet.store.put("config", "main", config);
    let mut hosts = deployment.hosts::<3>();
    cut_and_wait(&deployment, &hosts[0], Cut::Silent);
    for endpoint in &deployment.plain {
        endpoint.set_behaviour(slow);
    }
    std::thread::scope(|scope| {
        let [cut_off, first, second] = &mut hosts;
        let (deployment, cut_off) = (&deployment, &*cut_off);
        let calls: Vec<_> = (0..6)
            .map(|n| {
                let id = format!("open{n}");
                scope.spawn(move || deployment.call(cut_off, "/once/", &id).status)
            })
            .collect();
        wait_until("the calls run", || {
            (0..6).all(|n| deployment.runs_of(&format!("open{n}")) == 1)
        });
        first.gateway.signal(Signal::TERM);
        second.gateway.signal(Signal::TERM);
        for call in calls {
            assert_eq!(call.join().expect("an answer"), StatusCode::OK);
        }
        assert!(first.gateway.wait() && second.gateway.wait());
    });
}

// Guards against hosts that pass more to an endpoint than its limit, since
// what comes from a host that is cut off is not counted.
#[test]
fn the_limit_of_an_endpoint_holds_across_the_hop() {
    const SECONDS: u32 = 3;
    let limited = Behaviour {
        limit: Some("10.0"),
        ..Behaviour::SOUND
    };
    let (deployment, hosts) = cut_off_deployment(limited, ENGINE);
    let arrivals = || -> usize { deployment.plain.iter().map(|e| e.arrivals().len()).sum() };
    let before = arrivals();
    let started = Instant::now();
    std::thread::scope(|scope| {
        let deployment = &deployment;
        for host in &hosts {
            scope.spawn(move || {
                let mut n = 0;
                while started.elapsed() < Duration::from_secs(SECONDS.into()) {
                    n += 1;
                    deployment.call(host, "/safe/", &format!("l{n}-{}", host.gateway.id()));
                }
            });
        }
    });
    let sent = arrivals() - before;
    // Four endpoints, each with half a second's tokens in its bucket.
    let allowed = 4 * (10 * SECONDS as usize + 5);
    assert!(sent <= allowed, "{sent} of {allowed}");
    assert!(sent >= allowed / 4, "{sent} of {allowed}");
}

// Guards against customers that get more than their rate by a host that is cut
// off.
#[test]
fn the_rate_of_a_customer_holds_across_the_hop() {
    let mut config = configuration(2);
    config["tenants"][0]["rate_per_s"] = json!(5.0);
    config["tenants"][0]["burst"] = json!(10);
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    deployment.fleet.store.put("config", "main", config);
    let hosts = deployment.hosts::<2>();
    cut_and_wait(&deployment, &hosts[0], Cut::Silent);
    let runs = || -> usize { deployment.plain.iter().map(|e| e.runs().len()).sum() };
    let before = runs();
    let started = Instant::now();
    let answered = deployment.served(&hosts[0], "/safe/", 60);
    let allowed = 10.0 + 5.0 * started.elapsed().as_secs_f64();
    let ran = u32::try_from(runs() - before).expect("a few");
    assert!(f64::from(ran) <= allowed + 1.0, "{ran} of {allowed}");
    assert!(answered >= 1);
}

// Guards against programs that get more than their budget by a host that is cut
// off.
#[test]
fn the_budget_of_a_program_holds_across_the_hop() {
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, ENGINE);
    let sent = || -> u64 { deployment.engines.iter().map(|e| e.sent_events()).sum() };
    let before = sent();
    let statuses: Vec<u16> = (0..12)
        .map(|n| {
            let id = format!("b{n}");
            let headers = [
                ("request-id", &*id),
                ("program-id", "p"),
                ("session-id", "s"),
                ("token-usage", "100,50"),
                ("token-budget", "420"),
            ];
            let host = &hosts[n % 2].gateway;
            let answer = deployment.fleet.call(host, "/turns/", &headers);
            answer.status.as_u16()
        })
        .collect();
    assert_eq!(statuses.last(), Some(&402), "{statuses:?}");
    assert!(statuses.iter().filter(|s| **s == 200).count() >= 4);
    // Each event has ten tokens.
    assert!((sent() - before) * 10 <= 420, "{} events", sent() - before);
}

// Guards against a stream that goes on in another order, with a gap, or at an
// engine of another version after it broke behind another host.
#[test]
fn a_broken_stream_goes_on_in_order_and_at_its_version_across_the_hop() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let fleet = &deployment.fleet;
    let breaking = Behaviour {
        broken_streams: 1,
        ..ENGINE
    };
    for engine in &deployment.engines {
        engine.set_behaviour(breaking);
    }
    let others: Vec<EndpointStandin> = (0..3)
        .map(|n| fleet.endpoint_of_version(&format!("other{n}"), "engine", "v2", FULL))
        .collect();
    let endpoints = [deployment.endpoints(), others.clone()].concat();
    let hosts: [Host; 2] =
        std::array::from_fn(|n| Host::start(fleet, &format!("g{n}"), &endpoints));
    std::thread::sleep(EXCHANGE);
    hosts[0].cut(Cut::Silent);
    deployment.served(&hosts[0], "/safe/", 4);
    std::thread::sleep(NOTICED);
    for n in 0..8 {
        let answer = deployment.call(&hosts[0], "/turns/", &format!("v{n}"));
        let body = answer.body.expect("a whole stream");
        let whole: String = (1..=5)
            .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
            .collect();
        assert_eq!(body, whole.as_bytes());
    }
    // Each engine breaks the first stream that it gets, and takes it up again.
    let used = deployment.engines.iter().map(EndpointStandin::runs);
    let used: Vec<_> = used.filter(|runs| !runs.is_empty()).collect();
    assert!(!used.is_empty());
    for runs in used {
        let resumed = runs.iter().filter(|run| run.resume_after == Some(1));
        assert_eq!(resumed.count(), 1);
    }
    let ran: usize = others.iter().map(|e| e.runs().len()).sum();
    assert_eq!(ran, 0);
}

// Guards against answers to another request that a host passes on.
#[test]
fn an_answer_to_another_request_is_not_passed_on_through_another_host() {
    let mismatched = Behaviour {
        mismatched_answers: 3,
        ..Behaviour::SOUND
    };
    let (deployment, hosts) = cut_off_deployment(Behaviour::SOUND, ENGINE);
    for endpoint in &deployment.plain {
        endpoint.set_behaviour(mismatched);
    }
    for n in 0..20 {
        let id = format!("m{n}");
        let answer = deployment.call(&hosts[0], "/once/", &id);
        match answer.status.as_u16() {
            200 => assert_eq!(answer.headers["request-id"], *id),
            status => assert_eq!(status, 502),
        }
        assert_eq!(deployment.runs_of(&id), 1);
    }
}

// Guards against calls that are passed on and on while most hosts are cut off.
#[test]
fn calls_are_served_while_most_hosts_are_cut_off() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let hosts = deployment.hosts::<4>();
    for host in &hosts[..3] {
        host.cut(Cut::Silent);
        deployment.served(host, "/safe/", 2);
    }
    std::thread::sleep(NOTICED);
    for host in &hosts {
        for path in ["/safe/", "/turns/"] {
            assert_eq!(deployment.served(host, path, 10), 10, "{path}");
        }
    }
}

// Guards against callers that wait for their deadline when no host has a path.
#[test]
fn calls_are_refused_as_not_run_when_no_host_has_a_path() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let hosts = deployment.hosts::<2>();
    for host in &hosts {
        host.cut(Cut::Refuse);
    }
    let before = deployment.runs_of("none");
    let started = Instant::now();
    // Connections that are open still serve a call.
    let answers: Vec<_> = (0..20)
        .map(|_| deployment.call(&hosts[0], "/once/", "none").status)
        .collect();
    assert!(started.elapsed() < Duration::from_secs(8));
    assert_eq!(answers.last(), Some(&StatusCode::SERVICE_UNAVAILABLE));
    let ran = answers.iter().filter(|status| **status == StatusCode::OK);
    assert_eq!(deployment.runs_of("none") - before, ran.count());
}

// Guards against forwarding calls to an endpoint that has announced its shutdown
// to the host that forwards, but not to the one that chose it.
#[test]
fn no_call_is_forwarded_to_an_endpoint_that_is_leaving() {
    let deployment = Deployment::new(Behaviour::SOUND, ENGINE);
    let [cut_off, other] = deployment.hosts::<2>();
    cut_and_wait(&deployment, &cut_off, Cut::Silent);
    let leaving = &deployment.plain[0];
    leaving.set_behaviour(Behaviour {
        is_leaving: true,
        ..Behaviour::SOUND
    });
    let ran = leaving.runs().len();
    wait_until("the endpoint has told the other host", || {
        deployment.served(&other, "/safe/", 1);
        leaving.runs().len() > ran
    });
    let before = leaving.runs().len();
    assert_eq!(deployment.served(&cut_off, "/once/", 24), 24);
    assert_eq!(leaving.runs().len(), before);
}
