//! Endpoints whose answers have statuses that no answer has, or that promise what the
//! endpoint does not say.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use http::StatusCode;

use super::fleet::Fleet;

/// Answers each request with a status, its id and a digest, and closes.
fn answer(mut stream: TcpStream, status: &str) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    while !request.windows(8).any(|bytes| bytes == b"\r\n\r\nbody") {
        match stream.read(&mut buf)? {
            0 => return Ok(()),
            length => request.extend_from_slice(&buf[..length]),
        }
    }
    let request = String::from_utf8_lossy(&request);
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "));
    let answer = format!(
        "HTTP/1.1 {status} X\r\nrequest-id: {}\r\nresponse-signature: s.1\r\n\
         content-length: 2\r\nconnection: close\r\n\r\nok",
        id.unwrap_or_default()
    );
    stream.write_all(answer.as_bytes())
}

fn start(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Fails if the gateway closes first.
            std::thread::spawn(move || answer(stream, status));
        }
    });
    address
}

/// Calls an endpoint on each kind of route. Returns the answers' statuses.
fn statuses(status: &'static str) -> [StatusCode; 3] {
    let fleet = Fleet::new();
    let address = start(status);
    fleet.list("e1", "plain", address, "ready");
    fleet.list("i1", "engine", address, "ready");
    let gateway = fleet.gateway("g1");
    let call = |path: &str| fleet.call(&gateway, path, &[("request-id", "r1")]).status;
    ["/once/", "/safe/", "/turns/"].map(call)
}

// A status that no final answer has was passed on to the caller.
#[test]
fn a_status_out_of_range_is_no_answer() {
    for status in ["000", "001", "099", "101", "600", "777", "999"] {
        for answered in statuses(status) {
            assert_eq!(answered, StatusCode::BAD_GATEWAY, "{status}");
        }
    }
}

// An endpoint's status that promises callers that a request has not run was passed on,
// though the endpoint had not said so.
#[test]
fn a_status_is_no_promise_unless_the_endpoint_says_so() {
    for status in ["408", "429", "503"] {
        for answered in statuses(status) {
            assert_eq!(answered, StatusCode::BAD_GATEWAY, "{status}");
        }
    }
    assert_eq!(statuses("500")[0], StatusCode::INTERNAL_SERVER_ERROR);
}
