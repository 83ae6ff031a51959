//! Conditional changes: lost answers, lost races and audit entries.

use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::memory::Faults;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::Version;
use chicoryarch::process::distribution::proposal::Base;
use chicoryarch::process::distribution::proposal::Proposal;
use chicoryarch::process::distribution::proposal::Verdict;
use chicoryarch::process::distribution::proposal::base_of;
use chicoryarch::process::distribution::submit::Submitted;
use chicoryarch::process::distribution::submit::submit;
use chicoryarch::version::objects::Customer;
use futures_lite::future::block_on;

use super::support::creation;
use super::support::customer;
use super::support::customer_id;
use super::support::stamp;

fn change(platform: &MemoryPlatform, rate: f64, command: &str) -> Proposal {
    let found = block_on(platform.read("customer", "choir")).unwrap();
    let base: Base<Customer> = base_of(found.as_ref()).unwrap();
    let id = customer_id("choir");
    let value = Some(customer(rate));
    Proposal::new(id, base, value, &stamp(command), Nonce::random())
}

fn found(platform: &MemoryPlatform) -> Base<Customer> {
    base_of(
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
        Submitted::Accepted(_)
    ));
    let second = change(&platform, 2.0, "change customer choir rate=2");
    assert!(matches!(
        block_on(submit(&platform, &second)),
        Submitted::Accepted(_)
    ));
    let changes = found(&platform).record.changes;
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
    assert_eq!(submitted, Submitted::Accepted(proposal.item(Version(1))));
    assert_eq!(found(&platform).record.changes.len(), 1);
}

#[test]
fn a_lost_race_is_reported_with_the_other_change() {
    let platform = MemoryPlatform::default();
    block_on(submit(
        &platform,
        &creation(customer_id("choir"), customer(1.0)),
    ));
    let mine = change(&platform, 2.0, "mine");
    let theirs = change(&platform, 3.0, "theirs");
    block_on(submit(&platform, &theirs));
    let Submitted::Conflict(Some(by)) = block_on(submit(&platform, &mine)) else {
        panic!("a conflict is expected");
    };
    assert_eq!(by.command, "theirs");
    assert_eq!(found(&platform).record.value, Some(customer(3.0)));
}

#[test]
fn a_change_that_was_overwritten_since_is_still_seen_as_accepted() {
    let platform = MemoryPlatform::default();
    let mine = creation(customer_id("choir"), customer(1.0));
    block_on(submit(&platform, &mine));
    block_on(submit(&platform, &change(&platform, 3.0, "theirs")));
    let object = block_on(platform.read("customer", "choir")).unwrap();
    assert!(matches!(mine.judge(object.as_ref()), Verdict::Accepted(_)));
}

#[test]
fn a_change_too_old_to_tell_is_unknown() {
    let platform = MemoryPlatform::default();
    let mine = creation(customer_id("choir"), customer(1.0));
    block_on(submit(
        &platform,
        &creation(customer_id("choir"), customer(2.0)),
    ));
    for _ in 0..chicoryarch::version::objects::MAX_CHANGES {
        block_on(submit(&platform, &change(&platform, 3.0, "theirs")));
    }
    let object = block_on(platform.read("customer", "choir")).unwrap();
    assert_eq!(mine.judge(object.as_ref()), Verdict::Unknown);
}

#[test]
fn a_change_while_the_platform_is_out_has_not_run() {
    let platform = MemoryPlatform::default();
    let proposal = creation(customer_id("choir"), customer(1.0));
    platform.set_faults(Faults {
        out: true,
        ..Faults::default()
    });
    assert!(matches!(
        block_on(submit(&platform, &proposal)),
        Submitted::NotRun(_)
    ));
    platform.set_faults(Faults::default());
    assert_eq!(found(&platform), Base::absent());
}
