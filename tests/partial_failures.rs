//! Data centre loss, network partitions and simultaneous failures, on separate
//! processes.

mod support;

use serde_json::Value;
use serde_json::json;
use support::Answer;
use support::Fleet;
use support::FleetSpec;
use support::Req;
use support::SECRET;
use support::completion;
use support::wait_until;

fn model_call(program: &str, ordinal: u64) -> Req {
    Req::post("/model/v1/chat/completions")
        .bearer(SECRET)
        .header("chicoryarch-program", program)
        .header("chicoryarch-call", ordinal)
        .body(completion("x"))
}

fn order_request(key: &str, program: &str) -> Req {
    Req::post("/orders/confirm")
        .bearer(SECRET)
        .header("idempotency-key", key)
        .header("chicoryarch-program", program)
        .body("{}")
}

fn runs_of_key(fleet: &Fleet, key: &str) -> usize {
    let runs = fleet.service.read(&fleet.http, "/runs");
    let runs: Vec<Value> = runs.as_array().expect("a list of runs").clone();
    runs.iter()
        .filter(|run| run["idempotency_key"] == key)
        .count()
}

/// Resends a call until the answer is no longer a `not-run` refusal.
fn send_until_run(fleet: &Fleet, host: usize, req: &Req) -> Answer {
    let mut last = None;
    wait_until("the call is accepted", || {
        let answer = fleet.http.send(fleet.hosts[host].callers, req);
        let refused = answer.header("chicoryarch-outcome") == Some("not-run");
        last = Some(answer);
        !refused
    });
    last.expect("an answer")
}

fn start_two_data_centres() -> Fleet {
    Fleet::start(FleetSpec {
        data_centres: vec![("north", 1), ("south", 2)],
        ..FleetSpec::default()
    })
}

#[test]
fn programs_survive_the_loss_of_a_data_centre() {
    let mut fleet = start_two_data_centres();
    let program = fleet.open_program(0, "{}");
    let first = fleet
        .http
        .send(fleet.hosts[0].callers, &model_call(&program, 1));
    assert!(first.is_success(), "{first:?}");
    let done = fleet
        .http
        .send(fleet.hosts[1].callers, &order_request("done", &program));
    assert!(done.is_success(), "{done:?}");
    fleet.hosts[0].process.kill();
    let replayed = send_until_run(&fleet, 1, &order_request("done", &program));
    assert_eq!(
        replayed.header("chicoryarch-replayed"),
        Some("true"),
        "{replayed:?}"
    );
    let next = send_until_run(&fleet, 2, &model_call(&program, 3));
    assert!(next.is_success(), "{next:?}");
    fleet.restart_host(0);
    let back = send_until_run(&fleet, 0, &model_call(&program, 4));
    assert!(back.is_success(), "{back:?}");
    assert_eq!(runs_of_key(&fleet, "done"), 1);
}

#[test]
fn data_centre_cut_from_the_platform_runs_repeatable_calls_only() {
    let fleet = start_two_data_centres();
    let program = fleet.open_program(1, "{}");
    let first = fleet
        .http
        .send(fleet.hosts[1].callers, &model_call(&program, 1));
    assert!(first.is_success(), "{first:?}");
    let south = json!({"cut": ["south-0", "south-1"]});
    fleet.platform.switch(&fleet.http, &south);
    wait_until("the leases have expired", || {
        let lapsed = |h: &support::Host| h.metric(&fleet.http, "chicoryarch_leases_lapsed") >= 1.0;
        fleet.hosts[1..].iter().all(lapsed)
    });
    for n in 2..5 {
        let answer = send_until_run(&fleet, 1, &model_call(&program, n));
        assert!(answer.is_success(), "{answer:?}");
    }
    let refused = fleet
        .http
        .send(fleet.hosts[1].callers, &order_request("cut", &program));
    assert_eq!(
        refused.header("chicoryarch-outcome"),
        Some("not-run"),
        "{refused:?}"
    );
    assert_eq!(runs_of_key(&fleet, "cut"), 0);
}

#[test]
fn host_isolated_from_its_peers_runs_nothing_twice() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    // A different peer secret isolates the host from its peers but not from the
    // platform.
    fleet.peer_secret = "another-secret-0123456789abcdef";
    fleet.add_host("north", "north-cut");
    for n in 0..6 {
        let key = format!("k{n}");
        let host = 2 * (n % 2);
        let answer = fleet
            .http
            .send(fleet.hosts[host].callers, &order_request(&key, &program));
        if !answer.is_success() {
            assert_eq!(
                answer.header("chicoryarch-outcome"),
                Some("not-run"),
                "{answer:?}"
            );
        }
        assert!(runs_of_key(&fleet, &key) <= 1);
        assert_eq!(answer.is_success(), runs_of_key(&fleet, &key) == 1);
    }
}

#[test]
fn slow_platform_loses_no_calls() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    fleet
        .platform
        .switch(&fleet.http, &json!({"delay_ms": 100}));
    for n in 0..4 {
        let key = format!("slow-{n}");
        let answer = send_until_run(&fleet, n % 2, &order_request(&key, &program));
        assert!(answer.is_success(), "{answer:?}");
        assert_eq!(runs_of_key(&fleet, &key), 1);
    }
}

#[test]
fn killed_owner_and_lost_platform_answers_repeat_no_call() {
    let mut fleet = Fleet::start(FleetSpec {
        data_centres: vec![("north", 3)],
        ..FleetSpec::default()
    });
    let program = fleet.open_program(0, "{}");
    fleet.service.switch(&fleet.http, &json!({"slow_ms": 100}));
    let calls: Vec<_> = (0..8)
        .map(|n| {
            let req = order_request(&format!("both-{n}"), &program);
            fleet.http.start(fleet.hosts[1 + n % 2].callers, &req)
        })
        .collect();
    let lose = json!({"lose_answers": 3, "kinds": ["journal"]});
    fleet.platform.switch(&fleet.http, &lose);
    fleet.hosts[0].process.kill();
    for (n, call) in calls.into_iter().enumerate() {
        let answer = call.wait().expect("a complete answer");
        let ran = runs_of_key(&fleet, &format!("both-{n}"));
        assert!(ran <= 1, "{ran} runs: {answer:?}");
        match answer.header("chicoryarch-outcome") {
            Some("not-run") => assert_eq!(ran, 0, "{answer:?}"),
            Some(_) => {}
            None => assert_eq!(ran, 1, "{answer:?}"),
        }
    }
}

#[test]
fn frozen_owner_and_platform_outage_repeat_no_call() {
    let fleet = Fleet::start(FleetSpec {
        data_centres: vec![("north", 3)],
        ..FleetSpec::default()
    });
    let program = fleet.open_program(0, "{}");
    fleet.hosts[0].process.freeze();
    fleet.platform.switch(&fleet.http, &json!({"out": true}));
    let refused = fleet
        .http
        .start(fleet.hosts[1].callers, &order_request("frozen", &program));
    fleet.hosts[0].process.resume();
    fleet.platform.switch(&fleet.http, &json!({}));
    let first = refused.wait().expect("a complete answer");
    let ran = runs_of_key(&fleet, "frozen");
    assert_eq!(first.is_success(), ran == 1, "{first:?}");
    let again = send_until_run(&fleet, 2, &order_request("frozen", &program));
    let ran = runs_of_key(&fleet, "frozen");
    assert!(ran <= 1, "{ran} runs");
    assert_eq!(again.is_success(), ran == 1, "{again:?}");
}
