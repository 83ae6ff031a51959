//! Lives of records and chains in the index.

use std::collections::BTreeMap;

use chicoryarch::archive::index::Admission;
use chicoryarch::archive::index::Index;
use chicoryarch::archive::index::IndexLimits;
use chicoryarch::archive::index::Position;
use chicoryarch::ids::HostId;
use chicoryarch::turns::TurnKey;
use chicoryarch::turns::record::RecordHead;

use crate::fleet::CUSTOMER;
use crate::fleet::record;

const MARGIN_MS: u64 = 5000;
const RETENTION_MS: u64 = 60_000;
const FRAME_BYTES: u64 = 100;
/// Time after which the holders of a record are checked, in milliseconds.
const CHECK_DELAY_MS: u64 = 2000;

/// An index that is filled with records of a given end.
struct World {
    index: Index,
    /// End of each segment.
    ends: BTreeMap<u64, u64>,
}

impl World {
    fn new() -> Self {
        let limits = IndexLimits {
            margin_ms: MARGIN_MS,
            recent_bytes: 0,
            check_delay_ms: CHECK_DELAY_MS,
        };
        Self {
            index: Index::new(limits),
            ends: BTreeMap::new(),
        }
    }

    fn head(id: &str, previous: &str, ended_ms: u64, holders: &[&str]) -> RecordHead {
        RecordHead {
            ended_ms,
            retention_ms: RETENTION_MS,
            ..record(id, previous, holders, "").head
        }
    }

    fn store(&mut self, segment: u64, id: &str, previous: &str, ended_ms: u64) {
        self.store_for(segment, id, previous, ended_ms, &["a"]);
    }

    fn store_for(
        &mut self,
        segment: u64,
        id: &str,
        previous: &str,
        ended_ms: u64,
        holders: &[&str],
    ) {
        let end = self.ends.entry(segment).or_default();
        let at = Position {
            segment,
            offset: *end,
            bytes: FRAME_BYTES,
        };
        *end += FRAME_BYTES;
        let head = Self::head(id, previous, ended_ms, holders);
        self.index.insert(&head, at, ended_ms);
    }

    fn chain_length(&self, id: &str, now_ms: u64) -> Option<usize> {
        let chain = self.index.chain(&key(id), now_ms);
        chain.map(|chain| chain.len())
    }
}

fn key(id: &str) -> TurnKey {
    TurnKey::new(CUSTOMER, id)
}

fn host(name: &str) -> HostId {
    name.parse().expect("a name")
}

/// Guards against a turn that is not returned within its retention, or whose
/// segment is deleted before.
#[test]
fn a_record_lives_for_its_retention_and_the_margin() {
    let mut world = World::new();
    world.store(0, "turn", "", 1000);
    let end = 1000 + RETENTION_MS + MARGIN_MS;
    assert!(world.index.is_live(&key("turn"), end - 1));
    assert!(!world.index.is_live(&key("turn"), end));
    assert_eq!(world.index.expired_segments(end - 1), [0; 0]);
    assert_eq!(world.index.expired_segments(end), [0]);
    world.index.remove_segment(0);
    assert!(world.index.is_empty());
    assert_eq!(world.index.bytes(), 0);
}

/// Guards against a segment that is deleted while a turn continues one of its
/// records, however long the chain is.
#[test]
fn a_chain_keeps_all_its_segments_until_its_last_turn_has_expired() {
    let mut world = World::new();
    let mut previous = String::new();
    for turn in 0..20_u64 {
        let id = format!("turn-{turn}");
        // Each turn ends just before the one before expires.
        world.store(turn, &id, &previous, turn * RETENTION_MS);
        previous = id;
    }
    let end = 19 * RETENTION_MS + RETENTION_MS + MARGIN_MS;
    assert_eq!(world.index.expired_segments(end - 1), [0; 0]);
    assert_eq!(world.chain_length("turn-19", end - 1), Some(20));
    assert_eq!(world.chain_length("turn-0", end - 1), Some(1));
    assert_eq!(world.chain_length("turn-19", end), None);
    assert_eq!(world.index.expired_segments(end).len(), 20);
}

