//! Event streams: relay, resumption after a break and errors at the end.

use std::time::Duration;

use chicoryarch_standins::fleet::endpoint::Behaviour;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::configuration;

const ENGINE: Behaviour = Behaviour {
    events: 5,
    pause: Duration::from_millis(5),
    ..Behaviour::SOUND
};

fn complete_stream() -> String {
    (1..=5)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

#[test]
fn a_stream_is_relayed_completely() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "engine", ENGINE);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/turns/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.as_deref(), Some(complete_stream().as_bytes()));
}

#[test]
fn a_stream_resumes_within_the_same_answer() {
    let fleet = Fleet::new();
    let breaking = Behaviour {
        broken_streams: 1,
        ..ENGINE
    };
    let engine = fleet.endpoint("e1", "engine", breaking);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/turns/", &[("request-id", "r1")]);
    assert_eq!(answer.body.as_deref(), Some(complete_stream().as_bytes()));
    let after: Vec<_> = engine.runs().iter().map(|run| run.resume_after).collect();
    assert_eq!(after, [None, Some(1)]);
}

#[test]
fn a_stream_that_cannot_resume_ends_with_an_error() {
    let fleet = Fleet::new();
    let breaking = Behaviour {
        broken_streams: 100,
        events: 50,
        ..ENGINE
    };
    fleet.endpoint("e1", "engine", breaking);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/turns/", &[("request-id", "r1")]);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, None);
}

// Guards against a stream that is resumed at more engines than the route allows,
// since those that have run it were not counted.
#[test]
fn a_broken_stream_runs_on_as_many_engines_as_its_route_allows() {
    let fleet = Fleet::new();
    let mut changed = configuration(2);
    changed["routes"][3]["max_attempts"] = json!(2);
    fleet.store.put("config", "main", changed);
    let breaking = Behaviour {
        broken_streams: 1000,
        events: 50,
        pause: Duration::from_millis(2),
        ..Behaviour::SOUND
    };
    let ids = ["e1", "e2", "e3", "e4"];
    let engines = ids.map(|id| fleet.endpoint(id, "engine", breaking));
    let gateway = fleet.gateway("g1");
    for n in 0..10 {
        let id = format!("r{n}");
        fleet.call(&gateway, "/turns/", &[("request-id", &id)]);
        let ran = engines
            .iter()
            .filter(|engine| engine.runs().iter().any(|run| run.id == id));
        assert!(ran.count() <= 2, "{id}");
    }
}
