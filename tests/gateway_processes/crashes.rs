//! Requests that end the endpoints that begin to run them.
//!
//! Such a request comes again under new ids, at any host. Each host alone sees
//! few of the endpoints that end, so each test counts them all.

use std::time::Duration;

use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::endpoint::DEADLY;
use chicoryarch_standins::fleet::endpoint::DEADLY_MIDWAY;
use http::StatusCode;

use super::fleet::Answer;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::wait_until;

/// Endpoints that a request may end, and after which it is not sent any more.
const MAX_CRASHES: usize = 3;
/// The same for a request that ends them after the first event of its stream.
const MAX_MIDWAY_CRASHES: usize = 4;
const ENDPOINTS: usize = 8;
/// Time within which hosts tell each other.
const EXCHANGE: Duration = Duration::from_millis(1500);
const BODY: &str = DEADLY;

fn endpoints(fleet: &Fleet, service: &str, behaviour: Behaviour) -> Vec<EndpointStandin> {
    let ids = (0..ENDPOINTS).map(|n| format!("e{n}"));
    ids.map(|id| fleet.endpoint(&id, service, behaviour))
        .collect()
}

fn crashes(endpoints: &[EndpointStandin]) -> usize {
    endpoints.iter().filter(|e| e.has_crashed()).count()
}

fn send(fleet: &Fleet, gateway: &Gateway, path: &str, id: &str, body: &str) -> Answer {
    fleet.call_with_body(gateway, path, &[("request-id", id)], body)
}

/// Starts gateways and waits until they know each other.
fn gateways<const N: usize>(fleet: &Fleet) -> [Gateway; N] {
    let gateways: [Gateway; N] = std::array::from_fn(|n| fleet.gateway(&format!("g{n}")));
    std::thread::sleep(EXCHANGE);
    gateways
}

/// Sends the deadly request again and again to the gateways in turn.
fn send_deadly(fleet: &Fleet, gateways: &[Gateway], path: &str, times: usize) -> Vec<Answer> {
    let sent = (0..times).map(|n| {
        let gateway = &gateways[n % gateways.len()];
        send(fleet, gateway, path, &format!("deadly{n}"), BODY)
    });
    sent.collect()
}

fn assert_barred(answers: &[Answer]) {
    let last = answers.last().expect("answers");
    assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(last.headers.contains_key("retry-after"));
}

// Guards against a call that ends one endpoint after another, since each retry
// and each host begins anew.
#[test]
fn a_deadly_call_ends_few_endpoints_at_all_hosts() {
    let fleet = Fleet::new();
    let endpoints = endpoints(&fleet, "plain", Behaviour::SOUND);
    let gateways = gateways::<3>(&fleet);
    let answers = send_deadly(&fleet, &gateways, "/safe/", 12);
    assert!(crashes(&endpoints) <= MAX_CRASHES);
    assert_barred(&answers);
    let other = send(&fleet, &gateways[0], "/safe/", "other", "sound");
    assert_eq!(other.status, StatusCode::OK);
}

// Guards against a call that may run once and whose caller is told that it has
// not run although it ended its endpoint.
#[test]
fn what_ended_an_endpoint_is_not_said_to_have_not_run() {
    let fleet = Fleet::new();
    let endpoints = endpoints(&fleet, "plain", Behaviour::SOUND);
    let gateways = gateways::<2>(&fleet);
    let answers = send_deadly(&fleet, &gateways, "/once/", 8);
    assert_eq!(crashes(&endpoints), MAX_CRASHES);
    let unknown = answers.iter().take_while(|answer| answer.status == 502);
    assert_eq!(unknown.count(), MAX_CRASHES);
    assert_barred(&answers);
}

// Guards against a stream that is resumed at engine after engine.
#[test]
fn a_deadly_stream_ends_few_engines() {
    let fleet = Fleet::new();
    let engine = Behaviour {
        events: 4,
        ..Behaviour::SOUND
    };
    let engines = endpoints(&fleet, "engine", engine);
    let gateways = gateways::<3>(&fleet);
    let answers = send_deadly(&fleet, &gateways, "/turns/", 12);
    assert!(crashes(&engines) <= MAX_CRASHES);
    assert_barred(&answers);
}

