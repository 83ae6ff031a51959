//! Programs with a held conversation, on separate processes.

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
const COMPLETION_TOKENS: u32 = 8;

fn turn_request(program: &str, ordinal: u64, text: &str) -> Req {
    Req::post(COMPLETIONS)
        .bearer(SECRET)
        .header("chicoryarch-program", program)
        .header("chicoryarch-call", ordinal)
        .body(completion(text))
}

fn user(text: &str) -> Value {
    json!({"role": "user", "content": text})
}

/// Returns the generated text, without the comments after the end marker.
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

/// Runs a conversation of six turns and checks each answer.
///
/// Before each turn, calls `prepare` with the turn's number; `prepare` returns
/// the index of the host to call.
fn run_conversation(fleet: &mut Fleet, mut prepare: impl FnMut(&mut Fleet, u64) -> usize) {
    let program = fleet.open_program(0, "{\"history\":\"held\"}");
    let mut messages = Vec::new();
    for n in 1..=6 {
        let host = prepare(fleet, n);
        let prompt = format!("bar {n}");
        messages.push(user(&prompt));
        let req = turn_request(&program, n, &prompt);
        let answer = fleet.http.send(fleet.hosts[host].callers, &req);
        let expected = answer::expected_text(&messages, COMPLETION_TOKENS);
        assert_eq!(text(&answer), expected, "turn {n}");
        messages.push(json!({"role": "assistant", "content": expected}));
    }
}

#[test]
fn each_turn_runs_with_the_whole_conversation() {
    let mut fleet = Fleet::start(FleetSpec::default());
    run_conversation(&mut fleet, |_, n| n as usize % 2);
}

#[test]
fn conversation_survives_a_killed_owner() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let mut killed = false;
    run_conversation(&mut fleet, |fleet, n| {
        if n == 4 && !killed {
            let rows = fleet.query(0, "show programs");
            let owner = rows["rows"][0]["host"]
                .as_str()
                .expect("an owner")
                .to_owned();
            let index = fleet.hosts.iter().position(|host| host.name == owner);
            fleet
                .hosts
                .remove(index.expect("the owner is in the fleet"));
            killed = true;
        }
        0
    });
}

#[test]
fn conversation_continues_as_pending_during_a_platform_outage() {
    let mut fleet = Fleet::start(FleetSpec::default());
    run_conversation(&mut fleet, |fleet, n| {
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
    let first = out.http.send(host, &turn_request(&program, 1, "a"));
    assert!(
        !first.text().contains("durability pending"),
        "{}",
        first.text()
    );
    out.platform.switch(&out.http, &json!({"out": true}));
    let second = out.http.send(host, &turn_request(&program, 2, "b"));
    assert!(
        second.text().contains("durability pending"),
        "{}",
        second.text()
    );
}

#[test]
fn conversation_with_a_lost_turn_is_refused_before_it_runs() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{\"history\":\"held\"}");
    let host = fleet.hosts[0].callers;
    for n in 1..=2 {
        let answer = fleet.http.send(host, &turn_request(&program, n, "a"));
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
    let owner = fleet.query(0, "show programs")["rows"][0]["host"].clone();
    let index = fleet.hosts.iter().position(|h| owner == h.name.as_str());
    fleet
        .hosts
        .remove(index.expect("the owner is in the fleet"));
    let runs = fleet
        .engine
        .read(&fleet.http, "/runs")
        .as_array()
        .map(Vec::len);
    let refused = fleet
        .http
        .send(fleet.hosts[0].callers, &turn_request(&program, 3, "c"));
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
fn conversation_of_an_ended_program_is_removed() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{\"history\":\"held\"}");
    let host = fleet.hosts[0].callers;
    let answer = fleet.http.send(host, &turn_request(&program, 1, "a"));
    assert!(answer.is_success(), "{answer:?}");
    let end = Req::delete(&format!("/programs/{program}")).bearer(SECRET);
    assert!(fleet.http.send(host, &end).is_success());
    support::wait_until("the platform stores no turn of the program", || {
        let listed = fleet.platform.read(&fleet.http, "/objects/history");
        listed["objects"].as_array().is_some_and(Vec::is_empty)
    });
}
