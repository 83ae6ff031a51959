//! Releases of engine caches, draining endpoints and abandoned calls, tested
//! with separate processes.
//!
//! The tests guard against a cache that is released while its program may still
//! use it, a cache that is never released because its owner is killed or the
//! program moves, calls sent to an endpoint whose host is leaving, and a call
//! with an idempotency key that is cancelled when its caller disconnects.

mod support;

use std::collections::BTreeSet;

use serde_json::json;
use support::Fleet;
use support::FleetSpec;
use support::Host;
use support::Req;
use support::SECRET;
use support::Standin;
use support::completion;
use support::wait_until;

const SETTINGS: &str = "
[endpoints]
list_period_ms = 100
review_period_ms = 100
release_grace_ms = 200
engine_timeout_ms = 500
";

/// Number of further reviews or lists after which their effects must be visible.
const ROUNDS: f64 = 10.0;

fn start(settings: &str) -> Fleet {
    Fleet::start(FleetSpec {
        settings: format!("{SETTINGS}{settings}"),
        ..FleetSpec::default()
    })
}

fn send_call(fleet: &Fleet, host: usize, program: &str, ordinal: u64) {
    let req = Req::post("/model/v1/chat/completions")
        .bearer(SECRET)
        .header("chicoryarch-program", program)
        .header("chicoryarch-call", ordinal)
        .body(completion("x"));
    let answer = fleet.http.send(fleet.hosts[host].callers, &req);
    assert!(answer.is_success(), "{answer:?}");
}

fn end_program(fleet: &Fleet, host: usize, program: &str) {
    let req = Req::delete(&format!("/programs/{program}")).bearer(SECRET);
    let answer = fleet.http.send(fleet.hosts[host].callers, &req);
    assert!(answer.is_success(), "{answer:?}");
}

fn cached_handles(fleet: &Fleet) -> BTreeSet<String> {
    let list = fleet.engine.read(&fleet.http, "/cache");
    let entries = list["entries"].as_array().expect("entries").iter();
    let handle = |entry: &serde_json::Value| entry["handle"].as_str().map(str::to_owned);
    entries.filter_map(handle).collect()
}

fn metric_sum(fleet: &Fleet, hosts: &[usize], metric: &str) -> f64 {
    let value = |index: &usize| fleet.hosts[*index].metric(&fleet.http, metric);
    hosts.iter().map(value).sum()
}

/// Waits for [`ROUNDS`] more reviews of the engine.
fn wait_for_reviews(fleet: &Fleet, hosts: &[usize]) {
    let before = metric_sum(fleet, hosts, "chicoryarch_engine_reviews");
    wait_until("the engine is reviewed", || {
        metric_sum(fleet, hosts, "chicoryarch_engine_reviews") >= before + ROUNDS
    });
}

/// Returns the index of the host that owns a program.
fn owner_of(fleet: &Fleet, program: &str) -> usize {
    let rows = fleet.query(0, &format!("show programs where program = \"{program}\""));
    let host = rows["rows"][0]["host"].as_str().expect("an owner");
    let found = fleet.hosts.iter().position(|h| h.name == host);
    found.expect("the owner is a host of the fleet")
}

#[test]
fn a_cache_is_held_until_its_program_ends() {
    let fleet = start("");
    let program = fleet.open_program(0, "{}");
    send_call(&fleet, 0, &program, 1);
    wait_for_reviews(&fleet, &[0, 1]);
    assert_eq!(
        cached_handles(&fleet).len(),
        1,
        "the cache of an active program was released"
    );
    end_program(&fleet, 1, &program);
    wait_until("the engine holds no cache", || {
        cached_handles(&fleet).is_empty()
    });
}

#[test]
fn a_cache_is_released_if_the_owner_dies_before_its_request_arrives() {
    let mut fleet = start("");
    let program = fleet.open_program(0, "{}");
    send_call(&fleet, 0, &program, 1);
    let owner = owner_of(&fleet, &program);
    fleet.engine.process.freeze();
    end_program(&fleet, owner, &program);
    fleet.hosts[owner].process.kill();
    fleet.engine.process.resume();
    wait_until("the engine holds no cache", || {
        cached_handles(&fleet).is_empty()
    });
}

#[test]
fn a_cache_of_a_former_owner_is_released_while_the_program_is_active() {
    let mut fleet = start("");
    let program = fleet.open_program(0, "{}");
    send_call(&fleet, 0, &program, 1);
    let former = cached_handles(&fleet);
    let owner = owner_of(&fleet, &program);
    fleet.hosts[owner].process.kill();
    send_call(&fleet, 1 - owner, &program, 2);
    wait_until("the former owner's cache is released", || {
        cached_handles(&fleet).is_disjoint(&former)
    });
    wait_for_reviews(&fleet, &[1 - owner]);
    assert_eq!(
        cached_handles(&fleet).len(),
        1,
        "the new owner's cache was released"
    );
    end_program(&fleet, 1 - owner, &program);
    wait_until("the engine holds no cache", || {
        cached_handles(&fleet).is_empty()
    });
}