// Guards against knowledge that ends with the host that gained it.
#[test]
fn a_deadly_call_stays_barred_after_its_hosts_are_killed() {
    let fleet = Fleet::new();
    let endpoints = endpoints(&fleet, "plain", Behaviour::SOUND);
    let [mut first, mut second, third] = gateways::<3>(&fleet);
    send_deadly(&fleet, std::slice::from_ref(&first), "/safe/", 4);
    std::thread::sleep(EXCHANGE);
    first.kill();
    second.kill();
    let started = fleet.gateway("g3");
    std::thread::sleep(EXCHANGE);
    for gateway in [&third, &started] {
        let answer = send(&fleet, gateway, "/safe/", "again", BODY);
        assert_barred(&[answer]);
    }
    assert!(crashes(&endpoints) <= MAX_CRASHES);
}

// Guards against blaming calls that run beside a deadly one.
#[test]
fn calls_beside_a_deadly_one_are_served_and_stay_welcome() {
    let fleet = Fleet::new();
    let slow = Behaviour {
        pause: Duration::from_millis(300),
        ..Behaviour::SOUND
    };
    let endpoints = endpoints(&fleet, "plain", slow);
    let gateways = gateways::<2>(&fleet);
    std::thread::scope(|scope| {
        let (fleet, gateways) = (&fleet, &gateways);
        let beside: Vec<_> = (0..24)
            .map(|n| {
                let body = format!("sound {n}");
                let call = move || send(fleet, &gateways[n % 2], "/safe/", &body, &body).status;
                scope.spawn(call)
            })
            .collect();
        send_deadly(fleet, gateways, "/safe/", 6);
        let served = beside
            .into_iter()
            .map(|call| call.join().expect("a status"));
        let served = served.filter(|status| *status == StatusCode::OK).count();
        // Each call has two attempts, and three endpoints end.
        assert!(served >= 20, "{served} of 24");
    });
    assert!(crashes(&endpoints) <= MAX_CRASHES);
    std::thread::sleep(EXCHANGE);
    for n in 0..24 {
        let body = format!("sound {n}");
        let again = send(&fleet, &gateways[n % 2], "/safe/", &format!("{n}"), &body);
        assert_eq!(again.status, StatusCode::OK);
    }
}

