//! Tests the platform's HTTP client against the platform stand-in, which loses
//! answers and requests, delays them, and simulates outages.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use async_io::Timer;
use chicoryarch::configs::platform::PlatformConfig;
use chicoryarch::connection::platform::Changes;
use chicoryarch::connection::platform::Envelope;
use chicoryarch::connection::platform::Expect;
use chicoryarch::connection::platform::HostStatus;
use chicoryarch::connection::platform::MAX_VALUE_BYTES;
use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Object;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::PlatformError;
use chicoryarch::connection::platform::Result;
use chicoryarch::connection::platform::Written;
use chicoryarch::connection::platform::counters::CallKind;
use chicoryarch::connection::platform::counters::CallOutcome;
use chicoryarch::connection::platform::http::HttpPlatform;
use chicoryarch::connection::platform::nonce_of;
use chicoryarch::connection::platform::read_value;
use chicoryarch::connection::platform::write_value;
use chicoryarch::ids::Version;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::platform::PlatformStandin;
use chicoryarch_standins::platform::counts::Method;
use chicoryarch_standins::platform::hosts;
use chicoryarch_standins::platform::hosts::HostList;
use chicoryarch_standins::platform::switches::OutMode;
use chicoryarch_standins::platform::switches::Switches;
use futures_lite::future;

/// Time after which a hanging test fails; no other check depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a test checks a counter.
const POLL: Duration = Duration::from_millis(2);
/// Kind of the test objects.
const KIND: &str = "thing";

static SPAWNER: LazyLock<Spawner> = LazyLock::new(|| Spawner::start(4));

fn run_test(test: impl Future<Output = ()>) {
    let timer = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("the test hangs");
    };
    async_io::block_on(future::or(test, timer));
}

async fn wait_until(reached: impl Fn() -> bool) {
    while !reached() {
        Timer::after(POLL).await;
    }
}

async fn start_standin() -> PlatformStandin {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PlatformStandin::start(&SPAWNER, address).await.unwrap()
}

fn new_client(standin: &PlatformStandin, host: &str, mut cfg: PlatformConfig) -> HttpPlatform {
    let client = Client::new(SPAWNER.clone(), ClientConfig::default());
    cfg.address = standin.addr();
    HttpPlatform::new(client, &host.parse().unwrap(), cfg)
}

/// Returns a client whose timeouts are longer than any test.
fn long_timeout_client(standin: &PlatformStandin) -> HttpPlatform {
    let cfg = PlatformConfig {
        timeout: TEST_TIMEOUT,
        settle_timeout: TEST_TIMEOUT,
        watch_wait: TEST_TIMEOUT,
        ..PlatformConfig::default()
    };
    new_client(standin, "host-a", cfg)
}

/// Returns a client whose requests time out early, but whose writes are retried
/// for longer than any test.
fn short_timeout_client(standin: &PlatformStandin) -> HttpPlatform {
    let cfg = PlatformConfig {
        timeout: Duration::from_millis(300),
        settle_timeout: TEST_TIMEOUT,
        ..PlatformConfig::default()
    };
    new_client(standin, "host-a", cfg)
}

fn envelope(nonce: Nonce, value: &str) -> Vec<u8> {
    let envelope = Envelope {
        writer: nonce,
        value,
    };
    serde_json::to_vec(&envelope).unwrap()
}

async fn write(platform: &HttpPlatform, expect: Expect, value: &str) -> Result<Written> {
    let nonce = Nonce::random();
    platform
        .write(KIND, "one", expect, nonce, envelope(nonce, value))
        .await
}

async fn create(platform: &HttpPlatform, value: &str) -> Version {
    match write(platform, Expect::Absent, value).await.unwrap() {
        Written::Done(version) => version,
        Written::Conflict => panic!("the object exists"),
    }
}

async fn stored(platform: &HttpPlatform) -> Option<(Version, String)> {
    read_value(platform, KIND, "one").await.unwrap()
}

fn write_count(standin: &PlatformStandin) -> u64 {
    standin.counts().total(|call| call.method == Method::Write)
}

fn outage_switches(mode: OutMode) -> Switches {
    Switches {
        out: true,
        out_mode: mode,
        ..Switches::default()
    }
}

