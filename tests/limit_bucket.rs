//! Unit tests of buckets, leases, allotments and floors.

use std::collections::BTreeMap;
use std::time::Duration;

use chicoryarch::configs::limit::LimitConfig;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Version;
use chicoryarch::request::limit::Amount;
use chicoryarch::request::limit::CustomerLimiter;
use chicoryarch::request::limit::Env;
use chicoryarch::request::limit::FloorStatus;
use chicoryarch::request::limit::FloorUse;
use chicoryarch::request::limit::GrantId;
use chicoryarch::request::limit::GrantRequest;
use chicoryarch::request::limit::Member;
use chicoryarch::request::limit::UnusedFloors;
use chicoryarch::request::limit::View;
use chicoryarch::request::limit::allotments::AllotmentHistory;
use chicoryarch::request::limit::allotments::Allotments;
use chicoryarch::request::limit::bucket::Allotment;
use chicoryarch::request::limit::bucket::Bucket;
use chicoryarch::request::limit::message::GrantReport;
use chicoryarch::request::limit::own::OwnBuckets;
use chicoryarch::units::Moment;
use chicoryarch::version::objects::Customer;

const TTL: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Moment {
    Moment::from_start(Duration::from_secs(seconds))
}

fn whole(tokens: u64) -> Amount {
    Amount::from_whole(tokens)
}

/// One token per second, with a capacity of ten.
const ALLOTMENT: Allotment = Allotment {
    refill: Amount::ONE,
    capacity: Amount::from_whole(10),
};

fn grant_id(sequence: u64) -> GrantId {
    GrantId {
        holder: "host-1".parse().expect("name"),
        session: 1,
        sequence,
    }
}

fn report(held: u64, returned: u64) -> GrantReport {
    GrantReport {
        sequence: 1,
        held: whole(held),
        returned: whole(returned),
    }
}

/// Returns a bucket that was full at ten seconds and granted all its tokens then.
fn fully_granted_bucket() -> Bucket {
    let mut bucket = Bucket::empty(at(0), ALLOTMENT);
    let (tokens, _) = bucket.grant(at(10), &grant_id(1), whole(10), Amount::ZERO, TTL);
    assert_eq!(tokens, whole(10));
    bucket
}

#[test]
fn a_grant_frees_capacity_only_once_it_expires() {
    let mut bucket = fully_granted_bucket();
    bucket.refill(at(22));
    assert_eq!(bucket.level(), whole(2));
}

#[test]
fn a_repeated_report_returns_tokens_once() {
    let mut bucket = fully_granted_bucket();
    for _ in 0..3 {
        bucket.apply_report(at(10), &grant_id(1), &report(5, 3));
    }
    assert_eq!(bucket.level(), whole(3));
    assert_eq!(bucket.outstanding(), whole(5));
}

#[test]
fn an_outdated_report_returns_no_tokens() {
    let mut bucket = fully_granted_bucket();
    bucket.apply_report(at(10), &grant_id(1), &report(1, 0));
    bucket.apply_report(at(10), &grant_id(1), &report(4, 3));
    assert_eq!(bucket.level(), Amount::ZERO);
    assert_eq!(bucket.outstanding(), whole(1));
}

#[test]
fn a_repeated_request_gets_the_existing_grant() {
    let mut bucket = fully_granted_bucket();
    bucket.apply_report(at(10), &grant_id(1), &report(4, 6));
    let (tokens, ttl) = bucket.grant(at(12), &grant_id(1), whole(10), Amount::ZERO, TTL);
    assert_eq!((tokens, ttl), (whole(4), Duration::from_secs(8)));
    assert_eq!(bucket.level(), whole(6));
}

fn view(epoch: u64, lease_until: u64) -> View {
    let member = Member {
        host: "host-0".parse().expect("name"),
        address: "127.0.0.1:1".parse().expect("address"),
        alive: true,
        slot: None,
    };
    let data_centre = "dc-0".parse().expect("name");
    View {
        host: member.host.clone(),
        data_centre,
        epoch: Epoch(epoch),
        members: BTreeMap::from([("dc-0".parse().expect("name"), vec![member])]),
        lease_until: Some(at(lease_until)),
        settled_at: at(epoch * 10),
        floor: None,
        unused_floors: UnusedFloors::default(),
    }
}

