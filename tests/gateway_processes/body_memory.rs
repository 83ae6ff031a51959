//! Callers in trouble that send bodies without end or do not read answers.
//! Guards against memory that grows with them until the host is killed.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use http::StatusCode;
use rustix::net::AddressFamily;
use rustix::net::SocketType;
use rustix::net::connect;
use rustix::net::socket;
use rustix::net::sockopt;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::MEMORY_KIB;
use super::fleet::configuration;
use super::fleet::wait_until;

/// Callers at the same time.
const CALLERS: usize = 64;
/// Size of each body; all together exceed the memory of a host.
const BODY_BYTES: usize = 3 << 20;
/// Time that callers hold their connections open. The gateway gives up bodies
/// that do not arrive later than that.
const HELD: Duration = Duration::from_secs(2);

/// Starts a gateway that takes large bodies, and an endpoint.
fn start(behaviour: Behaviour) -> (Fleet, Gateway, EndpointStandin) {
    let fleet = Fleet::new();
    let mut configuration = configuration(2);
    configuration["limits"]["max_body_bytes"] = json!(4 << 20);
    fleet.store.put("config", "main", configuration);
    let gateway = fleet.gateway("g1");
    let endpoint = fleet.endpoint("e1", "plain", behaviour);
    wait_until_served(&fleet, &gateway);
    (fleet, gateway, endpoint)
}

/// Waits until a caller that reads its answer is served.
fn wait_until_served(fleet: &Fleet, gateway: &Gateway) {
    wait_until("a caller is served", || {
        let answer = fleet.call(gateway, "/safe/", &[("request-id", "reader")]);
        answer.status == StatusCode::OK
    });
}

/// Connects with a small receive buffer, so that the system does not take the
/// answer in the caller's place.
fn connect_caller(gateway: &Gateway) -> TcpStream {
    let caller = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_recv_buffer_size(&caller, 4096).expect("a valid size");
    connect(&caller, &gateway.addresses.callers).expect("the gateway listens");
    TcpStream::from(caller)
}

fn head(id: usize, path: &str, length: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\ncredential: key-1\r\nrequest-id: r{id}\r\n\
         deadline-ms: 5000\r\n{length}\r\n\r\n"
    )
}

/// Checks the gateway's memory until the callers give up.
fn assert_bounded_memory(gateway: &Gateway) {
    let started = Instant::now();
    while started.elapsed() < HELD {
        let peak = gateway.peak_memory_kib();
        assert!(peak < MEMORY_KIB, "{peak} KiB");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Whether the gateway has told a caller to return later.
fn is_refused(caller: &mut TcpStream) -> bool {
    let mut buf = [0; 1024];
    caller.set_nonblocking(true).expect("the option is known");
    // A caller whose body does not end has no answer yet.
    let length = caller.read(&mut buf).unwrap_or(0);
    let answer = String::from_utf8_lossy(&buf[..length]).to_lowercase();
    answer.starts_with("http/1.1 503") && answer.contains("retry-after")
}

#[test]
fn requests_of_unknown_length_that_do_not_end_do_not_exhaust_the_memory() {
    let (fleet, gateway, _endpoint) = start(Behaviour::default());
    let send = |n| {
        let mut caller = connect_caller(&gateway);
        let head = head(n, "/once/", "transfer-encoding: chunked");
        let request = format!("{head}{BODY_BYTES:x}\r\n{}", "x".repeat(BODY_BYTES));
        // Fails if the gateway has refused the request.
        let _refused = caller.write_all(request.as_bytes());
        caller
    };
    let mut callers: Vec<TcpStream> = (0..CALLERS).map(send).collect();
    assert_bounded_memory(&gateway);
    let refused = callers
        .iter_mut()
        .filter_map(|c| is_refused(c).then_some(()));
    assert!(refused.count() > 0, "no caller was told to return later");
    drop(callers);
    wait_until_served(&fleet, &gateway);
}

#[test]
fn answers_that_callers_do_not_read_do_not_exhaust_the_memory() {
    let (fleet, gateway, _endpoint) = start(Behaviour {
        answer_bytes: BODY_BYTES,
        ..Behaviour::default()
    });
    let send = |n| {
        let mut caller = connect_caller(&gateway);
        let head = head(n, "/safe/", "content-length: 0");
        caller
            .write_all(head.as_bytes())
            .expect("the gateway reads");
        caller
    };
    let callers: Vec<TcpStream> = (0..CALLERS).map(send).collect();
    assert_bounded_memory(&gateway);
    // The callers still hold their connections.
    wait_until_served(&fleet, &gateway);
    drop(callers);
}