/// Guards against one branch of a chain that ends the life of another.
#[test]
fn turns_that_continue_the_same_turn_live_independently() {
    let mut world = World::new();
    world.store(0, "root", "", 0);
    world.store(1, "short", "root", 1000);
    world.store(2, "long", "root", 50_000);
    let short_end = 1000 + RETENTION_MS + MARGIN_MS;
    assert!(!world.index.is_live(&key("short"), short_end));
    assert_eq!(world.chain_length("long", short_end), Some(2));
    assert_eq!(world.index.expired_segments(short_end), [1]);
}

/// Guards against a record that is acknowledged although the text before it is
/// about to be deleted.
#[test]
fn a_record_is_admitted_only_after_a_live_one() {
    let mut world = World::new();
    world.store(0, "turn", "", 0);
    let next = World::head("next", "turn", 60_000, &["a"]);
    let none_pending = |_: &TurnKey| false;
    let end = RETENTION_MS + MARGIN_MS;
    let admit = |now_ms| world.index.admit(&next, now_ms, none_pending);
    assert_eq!(admit(end - 1), Admission::New);
    assert_eq!(admit(end), Admission::Missing);
    let pending = world
        .index
        .admit(&next, end, |pending| *pending == key("turn"));
    assert_eq!(pending, Admission::New);
    let known = World::head("turn", "", 0, &["a"]);
    assert_eq!(world.index.admit(&known, 1, none_pending), Admission::Known);
}

/// Guards against customers with equal request ids, of whom one loses a turn or is
/// given the text of the other.
#[test]
fn turns_of_two_customers_with_the_same_id_are_apart() {
    let mut world = World::new();
    world.store(0, "turn", "", 0);
    let of_other = |id: &str, previous: &str| RecordHead {
        customer: "customer-2".into(),
        ..World::head(id, previous, 0, &["a"])
    };
    let none_pending = |_: &TurnKey| false;
    let same = of_other("turn", "");
    assert_eq!(world.index.admit(&same, 1, none_pending), Admission::New);
    let stranger = of_other("next", "turn");
    let admitted = world.index.admit(&stranger, 1, none_pending);
    assert_eq!(admitted, Admission::Missing);
    let other = TurnKey::new("customer-2", "turn");
    assert!(!world.index.is_live(&other, 1));
    let at = Position {
        segment: 1,
        offset: 0,
        bytes: FRAME_BYTES,
    };
    world.index.insert(&same, at, 0);
    for (key, segment) in [(key("turn"), 0), (other, 1)] {
        let chain = world.index.chain(&key, 1).expect("it is live");
        assert_eq!(chain[0].at.segment, segment);
    }
    // Customer and id are not only joined.
    assert_ne!(TurnKey::new("a", "bc"), TurnKey::new("ab", "c"));
}

/// Guards against lives that depend on the order in which segments are read.
#[test]
fn a_recovery_in_any_order_gives_the_same_lives() {
    let mut world = World::new();
    world.store(0, "third", "second", 100_000);
    world.store(1, "second", "first", 50_000);
    world.store(2, "first", "", 0);
    world.store(3, "orphan", "lost", 100_000);
    assert_eq!(world.index.complete_recovery(110_000), 1);
    assert_eq!(world.chain_length("third", 110_000), Some(3));
    assert!(!world.index.is_live(&key("orphan"), 110_000));
    let end = 100_000 + RETENTION_MS + MARGIN_MS;
    assert_eq!(world.index.expired_segments(end - 1), [0; 0]);
    assert_eq!(world.index.expired_segments(end), [0, 1, 2, 3]);
}

/// Guards against a record of a host with a wrong clock that is never deleted.
#[test]
fn a_turn_does_not_end_in_the_future() {
    let mut world = World::new();
    let at = Position {
        segment: 0,
        offset: 0,
        bytes: FRAME_BYTES,
    };
    let head = World::head("turn", "", u64::MAX, &["a"]);
    world.index.insert(&head, at, 1000);
    let end = 1000 + RETENTION_MS + MARGIN_MS;
    assert!(world.index.is_live(&key("turn"), end - 1));
    assert_eq!(world.index.expired_segments(end), [0]);
}

