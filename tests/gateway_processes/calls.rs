//! Plain calls: routes, keys, what may be repeated and true refusals.

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
fn what_no_configuration_allows_is_refused_and_does_not_run() {
    let fleet = Fleet::new();
    let endpoint = fleet.endpoint("e1", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    let mut no_key = configuration(2);
    no_key["tenants"][0]["api_keys"] = json!(["key-2"]);
    let nowhere = fleet.call(&gateway, "/nowhere/", &[("request-id", "r1")]);
    assert_eq!(nowhere.status, 404);
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
fn a_call_that_may_not_be_repeated_runs_once_though_its_answer_is_lost() {
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
fn a_call_that_may_be_repeated_runs_again_elsewhere() {
    let fleet = Fleet::new();
    let lossy = Behaviour {
        lost_answers: 1,
        ..Behaviour::default()
    };
    let first = fleet.endpoint("e1", "plain", lossy);
    let second = fleet.endpoint("e2", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    let mut asked = 0;
    super::fleet::wait_until("the first endpoint lost an answer", || {
        asked += 1;
        let id = format!("r{asked}");
        let answer = fleet.call(&gateway, "/safe/", &[("request-id", &id)]);
        assert_eq!(answer.status, 200);
        first
            .runs()
            .iter()
            .any(|run| second.runs().iter().any(|r| r.id == run.id))
    });
}

#[test]
fn a_call_that_may_be_repeated_runs_again_at_the_only_endpoint() {
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
fn an_endpoint_that_refuses_is_passed_over_even_for_once_only_calls() {
    let fleet = Fleet::new();
    let full = Behaviour {
        refused: 1000,
        ..Behaviour::default()
    };
    let refusing = fleet.endpoint("e1", "plain", full);
    let taking = fleet.endpoint("e2", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    for call in 0..6 {
        let id = format!("r{call}");
        let answer = fleet.call(&gateway, "/once/", &[("request-id", &id)]);
        assert_eq!(answer.status, 200);
    }
    assert_eq!(refusing.runs().len(), 0);
    assert_eq!(taking.runs().len(), 6);
}

#[test]
fn a_refusal_for_want_of_endpoints_is_true_and_tells_when_to_come_back() {
    let fleet = Fleet::new();
    let full = Behaviour {
        refused: 1000,
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
    let crossing = Behaviour {
        foreign_answers: 1,
        ..Behaviour::default()
    };
    let endpoint = fleet.endpoint("e1", "plain", crossing);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 502);
    assert_ne!(answer.body.as_deref(), Some(&b"other"[..]));
    assert_eq!(endpoint.runs().len(), 1);
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r2")]);
    assert_eq!(answer.status, 200);
}

#[test]
fn an_address_that_another_endpoint_took_over_runs_nothing() {
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
