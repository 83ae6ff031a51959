//! Tests of the platform stand-in over HTTP.

mod common;

use std::collections::BTreeSet;

use chicoryarch_standins::platform::PlatformStandin;
use chicoryarch_standins::platform::counts::Counts;
use chicoryarch_standins::platform::counts::Method as Call;
use chicoryarch_standins::platform::hosts::HostStatus;
use chicoryarch_standins::platform::store::Listing;
use chicoryarch_standins::platform::store::MAX_VALUE_BYTES;
use chicoryarch_standins::platform::switches::Switches;
use common::Answer;
use common::Caller;
use common::Headers;
use common::SPAWNER;
use common::any_port;
use common::run_test;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

/// Path of the object that the tests write.
const OBJECT: &str = "/objects/thing/one";
/// Header of a write that requires the object to be absent.
const CREATE: Headers<'static> = &[("if-none-match", "*")];

async fn start_standin() -> (PlatformStandin, Caller) {
    let standin = PlatformStandin::start(&SPAWNER, any_port()).await.unwrap();
    let caller = Caller::new(standin.addr());
    (standin, caller)
}

async fn put_object(caller: &Caller, headers: Headers<'_>, value: &str) -> Answer {
    caller
        .call(Method::PUT, OBJECT, headers, value.to_owned())
        .await
}

fn entity_tag(answer: &Answer) -> &str {
    answer.headers["etag"].to_str().unwrap()
}

#[test]
fn a_version_is_a_quoted_number() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let created = put_object(&caller, CREATE, "a").await;
        assert_eq!(entity_tag(&created), "\"1\"");
        let read = caller.call(Method::GET, OBJECT, &[], "").await;
        assert_eq!((entity_tag(&read), read.text()), ("\"1\"", "a".to_owned()));
    });
}

#[test]
fn a_write_without_a_condition_is_refused() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        let refused = put_object(&caller, &[], "a").await;
        assert_eq!(refused.status, StatusCode::PRECONDITION_REQUIRED);
        assert_eq!(standin.counts().effects, 0);
    });
}

#[test]
fn a_write_with_another_version_is_refused() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        put_object(&caller, CREATE, "a").await;
        let refused = put_object(&caller, &[("if-match", "\"7\"")], "b").await;
        assert_eq!(refused.status, StatusCode::PRECONDITION_FAILED);
        let again = put_object(&caller, CREATE, "b").await;
        assert_eq!(again.status, StatusCode::PRECONDITION_FAILED);
    });
}

#[test]
fn a_malformed_condition_is_refused() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        for condition in [("if-match", "7"), ("if-none-match", "\"7\"")] {
            let refused = put_object(&caller, &[condition], "a").await;
            assert_eq!(refused.status, StatusCode::BAD_REQUEST);
        }
    });
}

#[test]
fn a_value_above_the_limit_is_refused_with_the_limit() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let value = vec![0; MAX_VALUE_BYTES + 1];
        let refused = caller.call(Method::PUT, OBJECT, CREATE, value).await;
        assert_eq!(refused.status, StatusCode::PAYLOAD_TOO_LARGE);
        let problem: Value = refused.json();
        let detail = problem["detail"].as_str().unwrap();
        assert!(detail.contains("1048576"), "{detail}");
    });
}

#[test]
fn a_watch_marks_a_removed_object() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        put_object(&caller, CREATE, "a").await;
        let condition = [("if-match", "\"1\"")];
        caller.call(Method::DELETE, OBJECT, &condition, "").await;
        let changes: Listing = caller.get("/watch/thing?since=1&timeout_ms=0").await;
        assert_eq!(changes.upto, 2);
        assert!(changes.objects[0].removed);
        let list: Listing = caller.get("/objects/thing").await;
        assert!(list.objects.is_empty());
    });
}

#[test]
fn an_unknown_parameter_is_refused() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        for path in ["/objects/thing?prefx=a", "/watch/thing?since=x"] {
            let refused = caller.call(Method::GET, path, &[], "").await;
            assert_eq!(refused.status, StatusCode::BAD_REQUEST);
        }
    });
}

#[test]
fn a_name_with_invalid_characters_is_refused() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        for path in ["/objects/thing/a%20b", "/objects/thing/", "/objects//a"] {
            let refused = caller.call(Method::GET, path, &[], "").await;
            assert_eq!(refused.status, StatusCode::BAD_REQUEST);
        }
    });
}

#[test]
fn an_unknown_switch_is_refused_with_a_list_of_the_known_ones() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let wrong = json!({ "outt": true });
        let refused = caller.send_json(Method::PUT, "/switches", &wrong).await;
        assert_eq!(refused.status, StatusCode::BAD_REQUEST);
        assert!(refused.text().contains("lose_answers"));
    });
}

#[test]
fn switches_are_set_over_http() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let switches = json!({ "out": true, "kinds": ["thing"], "clients": ["host-a"] });
        caller.send_json(Method::PUT, "/switches", &switches).await;
        let mut statuses = Vec::new();
        for (path, client) in [
            ("/objects/thing", "host-a"),
            ("/objects/other", "host-a"),
            ("/objects/thing", "host-b"),
        ] {
            let headers = [("chicoryarch-host", client)];
            let answer = caller.call(Method::GET, path, &headers, "").await;
            statuses.push(answer.status.as_u16());
        }
        assert_eq!(statuses, [503, 200, 200]);
    });
}

#[test]
fn a_lost_answer_decrements_its_count() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            lose_answers: 1,
            ..Switches::default()
        });
        let lost = caller.send(Method::PUT, OBJECT, CREATE, "a").await;
        assert!(!lost.unwrap_err().is_not_sent());
        let left: Switches = caller.get("/switches").await;
        assert_eq!(left.lose_answers, 0);
        assert_eq!(standin.counts().effects, 1);
    });
}

#[test]
fn a_lost_request_has_no_effect() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            lose_requests: 1,
            ..Switches::default()
        });
        let lost = caller.send(Method::PUT, OBJECT, CREATE, "a").await;
        assert!(!lost.unwrap_err().is_not_sent());
        assert_eq!(standin.counts().effects, 0);
    });
}

#[test]
fn faults_for_one_client_are_not_used_up_by_another() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            clients: BTreeSet::from(["host-a".to_owned()]),
            lose_answers: 1,
            ..Switches::default()
        });
        put_object(&caller, CREATE, "a").await;
        let left: Switches = caller.get("/switches").await;
        assert_eq!(left.lose_answers, 1);
    });
}

#[test]
fn the_list_of_hosts_is_set_over_http() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let list = json!({ "hosts": [{ "host": "box-1", "leaving": true }], "lag_ms": 0 });
        caller
            .send_json(Method::PUT, "/switches/hosts", &list)
            .await;
        let hosts: Vec<HostStatus> = caller.get("/hosts").await;
        let expected = HostStatus {
            host: "box-1".to_owned(),
            leaving: true,
        };
        assert_eq!(hosts, [expected]);
    });
}

#[test]
fn calls_are_counted_by_method_kind_and_client() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let headers = [("chicoryarch-host", "host-a"), ("if-none-match", "*")];
        put_object(&caller, &headers, "a").await;
        put_object(&caller, &headers, "b").await;
        caller.get::<Listing>("/objects/thing").await;
        let counts: Counts = caller.get("/counts").await;
        let writes = counts.total(|call| call.method == Call::Write && call.client == "host-a");
        assert_eq!(writes, 2);
        assert_eq!(counts.total(|call| call.kind == "thing"), 3);
        assert_eq!(counts.effects, 1);
    });
}
