//! Guarantees of the system, checked on separate processes with injected
//! failures.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use chicoryarch::version::objects::Service;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use support::Answer;
use support::Fleet;
use support::FleetSpec;
use support::OTHER_SECRET;
use support::Req;
use support::SECRET;
use support::completion;
use support::wait_until;

const COMPLETIONS: &str = "/model/v1/chat/completions";

fn model_call(program: &str, ordinal: u64, text: &str) -> Req {
    Req::post(COMPLETIONS)
        .bearer(SECRET)
        .header("chicoryarch-program", program)
        .header("chicoryarch-call", ordinal)
        .body(completion(text))
}

fn order_request(key: &str, body: &str) -> Req {
    Req::post("/orders/confirm")
        .bearer(SECRET)
        .header("idempotency-key", key)
        .body(body.to_owned())
}

fn runs(fleet: &Fleet, service: bool) -> Vec<Value> {
    let standin = if service {
        &fleet.service
    } else {
        &fleet.engine
    };
    let runs = standin.read(&fleet.http, "/runs");
    runs.as_array().expect("a list of runs").clone()
}

fn runs_of_key(fleet: &Fleet, key: &str) -> usize {
    let runs = runs(fleet, true);
    runs.iter()
        .filter(|run| run["idempotency_key"] == key)
        .count()
}

fn assert_not_run(answer: &Answer) {
    assert_eq!(
        answer.header("chicoryarch-outcome"),
        Some("not-run"),
        "{answer:?}"
    );
}

/// Returns the index of the host that owns a program and runs its calls.
fn owner_index(fleet: &Fleet, program: &str) -> usize {
    let rows = fleet.query(0, &format!("show programs where program = \"{program}\""));
    let host = rows["rows"][0]["host"]
        .as_str()
        .expect("an owner")
        .to_owned();
    let found = fleet.hosts.iter().position(|h| h.name == host);
    found.expect("the owner is in the fleet")
}

#[test]
fn calls_of_a_program_run_in_order() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let hosts = fleet.hosts.len();
    let calls: Vec<_> = (1..=12)
        .rev()
        .map(|n| {
            let host = &fleet.hosts[n as usize % hosts];
            fleet
                .http
                .start(host.callers, &model_call(&program, n, &format!("bar {n}")))
        })
        .collect();
    for call in calls {
        let answer = call.wait().expect("a complete answer");
        assert!(answer.is_success(), "{answer:?}");
    }
    let mut runs = runs(&fleet, false);
    runs.sort_by_key(|run| run["started"].as_u64());
    let mut last_end = 0;
    for (index, run) in runs.iter().enumerate() {
        let ordinal = index as u64 + 1;
        assert_eq!(run["ordinal"], ordinal);
        let body = completion(&format!("bar {ordinal}"));
        assert_eq!(run["body_digest"], hex::encode(Sha256::digest(body)));
        assert!(run["started"].as_u64().expect("a position") > last_end);
        last_end = run["ended"]["at"].as_u64().expect("an end");
    }
}

#[test]
fn call_order_survives_a_killed_owner() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let owner = owner_index(&fleet, &program);
    let other = 1 - owner;
    let first = fleet
        .http
        .send(fleet.hosts[other].callers, &model_call(&program, 1, "a"));
    assert!(first.is_success(), "{first:?}");
    fleet.hosts[owner].process.kill();
    let second = fleet
        .http
        .send(fleet.hosts[other].callers, &model_call(&program, 2, "b"));
    assert!(second.is_success(), "{second:?}");
    let stale = fleet
        .http
        .send(fleet.hosts[other].callers, &model_call(&program, 1, "a"));
    assert_eq!(
        stale.problem().as_deref(),
        Some("out-of-order"),
        "{stale:?}"
    );
    let order: Vec<_> = runs(&fleet, false)
        .iter()
        .map(|run| run["ordinal"].clone())
        .collect();
    assert_eq!(order, [json!(1), json!(2)]);
}

