//! Reads the headers of callers' requests, valid and malformed ones.

use std::time::Duration;

use chicoryarch::gateway::call::CallMeta;
use chicoryarch::gateway::call::PromptPart;
use chicoryarch::gateway::refusal::Outcome;
use chicoryarch::gateway::refusal::Refusal;
use chicoryarch::gateway::routes::hash_key;
use chicoryarch::platform::ingress;
use http::HeaderValue;
use http::Request;

fn read(headers: &[(&str, &str)]) -> Result<CallMeta, Refusal> {
    let mut req = Request::post("/p/");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let (head, ()) = req.body(()).expect("valid headers").into_parts();
    ingress::read(&head)
}

const REQUIRED: [(&str, &str); 2] = [("host", "h:80"), ("request-id", "r1")];

fn read_with<'a>(extra: &[(&'a str, &'a str)]) -> Result<CallMeta, Refusal> {
    read(&[&REQUIRED[..], extra].concat())
}

#[test]
fn all_headers_of_a_turn_are_read() {
    let meta = read_with(&[
        ("deadline-ms", "1500"),
        ("credential", "k"),
        ("token-usage", "1460, 80"),
        ("prompt-prefix", "5c1e07a2:800,e4402b7d:660"),
        ("program-id", "p"),
        ("session-id", "s"),
        ("token-budget", "1080"),
        ("last-event-id", "12"),
        ("resumes", "r0"),
    ])
    .expect("a valid request");
    assert_eq!(&*meta.host, "h");
    assert_eq!(meta.time_left, Some(Duration::from_millis(1500)));
    assert_eq!(meta.key, Some(hash_key(b"k")));
    assert_eq!(meta.resume_after, Some(12));
    assert_eq!(meta.resumed_attempt.as_deref(), Some("r0"));
    let prompt = meta.prompt.expect("a prompt");
    assert_eq!((prompt.tokens, prompt.max_output), (1460, 80));
    let second = PromptPart {
        id: 0xe440_2b7d,
        tokens: 660,
    };
    assert_eq!(prompt.parts[1], second);
    assert_eq!(meta.program.expect("a program").budget, Some(1080));
}

#[test]
fn reserved_headers_are_not_forwarded() {
    let meta = read_with(&[
        ("credential", "k"),
        ("tenant", "other"),
        ("hold", "h"),
        ("pin-ms", "1"),
        ("kv-backup", "1.2.3.4:5"),
        ("kv-from", "1.2.3.4:5/x"),
        ("request-urgency", "0"),
        ("expect-instance", "i"),
        ("connection", "x-mine"),
        ("x-mine", "1"),
        ("cookie", "c"),
        ("x-other", "2"),
    ])
    .expect("a valid request");
    let mut names: Vec<_> = meta.forwarded.keys().map(|name| name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["cookie", "host", "request-id", "x-other"]);
}

#[test]
fn malformed_requests_are_refused() {
    let malformed: [&[(&str, &str)]; 9] = [
        &[("request-id", "r2")],
        &[("credential", "a"), ("credential", "b")],
        &[("content-length", "3"), ("transfer-encoding", "chunked")],
        &[("deadline-ms", "soon")],
        &[("token-usage", "12")],
        &[("token-usage", "1,1"), ("prompt-prefix", "zz:1")],
        &[("last-event-id", "-1")],
        &[("token-budget", "lots"), ("program-id", "p")],
        &[("host", "other")],
    ];
    for extra in malformed {
        let refusal = read_with(extra).expect_err("a malformed request");
        assert_eq!(refusal.outcome, Outcome::Malformed, "{extra:?}");
    }
    assert!(read(&[("host", "h")]).is_err());
}

#[test]
fn a_key_that_is_not_utf8_is_hashed() {
    let mut req = Request::post("/p/").header("host", "h");
    req = req.header("request-id", "r");
    let opaque = HeaderValue::from_bytes(b"k\xff\xfe").expect("opaque bytes");
    let (head, ()) = req
        .header("credential", opaque)
        .body(())
        .expect("valid headers")
        .into_parts();
    let meta = ingress::read(&head).expect("a valid request");
    assert_eq!(meta.key, Some(hash_key(b"k\xff\xfe")));
}

#[test]
fn a_refusal_has_a_retry_time() {
    let refusal = Refusal::not_run("no endpoint", Duration::from_millis(250));
    let response = ingress::refusal_response(&refusal, Some("r1"));
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["retry-after"], "0.250");
    assert_eq!(response.headers()["request-id"], "r1");
}
