//! Operator commands and secret rotation on hosts in separate processes.

mod support;

use support::Fleet;
use support::FleetSpec;
use support::OPERATOR_SECRET;
use support::Req;
use support::SECRET;
use support::wait_until;

#[test]
fn a_retired_host_drains_and_exits() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    fleet.run_statement(1, "retire host north-0");
    assert!(
        fleet.hosts[0].process.wait(),
        "the host did not drain completely"
    );
    let req = Req::post("/lookup/x")
        .bearer(SECRET)
        .header("chicoryarch-program", &program);
    let answer = fleet.http.send(fleet.hosts[1].callers, &req);
    assert!(answer.is_success(), "{answer:?}");
}

#[test]
fn reserved_names_cannot_be_created() {
    let fleet = Fleet::start(FleetSpec::default());
    for command in [
        "create service health",
        "create service programs",
        "create customer open",
    ] {
        let refused = fleet.send_statement(0, command);
        assert_eq!(refused.status.as_u16(), 400, "{command}: {refused:?}");
    }
}

#[test]
fn a_program_is_cancelled_from_any_host() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    fleet.run_statement(1, &format!("cancel program {program}"));
    let req = Req::post("/lookup/x")
        .bearer(SECRET)
        .header("chicoryarch-program", &program);
    for host in &fleet.hosts {
        let refused = fleet.http.send(host.callers, &req);
        assert_eq!(
            refused.header("chicoryarch-outcome"),
            Some("not-run"),
            "{refused:?}"
        );
    }
}

#[test]
fn sighup_reloads_peer_secrets_without_restart() {
    let fleet = Fleet::start(FleetSpec::default());
    let program = fleet.open_program(0, "{}");
    let old = "peer-secret-0123456789abcdef";
    let new = "peer-secret-fedcba9876543210";
    // All hosts accept both secrets before any host sends the new one.
    for step in [format!("{old}\n{new}\n"), format!("{new}\n{old}\n")] {
        for host in &fleet.hosts {
            fleet.write_peer_secrets(&host.name, &step);
            host.process.reload();
        }
    }
    wait_until("both hosts send the new secret", || {
        let rows = fleet.query(0, "show hosts");
        rows["rows"].as_array().is_some_and(|rows| rows.len() == 2)
    });
    for host in &fleet.hosts {
        let req = Req::post("/lookup/x")
            .bearer(SECRET)
            .header("chicoryarch-program", &program);
        let answer = fleet.http.send(host.callers, &req);
        assert!(answer.is_success(), "{answer:?}");
    }
}

#[test]
fn an_incomplete_answer_lists_the_silent_host() {
    let fleet = Fleet::start(FleetSpec::default());
    fleet.hosts[1].process.freeze();
    let answer = fleet.query(0, "show hosts");
    assert_eq!(answer["complete"], false, "{answer}");
    assert_eq!(answer["silent"], serde_json::json!(["north-1"]), "{answer}");
    fleet.hosts[1].process.resume();
}

#[test]
fn the_operator_port_rejects_caller_and_peer_secrets() {
    let fleet = Fleet::start(FleetSpec::default());
    let host = &fleet.hosts[0];
    let show_hosts = |secret: &str| Req::post("/operate").bearer(secret).body("show hosts");
    assert!(
        fleet
            .http
            .send(host.operators, &show_hosts(OPERATOR_SECRET))
            .is_success()
    );
    for secret in [SECRET, "peer-secret-0123456789abcdef", "cho_unknown"] {
        let refused = fleet.http.send(host.operators, &show_hosts(secret));
        assert_eq!(refused.status.as_u16(), 401, "{refused:?}");
    }
    let as_caller = Req::post("/lookup/x").bearer(OPERATOR_SECRET);
    let refused = fleet.http.send(host.callers, &as_caller);
    assert_eq!(refused.status.as_u16(), 401, "{refused:?}");
}