#[test]
fn budget_covers_child_programs_and_survives_a_killed_owner() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let budget = 150;
    let program = fleet.open_program(0, &format!("{{\"budget\":{budget}}}"));
    let child = fleet.open_program(0, &format!("{{\"parent\":\"{program}\"}}"));
    let owner = owner_index(&fleet, &program);
    let other = 1 - owner;
    let mut stopped = Vec::new();
    let mut spent = 0;
    for n in 1..=8 {
        if n == 3 {
            fleet.hosts[owner].process.kill();
        }
        for id in [&program, &child] {
            if stopped.contains(id) {
                continue;
            }
            let answer = fleet
                .http
                .send(fleet.hosts[other].callers, &model_call(id, n, "note"));
            if answer.is_success() {
                spent += support::usage(&answer);
            } else {
                assert_eq!(
                    answer.problem().as_deref(),
                    Some("budget-spent"),
                    "{answer:?}"
                );
                assert_not_run(&answer);
                stopped.push(id.clone());
            }
        }
    }
    assert_eq!(stopped.len(), 2, "sixteen calls did not exhaust the budget");
    assert!(spent > 0 && spent <= budget, "{spent} of {budget} tokens");
}

#[test]
fn once_only_call_runs_once_when_retried_at_every_host() {
    let fleet = Fleet::start(FleetSpec {
        data_centres: vec![("north", 2), ("south", 1)],
        ..FleetSpec::default()
    });
    let req = order_request("invoice-1", "{\"order\":1}");
    let answers: Vec<_> = (0..9)
        .map(|n| fleet.http.start(fleet.hosts[n % 3].callers, &req))
        .collect();
    for answer in answers {
        let answer = answer.wait().expect("a complete answer");
        let still_running = answer.problem().as_deref() == Some("still-running");
        assert!(answer.is_success() || still_running, "{answer:?}");
    }
    for host in &fleet.hosts {
        let again = fleet.http.send(host.callers, &req);
        assert!(again.is_success(), "{again:?}");
        assert_eq!(again.header("chicoryarch-replayed"), Some("true"));
    }
    assert_eq!(runs_of_key(&fleet, "invoice-1"), 1);
}

#[test]
fn idempotency_key_is_bound_to_its_customer_and_body() {
    let fleet = Fleet::start(FleetSpec::default());
    let host = fleet.hosts[0].callers;
    let first = fleet.http.send(host, &order_request("k", "{\"order\":1}"));
    assert!(first.is_success(), "{first:?}");
    let other_body = fleet.http.send(host, &order_request("k", "{\"order\":2}"));
    assert_eq!(other_body.problem().as_deref(), Some("conflicting-key"));
    assert_not_run(&other_body);
    let mut other_customer = order_request("k", "{\"order\":1}");
    other_customer.headers.remove("authorization");
    let second = fleet.http.send(host, &other_customer.bearer(OTHER_SECRET));
    assert!(second.is_success(), "{second:?}");
    assert_eq!(second.header("chicoryarch-replayed"), None);
    assert_eq!(runs_of_key(&fleet, "k"), 2);
}

#[test]
fn once_only_call_with_a_lost_answer_is_unknown_and_not_repeated() {
    let fleet = Fleet::start(FleetSpec::default());
    let host = fleet.hosts[0].callers;
    fleet.service.switch(&fleet.http, &json!({"die_after": 1}));
    let lost = fleet.http.send(host, &order_request("lost", "{}"));
    assert_eq!(
        lost.header("chicoryarch-outcome"),
        Some("unknown"),
        "{lost:?}"
    );
    for host in &fleet.hosts {
        let again = fleet.http.send(host.callers, &order_request("lost", "{}"));
        assert_eq!(
            again.header("chicoryarch-outcome"),
            Some("unknown"),
            "{again:?}"
        );
    }
    assert_eq!(runs_of_key(&fleet, "lost"), 1);
}

#[test]
fn once_only_call_is_unknown_if_its_owner_is_killed() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let owner = owner_index(&fleet, &program);
    let other = fleet.hosts[1 - owner].callers;
    fleet.service.switch(&fleet.http, &json!({"hang": true}));
    let req = order_request("print", "{}").header("chicoryarch-program", &program);
    let pending = fleet.http.start(other, &req);
    wait_until("the call runs", || runs_of_key(&fleet, "print") == 1);
    fleet.hosts[owner].process.kill();
    let lost = pending.wait().expect("a complete answer");
    assert_eq!(
        lost.header("chicoryarch-outcome"),
        Some("unknown"),
        "{lost:?}"
    );
    fleet.service.switch(&fleet.http, &json!({}));
    let again = fleet.http.send(other, &req);
    assert_eq!(
        again.header("chicoryarch-outcome"),
        Some("unknown"),
        "{again:?}"
    );
    assert_eq!(runs_of_key(&fleet, "print"), 1);
}

