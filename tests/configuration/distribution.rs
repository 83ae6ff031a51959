//! Tests of the distribution between hosts that run in one process.

use std::sync::atomic::Ordering;

use chicoryarch::configs::distribution::DistributionConfig;
use chicoryarch::connection::platform::memory::Faults;
use chicoryarch::ids::Version;
use chicoryarch::process::distribution::Standing;
use chicoryarch::process::distribution::submit::SubmitOutcome;
use chicoryarch::process::distribution::withdraw::Recorded;
use chicoryarch::process::timers::Timers;
use chicoryarch::units::Moment;
use chicoryarch_net::Spawner;
use futures_lite::future::block_on;

use super::support::Fleet;
use super::support::HANG_TIMEOUT;
use super::support::Host;
use super::support::creation;
use super::support::customer;
use super::support::customer_id;
use super::support::key;
use super::support::key_set;
use super::support::keys_id;
use super::support::secret;
use super::support::stamp;

const PLATFORM_DOWN: Faults = Faults {
    out: true,
    lost_answers: 0,
};

fn commit(host: &Host, proposal: &chicoryarch::process::distribution::proposal::Proposal) -> u64 {
    match block_on(host.commit(proposal)) {
        SubmitOutcome::Accepted(item) => item.version.0,
        other => panic!("expected an accepted change, got {other:?}"),
    }
}

fn commit_key(fleet: &Fleet) {
    let host = &fleet.hosts[0];
    commit(host, &creation(customer_id("choir"), customer(5.0)));
    let keys = creation(keys_id("choir"), key_set("choir", &["desk"]));
    let version = commit(host, &keys);
    wait_until_in_force(host, version);
}

fn wait_until_in_force(host: &Host, version: u64) {
    let deadline = Moment::now() + HANG_TIMEOUT;
    let report = block_on(host.wait_in_force(&keys_id("choir"), Version(version), deadline));
    assert!(report.is_complete(), "{report:?}");
}

fn accepts_key(host: &Host) -> bool {
    let secret = secret("choir", "desk");
    host.configuration().identify(secret.as_bytes()).is_some()
}

fn withdraw(host: &Host) -> chicoryarch::process::distribution::withdraw::Withdrawal {
    block_on(host.withdraw(&key("choir", "desk"), stamp("withdraw key desk for choir")))
}

#[test]
fn a_change_reported_in_force_is_applied_by_every_host() {
    let fleet = Fleet::start(4);
    commit_key(&fleet);
    for host in &fleet.hosts {
        assert_eq!(
            host.configuration().applied_version(&keys_id("choir")),
            Some(Version(2))
        );
    }
}

#[test]
fn a_host_that_does_not_answer_is_named_as_missing() {
    let fleet = Fleet::start(3);
    fleet.peers.disconnect(&fleet.addresses[2]);
    let version = commit(
        &fleet.hosts[0],
        &creation(customer_id("choir"), customer(5.0)),
    );
    let deadline = Moment::now();
    let report =
        block_on(fleet.hosts[0].wait_in_force(&customer_id("choir"), Version(version), deadline));
    assert_eq!(report.missing, [fleet.addresses[2].id.clone()]);
    assert_eq!(report.in_force.len(), 2);
}

#[test]
fn a_key_in_force_is_accepted_by_a_host_that_missed_its_customer() {
    let fleet = Fleet::start(2);
    fleet.peers.disconnect(&fleet.addresses[1]);
    commit(
        &fleet.hosts[0],
        &creation(customer_id("choir"), customer(5.0)),
    );
    let keys = creation(keys_id("choir"), key_set("choir", &["desk"]));
    let version = commit(&fleet.hosts[0], &keys);
    fleet.peers.reconnect(&fleet.addresses[1]);
    wait_until_in_force(&fleet.hosts[0], version);
    assert!(accepts_key(&fleet.hosts[1]));
}

#[test]
fn a_withdrawn_key_is_refused_by_every_host_and_recorded_with_its_audit_entry() {
    let fleet = Fleet::start(3);
    commit_key(&fleet);
    let withdrawal = withdraw(&fleet.hosts[1]);
    assert_eq!(withdrawal.reached.len(), 3);
    assert_eq!(withdrawal.recorded, Recorded::At(Version(3)));
    assert!(fleet.hosts.iter().all(|host| !accepts_key(host)));
    let audited = fleet.hosts[1].configuration().read(|catalogue| {
        let (_, document) = catalogue.document(&keys_id("choir")).unwrap();
        document.changes().last().unwrap().command.clone()
    });
    assert_eq!(audited, "withdraw key desk for choir");
}

#[test]
fn a_withdrawal_during_a_platform_outage_takes_effect_and_is_recorded_later() {
    let fleet = Fleet::start(3);
    commit_key(&fleet);
    fleet.platform.set_faults(PLATFORM_DOWN);
    let withdrawal = withdraw(&fleet.hosts[1]);
    assert!(matches!(withdrawal.recorded, Recorded::NotYet(_)));
    assert!(fleet.hosts.iter().all(|host| !accepts_key(host)));
    fleet.platform.set_faults(Faults::default());
    let host = &fleet.hosts[2];
    let changes = host.configuration().subscribe();
    host.start(&Timers::start(&Spawner::start(1)));
    let unrecorded = || {
        host.configuration()
            .read(|catalogue| catalogue.unrecorded_withdrawals().count())
    };
    while unrecorded() > 0 {
        block_on(changes.recv()).unwrap();
    }
    assert!(!accepts_key(host));
}

