//! Endpoints in trouble that send bytes without end, in a head or a body, until
//! the gateway closes. Guards against calls that wait for their end, memory that
//! grows with them, untrue answers and connections that stay open.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_standins::fleet::endpoint::Behaviour;
use http::StatusCode;

use super::fleet::Answer;
use super::fleet::Fleet;
use super::fleet::MEMORY_KIB;
use super::fleet::wait_until;

/// Timeout of the routes to the service `plain`, with half a second to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(3_500);
/// Time that callers of the tests wait, with half a second to answer.
const STREAM_LIMIT: Duration = Duration::from_millis(5_500);
/// Calls that run at the same time.
const CALLS: usize = 32;

/// What an endpoint sends after a request.
#[derive(Clone, Copy, Debug)]
struct Flood {
    /// First bytes; `{id}` stands for the id of the request.
    start: &'static str,
    /// Bytes that are repeated without end.
    repeated: &'static str,
    /// Pause between two writes.
    pause: Duration,
}

/// Beginning of an answer's head, to which further headers can be added.
const OPEN_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s.1\r\n";
/// Head of an answer without a length.
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s.1\r\n\r\n";
/// Head of a stream.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s.1\r\n\
                           content-type: text/event-stream\r\n\r\n";

/// An endpoint that floods every caller, and its number of open connections.
struct FloodingEndpoint {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
}

impl FloodingEndpoint {
    fn start(flood: Flood) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let endpoint = Self {
            address: listener.local_addr().expect("its address"),
            open: Arc::default(),
        };
        let open = Arc::clone(&endpoint.open);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let open = Arc::clone(&open);
                open.fetch_add(1, Ordering::AcqRel);
                thread::spawn(move || {
                    // Ends with an error when the gateway closes.
                    let _closed = send_flood(connection, flood);
                    open.fetch_sub(1, Ordering::AcqRel);
                });
            }
        });
        endpoint
    }
}

fn send_flood(mut connection: TcpStream, flood: Flood) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    while !request.windows(8).any(|bytes| bytes == b"\r\n\r\nbody") {
        match connection.read(&mut buf)? {
            0 => return Ok(()),
            length => request.extend_from_slice(&buf[..length]),
        }
    }
    let request = String::from_utf8_lossy(&request);
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "));
    let start = flood.start.replace("{id}", id.unwrap_or_default());
    connection.write_all(start.as_bytes())?;
    let repeats = if flood.pause.is_zero() { 4096 } else { 1 };
    let bytes = flood.repeated.repeat(repeats);
    loop {
        connection.write_all(bytes.as_bytes())?;
        thread::sleep(flood.pause);
    }
}

/// Most of the largest event that is relayed, without its end.
const INCOMPLETE_EVENT: &str = match std::str::from_utf8(&[b'x'; 250_000]) {
    Ok(text) => text,
    Err(_) => panic!("it is ASCII"),
};

/// Makes concurrent calls to an endpoint that floods, and checks time, memory
/// and connections. Returns the answers.
fn call_flooding(service: &str, path: &str, flood: Flood, limit: Duration) -> Vec<Answer> {
    let fleet = Fleet::new();
    let endpoint = FloodingEndpoint::start(flood);
    fleet.list("e1", service, endpoint.address, "ready");
    let gateway = fleet.gateway("g1");
    let answers: Vec<Answer> = thread::scope(|scope| {
        let call = |n: usize| {
            let (fleet, gateway) = (&fleet, &gateway);
            scope.spawn(move || {
                let id = format!("r{n}");
                let started = Instant::now();
                let answer = fleet.call(gateway, path, &[("request-id", &id)]);
                let spent = started.elapsed();
                assert!(spent < limit, "{flood:?}: answered after {spent:?}");
                answer
            })
        };
        let calls: Vec<_> = (0..CALLS).map(call).collect();
        let ended = calls
            .into_iter()
            .map(|call| call.join().expect("an answer"));
        ended.collect()
    });
    wait_until("all connections to the endpoint are closed", || {
        endpoint.open.load(Ordering::Acquire) == 0
    });
    let peak = gateway.peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{flood:?}: {peak} KiB");
    answers
}