#[test]
fn frozen_owner_runs_nothing_twice_after_takeover() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let owner = owner_index(&fleet, &program);
    let other = fleet.hosts[1 - owner].callers;
    fleet.hosts[owner].process.freeze();
    let sent_to_frozen = {
        let req = order_request("cert", "{}").header("chicoryarch-program", &program);
        fleet.http.start(fleet.hosts[owner].callers, &req)
    };
    let req = order_request("cert", "{}").header("chicoryarch-program", &program);
    let taken_over = fleet.http.send(other, &req);
    assert!(taken_over.is_success(), "{taken_over:?}");
    fleet.hosts[owner].process.resume();
    let late = sent_to_frozen.wait().expect("a complete answer");
    // The resumed host either forwards the call to the new owner or refuses it.
    assert!(
        late.is_success() || late.header("chicoryarch-outcome").is_some(),
        "{late:?}"
    );
    assert_eq!(runs_of_key(&fleet, "cert"), 1);
}

#[test]
fn only_repeatable_calls_run_during_a_platform_outage() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let host = fleet.hosts[0].callers;
    let warm = fleet.http.send(host, &model_call(&program, 1, "warm"));
    assert!(warm.is_success(), "{warm:?}");
    let known = fleet.http.send(host, &order_request("known", "{}"));
    assert!(known.is_success(), "{known:?}");
    fleet.platform.switch(&fleet.http, &json!({"out": true}));
    let refused = fleet.http.send(host, &order_request("new", "{}"));
    assert_not_run(&refused);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    wait_until("both leases have expired", || {
        let lapsed = |h: &support::Host| h.metric(&fleet.http, "chicoryarch_leases_lapsed") >= 1.0;
        fleet.hosts.iter().all(lapsed)
    });
    for n in 2..6 {
        let answer = fleet.http.send(host, &model_call(&program, n, "on"));
        assert!(answer.is_success(), "{answer:?}");
    }
    assert_eq!(runs_of_key(&fleet, "new"), 0);
    fleet.platform.switch(&fleet.http, &json!({}));
    wait_until("once-only calls run again", || {
        fleet
            .http
            .send(host, &order_request("new", "{}"))
            .is_success()
    });
    assert_eq!(runs_of_key(&fleet, "new"), 1);
}

#[test]
fn lost_platform_answer_neither_loses_nor_repeats_a_call() {
    let fleet = Fleet::start(FleetSpec::default());
    for n in 0..4 {
        fleet.platform.switch(
            &fleet.http,
            &json!({"lose_answers": 2, "kinds": ["journal"]}),
        );
        let key = format!("k{n}");
        let host = &fleet.hosts[n % 2];
        let answer = fleet.http.send(host.callers, &order_request(&key, "{}"));
        if !answer.is_success() {
            assert_not_run(&answer);
            fleet.platform.switch(&fleet.http, &json!({}));
            wait_until("the call runs", || {
                fleet
                    .http
                    .send(host.callers, &order_request(&key, "{}"))
                    .is_success()
            });
        }
        assert_eq!(runs_of_key(&fleet, &key), 1);
    }
}

#[test]
fn caller_key_is_not_forwarded_to_endpoints() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    for host in &fleet.hosts {
        let n = 1 + u64::from(host.name == fleet.hosts[1].name);
        let answer = fleet.http.send(host.callers, &model_call(&program, n, "x"));
        assert!(answer.is_success(), "{answer:?}");
        let answer = fleet
            .http
            .send(host.callers, &order_request(&host.name, "{}"));
        assert!(answer.is_success(), "{answer:?}");
    }
    let all = format!("{:?}{:?}", runs(&fleet, false), runs(&fleet, true));
    assert!(
        !all.contains(SECRET) && !all.contains("authorization"),
        "{all}"
    );
}