#[test]
fn a_withdrawal_survives_a_restart_that_catches_up_from_an_outdated_peer() {
    let fleet = Fleet::start(3);
    commit_key(&fleet);
    let dir = tempfile::tempdir().unwrap();
    let cfg = DistributionConfig {
        data_dir: Some(dir.path().to_owned()),
        ..DistributionConfig::default()
    };
    let original = fleet.start_host(1, cfg.clone());
    block_on(original.catch_up());
    assert!(accepts_key(&original));
    fleet.platform.set_faults(PLATFORM_DOWN);
    fleet.peers.disconnect(&fleet.addresses[2]);
    let withdrawal = withdraw(&fleet.hosts[0]);
    assert_eq!(withdrawal.missed, [fleet.addresses[2].id.clone()]);
    fleet.peers.disconnect(&fleet.addresses[0]);
    fleet.peers.reconnect(&fleet.addresses[2]);
    assert!(accepts_key(&fleet.hosts[2]));
    let restarted = fleet.start_host(1, cfg);
    block_on(restarted.catch_up());
    assert!(!accepts_key(&restarted));
}

#[test]
fn a_host_starts_from_peers_during_a_platform_outage() {
    let fleet = Fleet::start(3);
    commit_key(&fleet);
    for host in &fleet.hosts {
        assert_eq!(block_on(host.catch_up()), Standing::Current);
    }
    fleet.platform.set_faults(PLATFORM_DOWN);
    let restarted = fleet.start_host(2, DistributionConfig::default());
    assert_eq!(block_on(restarted.catch_up()), Standing::Current);
    assert!(accepts_key(&restarted));
}

#[test]
fn an_empty_host_pulls_everything_from_one_peer_only() {
    let fleet = Fleet::start(4);
    commit_key(&fleet);
    fleet.platform.set_faults(PLATFORM_DOWN);
    let restarted = fleet.start_host(3, DistributionConfig::default());
    block_on(restarted.catch_up());
    assert_eq!(restarted.counters().pulls.load(Ordering::Relaxed), 1);
    assert_eq!(restarted.counters().exchanges.load(Ordering::Relaxed), 3);
}

#[test]
fn hosts_that_start_together_do_not_count_each_other_as_a_source() {
    let fleet = Fleet::start(2);
    fleet.platform.set_faults(PLATFORM_DOWN);
    assert_eq!(block_on(fleet.hosts[0].catch_up()), Standing::Starting);
    assert_eq!(block_on(fleet.hosts[1].catch_up()), Standing::Starting);
}

#[test]
fn an_isolated_host_starts_from_its_saved_file_and_reports_it() {
    let fleet = Fleet::start(2);
    commit_key(&fleet);
    let dir = tempfile::tempdir().unwrap();
    let cfg = DistributionConfig {
        data_dir: Some(dir.path().to_owned()),
        ..DistributionConfig::default()
    };
    block_on(fleet.start_host(1, cfg.clone()).catch_up());
    fleet.platform.set_faults(PLATFORM_DOWN);
    fleet.peers.disconnect(&fleet.addresses[0]);
    let restarted = fleet.start_host(1, cfg);
    assert_eq!(block_on(restarted.catch_up()), Standing::Saved);
    assert!(accepts_key(&restarted));
}

#[test]
fn a_damaged_saved_file_is_set_aside_and_not_used() {
    let fleet = Fleet::start(1);
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("configuration.json"), "rubbish").unwrap();
    fleet.platform.set_faults(PLATFORM_DOWN);
    let cfg = DistributionConfig {
        data_dir: Some(dir.path().to_owned()),
        ..DistributionConfig::default()
    };
    let host = fleet.start_host(0, cfg);
    assert_eq!(block_on(host.catch_up()), Standing::Starting);
    assert!(dir.path().join("configuration.json.damaged").exists());
}

#[test]
fn a_running_host_receives_a_change_from_its_watch() {
    let fleet = Fleet::start(2);
    fleet.peers.disconnect(&fleet.addresses[1]);
    let watching = &fleet.hosts[1];
    let changes = watching.configuration().subscribe();
    watching.start(&Timers::start(&Spawner::start(1)));
    commit(
        &fleet.hosts[0],
        &creation(customer_id("choir"), customer(5.0)),
    );
    while watching
        .configuration()
        .applied_version(&customer_id("choir"))
        .is_none()
    {
        block_on(changes.recv()).unwrap();
    }
}

#[test]
fn an_isolated_host_accepts_keys_only_within_the_limit() {
    let fleet = Fleet::start(1);
    let limit = std::time::Duration::from_secs(60);
    let cfg = DistributionConfig {
        max_isolation: Some(limit),
        ..DistributionConfig::default()
    };
    let host = fleet.start_host(0, cfg);
    let now = Moment::now();
    assert!(host.accepts_keys(now));
    assert!(!host.accepts_keys(now + limit + limit));
}

#[test]
fn hosts_with_equal_digests_pull_nothing() {
    let fleet = Fleet::start(2);
    commit_key(&fleet);
    block_on(fleet.hosts[1].catch_up());
    let pulls = || fleet.hosts[1].counters().pulls.load(Ordering::Relaxed);
    let before = pulls();
    block_on(fleet.hosts[1].catch_up());
    assert_eq!(pulls(), before);
}
