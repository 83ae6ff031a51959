//! Programs whose conversation the owner keeps, on separate processes.

mod support;

use chicoryarch_standins::engine::answer;
use serde_json::Value;
use serde_json::json;
use support::Answer;
use support::Fleet;
use support::FleetSpec;
use support::Req;
use support::SECRET;
use support::completion;
use support::sse_text;

const COMPLETIONS: &str = "/model/v1/chat/completions";
const TOKENS: u32 = 8;

fn turn(program: &str, ordinal: u64, text: &str) -> Req {
    Req::post(COMPLETIONS)
        .bearer(SECRET)
        .header("chicoryarch-program", program)
        .header("chicoryarch-call", ordinal)
        .body(completion(text))
}

fn user(text: &str) -> Value {
    json!({"role": "user", "content": text})
}

/// The generated text without the notes after the end marker.
fn text(answer: &Answer) -> String {
    assert!(answer.is_success(), "{answer:?}");
    let all = answer.text();
    let end = "data: [DONE]\n\n";
    let at = all.find(end).expect("an end marker") + end.len();
    let body = all[..at].to_owned().into();
    sse_text(&Answer {
        body,
        ..answer.clone()
    })
}

/// Runs a conversation, telling `between` the number of the turn to come.
fn converse(fleet: &mut Fleet, mut between: impl FnMut(&mut Fleet, u64) -> usize) {
    let program = fleet.open_program(0, "{\"history\":\"held\"}");
    let mut messages = Vec::new();
    for n in 1..=6 {
        let host = between(fleet, n);
        let said = format!("bar {n}");
        messages.push(user(&said));
        let req = turn(&program, n, &said);
        let answer = fleet.http.send(fleet.hosts[host].callers, &req);
        let expected = answer::expected_text(&messages, TOKENS);
        assert_eq!(text(&answer), expected, "turn {n}");
        messages.push(json!({"role": "assistant", "content": expected}));
    }
}

#[test]
fn each_turn_runs_on_the_whole_conversation() {
    let mut fleet = Fleet::start(FleetSpec::default());
    converse(&mut fleet, |_, n| n as usize % 2);
}

#[test]
fn a_killed_owner_loses_nothing_of_a_conversation() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let mut killed = false;
    converse(&mut fleet, |fleet, n| {
        if n == 4 && !killed {
            let rows = fleet.ask(0, "show programs");
            let owner = rows["rows"][0]["host"]
                .as_str()
                .expect("an owner")
                .to_owned();
            let index = fleet.hosts.iter().position(|host| host.name == owner);
            fleet.hosts.remove(index.expect("a host of the fleet"));
            killed = true;
        }
        0
    });
}

#[test]
fn a_conversation_goes_on_while_the_platform_is_out_and_says_so() {
    let mut fleet = Fleet::start(FleetSpec::default());
    converse(&mut fleet, |fleet, n| {
        if n == 3 {
            fleet.platform.switch(&fleet.http, &json!({"out": true}));
        }
        if n == 5 {
            fleet.platform.switch(&fleet.http, &json!({}));
        }
        0
    });
    let out = Fleet::start(FleetSpec::default());
    let program = out.open_program(0, "{\"history\":\"held\"}");
    let host = out.hosts[0].callers;
    let first = out.http.send(host, &turn(&program, 1, "a"));
    assert!(
        !first.text().contains("durability pending"),
        "{}",
        first.text()
    );
    out.platform.switch(&out.http, &json!({"out": true}));
    let second = out.http.send(host, &turn(&program, 2, "b"));
    assert!(
        second.text().contains("durability pending"),
        "{}",
        second.text()
    );
}

#[test]
fn a_conversation_with_a_lost_turn_is_refused_before_anything_runs() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{\"history\":\"held\"}");
    let host = fleet.hosts[0].callers;
    for n in 1..=2 {
        let answer = fleet.http.send(host, &turn(&program, n, "a"));
        assert!(answer.is_success(), "{answer:?}");
    }
    let listed = fleet.platform.read(&fleet.http, "/objects/history");
    let objects = listed["objects"].as_array().expect("objects").clone();
    assert_eq!(objects.len(), 2, "{listed}");
    let first = &objects[0];
    let name = first["name"].as_str().expect("a name");
    let remove = Req::delete(&format!("/objects/history/{name}"))
        .header("if-match", format!("\"{}\"", first["version"]));
    assert!(fleet.http.send(fleet.platform.addr, &remove).is_success());
    let owner = fleet.ask(0, "show programs")["rows"][0]["host"].clone();
    let index = fleet.hosts.iter().position(|h| owner == h.name.as_str());
    fleet.hosts.remove(index.expect("a host of the fleet"));
    let runs = fleet
        .engine
        .read(&fleet.http, "/runs")
        .as_array()
        .map(Vec::len);
    let refused = fleet
        .http
        .send(fleet.hosts[0].callers, &turn(&program, 3, "c"));
    assert_eq!(
        refused.problem().as_deref(),
        Some("history-gap"),
        "{refused:?}"
    );
    assert_eq!(refused.header("chicoryarch-outcome"), Some("not-run"));
    let after = fleet
        .engine
        .read(&fleet.http, "/runs")
        .as_array()
        .map(Vec::len);
    assert_eq!(runs, after);
}

#[test]
fn the_conversation_of_an_ended_program_is_removed() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{\"history\":\"held\"}");
    let host = fleet.hosts[0].callers;
    let answer = fleet.http.send(host, &turn(&program, 1, "a"));
    assert!(answer.is_success(), "{answer:?}");
    let end = Req::delete(&format!("/programs/{program}")).bearer(SECRET);
    assert!(fleet.http.send(host, &end).is_success());
    support::wait_until("the platform holds no turn of it", || {
        let listed = fleet.platform.read(&fleet.http, "/objects/history");
        listed["objects"].as_array().is_some_and(Vec::is_empty)
    });
}