/// Checks that callers of calls that may have run are told nothing else.
fn assert_unknown_result(flood: Flood) {
    for answer in call_flooding("plain", "/once/", flood, ANSWER_LIMIT) {
        let is_unknown = matches!(
            answer.status,
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        );
        // Calls beyond the endpoint's room were not sent at all.
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(is_unknown || is_refused, "{flood:?}: {}", answer.status);
        assert!(!answer.headers.contains_key("response-signature"));
    }
}

#[test]
fn a_head_without_end_is_given_up() {
    for (start, repeated) in [
        ("", "x"),
        ("HTTP/1.1 200 OK\r\nx: ", "x"),
        (OPEN_HEAD, "x: y\r\n"),
    ] {
        let pause = Duration::ZERO;
        assert_unknown_result(Flood {
            start,
            repeated,
            pause,
        });
    }
}

#[test]
fn a_head_that_trickles_without_end_is_given_up() {
    assert_unknown_result(Flood {
        start: OPEN_HEAD,
        repeated: "x: y\r\n",
        pause: Duration::from_millis(20),
    });
}

#[test]
fn a_body_without_end_is_given_up() {
    assert_unknown_result(Flood {
        start: PLAIN_HEAD,
        repeated: "x",
        pause: Duration::ZERO,
    });
}

#[test]
fn a_body_that_trickles_without_end_is_given_up() {
    assert_unknown_result(Flood {
        start: PLAIN_HEAD,
        repeated: "x",
        pause: Duration::from_millis(20),
    });
}

#[test]
fn a_stream_without_end_never_looks_complete() {
    for (repeated, pause) in [
        ("x", Duration::ZERO),
        ("x", Duration::from_millis(20)),
        ("\n", Duration::ZERO),
        (": comment\n\n", Duration::ZERO),
    ] {
        let flood = Flood {
            start: STREAM_HEAD,
            repeated,
            pause,
        };
        for answer in call_flooding("engine", "/turns/", flood, STREAM_LIMIT) {
            assert!(answer.body.is_none() || answer.status != StatusCode::OK);
        }
    }
}

/// Memory of the gateway in the test of incomplete events.
const SMALL_MEMORY_MB: u64 = 64;
/// Streams whose incomplete events together exceed it.
const STREAMS: usize = 120;
/// Endpoints that send them.
const FLOODING: usize = 16;

/// Guards against a gateway that keeps the incomplete events of many streams until it
/// exceeds its memory, and requests of other callers that end with it.
#[test]
fn incomplete_events_of_many_streams_do_not_exhaust_the_memory() {
    let fleet = Fleet::new();
    let flood = Flood {
        start: STREAM_HEAD,
        repeated: INCOMPLETE_EVENT,
        pause: Duration::from_secs(1),
    };
    for n in 0..FLOODING {
        let endpoint = FloodingEndpoint::start(flood);
        fleet.list(&format!("e{n}"), "engine", endpoint.address, "ready");
    }
    let _sound = fleet.endpoint("sound", "plain", Behaviour::default());
    let limits = format!("limits.memory_mb={SMALL_MEMORY_MB}\n");
    let gateway = fleet.start_gateway_with_limits("g1", &limits);
    gateway.wait_ready(&fleet);
    let call = |n: usize| {
        let mut caller = TcpStream::connect(gateway.addresses.callers).expect("a connection");
        let request = format!(
            "POST /turns/ HTTP/1.1\r\nhost: h\r\nrequest-id: r{n}\r\ncredential: key-1\r\n\
             deadline-ms: 5000\r\ncontent-length: 4\r\n\r\nbody"
        );
        // Fails if the gateway has no room for the caller.
        let _closed = caller.write_all(request.as_bytes());
        caller
    };
    let callers: Vec<TcpStream> = (0..STREAMS).map(call).collect();
    thread::sleep(Duration::from_millis(700));
    let answer = fleet.call(&gateway, "/safe/", &[("request-id", "ordinary")]);
    assert_eq!(answer.status, StatusCode::OK);
    drop(callers);
    let peak = gateway.peak_memory_kib();
    assert!(peak < SMALL_MEMORY_MB << 10, "{peak} KiB");
}
