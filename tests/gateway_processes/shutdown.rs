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