#[test]
fn withdrawn_key_is_refused_at_every_host() {
    let fleet = Fleet::start(FleetSpec::default());
    fleet.service.switch(&fleet.http, &json!({"hang": true}));
    let running = fleet.http.start(
        fleet.hosts[0].callers,
        &Req::post("/lookup/x").bearer(SECRET),
    );
    wait_until("a call runs", || !runs(&fleet, true).is_empty());
    fleet.run_statement(1, "withdraw key main for choir wait 20");
    for host in &fleet.hosts {
        let refused = fleet
            .http
            .send(host.callers, &Req::post("/lookup/y").bearer(SECRET));
        assert_eq!(
            refused.problem().as_deref(),
            Some("unauthorized"),
            "{refused:?}"
        );
        assert_not_run(&refused);
        let other = fleet
            .http
            .start(host.callers, &Req::post("/lookup/z").bearer(OTHER_SECRET));
        drop(other);
    }
    drop(running);
    let seen = runs(&fleet, true);
    assert!(seen.iter().all(|run| run["path"] != "/y"), "{seen:?}");
}

#[test]
fn key_withdrawn_during_a_platform_outage_is_refused() {
    let fleet = Fleet::start(FleetSpec::default());
    fleet.platform.switch(&fleet.http, &json!({"out": true}));
    fleet.run_statement(0, "withdraw key main for choir");
    for host in &fleet.hosts {
        let refused = fleet
            .http
            .send(host.callers, &Req::post("/lookup/y").bearer(SECRET));
        assert_eq!(
            refused.problem().as_deref(),
            Some("unauthorized"),
            "{refused:?}"
        );
    }
    assert!(runs(&fleet, true).is_empty());
}

#[test]
fn request_cannot_run_on_behalf_of_another_customer() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let mut req = model_call(&program, 1, "x");
    req.headers.remove("authorization");
    let forged = req
        .clone()
        .header("chicoryarch-caller", "choir/main")
        .bearer(OTHER_SECRET);
    for host in &fleet.hosts {
        let refused = fleet.http.send(host.callers, &forged);
        assert_eq!(
            refused.problem().as_deref(),
            Some("unknown-program"),
            "{refused:?}"
        );
        assert_not_run(&refused);
        let at_peers = fleet.http.send(host.peers, &forged);
        assert_eq!(at_peers.status.as_u16(), 401);
        let at_operators = Req::post("/operate").bearer(SECRET).body("show hosts");
        assert_eq!(
            fleet
                .http
                .send(host.operators, &at_operators)
                .status
                .as_u16(),
            401
        );
    }
    assert!(runs(&fleet, false).is_empty());
}

#[test]
fn each_caller_gets_the_whole_answer_to_its_own_request() {
    let fleet = Fleet::start(FleetSpec::default());
    let calls: Vec<_> = (0..60)
        .map(|n| {
            let text = format!("line {n}");
            let req = Req::post(COMPLETIONS)
                .bearer(SECRET)
                .body(completion(&text));
            (text, fleet.http.start(fleet.hosts[n % 2].callers, &req))
        })
        .collect();
    for (text, call) in calls {
        let answer = call.wait().expect("a complete answer");
        assert_eq!(support::sse_text(&answer), support::expected_text(&text));
    }
}

// Guards against hosts that are ready before their customers' buckets refill, and
// tell the first callers that the rate is used up.
#[test]
fn a_host_is_ready_only_once_its_customers_have_tokens() {
    let fleet = Fleet::start(FleetSpec {
        settings: "[limit]\ntoken_ttl_ms = 3000\n".to_owned(),
        ..FleetSpec::default()
    });
    for host in &fleet.hosts {
        let req = Req::post(COMPLETIONS).bearer(SECRET).body(completion("x"));
        let answer = fleet.http.send(host.callers, &req);
        assert!(answer.is_success(), "{answer:?}");
    }
}

#[test]
fn truncated_answer_is_not_delivered_as_complete() {
    let fleet = Fleet::start(FleetSpec::default());
    fleet.engine.switch(&fleet.http, &json!({"die_midway": 2}));
    for host in &fleet.hosts {
        let req = Req::post(COMPLETIONS).bearer(SECRET).body(completion("x"));
        let broken = fleet.http.try_send(host.callers, &req);
        assert!(
            matches!(broken, Err(support::http::ExchangeError::Body(_))),
            "{broken:?}"
        );
    }
}

