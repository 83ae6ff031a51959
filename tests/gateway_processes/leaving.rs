//! Endpoints that announce in an answer that they are shutting down.
//!
//! The list of endpoints may show it late or not at all, so the announcement
//! alone has to keep later requests away.

use std::time::Duration;

use chicoryarch_standins::fleet::endpoint::Behaviour;

use super::fleet::Fleet;
use super::fleet::wait_until;

const REQUESTS: usize = 8;
/// Time within which a gateway has applied a change of the list.
const LIST_CHANGE: Duration = Duration::from_secs(1);

const LEAVING: Behaviour = Behaviour {
    is_leaving: true,
    ..Behaviour::SOUND
};

/// Sends a request to the only endpoint, which answers it with a notice, and
/// checks that no further request reaches that endpoint.
fn expect_no_request_after_the_notice(path: &str, service: &str, behaviour: Behaviour) {
    let fleet = Fleet::new();
    let leaving = fleet.endpoint("leaving", service, behaviour);
    let gateway = fleet.gateway("g1");
    fleet.call(&gateway, path, &[("request-id", "r0")]);
    let answers = leaving.answers();
    assert!(answers > 0);
    for call in 1..=REQUESTS {
        let id = format!("r{call}");
        let refused = fleet.call(&gateway, path, &[("request-id", &id)]);
        assert_eq!(refused.status, 503);
    }
    assert_eq!(leaving.answers(), answers);
}

#[test]
fn a_notice_in_an_answer_counts() {
    expect_no_request_after_the_notice("/once/", "plain", LEAVING);
}

#[test]
fn a_notice_in_the_head_of_a_stream_counts() {
    let engine = Behaviour {
        events: 3,
        ..LEAVING
    };
    expect_no_request_after_the_notice("/turns/", "engine", engine);
}

#[test]
fn a_notice_in_a_server_error_counts() {
    let failing = Behaviour {
        failed_requests: 1000,
        ..LEAVING
    };
    expect_no_request_after_the_notice("/once/", "plain", failing);
}

#[test]
fn a_notice_in_a_refusal_counts() {
    let full = Behaviour {
        refused_requests: 1000,
        ..LEAVING
    };
    expect_no_request_after_the_notice("/once/", "plain", full);
}

#[test]
fn a_notice_in_an_answer_to_another_request_counts() {
    let misdirecting = Behaviour {
        mismatched_answers: 1000,
        ..LEAVING
    };
    expect_no_request_after_the_notice("/once/", "plain", misdirecting);
}

#[test]
fn a_notice_counts_after_the_entry_returns_to_the_list() {
    let fleet = Fleet::new();
    let leaving = fleet.endpoint("leaving", "plain", LEAVING);
    let gateway = fleet.gateway("g1");
    let first = fleet.call(&gateway, "/once/", &[("request-id", "r1")]);
    assert_eq!(first.status, 200);
    fleet.store.delete("servers", "leaving");
    fleet.endpoint("staying", "plain", Behaviour::default());
    wait_until("the list has changed", || {
        fleet
            .call(&gateway, "/once/", &[("request-id", "r2")])
            .status
            == 200
    });
    fleet.list("leaving", "plain", leaving.addr(), "ready");
    std::thread::sleep(LIST_CHANGE);
    for call in 0..REQUESTS {
        let id = format!("later{call}");
        fleet.call(&gateway, "/once/", &[("request-id", &id)]);
    }
    assert_eq!(leaving.answers(), 1);
}

#[test]
fn a_request_is_refused_with_a_retry_time_if_every_endpoint_is_leaving() {
    let fleet = Fleet::new();
    fleet.endpoint("leaving", "plain", LEAVING);
    let gateway = fleet.gateway("g1");
    let first = fleet.call(&gateway, "/safe/", &[("request-id", "r1")]);
    assert_eq!(first.status, 200);
    let second = fleet.call(&gateway, "/safe/", &[("request-id", "r2")]);
    assert_eq!(second.status, 503);
    assert!(second.headers.contains_key("retry-after"));
}
