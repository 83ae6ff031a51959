//! Leaving endpoints and engine memory, checked on separate processes.

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

/// Rounds of reviews or lists after which what may happen has happened.
const ROUNDS: f64 = 10.0;

fn start(settings: &str) -> Fleet {
    Fleet::start(FleetSpec {
        settings: format!("{SETTINGS}{settings}"),
        ..FleetSpec::default()
    })
}

fn turn(fleet: &Fleet, host: usize, program: &str, ordinal: u64) {
    let req = Req::post("/model/v1/chat/completions")
        .bearer(SECRET)
        .header("chicoryarch-program", program)
        .header("chicoryarch-call", ordinal)
        .body(completion("x"));
    let answer = fleet.http.send(fleet.hosts[host].callers, &req);
    assert!(answer.is_success(), "{answer:?}");
}

fn end(fleet: &Fleet, host: usize, program: &str) {
    let req = Req::delete(&format!("/programs/{program}")).bearer(SECRET);
    let answer = fleet.http.send(fleet.hosts[host].callers, &req);
    assert!(answer.is_success(), "{answer:?}");
}

fn held(fleet: &Fleet) -> BTreeSet<String> {
    let contents = fleet.engine.read(&fleet.http, "/cache");
    let entries = contents["entries"].as_array().expect("entries").iter();
    let handle = |entry: &serde_json::Value| entry["handle"].as_str().map(str::to_owned);
    entries.filter_map(handle).collect()
}

fn sum(fleet: &Fleet, hosts: &[usize], metric: &str) -> f64 {
    let value = |index: &usize| fleet.hosts[*index].metric(&fleet.http, metric);
    hosts.iter().map(value).sum()
}

/// Waits until the engine has been reviewed some more times.
fn wait_reviews(fleet: &Fleet, hosts: &[usize]) {
    let before = sum(fleet, hosts, "chicoryarch_engine_reviews");
    wait_until("the engine is reviewed", || {
        sum(fleet, hosts, "chicoryarch_engine_reviews") >= before + ROUNDS
    });
}

/// Index of the host that owns a program.
fn owner_of(fleet: &Fleet, program: &str) -> usize {
    let rows = fleet.ask(0, &format!("show programs where program = \"{program}\""));
    let host = rows["rows"][0]["host"].as_str().expect("an owner");
    let found = fleet.hosts.iter().position(|h| h.name == host);
    found.expect("the owner is a host of the fleet")
}

#[test]
fn an_engine_holds_a_programs_memory_until_the_program_ends() {
    let fleet = start("");
    let program = fleet.open_program(0, "{}");
    turn(&fleet, 0, &program, 1);
    wait_reviews(&fleet, &[0, 1]);
    assert_eq!(held(&fleet).len(), 1, "a live program's memory is gone");
    end(&fleet, 1, &program);
    wait_until("the engine's memory is empty", || held(&fleet).is_empty());
}

#[test]
fn memory_is_released_though_the_owner_dies_before_its_order_arrives() {
    let mut fleet = start("");
    let program = fleet.open_program(0, "{}");
    turn(&fleet, 0, &program, 1);
    let owner = owner_of(&fleet, &program);
    fleet.engine.process.freeze();
    end(&fleet, owner, &program);
    fleet.hosts[owner].process.kill();
    fleet.engine.process.resume();
    wait_until("the engine's memory is empty", || held(&fleet).is_empty());
}

#[test]
fn memory_of_an_earlier_owner_is_released_though_the_program_lives() {
    let mut fleet = start("");
    let program = fleet.open_program(0, "{}");
    turn(&fleet, 0, &program, 1);
    let first = held(&fleet);
    let owner = owner_of(&fleet, &program);
    fleet.hosts[owner].process.kill();
    turn(&fleet, 1 - owner, &program, 2);
    wait_until("the earlier memory is gone", || {
        held(&fleet).is_disjoint(&first)
    });
    wait_reviews(&fleet, &[1 - owner]);
    assert_eq!(held(&fleet).len(), 1, "the new owner's memory is gone");
    end(&fleet, 1 - owner, &program);
    wait_until("the engine's memory is empty", || held(&fleet).is_empty());
}

#[test]
fn nothing_is_released_while_homes_cannot_be_asked() {
    let fleet = start("");
    let program = fleet.open_program(0, "{}");
    turn(&fleet, 0, &program, 1);
    let before = held(&fleet);
    fleet.platform.switch(&fleet.http, &json!({"out": true}));
    wait_until("both leases have lapsed", || {
        let lapsed = |h: &Host| h.metric(&fleet.http, "chicoryarch_leases_lapsed") >= 1.0;
        fleet.hosts.iter().all(lapsed)
    });
    wait_reviews(&fleet, &[0, 1]);
    assert_eq!(held(&fleet), before);
    assert!(sum(&fleet, &[0, 1], "chicoryarch_engine_caches_unknown") > 0.0);
    assert_eq!(
        fleet.engine.read(&fleet.http, "/counts")["releases"],
        0,
        "an order was sent"
    );
    fleet.platform.switch(&fleet.http, &json!({}));
    wait_until("the program ends", || {
        let req = Req::delete(&format!("/programs/{program}")).bearer(SECRET);
        let answer = fleet.http.send(fleet.hosts[0].callers, &req);
        answer.is_success()
    });
    wait_until("the engine's memory is empty", || held(&fleet).is_empty());
}

#[test]
fn memory_of_an_idle_program_is_released_and_its_next_call_runs() {
    let fleet = start("idle_release_ms = 300\n");
    let program = fleet.open_program(0, "{}");
    for ordinal in 1..4 {
        turn(&fleet, 0, &program, ordinal);
        wait_until("the engine's memory is empty", || held(&fleet).is_empty());
    }
}

#[test]
fn an_endpoint_on_a_host_that_the_platform_lists_as_leaving_gets_no_new_work() {
    let fleet = start("");
    let boxes = ["box-2", "box-3"];
    let services = boxes.map(|host| {
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
    wait_until("both hosts know both endpoints", || {
        let known = |host| fleet.ask(host, "show endpoints where endpoint ~ on-box");
        let both = |host| known(host)["rows"].as_array().map(Vec::len) == Some(2);
        both(0) && both(1) && (0..2).all(|n| call(n).is_success())
    });
    let (leaving, staying) = if runs(0) > 0 { (0, 1) } else { (1, 0) };
    let list = json!({"hosts": [
        {"host": boxes[leaving], "leaving": true},
        {"host": boxes[staying], "leaving": false},
    ]});
    let answer = Req::put("/switches/hosts").json(&list);
    assert!(fleet.http.send(fleet.platform.addr, &answer).is_success());
    for host in [0, 1] {
        wait_lists(&fleet, host);
    }
    let before = (runs(leaving), runs(staying));
    for n in 0..20 {
        assert!(call(n).is_success());
    }
    assert_eq!(runs(leaving), before.0, "a leaving endpoint had new work");
    assert_eq!(runs(staying), before.1 + 20);
}

/// Waits until a host has had the list of endpoint hosts some more times.
fn wait_lists(fleet: &Fleet, host: usize) {
    let lists = || {
        sum(fleet, &[host], "chicoryarch_endpoint_lists_read")
            + sum(fleet, &[host], "chicoryarch_endpoint_lists_pulled")
    };
    let before = lists();
    wait_until("the host has the new list", || lists() >= before + ROUNDS);
}

#[test]
fn a_once_only_call_goes_on_when_its_caller_leaves() {
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
            let again = fleet.http.send(fleet.hosts[1 - host].callers, &req);
            again.header("chicoryarch-replayed") == Some("true")
        });
    }
}