#[test]
fn caller_disconnect_cancels_the_engine_run() {
    let fleet = Fleet::start(FleetSpec::default());
    fleet.engine.switch(&fleet.http, &json!({"hang": true}));
    let req = Req::post(COMPLETIONS).bearer(SECRET).body(completion("x"));
    let pending = fleet.http.start(fleet.hosts[0].callers, &req);
    wait_until("the call runs", || !runs(&fleet, false).is_empty());
    drop(pending);
    wait_until("the run is cancelled", || {
        runs(&fleet, false)[0]["ended"]["how"] == "cancelled"
    });
}

#[test]
fn customer_rate_and_burst_hold_across_all_hosts() {
    const RATE: f64 = 20.0;
    let mut fleet = Fleet::start(FleetSpec {
        data_centres: vec![("north", 2), ("south", 1)],
        rate: RATE,
        ..FleetSpec::default()
    });
    let started = Instant::now();
    let mut admitted = 0.0;
    for round in 0..6 {
        if round == 3 {
            fleet.hosts[0].process.kill();
        }
        let alive = if round < 3 { 0..3 } else { 1..3 };
        let calls: Vec<_> = (0..60)
            .map(|n| {
                let host = &fleet.hosts[alive.start + n % alive.len()];
                let req = Req::post("/lookup/x").bearer(SECRET);
                fleet.http.start(host.callers, &req)
            })
            .collect();
        for call in calls {
            let answer = call.wait().expect("a complete answer");
            if answer.is_success() {
                admitted += 1.0;
                continue;
            }
            assert_eq!(
                answer.problem().as_deref(),
                Some("rate-exceeded"),
                "{answer:?}"
            );
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            assert_not_run(&answer);
        }
    }
    // The bucket may be full before the first call, so the bound includes a
    // full burst.
    let bound = RATE + RATE * started.elapsed().as_secs_f64();
    assert!(admitted > 0.0 && admitted <= bound, "{admitted} of {bound}");
    assert_eq!(runs(&fleet, true).len(), admitted as usize);
}

#[test]
fn retired_endpoint_gets_no_new_calls() {
    let fleet = Fleet::start(FleetSpec::default());
    let second = support::Standin::start("service", &[]);
    fleet.put(
        "endpoint",
        "service-2",
        &fleet.endpoint(second.addr, &["lookup"]),
    );
    wait_until("both hosts list the second endpoint", || {
        let listed = |host| fleet.query(host, "show endpoints where endpoint = service-2");
        (0..2).all(|host| {
            listed(host)["rows"]
                .as_array()
                .is_some_and(|rows| rows.len() == 1)
        })
    });
    fleet.run_statement(0, "retire endpoint service-1 wait 20");
    let before = runs(&fleet, true).len();
    for n in 0..20 {
        let host = &fleet.hosts[n % 2];
        let answer = fleet
            .http
            .send(host.callers, &Req::post("/lookup/x").bearer(SECRET));
        assert!(answer.is_success(), "{answer:?}");
    }
    assert_eq!(runs(&fleet, true).len(), before);
}

#[test]
fn caller_disconnect_during_a_stream_cancels_the_run() {
    let fleet = Fleet::start(FleetSpec::default());
    for (index, host) in fleet.hosts.iter().enumerate() {
        let body = json!({
            "model": "m", "stream": true, "max_tokens": 60_000,
            "messages": [{"role": "user", "content": "long"}],
        })
        .to_string();
        let head = format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {SECRET}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(host.callers).expect("the port is open");
        stream
            .write_all(head.as_bytes())
            .expect("the request can be sent");
        let mut seen = Vec::new();
        while !seen.windows(5).any(|w| w == b"data:") {
            let mut buf = [0; 1024];
            let read = stream.read(&mut buf).expect("the answer can be read");
            assert!(read > 0, "the answer broke off");
            seen.extend_from_slice(&buf[..read]);
        }
        drop(stream);
        wait_until("the run is cancelled", || {
            runs(&fleet, false)[index]["ended"]["how"] == "cancelled"
        });
    }
}