#[test]
fn a_written_value_is_read_with_its_version() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let version = create(&platform, "a").await;
        assert_eq!(stored(&platform).await, Some((version, "a".to_owned())));
    });
}

#[test]
fn a_missing_object_reads_as_none() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        assert_eq!(platform.read(KIND, "one").await, Ok(None));
    });
}

#[test]
fn versions_grow_over_all_objects() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let first = create(&platform, "a").await;
        let other = write_value(&platform, "other", "two", Expect::Absent, &1).await;
        assert_eq!(other, Ok(Written::Done(first.next())));
        let third = write(&platform, Expect::At(first), "b").await;
        assert_eq!(third, Ok(Written::Done(first.next().next())));
    });
}

#[test]
fn a_write_at_an_old_version_conflicts_and_changes_nothing() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let first = create(&platform, "a").await;
        write(&platform, Expect::At(first), "b").await.unwrap();
        let late = write(&platform, Expect::At(first), "c").await;
        assert_eq!(late, Ok(Written::Conflict));
        assert_eq!(stored(&platform).await.unwrap().1, "b");
    });
}

#[test]
fn one_of_two_racing_creators_wins() {
    run_test(async {
        let standin = start_standin().await;
        let (one, two) = (long_timeout_client(&standin), long_timeout_client(&standin));
        let race = future::zip(
            write(&one, Expect::Absent, "one"),
            write(&two, Expect::Absent, "two"),
        );
        let winner = match race.await {
            (Ok(Written::Done(_)), Ok(Written::Conflict)) => "one",
            (Ok(Written::Conflict), Ok(Written::Done(_))) => "two",
            other => panic!("{other:?}"),
        };
        assert_eq!(stored(&one).await.unwrap().1, winner);
        assert_eq!(standin.counts().effects, 1);
    });
}

#[test]
fn a_removed_object_is_absent_and_can_be_created_again() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let first = create(&platform, "a").await;
        let removed = platform.remove(KIND, "one", first).await;
        assert_eq!(removed, Ok(Written::Done(first.next())));
        assert_eq!(stored(&platform).await, None);
        assert!(create(&platform, "b").await > first.next());
    });
}

#[test]
fn a_removal_at_an_old_version_conflicts() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let first = create(&platform, "a").await;
        write(&platform, Expect::At(first), "b").await.unwrap();
        let removed = platform.remove(KIND, "one", first).await;
        assert_eq!(removed, Ok(Written::Conflict));
    });
}

#[test]
fn a_list_holds_the_objects_with_the_prefix() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        for name in ["a.1", "a.2", "b.1"] {
            write_value(&platform, KIND, name, Expect::Absent, &name)
                .await
                .unwrap();
        }
        let changes = platform.list(KIND, "a.").await.unwrap();
        let names: Vec<&str> = changes.objects.iter().map(|o| o.name.as_str()).collect();
        assert_eq!(names, ["a.1", "a.2"]);
        assert_eq!(changes.upto, Version(3));
    });
}

#[test]
fn a_list_returns_arbitrary_bytes_unchanged() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let value: Vec<u8> = (0..=255).collect();
        platform
            .write(KIND, "one", Expect::Absent, Nonce(1), value.clone())
            .await
            .unwrap();
        let changes = platform.list(KIND, "").await.unwrap();
        assert_eq!(changes.objects[0].value, value);
    });
}

#[test]
fn a_write_wakes_a_watch() {
    run_test(async {
        let standin = start_standin().await;
        let (platform, writer) = (long_timeout_client(&standin), long_timeout_client(&standin));
        let write_while_waiting = async {
            wait_until(|| standin.counts().watches_waiting == 1).await;
            create(&writer, "a").await
        };
        let watch = platform.watch(KIND, Version(0), TEST_TIMEOUT);
        let (changes, version) = future::zip(watch, write_while_waiting).await;
        let changes = changes.unwrap();
        assert_eq!(changes.upto, version);
        assert_eq!(changes.objects[0].version, version);
        assert_eq!(standin.counts().watches_total, 1);
    });
}

#[test]
fn a_watch_without_changes_ends_empty() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let version = create(&platform, "a").await;
        let wait = Duration::from_millis(20);
        let changes = platform.watch(KIND, version, wait).await.unwrap();
        assert_eq!(changes.upto, version);
        assert!(changes.objects.is_empty());
    });
}

