//! Commands against the configuration of a small in-process fleet.

use chicoryarch::configs::operator::OperatorConfig;
use chicoryarch::connection::platform::memory::Faults;
use chicoryarch::operator::Answer;
use chicoryarch::operator::Scope;
use chicoryarch::operator::answer::Accepted;
use chicoryarch::operator::render;
use chicoryarch::operator::report::Failure;
use chicoryarch::process::distribution::withdraw::Recorded;
use futures_lite::future::block_on;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use proptest::sample::select;

use super::support::OperatorFixture;

const PLATFORM_OUTAGE: Faults = Faults {
    out: true,
    lost_answers: 0,
};

fn start(hosts: u16) -> OperatorFixture {
    OperatorFixture::start(hosts, &OperatorConfig::default())
}

fn unwrap_accepted(answer: Answer) -> Accepted {
    match answer {
        Answer::Accepted(accepted) => accepted,
        other => panic!("expected an accepted change, got {other:?}"),
    }
}

/// Runs a statement that must fail and checks that it changed nothing. Returns
/// the failure and the formatted report.
fn run_refused(fixture: &OperatorFixture, text: &str) -> (Failure, String) {
    let before = fixture.stored_values();
    let report = fixture.run(text).expect_err(text);
    assert_eq!(fixture.stored_values(), before, "{text}");
    (report.failure, render::report(&report))
}

fn audit_text(fixture: &OperatorFixture) -> String {
    render::text(&fixture.run_ok("show audit"))
}

#[test]
fn a_created_customer_is_in_force_everywhere_once_the_wait_ends() {
    let fixture = start(3);
    let answer = fixture.run_ok("create customer choir rate=5 burst=10 wait");
    assert_eq!(answer.exit_code(), 0);
    assert_eq!(unwrap_accepted(answer).in_force.unwrap().in_force.len(), 3);
    for host in &fixture.fleet.hosts {
        let customer = host.configuration().customer(&"choir".parse().unwrap());
        assert_eq!(customer.unwrap().rate, 5.0);
    }
}

#[test]
fn an_unconfirmed_change_is_not_reported_as_in_force() {
    let fixture = start(2);
    fixture.fleet.peers.disconnect(&fixture.fleet.addresses[1]);
    let answer = fixture.run_ok("create customer choir wait 0");
    assert_eq!(answer.exit_code(), 9);
    let text = render::text(&answer);
    assert_eq!(
        text,
        "accepted: customer choir at version 1\nin force at 1 hosts; not confirmed by h1\n"
    );
}

#[test]
fn every_accepted_change_is_in_the_audit_with_its_versions() {
    let fixture = start(1);
    for command in [
        "create customer choir rate=5",
        "change customer choir rate=6 if version 1",
        "create service invoices kind=plain",
        "create endpoint press-1 address=127.0.0.1:80 data_centre=dc1 services=invoices",
        "retire endpoint press-1",
        "restore endpoint press-1",
        "grant key desk for choir",
        "withdraw key desk for choir",
        "retire host h0",
        "remove endpoint press-1",
        "remove service invoices",
        "remove customer choir",
    ] {
        fixture.run_ok(command);
    }
    let rows = audit_text(&fixture);
    let untimed: Vec<&str> = rows
        .lines()
        .skip(1)
        .map(|line| line.trim_start().split_once(' ').unwrap().1.trim_start())
        .collect();
    let mut sorted = untimed;
    sorted.sort_unstable();
    insta::assert_snapshot!(sorted.join("\n"));
}

#[test]
fn a_key_secret_is_returned_once_and_never_stored() {
    let fixture = start(2);
    fixture.run_ok("create customer choir");
    let granted = unwrap_accepted(fixture.run_ok("grant key desk for choir wait"));
    let secret = granted.secret.as_ref().unwrap().0.clone();
    assert!(secret.starts_with("chk_"));
    for host in &fixture.fleet.hosts {
        assert!(host.configuration().identify(secret.as_bytes()).is_some());
    }
    let stored = fixture.stored_values().concat();
    assert!(!String::from_utf8(stored).unwrap().contains(&secret));
    assert!(!format!("{granted:?}").contains(&secret));
    let shown = render::json(&fixture.run_ok("show keys")) + &audit_text(&fixture);
    assert!(!shown.contains(&secret) && !shown.contains("hash"));
}

