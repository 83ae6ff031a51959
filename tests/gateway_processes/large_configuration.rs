//! Configurations of nearly a megabyte, and the ways by which a host learns of
//! one. Guards against hosts that keep an older version: the CONFIG incident.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::objects::StoreFaults;
use chicoryarch_standins::fleet::proxy::Mode;
use chicoryarch_standins::fleet::proxy::Proxy;
use serde_json::Value;
use serde_json::json;

use super::fake_host::FakeHost;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::add_routes;
use super::fleet::configuration;
use super::fleet::plain_route;
use super::fleet::wait_until;

/// Time within which a confirmed change is in force at every host in touch, and
/// after which a host that was out of touch is in touch again.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Routes that make a configuration some 700 kB large.
const MANY_ROUTES: usize = 3_500;
/// A link on which that configuration takes over a second, in bytes per second.
const SLOW_LINK: Mode = Mode::Throttle(600_000);

/// Configuration with many routes and, among them, `/new/`.
fn large_configuration(version: u64) -> Value {
    let mut large = configuration(version);
    add_routes(&mut large, MANY_ROUTES);
    let routes = large["routes"].as_array_mut().expect("a list");
    routes.push(plain_route("new", "h"));
    large
}

fn serves_new_route(fleet: &Fleet, gateway: &Gateway) -> bool {
    let answer = fleet.call(gateway, "/new/", &[("request-id", "r")]);
    answer.status == 200
}

/// Waits until the route of the large configuration is served by all gateways
/// and returns the time that it took.
fn time_to_apply(fleet: &Fleet, gateways: &[Gateway]) -> Duration {
    let since = Instant::now();
    for gateway in gateways {
        wait_until("the new route is in force", || {
            serves_new_route(fleet, gateway)
        });
    }
    since.elapsed()
}

/// Removes the entry of the only endpoint and returns the time until the
/// gateway has noticed.
fn time_to_remove_endpoint(fleet: &Fleet, gateway: &Gateway) -> Duration {
    fleet.store.delete("servers", "e1");
    let since = Instant::now();
    wait_until("the endpoint is gone", || {
        let answer = fleet.call(gateway, "/safe/", &[("request-id", "r")]);
        answer.status == 503
    });
    since.elapsed()
}

/// Lets other hosts reach `gateway` through a proxy only, and returns the proxy.
fn place_behind_proxy(fleet: &Fleet, name: &str, gateway: &Gateway) -> Proxy {
    let proxy = Proxy::start(&fleet.spawner, gateway.addresses.peers);
    wait_until("the host is registered", || {
        fleet.store.spec("chicoryarch-hosts", name).is_some()
    });
    let mut entry = fleet
        .store
        .spec("chicoryarch-hosts", name)
        .expect("an entry");
    entry["value"]["peers"] = json!(proxy.address());
    fleet.store.put("chicoryarch-hosts", name, entry);
    proxy
}

#[test]
fn a_host_starts_although_the_store_sends_a_large_configuration_slowly() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    fleet.store.put("config", "main", large_configuration(5));
    let proxy = Proxy::start(&fleet.spawner, fleet.store.addr());
    proxy.set(SLOW_LINK);
    let gateway = fleet.start_gateway("g1", proxy.address(), &[]);
    gateway.wait_ready(&fleet);
    assert!(serves_new_route(&fleet, &gateway));
}

#[test]
fn a_host_gets_a_large_configuration_from_another_over_a_slow_link() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let with_store = fleet.gateway("g1");
    let proxy = place_behind_proxy(&fleet, "g1", &with_store);
    let without_store = fleet.start_gateway("g2", fleet.free_address(), &[proxy.address()]);
    without_store.wait_ready(&fleet);
    proxy.set(SLOW_LINK);
    fleet.store.put("config", "main", large_configuration(5));
    let spent = time_to_apply(&fleet, &[without_store]);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

/// The link carries the configuration four times within the limit, for eight
/// hosts that want it.
#[test]
fn many_hosts_get_a_large_configuration_although_its_first_holder_is_slow() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let with_store = fleet.gateway("g0");
    let proxy = place_behind_proxy(&fleet, "g0", &with_store);
    let followers: Vec<Gateway> = (1..=8)
        .map(|n| fleet.start_gateway(&format!("g{n}"), fleet.free_address(), &[proxy.address()]))
        .collect();
    for (n, gateway) in followers.iter().enumerate() {
        gateway.wait_ready(&fleet);
        // The host cannot register by itself without the store.
        let entry = json!({"writer": 1, "value": {"peers": gateway.addresses.peers,
            "data_centre": "a", "incarnation": 1, "is_founder": false}});
        let name = format!("g{}", n + 1);
        fleet.store.put("chicoryarch-hosts", &name, entry);
    }
    // Time for the list of hosts to reach all of them.
    std::thread::sleep(Duration::from_secs(2));
    proxy.set(Mode::Throttle(1_000_000));
    fleet.store.put("config", "main", large_configuration(5));
    let spent = time_to_apply(&fleet, &followers);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