#[test]
fn a_watch_skips_removed_objects_and_advances() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let version = create(&platform, "a").await;
        platform.remove(KIND, "one", version).await.unwrap();
        let changes = platform.watch(KIND, version, TEST_TIMEOUT).await.unwrap();
        assert_eq!(changes.upto, version.next());
        assert!(changes.objects.is_empty());
    });
}

#[test]
fn an_outage_refuses_a_write_once_and_nothing_changes() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        standin.set_switches(outage_switches(OutMode::Refuse));
        let refused = write(&platform, Expect::Absent, "a").await;
        assert!(matches!(refused, Err(PlatformError::Unavailable(_))));
        assert_eq!(write_count(&standin), 1);
        assert_eq!(standin.counts().effects, 0);
    });
}

#[test]
fn an_outage_ends_a_waiting_watch() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let outage = async {
            wait_until(|| standin.counts().watches_waiting == 1).await;
            standin.set_switches(outage_switches(OutMode::Refuse));
        };
        let watch = platform.watch(KIND, Version(0), TEST_TIMEOUT);
        let (changes, ()) = future::zip(watch, outage).await;
        assert!(matches!(changes, Err(PlatformError::Unavailable(_))));
    });
}

#[test]
fn a_write_succeeds_after_an_outage() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        standin.set_switches(outage_switches(OutMode::Refuse));
        write(&platform, Expect::Absent, "a").await.unwrap_err();
        standin.set_switches(Switches::default());
        create(&platform, "b").await;
        assert_eq!(stored(&platform).await.unwrap().1, "b");
    });
}

#[test]
fn an_unreachable_platform_is_unavailable_for_writes() {
    run_test(async {
        let standin = start_standin().await;
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let cfg = PlatformConfig {
            address: listener.local_addr().unwrap(),
            ..PlatformConfig::default()
        };
        drop(listener);
        let client = Client::new(SPAWNER.clone(), ClientConfig::default());
        let platform = HttpPlatform::new(client, &"host-a".parse().unwrap(), cfg);
        let refused = write(&platform, Expect::Absent, "a").await;
        assert!(matches!(refused, Err(PlatformError::Unavailable(_))));
        assert_eq!(write_count(&standin), 0);
    });
}

#[test]
fn a_host_that_is_cut_off_fails_alone() {
    run_test(async {
        let standin = start_standin().await;
        standin.set_switches(Switches {
            cut: BTreeSet::from(["host-b".to_owned()]),
            ..Switches::default()
        });
        let connected = long_timeout_client(&standin);
        let cut = new_client(&standin, "host-b", PlatformConfig::default());
        assert_eq!(connected.read(KIND, "one").await, Ok(None));
        let read = cut.read(KIND, "one").await;
        assert!(matches!(read, Err(PlatformError::Unavailable(_))));
    });
}

#[test]
fn a_lost_answer_of_a_write_that_took_effect_is_settled_without_a_second_write() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        standin.set_switches(Switches {
            lose_answers: 1,
            ..Switches::default()
        });
        let version = create(&platform, "a").await;
        assert_eq!(stored(&platform).await, Some((version, "a".to_owned())));
        assert_eq!(write_count(&standin), 1);
        assert_eq!(platform.counters().read_backs(), 1);
    });
}

#[test]
fn a_lost_request_is_sent_again_under_its_condition() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        standin.set_switches(Switches {
            lose_requests: 1,
            ..Switches::default()
        });
        let version = create(&platform, "a").await;
        assert_eq!(stored(&platform).await, Some((version, "a".to_owned())));
        assert_eq!(standin.counts().effects, 1);
        assert_eq!(platform.counters().resends(), 1);
    });
}

#[test]
fn several_lost_requests_and_answers_give_one_effect() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let first = create(&platform, "a").await;
        standin.set_switches(Switches {
            lose_answers: 3,
            lose_requests: 3,
            ..Switches::default()
        });
        let second = write(&platform, Expect::At(first), "b").await;
        assert_eq!(second, Ok(Written::Done(first.next())));
        assert_eq!(standin.counts().effects, 2);
    });
}

#[test]
fn a_lost_answer_of_a_removal_is_settled() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let first = create(&platform, "a").await;
        standin.set_switches(Switches {
            lose_answers: 1,
            ..Switches::default()
        });
        let removed = platform.remove(KIND, "one", first).await;
        assert_eq!(removed, Ok(Written::Done(first.next())));
        assert_eq!(standin.counts().effects, 2);
    });
}

