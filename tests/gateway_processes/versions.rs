//! Engines of several software versions side by side: a stream goes on only at
//! the version that began it.

use std::time::Duration;

use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::endpoint::Run;
use chicoryarch_standins::fleet::proxy::Mode;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::configuration;
use super::fleet::wait_until;

const ENGINE: Behaviour = Behaviour {
    events: 5,
    pause: Duration::from_millis(5),
    ..Behaviour::SOUND
};

/// Breaks its streams after their first event.
const BREAKING: Behaviour = Behaviour {
    broken_streams: 1000,
    answer_bytes: 0,
    events: 50,
    ..ENGINE
};

/// Refuses all requests.
const FULL: Behaviour = Behaviour {
    refused_requests: 1000,
    ..ENGINE
};

/// Engines of another version than the one that begins the streams.
const OTHERS: [&str; 3] = ["other-1", "other-2", "other-3"];
/// Time within which a gateway has applied a change of the list.
const LIST_CHANGE: Duration = Duration::from_secs(1);

fn start_others(fleet: &Fleet) -> Vec<EndpointStandin> {
    let start = |id: &&str| fleet.endpoint_of_version(id, "engine", "v2", ENGINE);
    OTHERS.iter().map(start).collect()
}

/// Begins a stream that breaks after its first event.
fn begin_stream(fleet: &Fleet, gateway: &Gateway, id: &str) {
    let answer = fleet.call(gateway, "/turns/", &[("request-id", id)]);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, None);
}

/// Resumes a stream as its caller does; the status of the answer.
fn resume_stream(fleet: &Fleet, gateway: &Gateway, id: &str, begun_by: &str) -> u16 {
    let headers = [
        ("request-id", id),
        ("resumes", begun_by),
        ("last-event-id", "1"),
    ];
    fleet.call(gateway, "/turns/", &headers).status.as_u16()
}

fn run_count(endpoints: &[EndpointStandin]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.runs().len()).sum()
}

fn ran(endpoint: &EndpointStandin, id: &str) -> bool {
    endpoint.runs().iter().any(|run: &Run| run.id == id)
}

// A caller that took a stream up again was sent to an engine of another
// version, which does not check what the events before were.
#[test]
fn a_caller_resumes_at_the_version_that_began_the_stream() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", BREAKING);
    let gateway = fleet.gateway("g1");
    begin_stream(&fleet, &gateway, "r1");
    let others = start_others(&fleet);
    std::thread::sleep(LIST_CHANGE);
    engine.set_behaviour(ENGINE);
    assert_eq!(resume_stream(&fleet, &gateway, "r2", "r1"), 200);
    assert!(ran(&engine, "r2"));
    assert_eq!(run_count(&others), 0);
}

// The same while no engine of that version takes work.
#[test]
fn a_caller_is_refused_if_the_version_takes_no_work() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", BREAKING);
    let gateway = fleet.gateway("g1");
    begin_stream(&fleet, &gateway, "r1");
    let others = start_others(&fleet);
    std::thread::sleep(LIST_CHANGE);
    engine.set_behaviour(FULL);
    assert_eq!(resume_stream(&fleet, &gateway, "r2", "r1"), 503);
    assert_eq!(run_count(&others), 0);
}

// The same at another host, after the host of the first attempt was killed.
#[test]
fn another_host_resumes_at_the_version_that_began_the_stream() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", BREAKING);
    let mut first = fleet.gateway("g1");
    let seeds = [first.addresses.peers];
    let hosts: Vec<Gateway> = ["g2", "g3"]
        .iter()
        .map(|name| fleet.start_gateway(name, fleet.store.addr(), &seeds))
        .collect();
    for host in &hosts {
        host.wait_ready(&fleet);
    }
    std::thread::sleep(LIST_CHANGE * 3);
    let begun: Vec<String> = (0..5).map(|n| format!("r{n}")).collect();
    for id in &begun {
        begin_stream(&fleet, &first, id);
    }
    let others = start_others(&fleet);
    std::thread::sleep(LIST_CHANGE);
    first.kill();
    let before = run_count(&others);
    engine.set_behaviour(FULL);
    assert_eq!(resume_stream(&fleet, &hosts[0], "refused", &begun[0]), 503);
    engine.set_behaviour(ENGINE);
    for (n, id) in begun.iter().enumerate() {
        let resumed = format!("again-{n}");
        let status = resume_stream(&fleet, &hosts[n % 2], &resumed, id);
        assert_eq!(status, 200, "resuming {id}");
        assert!(ran(&engine, &resumed));
    }
    assert_eq!(run_count(&others), before);
}