// Guards against blaming a call for endpoints that lose answers and live on.
#[test]
fn lost_answers_of_a_living_endpoint_bar_nothing() {
    let fleet = Fleet::new();
    let lossy = Behaviour {
        lost_answers: 4,
        ..Behaviour::SOUND
    };
    endpoints(&fleet, "plain", lossy);
    let gateways = gateways::<2>(&fleet);
    for n in 0..12 {
        let answer = send(&fleet, &gateways[n % 2], "/once/", &format!("{n}"), "sound");
        assert_ne!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
}

// Guards against blaming calls for endpoints that leave without notice: their
// entries are removed, and they end some time later.
#[test]
fn endpoints_that_are_no_longer_listed_bar_nothing() {
    const CALLS: usize = MAX_CRASHES + 1;
    let fleet = Fleet::new();
    let slow = Behaviour {
        pause: Duration::from_millis(1300),
        ..Behaviour::SOUND
    };
    let [gateway] = gateways::<1>(&fleet);
    for n in 0..CALLS {
        let id = format!("leaving{n}");
        let leaving = fleet.endpoint(&id, "plain", slow);
        wait_until("the endpoint takes calls", || {
            send(&fleet, &gateway, "/once/", &format!("w{n}"), &id).status == StatusCode::OK
        });
        std::thread::scope(|scope| {
            let (fleet, gateway) = (&fleet, &gateway);
            let call = scope.spawn(move || send(fleet, gateway, "/once/", &id, "sound").status);
            std::thread::sleep(Duration::from_millis(300));
            fleet.store.delete("servers", &format!("leaving{n}"));
            std::thread::sleep(EXCHANGE / 2);
            leaving.crash();
            assert_eq!(call.join().expect("a status"), StatusCode::BAD_GATEWAY);
        });
    }
    fleet.endpoint("staying", "plain", Behaviour::SOUND);
    wait_until("the call is served", || {
        send(&fleet, &gateway, "/once/", "again", "sound").status == StatusCode::OK
    });
}

const STREAMING: Behaviour = Behaviour {
    events: 8,
    pause: Duration::from_millis(100),
    ..Behaviour::SOUND
};

/// Sends a stream as its caller does: the first attempt, and later ones that
/// take it up after its first event.
fn send_midway(fleet: &Fleet, gateway: &Gateway, n: usize) -> Answer {
    let id = format!("midway{n}");
    let headers = [
        ("request-id", id.as_str()),
        ("resumes", "midway0"),
        ("last-event-id", "1"),
    ];
    let headers = if n == 0 { &headers[..1] } else { &headers[..] };
    fleet.call_with_body(gateway, "/turns/", headers, DEADLY_MIDWAY)
}

// Guards against a stream that ends each engine after an event: the event
// cleared the stream, and its crashes were not counted, at this host or at
// another that took the stream up.
#[test]
fn a_stream_that_ends_engines_after_an_event_is_barred_at_all_hosts() {
    let fleet = Fleet::new();
    let engines = endpoints(&fleet, "engine", STREAMING);
    let gateways = gateways::<3>(&fleet);
    let answers: Vec<Answer> = (0..8)
        .map(|n| send_midway(&fleet, &gateways[n % 3], n))
        .collect();
    assert!(crashes(&engines) <= MAX_MIDWAY_CRASHES);
    assert_barred(&answers);
}

// The same at a host that was started after the crashes.
#[test]
fn a_stream_that_ends_engines_after_an_event_stays_barred_after_kills() {
    let fleet = Fleet::new();
    let engines = endpoints(&fleet, "engine", STREAMING);
    let [mut first, mut second, third] = gateways::<3>(&fleet);
    for n in 0..3 {
        send_midway(&fleet, &first, n);
    }
    std::thread::sleep(EXCHANGE);
    first.kill();
    second.kill();
    let started = fleet.gateway("g3");
    std::thread::sleep(EXCHANGE);
    for (n, gateway) in [&third, &started].into_iter().enumerate() {
        assert_barred(&[send_midway(&fleet, gateway, 3 + n)]);
    }
    assert!(crashes(&engines) <= MAX_MIDWAY_CRASHES);
}

/// Runs streams beside `crash` and asserts that most go on, and that none is
/// barred when it comes again.
fn assert_streams_beside_go_on(fleet: &Fleet, gateways: &[Gateway], crash: impl FnOnce()) {
    const STREAMS: usize = 24;
    let stream = |n: usize, id: &str| {
        let body = format!("sound {n}");
        send(fleet, &gateways[n % gateways.len()], "/turns/", id, &body)
    };
    std::thread::scope(|scope| {
        let beside: Vec<_> = (0..STREAMS)
            .map(|n| scope.spawn(move || stream(n, &format!("beside{n}")).body.is_some()))
            .collect();
        std::thread::sleep(STREAMING.pause * 2);
        crash();
        let whole = beside.into_iter().map(|call| call.join().expect("a call"));
        let whole = whole.filter(|whole| *whole).count();
        assert!(whole * 2 > STREAMS, "{whole} of {STREAMS}");
    });
    std::thread::sleep(EXCHANGE);
    for n in 0..STREAMS {
        let again = stream(n, &format!("again{n}"));
        assert_eq!(again.status, StatusCode::OK);
        assert!(again.body.is_some());
    }
}

// Guards against barring streams that ran beside one that ends its engines.
#[test]
fn streams_beside_a_deadly_one_go_on_and_stay_welcome() {
    let fleet = Fleet::new();
    let engines = endpoints(&fleet, "engine", STREAMING);
    let gateways = gateways::<2>(&fleet);
    assert_streams_beside_go_on(&fleet, &gateways, || {
        for n in 0..4 {
            send_midway(&fleet, &gateways[n % 2], n);
        }
    });
    assert!(crashes(&engines) <= MAX_MIDWAY_CRASHES);
}

// Guards against barring streams since engines crash for reasons of their own.
#[test]
fn streams_that_share_crashes_stay_welcome() {
    let fleet = Fleet::new();
    let engines = endpoints(&fleet, "engine", STREAMING);
    let gateways = gateways::<2>(&fleet);
    assert_streams_beside_go_on(&fleet, &gateways, || {
        for engine in &engines[..5] {
            engine.crash();
            std::thread::sleep(STREAMING.pause);
        }
    });
}