/// Guards against a disk that fills up with expired records since a few long
/// chains keep their segments, and against a copied record that is lost.
#[test]
fn the_live_records_of_a_sparse_segment_can_be_copied() {
    let mut world = World::new();
    world.store(0, "first", "", 0);
    for n in 0..9 {
        world.store(0, &format!("expired-{n}"), "", 0);
    }
    world.store(1, "second", "first", 60_000);
    let now_ms = 70_000;
    assert_eq!(world.index.expired_segments(now_ms), [0; 0]);
    assert_eq!(
        world.index.sparse_segment(0, now_ms),
        None,
        "it is written to"
    );
    let sparse = world.index.sparse_segment(2, now_ms).expect("a sparse one");
    assert_eq!(sparse.number, 0);
    let [(id, from)] = &sparse.records[..] else {
        panic!("one record is live");
    };
    let to = Position {
        segment: 2,
        offset: 0,
        bytes: from.bytes,
    };
    world.index.relocate(id, *from, to);
    world.index.remove_segment(0);
    let chain = world
        .index
        .chain(&key("second"), now_ms)
        .expect("it is live");
    assert_eq!(chain[0].at, to);
    assert_eq!(world.index.len(), 2);
    let end = 60_000 + RETENTION_MS + MARGIN_MS;
    assert_eq!(world.index.expired_segments(end - 1), [0; 0]);
    assert_eq!(world.index.expired_segments(end), [1, 2]);
    assert_eq!(world.index.sparse_segment(3, now_ms), None, "all are live");
}

/// Guards against records that a refilled host does not get, or gets without the
/// text before them.
#[test]
fn pages_have_all_records_of_a_holder_with_the_text_that_it_needs() {
    let mut world = World::new();
    world.store_for(0, "first", "", 0, &["a", "b"]);
    world.store_for(0, "second", "first", 0, &["a", "b"]);
    world.store_for(1, "third", "second", 0, &["a", "c"]);
    world.store_for(1, "fourth", "third", 0, &["a", "c"]);
    let lengths = |holder: &str, skip: &[HostId]| {
        let mut lengths = Vec::new();
        let mut after = Some(0);
        while let Some(from) = after {
            let page = world.index.page(&host(holder), skip, from, FRAME_BYTES, 1);
            lengths.extend(page.chains.iter().map(Vec::len));
            after = page.next;
        }
        lengths
    };
    assert_eq!(lengths("a", &[]), [1, 1, 1, 1]);
    assert_eq!(lengths("b", &[]), [1, 1]);
    assert_eq!(lengths("c", &[]), [3, 1], "the first has the whole text");
    assert_eq!(
        lengths("a", &[host("b")]),
        [1, 1],
        "host b has sent the others"
    );
    assert_eq!(lengths("d", &[]), [0; 0]);
}

/// Guards against records whose holders are never checked, or are checked while they
/// are still being sent, again and again or after they have expired.
#[test]
fn the_holders_of_each_record_are_checked_once() {
    let mut world = World::new();
    world.store_for(0, "first", "", 1000, &["a", "b"]);
    world.store_for(0, "second", "", 1500, &["a", "c"]);
    let due = |world: &mut World, now_ms, max| {
        let items = world.index.take_unchecked(now_ms, max);
        let ids = items.iter().map(|item| item.key.id().to_owned());
        ids.collect::<Vec<String>>()
    };
    let first_due = 1000 + CHECK_DELAY_MS;
    assert_eq!(due(&mut world, first_due - 1, 10), [""; 0]);
    assert_eq!(due(&mut world, first_due, 10), ["first"]);
    // Both are due; the second one is returned later.
    world.index.check_later(&key("first"), first_due);
    assert_eq!(due(&mut world, first_due + 500, 1), ["first"]);
    assert_eq!(due(&mut world, first_due + 500, 1), ["second"]);
    assert_eq!(due(&mut world, u64::MAX, 10), [""; 0]);
    world.index.check_all_of(&host("c"), 7000);
    world.index.check_later(&key("unknown"), 7000);
    assert_eq!(due(&mut world, 6999, 10), [""; 0]);
    assert_eq!(due(&mut world, 7000, 10), ["second"]);
    world.index.check_all_of(&host("a"), 8000);
    let expired = 1500 + RETENTION_MS + MARGIN_MS;
    assert_eq!(due(&mut world, expired, 10), [""; 0]);
}