// A stream whose engine had left the list went on at another version within
// the same answer.
#[test]
fn a_broken_stream_does_not_go_on_at_another_version_in_the_same_answer() {
    let fleet = Fleet::new();
    let slow = Behaviour {
        pause: LIST_CHANGE,
        ..BREAKING
    };
    let engine = fleet.endpoint("e1", "engine", slow);
    let gateway = fleet.gateway("g1");
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(&gateway, "/turns/", &[("request-id", "r1")]));
        wait_until("the stream begins", || engine.sent_events() > 0);
        fleet.store.delete("servers", "e1");
        start_others(&fleet);
        call.join().expect("the caller's thread")
    });
    assert_eq!(answer.body, None);
}

// The answer of a stream whose engine had ended was broken off although another
// engine of its version took work.
#[test]
fn a_stream_goes_on_at_another_engine_of_its_version() {
    let fleet = Fleet::new();
    let slow = Behaviour {
        pause: LIST_CHANGE,
        ..BREAKING
    };
    let engine = fleet.endpoint("e1", "engine", slow);
    let gateway = fleet.gateway("g1");
    let answer = std::thread::scope(|scope| {
        let call = scope.spawn(|| fleet.call(&gateway, "/turns/", &[("request-id", "r1")]));
        wait_until("the stream begins", || engine.sent_events() > 0);
        fleet.endpoint("e2", "engine", ENGINE);
        let others = start_others(&fleet);
        engine.stop();
        let answer = call.join().expect("the caller's thread");
        assert_eq!(run_count(&others), 0);
        answer
    });
    assert!(answer.body.is_some());
}

/// A configuration whose streams are split between two services of engines.
fn split_configuration(version: u64, first: f64, second: f64) -> Value {
    let mut changed = configuration(version);
    changed["routes"][3]["backends"] = json!([
        {"service": "engine", "weight": first},
        {"service": "engine-b", "weight": second},
    ]);
    changed
}

// A resumed stream was sent to another service of a split route, since the
// choice depends on the weights and, without a program, on the attempt's id.
#[test]
fn a_resumed_stream_stays_at_its_service_on_a_split_route() {
    let fleet = Fleet::new();
    let mut config = split_configuration(2, 1.0, 1e-9);
    fleet.store.put("config", "main", config);
    let engine = fleet.endpoint("e1", "engine", BREAKING);
    let other = fleet.endpoint("b1", "engine-b", ENGINE);
    let gateway = fleet.gateway("g1");
    begin_stream(&fleet, &gateway, "r1");
    config = split_configuration(3, 1e-9, 1.0);
    fleet.store.put("config", "main", config);
    std::thread::sleep(LIST_CHANGE);
    engine.set_behaviour(ENGINE);
    assert_eq!(resume_stream(&fleet, &gateway, "r2", "r1"), 200);
    assert!(ran(&engine, "r2"));
    assert!(other.runs().is_empty());
}

// All hosts were restarted, and with them every record of the stream's origin
// was lost. The first new host had seen the other version only and sent the
// rest of the stream there.
#[test]
fn a_restarted_host_does_not_take_the_listed_version_for_the_streams() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", BREAKING);
    let mut gateway = fleet.gateway("g1");
    begin_stream(&fleet, &gateway, "r1");
    fleet.store.delete("servers", "e1");
    engine.stop();
    let others = start_others(&fleet);
    gateway.kill();
    let addresses = gateway.addresses;
    let restarted = fleet.start_gateway_at("g1", addresses, fleet.store.addr(), &[], false);
    restarted.wait_ready(&fleet);
    std::thread::sleep(LIST_CHANGE);
    assert_eq!(resume_stream(&fleet, &restarted, "r2", "r1"), 503);
    assert_eq!(run_count(&others), 0);
}

// Each host was restarted in turn after it had drained, and no record of the
// stream's origin was handed on.
#[test]
fn a_stream_can_be_resumed_after_all_hosts_were_restarted_in_turn() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", BREAKING);
    let mut hosts = vec![fleet.gateway("g0")];
    let seeds = [hosts[0].addresses.peers];
    for name in ["g1", "g2"] {
        let host = fleet.start_gateway(name, fleet.store.addr(), &seeds);
        host.wait_ready(&fleet);
        hosts.push(host);
    }
    std::thread::sleep(LIST_CHANGE * 3);
    begin_stream(&fleet, &hosts[0], "r1");
    let others = start_others(&fleet);
    engine.set_behaviour(ENGINE);
    let peers: Vec<_> = hosts.iter().map(|host| host.addresses.peers).collect();
    for (n, host) in hosts.iter_mut().enumerate() {
        host.signal(Signal::TERM);
        assert!(host.wait());
        let (name, addresses) = (format!("g{n}"), host.addresses);
        *host = fleet.start_gateway_at(&name, addresses, fleet.store.addr(), &peers, false);
        host.wait_ready(&fleet);
        std::thread::sleep(LIST_CHANGE);
    }
    assert_eq!(resume_stream(&fleet, &hosts[0], "last", "r1"), 200);
    assert!(ran(&engine, "last"));
    assert_eq!(run_count(&others), 0);
}