#[test]
fn a_lost_request_overtaken_by_another_writer_is_a_conflict() {
    run_test(async {
        let standin = start_standin().await;
        let loser = short_timeout_client(&standin);
        let rival = new_client(&standin, "host-b", PlatformConfig::default());
        let first = create(&rival, "a").await;
        standin.set_switches(Switches {
            clients: BTreeSet::from(["host-a".to_owned()]),
            out: true,
            out_mode: OutMode::Hang,
            ..Switches::default()
        });
        let overtake = async {
            wait_until(|| write_count(&standin) == 2).await;
            let written = write(&rival, Expect::At(first), "rival").await;
            standin.set_switches(Switches::default());
            written
        };
        let lost = write(&loser, Expect::At(first), "loser");
        let (lost, won) = future::zip(lost, overtake).await;
        assert_eq!(won, Ok(Written::Done(first.next())));
        assert_eq!(lost, Ok(Written::Conflict));
        assert_eq!(stored(&rival).await.unwrap().1, "rival");
    });
}

#[test]
fn a_request_that_arrives_late_has_no_second_effect() {
    run_test(async {
        let standin = start_standin().await;
        let platform = short_timeout_client(&standin);
        standin.set_switches(Switches {
            late_requests: 1,
            late: Duration::from_secs(2),
            ..Switches::default()
        });
        let nonce = Nonce::random();
        let value = envelope(nonce, "a");
        let written = platform
            .write(KIND, "one", Expect::Absent, nonce, value)
            .await;
        wait_until(|| standin.counts().late_pending == 0).await;
        let object = long_timeout_client(&standin)
            .read(KIND, "one")
            .await
            .unwrap()
            .unwrap();
        assert_eq!(nonce_of(&object.value), Some(nonce));
        assert_eq!(written, Ok(Written::Done(object.version)));
        assert_eq!(standin.counts().effects, 1);
    });
}

#[test]
fn a_request_that_arrives_just_before_its_repetition_counts_as_done() {
    run_test(async {
        let standin = start_standin().await;
        let platform = short_timeout_client(&standin);
        let first = create(&platform, "a").await;
        standin.set_switches(Switches {
            hold_requests: 1,
            ..Switches::default()
        });
        let second = write(&platform, Expect::At(first), "b").await;
        assert_eq!(second, Ok(Written::Done(first.next())));
        assert_eq!(standin.counts().effects, 2);
        assert!(platform.counters().resends() > 0);
    });
}

#[test]
fn a_late_request_does_not_undo_a_newer_write() {
    run_test(async {
        let standin = start_standin().await;
        let platform = short_timeout_client(&standin);
        let first = create(&platform, "a").await;
        standin.set_switches(Switches {
            late_requests: 1,
            late: Duration::from_secs(2),
            ..Switches::default()
        });
        let second = write(&platform, Expect::At(first), "b").await;
        let Ok(Written::Done(second)) = second else {
            panic!("{second:?}");
        };
        let newer = write(&long_timeout_client(&standin), Expect::At(second), "c").await;
        wait_until(|| standin.counts().late_pending == 0).await;
        let Ok(Written::Done(newer)) = newer else {
            panic!("{newer:?}");
        };
        let present = stored(&long_timeout_client(&standin)).await;
        assert_eq!(present, Some((newer, "c".to_owned())));
    });
}

#[test]
fn a_write_without_answer_or_read_back_has_an_unknown_outcome() {
    run_test(async {
        let standin = start_standin().await;
        let cfg = PlatformConfig {
            timeout: Duration::from_millis(100),
            settle_timeout: Duration::from_millis(400),
            ..PlatformConfig::default()
        };
        let platform = new_client(&standin, "host-a", cfg);
        standin.set_switches(outage_switches(OutMode::Hang));
        let lost = write(&platform, Expect::Absent, "a").await;
        assert_eq!(lost, Err(PlatformError::UnknownOutcome));
        assert!(write_count(&standin) <= 1);
        let counted = platform
            .counters()
            .calls(CallKind::Write, CallOutcome::Unknown);
        assert_eq!(counted, 1);
    });
}

