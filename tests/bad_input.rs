//! Invalid requests from callers are refused with a problem body and reach no
//! endpoint.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;

use support::Answer;
use support::Fleet;
use support::FleetSpec;
use support::HANG_GUARD;
use support::OTHER_SECRET;
use support::Req;
use support::SECRET;

const SETTINGS: &str = "
[caller]
max_header_bytes = 4096
max_body_bytes = 65536
body_timeout_ms = 300
";

fn start_fleet() -> Fleet {
    Fleet::start(FleetSpec {
        data_centres: vec![("north", 1)],
        settings: SETTINGS.to_owned(),
        ..FleetSpec::default()
    })
}

/// Asserts that the answer is a `not-run` refusal and that no endpoint ran a
/// call.
fn assert_refused(fleet: &Fleet, answer: &Answer, status: u16, problem: &str) {
    assert_eq!(answer.status.as_u16(), status, "{answer:?}");
    assert_eq!(answer.header("chicoryarch-outcome"), Some("not-run"));
    assert_eq!(
        answer.header("content-type"),
        Some("application/problem+json")
    );
    assert_eq!(answer.problem().as_deref(), Some(problem), "{answer:?}");
    assert_nothing_ran(fleet);
}

fn assert_nothing_ran(fleet: &Fleet) {
    for standin in [&fleet.engine, &fleet.service] {
        let runs = standin.read(&fleet.http, "/runs");
        assert_eq!(runs, serde_json::json!([]));
    }
}

fn send(fleet: &Fleet, req: &Req) -> Answer {
    fleet.http.send(fleet.hosts[0].callers, req)
}

/// Sends raw bytes and reads the answer until the connection closes.
///
/// With `close_write`, closes the sending side of the connection afterwards.
fn send_raw(fleet: &Fleet, bytes: &[u8], close_write: bool) -> String {
    let mut stream = TcpStream::connect(fleet.hosts[0].callers).expect("the port is open");
    stream
        .set_read_timeout(Some(HANG_GUARD))
        .expect("a timeout can be set");
    stream.write_all(bytes).expect("the bytes can be sent");
    if close_write {
        stream
            .shutdown(Shutdown::Write)
            .expect("the sending side can be closed");
    }
    let mut text = String::new();
    // A connection reset after the answer counts as its end.
    let _end = stream.read_to_string(&mut text);
    text
}

fn request_head(length: usize) -> String {
    format!(
        "POST /orders/x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         authorization: Bearer {SECRET}\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[test]
fn a_call_without_a_key_is_refused() {
    let fleet = start_fleet();
    let answer = send(&fleet, &Req::post("/orders/x"));
    assert_refused(&fleet, &answer, 401, "unauthorized");
}

#[test]
fn a_call_with_a_malformed_or_unknown_key_is_refused() {
    let fleet = start_fleet();
    let unknown = Req::post("/orders/x").bearer("chk_unknown");
    let basic = Req::post("/orders/x").header("authorization", format!("Basic {SECRET}"));
    let twice = Req::post("/orders/x").bearer(SECRET).bearer(OTHER_SECRET);
    for req in [unknown, basic, twice] {
        assert_refused(&fleet, &send(&fleet, &req), 401, "unauthorized");
    }
}

#[test]
fn a_call_to_an_unknown_service_is_refused() {
    let fleet = start_fleet();
    for path in ["/nothing/x", "/", "/UPPER/x", "/%00/x"] {
        let answer = send(&fleet, &Req::post(path).bearer(SECRET));
        assert_refused(&fleet, &answer, 404, "unknown-service");
    }
}

#[test]
fn an_oversized_header_section_is_refused() {
    let fleet = start_fleet();
    let req = Req::post("/orders/x")
        .bearer(SECRET)
        .header("x-long", "a".repeat(8192));
    assert_refused(&fleet, &send(&fleet, &req), 413, "too-large");
}

#[test]
fn an_oversized_body_is_refused() {
    let fleet = start_fleet();
    let req = Req::post("/orders/x")
        .bearer(SECRET)
        .body(vec![b'a'; 100_000]);
    assert_refused(&fleet, &send(&fleet, &req), 413, "too-large");
}

#[test]
fn a_malformed_ordinal_program_or_idempotency_key_is_refused() {
    let fleet = start_fleet();
    let malformed = [
        ("chicoryarch-call", "first"),
        ("chicoryarch-call", "0"),
        ("chicoryarch-call", "-1"),
        ("chicoryarch-program", "north.1"),
        ("chicoryarch-program", "north.01.0000000000000000"),
        ("idempotency-key", "two words"),
    ];
    for (name, value) in malformed {
        let req = Req::post("/orders/x").bearer(SECRET).header(name, value);
        assert_refused(&fleet, &send(&fleet, &req), 400, "bad-request");
    }
    let twice = Req::post("/orders/x")
        .bearer(SECRET)
        .header("chicoryarch-call", 1)
        .header("chicoryarch-call", 2);
    assert_refused(&fleet, &send(&fleet, &twice), 400, "bad-request");
}

#[test]
fn a_truncated_body_reaches_no_endpoint() {
    let fleet = start_fleet();
    let request = format!("{}half", request_head(100));
    let answer = send_raw(&fleet, request.as_bytes(), true);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("chicoryarch-outcome: not-run"), "{answer}");
    assert!(answer.contains("\"type\":\"bad-request\""), "{answer}");
    assert_nothing_ran(&fleet);
}

#[test]
fn a_slow_sender_is_refused() {
    let fleet = start_fleet();
    let request = format!("{}half", request_head(100));
    let answer = send_raw(&fleet, request.as_bytes(), false);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("chicoryarch-outcome: not-run"), "{answer}");
    assert!(answer.contains("\"type\":\"slow-sender\""), "{answer}");
    assert_nothing_ran(&fleet);
}

#[test]
fn a_completion_request_that_is_not_json_is_refused() {
    let fleet = start_fleet();
    let req = Req::post("/model/v1/chat/completions")
        .bearer(SECRET)
        .body("not json");
    assert_refused(&fleet, &send(&fleet, &req), 400, "bad-request");
}

#[test]
fn a_program_with_a_malformed_description_is_refused() {
    let fleet = start_fleet();
    for body in [
        "{\"budget\":-1}",
        "{\"bugdet\":1}",
        "[]",
        "{\"budget\":99999999999}",
    ] {
        let req = Req::post("/programs").bearer(SECRET).body(body);
        assert_refused(&fleet, &send(&fleet, &req), 400, "bad-request");
    }
}
