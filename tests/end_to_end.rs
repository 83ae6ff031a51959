//! End-to-end calls through separate processes.

mod support;

use support::Fleet;
use support::FleetSpec;
use support::Req;
use support::SECRET;
use support::completion;

#[test]
fn call_reaches_the_engine_through_every_host() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let req = Req::post("/model/v1/chat/completions")
        .bearer(SECRET)
        .header("content-type", "application/json")
        .header("chicoryarch-program", &program)
        .header("chicoryarch-call", 1)
        .body(completion("first bar"));
    for host in &fleet.hosts {
        let answer = fleet.http.send(host.callers, &req);
        assert!(answer.is_success(), "{answer:?}");
        assert!(
            answer.text().ends_with("data: [DONE]\n\n"),
            "{}",
            answer.text()
        );
    }
}

#[test]
fn call_reaches_the_plain_service() {
    let fleet = Fleet::start(FleetSpec::default());
    let answer = fleet.call(1, "/orders/confirm", "{\"order\":7}");
    assert!(answer.is_success(), "{answer:?}");
}
