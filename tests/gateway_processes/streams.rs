//! Event streams: relay, resumption after a break and errors at the end.

use std::time::Duration;

use chicoryarch_standins::fleet::endpoint::Behaviour;

use super::fleet::Fleet;

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
