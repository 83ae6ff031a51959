//! Tests of conditional changes: lost answers, conflicts and audit entries.

use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::memory::Faults;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::Version;
use chicoryarch::process::distribution::proposal::Base;
use chicoryarch::process::distribution::proposal::Proposal;
use chicoryarch::process::distribution::proposal::WriteStatus;
use chicoryarch::process::distribution::proposal::parse_base;
use chicoryarch::process::distribution::submit::SubmitOutcome;
use chicoryarch::process::distribution::submit::submit;
use chicoryarch::version::objects::Customer;
use futures_lite::future::block_on;

use super::support::creation;
use super::support::customer;
use super::support::customer_id;
use super::support::stamp;

fn propose_change(platform: &MemoryPlatform, rate: f64, command: &str) -> Proposal {
    let found = block_on(platform.read("customer", "choir")).unwrap();
    let base: Base<Customer> = parse_base(found.as_ref()).unwrap();
    let id = customer_id("choir");
    let value = Some(customer(rate));
    Proposal::new(id, base, value, &stamp(command), Nonce::random())
}

fn read_base(platform: &MemoryPlatform) -> Base<Customer> {
    parse_base(
        block_on(platform.read("customer", "choir"))
            .unwrap()
            .as_ref(),
    )
    .unwrap()
}

#[test]
fn an_accepted_change_carries_its_audit_entry() {
    let platform = MemoryPlatform::default();
    let first = creation(customer_id("choir"), customer(1.0));
    assert!(matches!(
        block_on(submit(&platform, &first)),
        SubmitOutcome::Accepted(_)
    ));
    let second = propose_change(&platform, 2.0, "change customer choir rate=2");
    assert!(matches!(
        block_on(submit(&platform, &second)),
        SubmitOutcome::Accepted(_)
    ));
    let changes = read_base(&platform).record.changes;
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[1].command, "change customer choir rate=2");
    assert_eq!(changes[1].old, Some(Version(1)));
}

#[test]
fn a_lost_answer_is_settled_as_accepted_without_a_second_change() {
    let platform = MemoryPlatform::default();
    platform.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let proposal = creation(customer_id("choir"), customer(1.0));
    let submitted = block_on(submit(&platform, &proposal));
    assert_eq!(
        submitted,
        SubmitOutcome::Accepted(proposal.item(Version(1)))
    );
    assert_eq!(read_base(&platform).record.changes.len(), 1);
}

#[test]
fn a_conflict_is_reported_with_the_other_change() {
    let platform = MemoryPlatform::default();
    block_on(submit(
        &platform,
        &creation(customer_id("choir"), customer(1.0)),
    ));
    let mine = propose_change(&platform, 2.0, "mine");
    let theirs = propose_change(&platform, 3.0, "theirs");
    block_on(submit(&platform, &theirs));
    let SubmitOutcome::Conflict(Some(by)) = block_on(submit(&platform, &mine)) else {
        panic!("expected a conflict");
    };
    assert_eq!(by.command, "theirs");
    assert_eq!(read_base(&platform).record.value, Some(customer(3.0)));
}

#[test]
fn an_overwritten_change_still_counts_as_accepted() {
    let platform = MemoryPlatform::default();
    let mine = creation(customer_id("choir"), customer(1.0));
    block_on(submit(&platform, &mine));
    block_on(submit(&platform, &propose_change(&platform, 3.0, "theirs")));
    let object = block_on(platform.read("customer", "choir")).unwrap();
    assert!(matches!(
        mine.write_status(object.as_ref()),
        WriteStatus::Accepted(_)
    ));
}

#[test]
fn a_change_older_than_the_history_is_unknown() {
    let platform = MemoryPlatform::default();
    let mine = creation(customer_id("choir"), customer(1.0));
    block_on(submit(
        &platform,
        &creation(customer_id("choir"), customer(2.0)),
    ));
    for _ in 0..chicoryarch::version::objects::MAX_CHANGES {
        block_on(submit(&platform, &propose_change(&platform, 3.0, "theirs")));
    }
    let object = block_on(platform.read("customer", "choir")).unwrap();
    assert_eq!(mine.write_status(object.as_ref()), WriteStatus::Unknown);
}

#[test]
fn a_change_during_a_platform_outage_has_not_run() {
    let platform = MemoryPlatform::default();
    let proposal = creation(customer_id("choir"), customer(1.0));
    platform.set_faults(Faults {
        out: true,
        ..Faults::default()
    });
    assert!(matches!(
        block_on(submit(&platform, &proposal)),
        SubmitOutcome::NotRun(_)
    ));
    platform.set_faults(Faults::default());
    assert_eq!(read_base(&platform), Base::absent());
}