#[test]
fn a_read_from_a_hanging_platform_is_unavailable() {
    run_test(async {
        let standin = start_standin().await;
        let platform = short_timeout_client(&standin);
        standin.set_switches(outage_switches(OutMode::Hang));
        let read = platform.read(KIND, "one").await;
        assert!(matches!(read, Err(PlatformError::Unavailable(_))));
    });
}

#[test]
fn a_value_of_one_mebibyte_is_stored() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let value = vec![7; MAX_VALUE_BYTES];
        platform
            .write(KIND, "one", Expect::Absent, Nonce(1), value.clone())
            .await
            .unwrap();
        let object = platform.read(KIND, "one").await.unwrap().unwrap();
        assert_eq!(object.value, value);
    });
}

#[test]
fn a_larger_value_is_refused_before_it_is_sent() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let size = MAX_VALUE_BYTES + 1;
        let refused = platform
            .write(KIND, "one", Expect::Absent, Nonce(1), vec![7; size])
            .await;
        assert_eq!(refused, Err(PlatformError::TooLarge(size)));
        assert_eq!(write_count(&standin), 0);
    });
}

#[test]
fn a_name_that_would_change_the_path_is_refused() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        for name in ["", "a/b", "a?b", "a b"] {
            let read = platform.read(KIND, name).await;
            assert!(matches!(read, Err(PlatformError::Malformed { .. })));
        }
        assert_eq!(standin.counts().total(|_| true), 0);
    });
}

#[test]
fn the_list_of_endpoint_hosts_lags() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        let line = |leaving| hosts::HostStatus {
            host: "box-1".to_owned(),
            leaving,
        };
        standin.set_hosts(HostList {
            hosts: vec![line(false)],
            lag: Duration::ZERO,
        });
        standin.set_hosts(HostList {
            hosts: vec![line(true)],
            lag: Duration::from_secs(3600),
        });
        let expected = HostStatus {
            host: "box-1".to_owned(),
            leaving: false,
        };
        assert_eq!(platform.hosts().await, Ok(vec![expected]));
    });
}

#[test]
fn calls_above_the_rate_limit_are_unavailable() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        standin.set_switches(Switches {
            max_calls_per_second: Some(0.001),
            ..Switches::default()
        });
        assert_eq!(platform.read(KIND, "one").await, Ok(None));
        let limited = platform.read(KIND, "one").await;
        assert!(matches!(limited, Err(PlatformError::Unavailable(_))));
        assert_eq!(standin.counts().limited, 1);
    });
}

#[test]
fn requests_are_counted_by_kind_of_call() {
    run_test(async {
        let standin = start_standin().await;
        let platform = long_timeout_client(&standin);
        create(&platform, "a").await;
        platform.read(KIND, "one").await.unwrap();
        platform.list(KIND, "").await.unwrap();
        let counters = platform.counters();
        for kind in [CallKind::Read, CallKind::List, CallKind::Write] {
            assert_eq!(counters.requests(kind), 1);
            assert_eq!(counters.calls(kind, CallOutcome::Succeeded), 1);
        }
        let seen = standin.counts().total(|call| call.client == "host-a");
        assert_eq!(seen, 3);
    });
}

fn object(name: &str, version: u64) -> Object {
    Object {
        name: name.to_owned(),
        version: Version(version),
        value: Vec::new(),
    }
}

// Guards against a host that puts every version in force that it has missed.
#[test]
fn changes_hold_the_latest_state_of_each_object() {
    let mut changes = Changes::up_to(Version(9));
    changes.put(object("a", 1));
    changes.put(object("b", 2));
    assert!(!changes.has_superseded);
    changes.put(object("a", 3));
    assert!(changes.has_superseded);
    assert_eq!(changes.objects, [object("b", 2), object("a", 3)]);
    changes.remove("b".to_owned());
    assert_eq!(changes.objects, [object("a", 3)]);
    assert_eq!(changes.removed, ["b"]);
    changes.put(object("b", 4));
    assert_eq!(changes.objects, [object("a", 3), object("b", 4)]);
    assert!(changes.removed.is_empty());
}

#[test]
fn an_object_that_returns_after_its_removal_is_not_superseded() {
    let mut changes = Changes::up_to(Version(9));
    changes.remove("a".to_owned());
    changes.put(object("a", 2));
    assert!(!changes.has_superseded);
}