#[test]
fn no_cache_is_released_while_owners_cannot_be_queried() {
    let fleet = start("");
    let program = fleet.open_program(0, "{}");
    send_call(&fleet, 0, &program, 1);
    let before = cached_handles(&fleet);
    fleet.platform.switch(&fleet.http, &json!({"out": true}));
    wait_until("both leases have lapsed", || {
        let lapsed = |h: &Host| h.metric(&fleet.http, "chicoryarch_leases_lapsed") >= 1.0;
        fleet.hosts.iter().all(lapsed)
    });
    wait_for_reviews(&fleet, &[0, 1]);
    assert_eq!(cached_handles(&fleet), before);
    assert!(metric_sum(&fleet, &[0, 1], "chicoryarch_engine_caches_unknown") > 0.0);
    assert_eq!(
        fleet.engine.read(&fleet.http, "/counts")["releases"],
        0,
        "a release request was sent"
    );
    fleet.platform.switch(&fleet.http, &json!({}));
    wait_until("the program ends", || {
        let req = Req::delete(&format!("/programs/{program}")).bearer(SECRET);
        let answer = fleet.http.send(fleet.hosts[0].callers, &req);
        answer.is_success()
    });
    wait_until("the engine holds no cache", || {
        cached_handles(&fleet).is_empty()
    });
}

#[test]
fn the_cache_of_an_idle_program_is_released_and_its_next_call_succeeds() {
    let fleet = start("idle_release_ms = 300\n");
    let program = fleet.open_program(0, "{}");
    for ordinal in 1..4 {
        send_call(&fleet, 0, &program, ordinal);
        wait_until("the engine holds no cache", || {
            cached_handles(&fleet).is_empty()
        });
    }
}

#[test]
fn an_endpoint_on_a_leaving_host_gets_no_new_calls() {
    let fleet = start("");
    let hosts = ["box-2", "box-3"];
    let services = hosts.map(|host| {
        let standin = Standin::start("service", &[]);
        let mut endpoint = fleet.endpoint(standin.addr, &["print"]);
        endpoint.host = Some(host.to_owned());
        fleet.put("endpoint", &format!("on-{host}"), &endpoint);
        standin
    });
    let print = chicoryarch::version::objects::Service {
        repeatable: true,
        ..chicoryarch::version::objects::Service::default()
    };
    fleet.put("service", "print", &print);
    let runs = |index: usize| {
        let runs = services[index].read(&fleet.http, "/runs");
        runs.as_array().expect("a list of runs").len()
    };
    let call = |n: usize| {
        let req = Req::post("/print/x").bearer(SECRET);
        fleet.http.send(fleet.hosts[n % 2].callers, &req)
    };
    wait_until("both hosts have both endpoints", || {
        let rows = |host| fleet.query(host, "show endpoints where endpoint ~ on-box");
        let has_both = |host| rows(host)["rows"].as_array().map(Vec::len) == Some(2);
        has_both(0) && has_both(1) && (0..2).all(|n| call(n).is_success())
    });
    let (leaving, staying) = if runs(0) > 0 { (0, 1) } else { (1, 0) };
    let list = json!({"hosts": [
        {"host": hosts[leaving], "leaving": true},
        {"host": hosts[staying], "leaving": false},
    ]});
    let req = Req::put("/switches/hosts").json(&list);
    assert!(fleet.http.send(fleet.platform.addr, &req).is_success());
    for host in [0, 1] {
        wait_for_lists(&fleet, host);
    }
    let before = (runs(leaving), runs(staying));
    for n in 0..20 {
        assert!(call(n).is_success());
    }
    assert_eq!(
        runs(leaving),
        before.0,
        "a draining endpoint received new calls"
    );
    assert_eq!(runs(staying), before.1 + 20);
}

/// Waits until a host has received the list of endpoint hosts [`ROUNDS`] more
/// times.
fn wait_for_lists(fleet: &Fleet, host: usize) {
    let lists = || {
        metric_sum(fleet, &[host], "chicoryarch_endpoint_lists_read")
            + metric_sum(fleet, &[host], "chicoryarch_endpoint_lists_pulled")
    };
    let before = lists();
    wait_until("the host receives more lists", || {
        lists() >= before + ROUNDS
    });
}

#[test]
fn a_call_with_an_idempotency_key_completes_after_its_caller_disconnects() {
    let fleet = start("");
    fleet.service.switch(&fleet.http, &json!({"slow_ms": 500}));
    let req = Req::post("/orders/confirm")
        .bearer(SECRET)
        .header("idempotency-key", "left")
        .body("{}");
    for host in [0, 1] {
        let key = format!("left-{host}");
        let mut req = req.clone();
        req.headers.remove("idempotency-key");
        let req = req.header("idempotency-key", &key);
        let run = || {
            let runs = fleet.service.read(&fleet.http, "/runs");
            let runs = runs.as_array().expect("a list of runs").clone();
            runs.into_iter().find(|run| run["idempotency_key"] == *key)
        };
        let pending = fleet.http.start(fleet.hosts[host].callers, &req);
        wait_until("the call runs", || run().is_some());
        drop(pending);
        wait_until("the run ends", || {
            run().is_some_and(|run| !run["ended"].is_null())
        });
        let run = run().expect("the run");
        assert_eq!(run["ended"]["how"], "completed", "{run}");
        wait_until("the answer is recorded", || {
            let replay = fleet.http.send(fleet.hosts[1 - host].callers, &req);
            replay.header("chicoryarch-replayed") == Some("true")
        });
    }
}
