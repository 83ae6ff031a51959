//! Calls to plain services: routes, keys, repeats and refusals.

use chicoryarch_standins::fleet::endpoint::Behaviour;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::configuration;

#[test]
fn a_call_reaches_its_endpoint_with_the_customer_and_without_the_key() {
    let fleet = Fleet::new();
    let endpoint = fleet.endpoint("e1", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(
        &gateway,
        "/safe/x?y=1",
        &[("request-id", "r1"), ("tenant", "z")],
    );
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["request-id"], "r1");
    assert_eq!(answer.headers["response-signature"], "standin.1");
    assert_eq!(answer.body.as_deref(), Some(&b"done"[..]));
    let runs = endpoint.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].customer.as_deref(), Some("customer-1"));
    assert!(!runs[0].headers.iter().any(|name| name == "credential"));
}

#[test]
fn unknown_routes_and_withdrawn_keys_are_refused() {
    let fleet = Fleet::new();
    let endpoint = fleet.endpoint("e1", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    let mut no_key = configuration(2);
    no_key["tenants"][0]["api_keys"] = json!(["key-2"]);
    let unrouted = fleet.call(&gateway, "/nowhere/", &[("request-id", "r1")]);
    assert_eq!(unrouted.status, 404);
    fleet.store.put("config", "main", no_key);
    let withdrawn = || {
        fleet
            .call(&gateway, "/safe/", &[("request-id", "r2")])
            .status
    };
    super::fleet::wait_until("the key is withdrawn", || withdrawn() == 401);
    let open = fleet.call(&gateway, "/open/", &[("request-id", "r3")]);
    assert_eq!(open.status, 200);
    assert_eq!(
        endpoint.runs().last().and_then(|run| run.customer.clone()),
        None
    );
}

#[test]
fn a_once_only_call_is_not_repeated_after_a_lost_answer() {
    let fleet = Fleet::new();
    let lossy = Behaviour {
        lost_answers: 1,
        ..Behaviour::default()
    };
    let endpoints = [
        fleet.endpoint("e1", "plain", lossy),
        fleet.endpoint("e2", "plain", lossy),
    ];
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 502);
    let runs: usize = endpoints.iter().map(|e| e.runs().len()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn an_idempotent_call_is_repeated_at_another_endpoint() {
    let fleet = Fleet::new();
    let lossy = Behaviour {
        lost_answers: 1,
        ..Behaviour::default()
    };
    let first = fleet.endpoint("e1", "plain", lossy);
    let second = fleet.endpoint("e2", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    let mut sent = 0;
    super::fleet::wait_until("the first endpoint lost an answer", || {
        sent += 1;
        let id = format!("r{sent}");
        let answer = fleet.call(&gateway, "/safe/", &[("request-id", &id)]);
        assert_eq!(answer.status, 200);
        first
            .runs()
            .iter()
            .any(|run| second.runs().iter().any(|r| r.id == run.id))
    });
}

#[test]
fn an_idempotent_call_is_repeated_at_the_only_endpoint() {
    let fleet = Fleet::new();
    let lossy = Behaviour {
        lost_answers: 1,
        ..Behaviour::default()
    };
    let endpoint = fleet.endpoint("e1", "plain", lossy);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/safe/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 200);
    assert_eq!(endpoint.runs().len(), 2);
}

#[test]
fn a_once_only_call_is_sent_on_after_a_refusal() {
    let fleet = Fleet::new();
    let full = Behaviour {
        refused_requests: 1000,
        ..Behaviour::default()
    };
    let refusing = fleet.endpoint("e1", "plain", full);
    let accepting = fleet.endpoint("e2", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    for call in 0..6 {
        let id = format!("r{call}");
        let answer = fleet.call(&gateway, "/once/", &[("request-id", &id)]);
        assert_eq!(answer.status, 200);
    }
    assert_eq!(refusing.runs().len(), 0);
    assert_eq!(accepting.runs().len(), 6);
}

#[test]
fn a_refusal_without_endpoints_has_a_retry_time() {
    let fleet = Fleet::new();
    let full = Behaviour {
        refused_requests: 1000,
        ..Behaviour::default()
    };
    let endpoint = fleet.endpoint("e1", "plain", full);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(endpoint.runs().len(), 0);
}

#[test]
fn an_answer_to_another_request_never_reaches_a_caller() {
    let fleet = Fleet::new();
    let misdirecting = Behaviour {
        mismatched_answers: 1,
        ..Behaviour::default()
    };
    let endpoint = fleet.endpoint("e1", "plain", misdirecting);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 502);
    assert_ne!(answer.body.as_deref(), Some(&b"other"[..]));
    assert_eq!(endpoint.runs().len(), 1);
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r2")]);
    assert_eq!(answer.status, 200);
}

#[test]
fn a_call_to_a_reused_address_does_not_run() {
    let fleet = Fleet::new();
    let endpoint = fleet.endpoint("new", "plain", Behaviour::default());
    fleet.store.delete("servers", "new");
    fleet.list("old", "plain", endpoint.addr(), "ready");
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 503);
    assert_eq!(endpoint.runs().len(), 0);
}

#[test]
fn a_body_over_the_limit_is_refused_before_it_runs() {
    let fleet = Fleet::new();
    let endpoint = fleet.endpoint("e1", "plain", Behaviour::default());
    let mut small = configuration(1);
    small["limits"]["max_body_bytes"] = json!(3);
    fleet.store.put("config", "main", small);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/safe/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 413);
    assert_eq!(endpoint.runs().len(), 0);
}
