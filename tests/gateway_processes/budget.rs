//! Program budgets across gateway processes, kills and store outages. Guards
//! against programs that exceed their budget and against tokens that are
//! refused although they are available.

use std::time::Duration;

use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::objects::StoreFaults;
use http::StatusCode;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::Gateway;

/// Tokens per event, as set in the tests' configuration.
const TOKENS_PER_EVENT: u64 = 10;
const ENGINE: Behaviour = Behaviour {
    events: 5,
    pause: Duration::from_millis(1),
    ..Behaviour::SOUND
};
const BUDGET: u64 = 420;

fn turn(fleet: &Fleet, gateway: &Gateway, id: &str) -> StatusCode {
    let headers = [
        ("request-id", id),
        ("program-id", "p"),
        ("session-id", "s"),
        ("token-usage", "100,50"),
        ("token-budget", "420"),
    ];
    fleet.call(gateway, "/turns/", &headers).status
}

fn assert_within_budget(sent_events: u64) {
    assert!(
        sent_events * TOKENS_PER_EVENT <= BUDGET,
        "{sent_events} events"
    );
}

#[test]
fn a_program_that_loops_is_stopped_within_its_budget() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", ENGINE);
    let gateway = fleet.gateway("g1");
    let mut statuses = Vec::new();
    for n in 0..12 {
        statuses.push(turn(&fleet, &gateway, &format!("r{n}")));
    }
    assert_eq!(statuses.last(), Some(&StatusCode::PAYMENT_REQUIRED));
    assert!(statuses.iter().filter(|s| **s == 200).count() >= 4);
    assert_within_budget(engine.sent_events());
}

#[test]
fn restarts_and_other_hosts_do_not_renew_a_budget() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", ENGINE);
    let mut gateways = [fleet.gateway("g1"), fleet.gateway("g2")];
    for round in 0..6 {
        for (index, gateway) in gateways.iter().enumerate() {
            let id = format!("r{round}-{index}");
            let status = turn(&fleet, gateway, &id);
            assert!(status == 200 || status == 402 || status == 503, "{status}");
        }
        let addresses = gateways[round % 2].addresses;
        gateways[round % 2].kill();
        let name = format!("g{}", round % 2 + 1);
        let store = fleet.store.addr();
        gateways[round % 2] = fleet.start_gateway_at(&name, addresses, store, &[], false);
        gateways[round % 2].wait_ready(&fleet);
    }
    let last = turn(&fleet, &gateways[0], "last");
    assert_eq!(last, 402);
    assert_within_budget(engine.sent_events());
}

#[test]
fn a_lost_store_response_neither_loses_nor_doubles_a_grant() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", ENGINE);
    let gateway = fleet.gateway("g1");
    fleet.store.set_faults(StoreFaults {
        lost_answers: 1,
        ..StoreFaults::default()
    });
    for n in 0..12 {
        let status = turn(&fleet, &gateway, &format!("r{n}"));
        assert!(status == 200 || status == 402, "{status}");
    }
    assert_within_budget(engine.sent_events());
}

#[test]
fn during_an_outage_a_program_that_needs_a_grant_is_not_run() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", ENGINE);
    let gateway = fleet.gateway("g1");
    fleet.store.set_faults(StoreFaults {
        is_unavailable: true,
        ..StoreFaults::default()
    });
    let mut refused = 0;
    for n in 0..8 {
        match turn(&fleet, &gateway, &format!("r{n}")).as_u16() {
            200 => (),
            503 => refused += 1,
            other => panic!("{other}"),
        }
    }
    assert!(refused > 0);
    assert_eq!(engine.runs().len(), 8 - refused);
    assert_within_budget(engine.sent_events());
}