#[test]
fn a_withdrawal_during_a_platform_outage_is_in_force_but_not_recorded() {
    let fixture = start(2);
    fixture.run_ok("create customer choir");
    let granted = unwrap_accepted(fixture.run_ok("grant key desk for choir wait"));
    let secret = granted.secret.unwrap().0;
    fixture.fleet.platform.set_faults(PLATFORM_OUTAGE);
    let answer = fixture.run_ok("withdraw key desk for choir");
    assert_eq!(answer.exit_code(), 9);
    insta::assert_snapshot!(render::text(&answer), @r"
    withdrawn: key desk of choir at 2 hosts
    not yet recorded, and offered again until it is: the platform is unavailable: switched off
    ");
    for host in &fixture.fleet.hosts {
        assert_eq!(host.configuration().identify(secret.as_bytes()), None);
    }
    let rows = audit_text(&fixture);
    assert!(rows.contains("withdraw key desk for choir"), "{rows}");
}

#[test]
fn other_changes_are_refused_during_a_platform_outage() {
    let fixture = start(1);
    fixture.fleet.platform.set_faults(PLATFORM_OUTAGE);
    let report = fixture.run("create customer choir").unwrap_err();
    assert_eq!(report.failure, Failure::NotRun);
    fixture.fleet.platform.set_faults(Faults::default());
    assert!(fixture.stored_values().is_empty());
}

#[test]
fn a_change_with_a_lost_answer_is_made_once() {
    let fixture = start(1);
    fixture.fleet.platform.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let created = unwrap_accepted(fixture.run_ok("create customer choir"));
    assert_eq!(created.version.0, 1);
    assert_eq!(audit_text(&fixture).matches("create customer").count(), 1);
}

#[test]
fn a_conflict_report_includes_the_other_change() {
    let fixture = start(2);
    fixture.run_ok("create customer choir");
    fixture.run_ok("change customer choir rate=7");
    let report = fixture
        .run("change customer choir rate=8 if version 1")
        .unwrap_err();
    assert_eq!(report.failure, Failure::Conflict);
    let other = report.other.unwrap();
    assert_eq!(other.command, "change customer choir rate=7");
    assert_eq!(other.actor, "ana");
}

#[test]
fn a_recreated_customer_continues_its_versions() {
    let fixture = start(1);
    fixture.run_ok("create customer choir");
    fixture.run_ok("remove customer choir");
    let again = unwrap_accepted(fixture.run_ok("create customer choir rate=3"));
    assert_eq!(again.version.0, 3);
}

#[test]
fn the_name_of_a_withdrawn_key_is_never_granted_again() {
    let fixture = start(1);
    fixture.run_ok("create customer choir");
    fixture.run_ok("grant key desk for choir");
    fixture.run_ok("withdraw key desk for choir");
    let (failure, _) = run_refused(&fixture, "grant key desk for choir");
    assert_eq!(failure, Failure::Exists);
}

#[test]
fn a_repeated_withdrawal_is_recorded_once() {
    let fixture = start(1);
    fixture.run_ok("create customer choir");
    fixture.run_ok("grant key desk for choir");
    for _ in 0..2 {
        let Answer::Withdrawn(withdrawn) = fixture.run_ok("withdraw key desk for choir") else {
            panic!("expected a withdrawn key");
        };
        assert!(matches!(withdrawn.withdrawal.recorded, Recorded::At(_)));
    }
    assert_eq!(audit_text(&fixture).matches("withdraw key").count(), 1);
}

#[test]
fn cancel_passes_the_command_to_the_backend() {
    let fixture = start(1);
    let command = "cancel program dc1.0.00000000000000ff";
    fixture.run_ok(command);
    let cancelled = fixture.backends[0].cancelled.lock().clone();
    let expected = ("dc1.0.00000000000000ff".to_owned(), command.to_owned());
    assert_eq!(cancelled, [expected]);
}

#[test]
fn a_read_only_operator_cannot_run_commands() {
    let fixture = start(1);
    let executor = &fixture.executors[0];
    let command = executor.execute("create customer choir", "ben", &Scope::ReadOnly);
    assert_eq!(block_on(command).unwrap_err().failure, Failure::Forbidden);
    assert!(fixture.stored_values().is_empty());
    let query = executor.execute("show customers", "ben", &Scope::ReadOnly);
    assert!(block_on(query).is_ok());
}

#[test]
fn a_refused_command_says_why_and_changes_nothing() {
    let fixture = start(1);
    fixture.run_ok("create customer choir");
    fixture.run_ok("create service invoices kind=plain");
    fixture
        .run_ok("create endpoint press-1 address=127.0.0.1:80 data_centre=dc1 services=invoices");
    fixture.run_ok("grant key desk for choir");
    let reports: Vec<String> = [
        "create customer choir",
        "create customer band rate=-1",
        "create customer band rate=fast",
        "create customer band shares=dc1:0.9,dc2:0.9",
        "create customer band shares=dc1",
        "create customer band colour=red",
        "create customer band rate=1 rate=2",
        "create service orders",
        "create service orders kind=printer",
        "create endpoint press-2 address=127.0.0.1:80 data_centre=dc1",
        "create endpoint press-2 address=nowhere data_centre=dc1 services=invoices",
        "create endpoint press-2 address=127.0.0.1:80 data_centre=dc1 services=orders",
        "change endpoint press-1 concurrency=0",
        "change customer band rate=1",
        "remove customer band",
        "remove customer choir",
        "remove service invoices",
        "grant key desk for band",
        "grant key desk for choir",
        "withdraw key box for choir",
        "retire endpoint press-2",
        "retire host nobody",
    ]
    .iter()
    .map(|text| run_refused(&fixture, text).1)
    .collect();
    insta::assert_snapshot!(reports.join("\n"));
}

/// Generates valid and invalid commands, with and without options.
fn command() -> impl Strategy<Value = String> {
    let heads = [
        "create customer N rate=5",
        "create customer N rate=fast",
        "create service N kind=plain",
        "create endpoint N address=127.0.0.1:1 data_centre=dc1 services=M",
        "change customer N rate=7",
        "change customer N weight=0",
        "change service N open=true",
        "change endpoint N services=M",
        "remove customer N",
        "remove service N",
        "remove endpoint N",
        "grant key M for N",
        "withdraw key M for N",
        "retire endpoint N",
        "retire host N",
        "restore host h0",
    ];
    let tails = ["", "", " if version 1", " if version 2", " wait 0", " now"];
    let names = ["choir", "band"];
    (
        select(heads.to_vec()),
        select(names.to_vec()),
        select(names.to_vec()),
        select(tails.to_vec()),
    )
        .prop_map(|(head, name, other, tail)| head.replace('N', name).replace('M', other) + tail)
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..Default::default()
    })]

    #[test]
    fn refused_commands_change_nothing(commands in vec((command(), any::<bool>()), 1..20)) {
        let fixture = start(1);
        fixture.run_ok("create customer choir");
        fixture.run_ok("grant key desk for choir");
        for (text, loses_answer) in commands {
            let lost_answers = u32::from(loses_answer);
            fixture.fleet.platform.set_faults(Faults { lost_answers, out: false });
            let before = fixture.stored_values();
            let result = fixture.run(&text);
            let changed = fixture.stored_values() != before;
            prop_assert!(result.is_ok() || !changed, "{}", text);
        }
    }
}