/// Tokens at eight seconds, if `second` replaces the first view at five seconds.
fn level_after(second: &View) -> Amount {
    let allotments = Allotments {
        main: ALLOTMENT,
        floor: Allotment::default(),
    };
    let mut own = OwnBuckets::new(at(0));
    own.update_leases(at(0), &view(0, 6), true, allotments);
    own.update_leases(at(5), second, true, allotments);
    own.level(at(8))
}

#[test]
fn a_bucket_is_kept_when_the_epoch_advances_by_one() {
    assert_eq!(level_after(&view(1, 20)), whole(8));
}

#[test]
fn a_bucket_starts_empty_after_a_missed_epoch() {
    assert_eq!(level_after(&view(2, 20)), Amount::ZERO);
}

#[test]
fn a_lapsed_bucket_cannot_be_used() {
    assert_eq!(level_after(&view(1, 7)), Amount::ZERO);
}

/// Refill at `seconds`, if it is changed from two tokens per second to `second`
/// at zero seconds.
fn refill_at(second: u64, seconds: u64) -> Amount {
    let allotments = |tokens: u64| {
        let refill = whole(tokens);
        let main = Allotment {
            refill,
            ..ALLOTMENT
        };
        let floor = Allotment::default();
        Allotments { main, floor }
    };
    let mut history = AllotmentHistory::new(allotments(2));
    history.record(at(0), allotments(second));
    let spread = Duration::from_secs(5);
    history.effective(at(seconds), spread).main.refill
}

#[test]
fn a_lowered_rate_takes_effect_at_once() {
    assert_eq!(refill_at(1, 0), whole(1));
}

#[test]
fn a_raised_rate_takes_effect_after_the_spread_time() {
    assert_eq!(refill_at(3, 4), whole(2));
    assert_eq!(refill_at(3, 5), whole(3));
}

#[test]
fn a_floor_counts_as_used_in_the_gap_between_two_unused_periods() {
    let host = "host-1".parse().expect("name");
    let cfg = LimitConfig::default();
    let status = FloorStatus {
        unused_for: Duration::from_secs(2),
    };
    let mut floors = UnusedFloors::default();
    floors.record_status(at(0), at(0), &host, status, &cfg);
    floors.record_status(at(5), at(5), &host, status, &cfg);
    assert_eq!(floors.unused_until(&host, at(2)), None);
    assert!(floors.unused_until(&host, at(6)).is_some());
}

#[test]
fn a_floor_counts_as_used_while_its_grants_may_be_valid() {
    let cfg = LimitConfig::default();
    let mut floor_use = FloorUse::new(at(0), &cfg);
    floor_use.record_lease(at(10), Some(at(20)), &cfg);
    assert_eq!(floor_use.status(at(10)), FloorStatus::default());
    let granted_until = at(10) + cfg.token_ttl;
    assert_eq!(
        floor_use.status(granted_until).unused_for,
        granted_until.until(at(20))
    );
}

#[test]
fn a_grant_expires_before_a_floor_in_the_main_bucket_is_used() {
    let allotments = Allotments {
        main: ALLOTMENT,
        floor: Allotment::default(),
    };
    let mut own = OwnBuckets::new(at(0));
    own.update_leases(at(0), &view(0, 60), true, allotments);
    own.set_allotments(at(0), allotments, Some(at(9)));
    let request = GrantRequest {
        customer: "choir".parse().expect("name"),
        id: grant_id(1),
        need: whole(1),
        extra: Amount::ZERO,
        reports: Vec::new(),
    };
    let cfg = LimitConfig {
        token_ttl: Duration::from_secs(5),
        ..LimitConfig::default()
    };
    let reply = own.grant(at(8), &request, Amount::ZERO, &cfg);
    assert_eq!(reply.granted, whole(1));
    assert!(reply.ttl <= Duration::from_secs(1));
}

#[test]
fn a_new_process_refills_only_after_earlier_grants_have_expired() {
    let cfg = LimitConfig::default();
    let view = view(0, 60);
    let env = |now: Moment| Env {
        now,
        cfg: &cfg,
        view: &view,
    };
    let customer = "choir".parse().expect("name");
    let limits = Customer::default();
    let mut limiter = CustomerLimiter::new(env(at(0)), customer, 1, Version(1), limits);
    let expired = at(0) + cfg.token_ttl;
    assert_eq!(limiter.summary(env(expired)).tokens, 0.0);
    assert!(limiter.summary(env(expired + TTL)).tokens > 0.0);
}