#[test]
fn an_isolated_host_uses_all_its_tokens() {
    let fleet = Fleet::new();
    let short = Behaviour {
        events: 2,
        ..ENGINE
    };
    let engine = fleet.endpoint("e1", "engine", short);
    let gateway = fleet.gateway("g1");
    super::fleet::wait_until("the founders are agreed", || {
        fleet.store.spec("chicoryarch-founders", "first").is_some()
    });
    // Wait until the host has processed the reply to its write.
    std::thread::sleep(Duration::from_millis(200));
    fleet.store.set_faults(StoreFaults {
        is_unavailable: true,
        ..StoreFaults::default()
    });
    let served = |n: u64| turn(&fleet, &gateway, &format!("r{n}")) == 200;
    let served = (0..40).filter(|n| served(*n)).count();
    // Half of the budget and one turn's maximum of 50 are available. A turn of
    // 20 tokens starts while a third of its maximum is left.
    assert!(served >= 12, "{served} turns");
    assert_within_budget(engine.sent_events());
}

#[test]
fn a_home_that_waits_for_a_slow_store_is_not_suspected() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "engine", ENGINE);
    let gateways = [fleet.gateway("g1"), fleet.gateway("g2")];
    super::fleet::wait_until("the founders are agreed", || {
        fleet.store.spec("chicoryarch-founders", "first").is_some()
    });
    // Wait until both hosts have the list of founders and each other's entries.
    std::thread::sleep(Duration::from_millis(2000));
    fleet.store.set_faults(StoreFaults {
        write_time: Duration::from_millis(120),
        ..StoreFaults::default()
    });
    for program in 0..6 {
        let program = format!("p{program}");
        for n in 0..5 {
            let id = format!("{program}-{n}");
            let headers = [
                ("request-id", id.as_str()),
                ("program-id", &program),
                ("token-usage", "100,50"),
                ("token-budget", "420"),
            ];
            assert_eq!(fleet.call(&gateways[1], "/turns/", &headers).status, 200);
        }
        let name = hex::encode(&program);
        let record = fleet
            .store
            .spec("chicoryarch-budgets", &name)
            .expect("a grant");
        // The allowance plus one grant of half of the remaining budget.
        assert_eq!(record["value"]["granted"], 315, "{program}");
    }
}

#[test]
fn a_host_without_store_access_serves_programs_through_another() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "engine", ENGINE);
    let served = fleet.gateway("g1");
    let unused_address = fleet.free_address();
    let rejected = fleet.start_gateway("g2", unused_address, &[served.addresses.peers]);
    // The store started to reject the host after its entry was written.
    let entry = json!({"writer": 1, "value": {
        "peers": rejected.addresses.peers, "data_centre": "a",
        "incarnation": 1, "is_founder": false,
    }});
    fleet.store.put("chicoryarch-hosts", "g2", entry);
    rejected.wait_ready(&fleet);
    // Wait until the hosts have each other's entries.
    std::thread::sleep(Duration::from_secs(2));
    for program in 0..12 {
        let id = format!("r{program}");
        let name = format!("p{program}");
        let headers = [
            ("request-id", id.as_str()),
            ("program-id", name.as_str()),
            ("token-usage", "100,50"),
            ("token-budget", "420"),
        ];
        let answer = fleet.call(&rejected, "/turns/", &headers);
        assert_eq!(answer.status, 200, "{name}");
    }
}

// A host that was not isolated began a turn with the few tokens it had while a
// grant was slow, and broke the answer off when they were used up.
#[test]
fn a_slow_grant_breaks_no_answer_off() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "engine", ENGINE);
    let gateway = fleet.gateway("g1");
    super::fleet::wait_until("the founders are agreed", || {
        fleet.store.spec("chicoryarch-founders", "first").is_some()
    });
    // Wait until the host has the list of founders.
    std::thread::sleep(Duration::from_millis(300));
    let call = |id: &str| {
        let headers = [
            ("request-id", id),
            ("program-id", "p"),
            ("session-id", "s"),
            ("token-usage", "100,50"),
            // The allowance covers four turns and most of the fifth.
            ("token-budget", "480"),
        ];
        fleet.call(&gateway, "/turns/", &headers)
    };
    for n in 0..4 {
        assert!(call(&format!("r{n}")).body.is_some());
    }
    fleet.store.set_faults(StoreFaults {
        write_time: Duration::from_secs(2),
        ..StoreFaults::default()
    });
    let answer = call("r4");
    assert!(answer.body.is_some(), "{} and no end", answer.status);
}
