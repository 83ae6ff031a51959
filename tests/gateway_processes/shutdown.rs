//! Graceful shutdown and signals.
//!
//! A gateway that stopped at once on a signal would abort requests in flight and
//! refuse callers that the load balancer still sends to it.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use chicoryarch_standins::fleet::endpoint::Behaviour;
use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::HANG_GUARD;
use super::fleet::configuration;
use super::fleet::wait_until;

const SLOW: Behaviour = Behaviour {
    pause: Duration::from_millis(1500),
    ..Behaviour::SOUND
};

#[test]
fn a_request_in_flight_is_answered_before_shutdown() {
    let fleet = Fleet::new();
    let endpoint = fleet.endpoint("e1", "plain", SLOW);
    let mut gateway = fleet.gateway("g1");
    let status = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(&gateway, "/once/", &[("request-id", "r1")]));
        wait_until("the call runs", || !endpoint.runs().is_empty());
        gateway.signal(Signal::TERM);
        wait_until("readiness fails", || {
            fleet.get(gateway.addresses.ready, "/v1/readyz")
                == Some(StatusCode::SERVICE_UNAVAILABLE)
        });
        let late = fleet.call(&gateway, "/safe/", &[("request-id", "r2")]);
        assert_eq!(late.status, 200);
        assert_eq!(late.headers["connection"], "close");
        call.join().expect("the caller's thread").status
    });
    assert_eq!(status, 200);
    assert!(gateway.wait());
}

#[test]
fn a_hangup_signal_aborts_no_request() {
    let fleet = Fleet::new();
    let endpoint = fleet.endpoint("e1", "plain", SLOW);
    let gateway = fleet.gateway("g1");
    std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(&gateway, "/once/", &[("request-id", "r1")]));
        wait_until("the call runs", || !endpoint.runs().is_empty());
        gateway.signal(Signal::HUP);
        assert_eq!(call.join().expect("the caller's thread").status, 200);
    });
    assert!(gateway.is_ready(&fleet));
}

// A hangup signal in the first milliseconds ended the process, since its
// handler was set only after the settings had been read.
#[test]
fn a_hangup_signal_at_the_start_does_not_end_the_process() {
    let fleet = Fleet::new();
    let gateway = fleet.start_gateway_paused("g1", |gateway| gateway.signal(Signal::HUP));
    gateway.wait_ready(&fleet);
}

// A request that was still open at the time limit of a drain got no answer.
#[test]
fn a_request_that_outlasts_the_drain_gets_an_answer() {
    let fleet = Fleet::new();
    let mut config = configuration(2);
    config["routes"][1]["timeout_ms"] = json!(20_000);
    fleet.store.put("config", "main", config);
    let long = Behaviour {
        pause: Duration::from_secs(15),
        ..SLOW
    };
    let endpoint = fleet.endpoint("e1", "plain", long);
    let mut gateway = fleet.gateway("g1");
    let mut caller = TcpStream::connect(gateway.addresses.callers).expect("a connection");
    caller
        .set_read_timeout(Some(HANG_GUARD))
        .expect("the timeout is valid");
    let req = "POST /once/ HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\ndeadline-ms: 20000\r\n\
               credential: key-1\r\ncontent-length: 4\r\n\r\nbody";
    caller.write_all(req.as_bytes()).expect("the request fits");
    wait_until("the call runs", || !endpoint.runs().is_empty());
    gateway.signal(Signal::TERM);
    let mut answer = String::new();
    let end = caller.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}, {end:?}");
    assert!(gateway.wait());
}

// A request whose body arrived late in a drain was sent to an endpoint, and cut off
// when the process exited; the answer of a stream was not even ended.
#[test]
fn a_request_that_comes_late_in_a_drain_is_not_begun() {
    let fleet = Fleet::new();
    let mut config = configuration(2);
    for route in [0, 1, 3] {
        config["routes"][route]["timeout_ms"] = json!(20_000);
    }
    fleet.store.put("config", "main", config);
    let plain = fleet.endpoint("e1", "plain", SLOW);
    let engine = fleet.endpoint("i1", "engine", SLOW);
    let mut gateway = fleet.gateway("g1");
    let connect = |id: &str, path: &str, deadline_ms: u64| {
        let caller = TcpStream::connect(gateway.addresses.callers);
        let mut caller = caller.expect("a connection");
        let limit = Some(HANG_GUARD);
        caller.set_read_timeout(limit).expect("a valid timeout");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\nrequest-id: {id}\r\ncredential: key-1\r\n\
             deadline-ms: {deadline_ms}\r\ncontent-length: 8\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).expect("it is read");
        caller
    };
    let mut late = [
        connect("once", "/once/", 15_000),
        connect("safe", "/safe/", 15_000),
        connect("turn", "/turns/", 15_000),
    ];
    let mut short = connect("short", "/once/", 6_000);
    std::thread::sleep(Duration::from_millis(200));
    gateway.signal(Signal::TERM);
    // The bodies are complete after the time in which all requests are taken.
    for _ in 0..8 {
        for caller in late.iter_mut().chain([&mut short]) {
            caller.write_all(b"x").expect("it is read");
        }
        std::thread::sleep(Duration::from_millis(450));
    }
    for (caller, id) in late.iter_mut().zip(["once", "safe", "turn"]) {
        let mut answer = String::new();
        let end = caller.read_to_string(&mut answer);
        let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after");
        assert!(is_refused, "{id}: {answer:?}, {end:?}");
    }
    assert!(engine.runs().is_empty());
    // One that ends before the process exits is served.
    let mut answer = String::new();
    let end = short.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}, {end:?}");
    assert_eq!(plain.runs().len(), 1);
    assert!(gateway.wait());
}
