//! Unit tests of membership, leases, stored tables and settings.

use std::net::SocketAddr;
use std::time::Duration;

use chicoryarch::configs::membership::MembershipConfig;
use chicoryarch::connection::platform::Written;
use chicoryarch::ids::Incarnation;
use chicoryarch::ids::Partition;
use chicoryarch::ids::Version;
use chicoryarch::units::Moment;
use chicoryarch::version::table::Effect;
use chicoryarch::version::table::Heartbeat;
use chicoryarch::version::table::Identity;
use chicoryarch::version::table::Member;
use chicoryarch::version::table::ServeMode;
use chicoryarch::version::table::Table;
use chicoryarch::version::table::message::Committed;

use super::simulation::config;

fn identity(host: &str) -> Identity {
    Identity {
        host: host.parse().expect("a valid name"),
        data_centre: "east".parse().expect("a valid name"),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        caller: SocketAddr::from(([127, 0, 0, 1], 2)),
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(millis))
}

fn written(effects: &[Effect]) -> Option<Table> {
    effects.iter().find_map(|effect| match effect {
        Effect::Write { table, .. } => Some((**table).clone()),
        _ => None,
    })
}

fn sent(effects: &[Effect]) -> Option<Heartbeat> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { heartbeat, .. } => Some((**heartbeat).clone()),
        _ => None,
    })
}

/// Returns a member that created its table at 1000 ms and serves partition 0.
fn bootstrapped_member(start: u64) -> (Member, Committed) {
    let mut member = Member::new(identity("a"), Incarnation(start), config());
    let read = member.tick(at(1_000));
    assert!(matches!(read[..], [Effect::Read { .. }]));
    let table =
        written(&member.on_read(at(1_010), Ok(None))).expect("the host writes the first table");
    let done = Ok(Written::Done(Version(1)));
    member.on_written(at(1_200), table.clone(), done);
    let row = table
        .partition(Partition(0))
        .expect("the table has partition 0");
    member.mark_active(Partition(0), row.epoch);
    let version = Version(1);
    (member, Committed { version, table })
}

#[test]
fn lease_starts_when_the_heartbeat_is_sent() {
    let (member, _) = bootstrapped_member(1);
    assert_eq!(member.serve_mode(Partition(0), at(1_499)), ServeMode::Full);
    assert_eq!(member.serve_mode(Partition(0), at(1_500)), ServeMode::No);
}

#[test]
fn a_partition_is_served_only_once_its_journal_is_fenced() {
    let (member, _) = bootstrapped_member(1);
    assert_eq!(member.serve_mode(Partition(1), at(1_300)), ServeMode::No);
}

#[test]
fn processes_started_together_take_different_incarnations() {
    let (_, committed) = bootstrapped_member(7);
    let start = |random| {
        let mut member = Member::new(identity("a"), Incarnation(random), config());
        member.tick(at(2_000));
        member.on_read(at(2_010), Ok(Some(committed.clone())));
        member.incarnation()
    };
    assert!(start(3) > Incarnation(7));
    assert_ne!(start(3), start(4));
}

#[test]
fn a_superseded_process_answers_no_heartbeat_and_serves_nothing() {
    let (mut old, committed) = bootstrapped_member(7);
    let mut new = Member::new(identity("a"), Incarnation(9), config());
    new.tick(at(1_250));
    let effects = new.on_read(at(1_260), Ok(Some(committed)));
    let table = written(&effects).expect("the new process writes the table");
    let version = Version(2);
    old.on_committed(at(1_300), Committed { version, table });
    assert!(old.is_superseded());
    assert_eq!(old.serve_mode(Partition(0), at(1_301)), ServeMode::No);
    let mut other = Member::new(identity("b"), Incarnation(1), config());
    other.tick(at(1_300));
    let (_, known) = bootstrapped_member(7);
    let heartbeat =
        sent(&other.on_read(at(1_310), Ok(Some(known)))).expect("the host sends a heartbeat");
    assert_eq!(old.on_heartbeat(at(1_320), heartbeat), None);
}

#[test]
fn a_writer_that_commits_nothing_is_passed_over() {
    let (mut writer, committed) = bootstrapped_member(7);
    let mut member = Member::new(identity("b"), Incarnation(1), config());
    member.tick(at(1_300));
    let mut effects = member.on_read(at(1_310), Ok(Some(committed)));
    for tries in 0..10 {
        let heartbeat = sent(&effects).expect("the member sends a heartbeat to the writer");
        let now = at(1_400 + 100 * tries);
        let reply = writer
            .on_heartbeat(now, heartbeat)
            .expect("the writer replies");
        let after = member.on_reply(now, &identity("a").host, reply);
        if written(&after).is_some() {
            return assert_eq!(tries, 2);
        }
        effects = member.tick(now);
    }
    panic!("the stalled writer was never replaced");
}

#[test]
fn missing_table_is_not_recreated() {
    let (mut member, committed) = bootstrapped_member(1);
    let mut effects = member.tick(at(1_300));
    let table = written(&effects).expect("the only host writes the table");
    assert!(table.ownership >= committed.table.ownership);
    effects = member.on_written(at(1_310), table, Ok(Written::Conflict));
    assert!(matches!(effects[..], [Effect::Read { .. }]));
    assert_eq!(member.on_read(at(1_320), Ok(None)), []);
}

#[test]
fn settings_out_of_range_name_the_field_and_the_range() {
    let cfg = MembershipConfig {
        lease_ttl: Duration::from_millis(1),
        ..MembershipConfig::default()
    };
    let message = cfg.check().expect_err("the lease is too short").to_string();
    assert_eq!(message, "`lease_ttl_ms` must be 3000 to 86400000 ms");
    assert_eq!(MembershipConfig::default().check(), Ok(()));
    assert_eq!(config().check(), Ok(()));
}

#[test]
fn stored_table_round_trips_and_invalid_ones_are_rejected() {
    let (_, Committed { mut table, .. }) = bootstrapped_member(1);
    table.partitions[1].releasing = true;
    let stored = serde_json::to_string(&table).expect("the table serializes");
    assert_eq!(serde_json::from_str::<Table>(&stored).ok(), Some(table));
    let twice = stored.replace("[1,1]", "[0,1]");
    let gap = stored.replace("[1,1]", "[9,1]");
    let ownerless = stored.replace("\"owner\":\"a\"", "\"owner\":\"b\"");
    for broken in [twice, gap, ownerless] {
        assert!(serde_json::from_str::<Table>(&broken).is_err(), "{broken}");
    }
}