#[test]
fn a_host_watches_again_after_an_outage_beside_a_large_configuration() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let proxy = Proxy::start(&fleet.spawner, fleet.store.addr());
    let gateway = fleet.start_gateway("g1", proxy.address(), &[]);
    gateway.wait_ready(&fleet);
    fleet.store.put("config", "main", large_configuration(5));
    wait_until("the configuration is in force", || {
        serves_new_route(&fleet, &gateway)
    });
    proxy.set(SLOW_LINK);
    fleet.store.set_faults(StoreFaults {
        is_unavailable: true,
        ..StoreFaults::default()
    });
    std::thread::sleep(Duration::from_secs(1));
    fleet.store.set_faults(StoreFaults::default());
    let spent = time_to_remove_endpoint(&fleet, &gateway);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

#[test]
fn a_host_that_missed_many_large_versions_gets_only_the_newest() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let proxy = Proxy::start(&fleet.spawner, fleet.store.addr());
    let gateway = fleet.start_gateway("g1", proxy.address(), &[]);
    gateway.wait_ready(&fleet);
    proxy.set(Mode::Stall);
    for version in 5..12 {
        fleet
            .store
            .put("config", "main", large_configuration(version));
    }
    // Every watch that was open is given up.
    std::thread::sleep(APPLY_LIMIT);
    proxy.set(SLOW_LINK);
    let spent = time_to_apply(&fleet, &[gateway]);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

/// Each version takes as long to arrive as two take to be made.
#[test]
fn large_versions_that_arrive_slower_than_they_are_made_do_not_pile_up() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let proxy = Proxy::start(&fleet.spawner, fleet.store.addr());
    let gateway = fleet.start_gateway("g1", proxy.address(), &[]);
    gateway.wait_ready(&fleet);
    proxy.set(Mode::Throttle(1_200_000));
    for version in 5..20 {
        let mut large = large_configuration(version);
        let routes = large["routes"].as_array_mut().expect("a list");
        routes.pop().expect("the new route");
        fleet.store.put("config", "main", large);
        std::thread::sleep(Duration::from_millis(300));
    }
    fleet.store.put("config", "main", large_configuration(20));
    let spent = time_to_apply(&fleet, &[gateway]);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

#[test]
fn a_change_is_noticed_although_the_open_watch_carries_nothing() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let proxy = Proxy::start(&fleet.spawner, fleet.store.addr());
    let gateway = fleet.start_gateway("g1", proxy.address(), &[]);
    gateway.wait_ready(&fleet);
    // Time for the host to watch as a scout.
    std::thread::sleep(APPLY_LIMIT);
    proxy.silence_open_connections();
    fleet.store.put("config", "main", large_configuration(5));
    let spent = time_to_apply(&fleet, &[gateway]);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

#[test]
fn a_removed_endpoint_is_noticed_although_the_open_watch_carries_nothing() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let proxy = Proxy::start(&fleet.spawner, fleet.store.addr());
    let gateway = fleet.start_gateway("g1", proxy.address(), &[]);
    gateway.wait_ready(&fleet);
    std::thread::sleep(APPLY_LIMIT);
    proxy.silence_open_connections();
    let spent = time_to_remove_endpoint(&fleet, &gateway);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

#[test]
fn a_store_without_history_is_not_flooded_and_changes_still_apply() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    std::thread::sleep(APPLY_LIMIT);
    fleet.store.set_faults(StoreFaults {
        has_no_history: true,
        ..StoreFaults::default()
    });
    let before = fleet.store.calls();
    std::thread::sleep(Duration::from_secs(1));
    let calls = fleet.store.calls() - before;
    // Three kinds, each listed and watched at most every 200 ms or so.
    assert!(calls <= 40, "{calls} calls");
    fleet.store.put("config", "main", large_configuration(5));
    let spent = time_to_apply(&fleet, &[gateway]);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

#[test]
fn a_change_made_while_the_store_rejects_calls_for_their_rate_applies_afterwards() {
    let fleet = Fleet::new();
    fleet.endpoint("e1", "plain", Behaviour::default());
    let gateway = fleet.gateway("g1");
    std::thread::sleep(APPLY_LIMIT);
    fleet.store.set_faults(StoreFaults {
        is_over_rate: true,
        has_no_history: true,
        ..StoreFaults::default()
    });
    std::thread::sleep(Duration::from_secs(1));
    fleet.store.put("config", "main", large_configuration(5));
    std::thread::sleep(Duration::from_secs(1));
    fleet.store.set_faults(StoreFaults::default());
    let spent = time_to_apply(&fleet, &[gateway]);
    assert!(spent < APPLY_LIMIT, "{spent:?}");
}

/// As beside a release, when hosts of the earlier one cannot decode a new field.
#[test]
fn a_configuration_that_cannot_be_decoded_is_fetched_once() {
    let fleet = Fleet::new();
    let host = FakeHost {
        version: 9,
        document: "{}",
        sent: Arc::default(),
    };
    let address = host.start(&fleet.spawner);
    let entry = json!({"writer": 1, "value": {"peers": address, "data_centre": "a",
        "incarnation": 1, "is_founder": false}});
    fleet.store.put("chicoryarch-hosts", "fake", entry);
    let _gateway = fleet.gateway("g1");
    wait_until("the document is fetched", || {
        host.sent.load(Ordering::Acquire) > 0
    });
    std::thread::sleep(APPLY_LIMIT);
    assert_eq!(host.sent.load(Ordering::Acquire), 1);
}
