//! Messages by which one host sends a call through another.

use std::time::Duration;

use chicoryarch::connection::hop;
use chicoryarch::connection::hop::Hop;
use chicoryarch::connection::hop::HopOutcome;
use chicoryarch_net::Body;
use http::HeaderMap;
use http::Request;

fn wrapped() -> (Request<Body>, Hop) {
    let req = Request::post("/turns/a?b=c")
        .header("host", "h")
        .header("request-id", "r1")
        // A caller's header must not pass for a host's.
        .header("chicoryarch-endpoint", "another")
        .header("chicoryarch-max-idle-ms", "7")
        .body(Body::empty())
        .expect("a valid request");
    let hop = Hop {
        from: "g0".parse().expect("a name"),
        endpoint: "e1".into(),
        time_left: Duration::from_millis(1234),
        max_idle: None,
        is_repeatable: true,
    };
    (hop::wrap(req, &hop).expect("a valid path"), hop)
}

#[test]
fn a_hop_is_read_as_it_was_written_and_leaves_no_trace() {
    let (mut req, hop) = wrapped();
    assert!(hop::is_hop(req.uri().path()));
    assert_eq!(hop::unwrap(&mut req), Some(hop));
    assert_eq!(req.uri(), "/turns/a?b=c");
    let mut names: Vec<_> = req.headers().keys().map(ToString::to_string).collect();
    names.sort();
    assert_eq!(names, ["host", "request-id"]);
}

#[test]
fn a_request_without_a_whole_hop_is_no_hop() {
    for name in ["from", "endpoint", "remaining-ms", "repeatable"] {
        let (mut req, _) = wrapped();
        req.headers_mut().remove(format!("chicoryarch-{name}"));
        assert_eq!(hop::unwrap(&mut req), None, "{name}");
    }
}

#[test]
fn an_outcome_is_read_once() {
    for outcome in [
        HopOutcome::Answered,
        HopOutcome::Lost,
        HopOutcome::UnknownEndpoint,
    ] {
        let mut fields = HeaderMap::new();
        hop::set_outcome(&mut fields, outcome);
        assert_eq!(hop::take_outcome(&mut fields), Some(outcome));
        assert!(fields.is_empty());
        assert_eq!(hop::take_outcome(&mut fields), None);
    }
}