/// Starts gateways that know each other.
fn start_hosts(fleet: &Fleet, names: &[&str]) -> Vec<Gateway> {
    let hosts: Vec<_> = names.iter().map(|name| fleet.gateway(name)).collect();
    std::thread::sleep(LIST_CHANGE * 3);
    hosts
}

/// Begins streams `r1` and `r2` at engines of another version that have just
/// joined. Their host ends, and with it what is known of them.
fn begin_at_others(fleet: &Fleet, old: &EndpointStandin, host: &mut Gateway) {
    old.set_behaviour(FULL);
    for other in start_others(fleet) {
        other.set_behaviour(BREAKING);
    }
    for id in ["r1", "r2"] {
        wait_until("a stream begins", || {
            let answer = fleet.call(host, "/turns/", &[("request-id", id)]);
            answer.status == 200
        });
    }
    host.kill();
    old.set_behaviour(ENGINE);
}

// A host that had stood still while engines of another version joined sent the
// rest of a stream of theirs to an engine of the version that it knew.
#[test]
fn a_host_that_stood_still_does_not_take_its_list_for_fresh() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", ENGINE);
    let mut began = fleet.gateway("g1");
    let path = fleet.link(fleet.store.addr());
    let frozen = fleet.start_gateway("g2", path.address(), &[]);
    frozen.wait_ready(&fleet);
    std::thread::sleep(LIST_CHANGE * 3);
    // Its news come after the callers.
    path.set(Mode::Delay(LIST_CHANGE / 5));
    std::thread::sleep(LIST_CHANGE);
    frozen.signal(Signal::STOP);
    begin_at_others(&fleet, &engine, &mut began);
    frozen.signal(Signal::CONT);
    assert_eq!(resume_stream(&fleet, &frozen, "a1", "r1"), 503);
    assert!(!ran(&engine, "a1"));
}

// The same at a host whose connections to the store carry nothing any more, as
// long as it has not noticed.
#[test]
fn a_host_that_the_store_is_silent_to_does_not_take_its_list_for_fresh() {
    let fleet = Fleet::new();
    let engine = fleet.endpoint("e1", "engine", ENGINE);
    let mut began = fleet.gateway("g1");
    let path = fleet.link(fleet.store.addr());
    let cut = fleet.start_gateway("g2", path.address(), &[]);
    cut.wait_ready(&fleet);
    std::thread::sleep(LIST_CHANGE * 3);
    path.set(Mode::Stall);
    // Apart from the other host too, which would tell it.
    cut.signal(Signal::STOP);
    begin_at_others(&fleet, &engine, &mut began);
    cut.signal(Signal::CONT);
    assert_eq!(resume_stream(&fleet, &cut, "a1", "r1"), 503);
    assert!(!ran(&engine, "a1"));
}

// Guards against refusing streams whose version can be told from the list, at
// hosts that follow the store and at those that follow other hosts.
#[test]
fn a_stream_of_the_only_version_goes_on_although_its_host_is_gone() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "engine", ENGINE);
    let hosts = start_hosts(&fleet, &["g1", "g2", "g3", "g4", "g5"]);
    for (n, host) in hosts.iter().enumerate() {
        let status = resume_stream(&fleet, host, &format!("again-{n}"), &format!("gone-{n}"));
        assert_eq!(status, 200, "host {n}");
    }
    start_others(&fleet);
    for (n, host) in hosts.iter().enumerate() {
        let status = resume_stream(&fleet, host, &format!("late-{n}"), &format!("lost-{n}"));
        assert_eq!(status, 503, "host {n}");
    }
}

// Guards against refusing such streams at a host that has just started beside
// hosts that know which versions there were.
#[test]
fn a_host_that_has_started_learns_from_others_which_versions_there_were() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "engine", ENGINE);
    let running = fleet.gateway("g1");
    let seeds = [running.addresses.peers];
    let addresses = fleet.free_addresses();
    let started = fleet.start_gateway_at("g2", addresses, fleet.store.addr(), &seeds, false);
    started.wait_ready(&fleet);
    wait_until("a stream goes on", || {
        resume_stream(&fleet, &started, "again", "gone") == 200
    });
}