/// Drains the owner of a program while `call` runs at an endpoint, and checks
/// that the call completes and that later calls of the program run.
fn check_drain_during(call: impl Fn(&Fleet, usize, &str) -> support::http::Pending) {
    let mut fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let owner = owner_index(&fleet, &program);
    let other = fleet.hosts[1 - owner].callers;
    // Longer than a shutdown that does not wait for the call.
    fleet.service.switch(&fleet.http, &json!({"slow_ms": 3000}));
    let pending = call(&fleet, owner, &program);
    wait_until("the call runs", || runs(&fleet, true).len() == 1);
    fleet.hosts[owner].process.terminate();
    // Calls of the program run during the drain, at whichever host owns it.
    for n in 2..10 {
        let answer = fleet.http.send(other, &model_call(&program, n, "on"));
        assert!(answer.is_success(), "{answer:?}");
    }
    let answer = pending.wait().expect("a complete answer");
    assert!(answer.is_success(), "{answer:?}");
    assert!(fleet.hosts[owner].process.wait(), "the drain was cut short");
}

#[test]
fn graceful_shutdown_completes_requests_of_its_callers() {
    check_drain_during(|fleet, owner, _| {
        let req = Req::post("/lookup/x").bearer(SECRET);
        fleet.http.start(fleet.hosts[owner].callers, &req)
    });
}

#[test]
fn graceful_shutdown_completes_requests_of_other_hosts() {
    check_drain_during(|fleet, owner, program| {
        let req = order_request("drain", "{}").header("chicoryarch-program", program);
        fleet.http.start(fleet.hosts[1 - owner].callers, &req)
    });
}

#[test]
fn accepted_change_applies_at_every_host_and_persists() {
    let mut fleet = Fleet::start(FleetSpec::default());
    fleet.hosts[1].process.freeze();
    let accepted = fleet.run_statement(0, "change customer choir rate=7");
    assert!(
        accepted["accepted"]["version"].as_u64().is_some(),
        "{accepted}"
    );
    fleet.hosts[1].process.resume();
    let version = accepted["accepted"]["version"].as_u64().expect("a version");
    wait_until("both hosts apply the change", || {
        let rows = fleet.query(1, "show versions");
        let rows = rows["rows"].as_array().expect("rows").clone();
        rows.len() == 2
            && rows
                .iter()
                .all(|row| row["version"].as_u64() >= Some(version))
    });
    fleet.platform.switch(&fleet.http, &json!({"out": true}));
    let rate_at = |fleet: &Fleet, host: usize| {
        let rows = fleet.query(host, "show customers where customer = choir");
        rows["rows"][0]["rate"].as_f64()
    };
    for host in 0..2 {
        assert_eq!(rate_at(&fleet, host), Some(7.0));
    }
    // A host started during the outage receives the change from the other host.
    fleet.restart_host(1);
    assert_eq!(rate_at(&fleet, 1), Some(7.0));
}

#[test]
fn platform_change_reaches_hosts_without_a_watch() {
    // Hosts exchange and poll only once an hour, so the change arrives in time
    // only if the host with the watch pushes it to the others.
    let fleet = Fleet::start(FleetSpec {
        data_centres: vec![("north", 3), ("south", 2)],
        settings: "[distribution]\nexchange_ms = 3600000\npoll_ms = 3600000\n".to_owned(),
        ..FleetSpec::default()
    });
    fleet.put("service", "late", &Service::default());
    for host in 0..fleet.hosts.len() {
        wait_until("the host lists the service", || {
            let rows = fleet.query(host, "show services where service = late");
            rows["rows"].as_array().is_some_and(|rows| rows.len() == 1)
        });
    }
}

#[test]
fn racing_operator_changes_conflict_and_are_audited() {
    let fleet = Fleet::start(FleetSpec::default());
    let version = fleet.query(0, "show customers where customer = brass")["rows"][0]["version"]
        .as_u64()
        .expect("a version");
    let change = |rate: u32| format!("change customer brass rate={rate} if version {version}");
    let first = fleet.send_statement(0, &change(3));
    let second = fleet.send_statement(1, &change(4));
    assert!(first.is_success(), "{first:?}");
    assert_eq!(second.status.as_u16(), 409, "{second:?}");
    assert_eq!(second.json()["other"]["actor"], "alma", "{second:?}");
    let audit = fleet.query(0, "show audit where name = brass");
    let commands = audit["rows"].to_string();
    assert!(
        commands.contains("rate=3") && !commands.contains("rate=4"),
        "{commands}"
    );
}
