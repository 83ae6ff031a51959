//! Tests that the catalogue never lowers a version and never drops a
//! withdrawal.

use std::sync::atomic::Ordering;

use chicoryarch::ids::Version;
use chicoryarch::version::catalogue::Bundle;
use chicoryarch::version::catalogue::Catalogue;
use chicoryarch::version::catalogue::Configuration;
use chicoryarch::version::catalogue::Digest;
use chicoryarch::version::catalogue::Item;
use chicoryarch::version::catalogue::Tombstone;
use chicoryarch::version::objects::Record;
use serde_json::json;

use super::support::customer;
use super::support::customer_id;
use super::support::item;
use super::support::key;
use super::support::key_set;
use super::support::keys_id;
use super::support::secret;
use super::support::stamp;

fn bundle_of(items: Vec<Item>) -> Bundle {
    Bundle {
        items,
        tombstones: Vec::new(),
    }
}

fn withdrawal_of(customer: &str, name: &str) -> Bundle {
    Bundle {
        items: Vec::new(),
        tombstones: vec![Tombstone {
            key: key(customer, name),
            stamp: Some(stamp("withdraw")),
        }],
    }
}

fn configuration_with_key() -> Configuration {
    let configuration = Configuration::default();
    let choir = item(customer_id("choir"), 1, customer(5.0));
    let keys = item(keys_id("choir"), 2, key_set("choir", &["desk"]));
    configuration.apply(bundle_of(vec![choir, keys]));
    configuration
}

#[test]
fn an_older_version_that_arrives_late_changes_nothing() {
    let configuration = Configuration::default();
    configuration.apply(bundle_of(vec![item(
        customer_id("choir"),
        7,
        customer(5.0),
    )]));
    let applied = configuration.apply(bundle_of(vec![item(
        customer_id("choir"),
        6,
        customer(9.0),
    )]));
    assert_eq!(applied.stale, 1);
    assert_eq!(
        configuration
            .customer(&"choir".parse().unwrap())
            .unwrap()
            .rate,
        5.0
    );
    assert_eq!(configuration.version(), Version(7));
}

#[test]
fn a_removed_object_stays_removed_when_an_older_version_arrives() {
    let configuration = Configuration::default();
    let mut removal = item(customer_id("choir"), 7, customer(5.0));
    removal.record["value"] = json!(null);
    configuration.apply(bundle_of(vec![removal]));
    configuration.apply(bundle_of(vec![item(
        customer_id("choir"),
        6,
        customer(5.0),
    )]));
    assert_eq!(configuration.customer(&"choir".parse().unwrap()), None);
}

#[test]
fn a_malformed_version_is_refused_once_and_the_last_good_one_stays() {
    let configuration = configuration_with_key();
    let mut malformed = item(customer_id("choir"), 9, customer(5.0));
    malformed.record["value"]["rate"] = json!(-1.0);
    let other = item(customer_id("band"), 10, customer(1.0));
    let applied = configuration.apply(bundle_of(vec![malformed.clone(), other]));
    assert_eq!(
        applied.refused[0].detail,
        "is out of bounds: rate must be from 0 to 1000000"
    );
    configuration.apply(bundle_of(vec![malformed]));
    assert_eq!(configuration.counters().refused.load(Ordering::Relaxed), 1);
    assert_eq!(
        configuration.applied_version(&customer_id("choir")),
        Some(Version(1))
    );
    assert_eq!(
        configuration.applied_version(&customer_id("band")),
        Some(Version(10))
    );
}

#[test]
fn a_malformed_key_set_is_reported_without_its_content() {
    let configuration = Configuration::default();
    let mut malformed = item(keys_id("choir"), 3, key_set("choir", &["desk"]));
    malformed.record["value"]["keys"]["desk"]["hash"] = json!("a-secret-by-mistake");
    let applied = configuration.apply(bundle_of(vec![malformed]));
    assert_eq!(applied.refused[0].detail, "not a valid key set");
}

#[test]
fn only_the_secret_of_a_valid_key_identifies_it() {
    let configuration = configuration_with_key();
    let found = configuration.identify(secret("choir", "desk").as_bytes());
    assert_eq!(found, Some(key("choir", "desk")));
    assert_eq!(configuration.identify(b"chk_choir_other"), None);
    assert_eq!(configuration.identify(b""), None);
}

#[test]
fn an_unrecorded_withdrawal_overrides_later_key_sets() {
    let configuration = configuration_with_key();
    configuration.apply(withdrawal_of("choir", "desk"));
    let later = item(keys_id("choir"), 8, key_set("choir", &["desk", "box"]));
    configuration.apply(bundle_of(vec![later]));
    assert_eq!(
        configuration.identify(secret("choir", "desk").as_bytes()),
        None
    );
    assert!(
        configuration
            .identify(secret("choir", "box").as_bytes())
            .is_some()
    );
}

#[test]
fn a_withdrawal_applied_before_its_key_set_takes_effect() {
    let configuration = Configuration::default();
    configuration.apply(withdrawal_of("choir", "desk"));
    let keys = item(keys_id("choir"), 2, key_set("choir", &["desk"]));
    configuration.apply(bundle_of(vec![
        item(customer_id("choir"), 1, customer(5.0)),
        keys,
    ]));
    assert_eq!(
        configuration.identify(secret("choir", "desk").as_bytes()),
        None
    );
}

#[test]
fn a_secret_under_two_names_identifies_no_key() {
    let configuration = configuration_with_key();
    let mut set = key_set("choir", &["desk"]);
    let desk = set.keys[&"desk".parse().unwrap()].clone();
    set.keys.insert("copy".parse().unwrap(), desk);
    configuration.apply(bundle_of(vec![item(keys_id("choir"), 5, set)]));
    assert_eq!(
        configuration.identify(secret("choir", "desk").as_bytes()),
        None
    );
}

#[test]
fn the_secret_of_a_removed_customer_identifies_no_key() {
    let configuration = configuration_with_key();
    let mut removal = item(customer_id("choir"), 9, customer(5.0));
    removal.record["value"] = json!(null);
    configuration.apply(bundle_of(vec![removal]));
    assert_eq!(
        configuration.identify(secret("choir", "desk").as_bytes()),
        None
    );
}

#[test]
fn waiting_for_a_withdrawal_ends_when_it_is_applied() {
    let configuration = configuration_with_key();
    let desk = key("choir", "desk");
    let waiting = configuration.until_withdrawn(&desk);
    let withdrawing = async {
        configuration.apply(withdrawal_of("choir", "desk"));
    };
    futures_lite::future::block_on(futures_lite::future::zip(waiting, withdrawing));
    assert!(configuration.is_withdrawn(&desk));
}

#[test]
fn the_digest_depends_on_what_is_applied_and_not_on_the_order() {
    let bundles = [
        bundle_of(vec![item(customer_id("choir"), 1, customer(5.0))]),
        bundle_of(vec![item(customer_id("choir"), 4, customer(6.0))]),
        bundle_of(vec![item(customer_id("band"), 3, customer(6.0))]),
        withdrawal_of("choir", "desk"),
    ];
    let mut forward = Catalogue::default();
    let mut backward = Catalogue::default();
    for bundle in &bundles {
        forward.apply(bundle.clone());
    }
    for bundle in bundles.iter().rev() {
        backward.apply(bundle.clone());
    }
    assert_eq!(forward.digest(), backward.digest());
    assert_ne!(forward.digest().summary(), Digest::default().summary());
}

#[test]
fn a_difference_holds_what_the_other_is_missing() {
    let mut ahead = Catalogue::default();
    let mut behind = Catalogue::default();
    let both = bundle_of(vec![item(customer_id("choir"), 1, customer(5.0))]);
    ahead.apply(both.clone());
    behind.apply(both);
    ahead.apply(withdrawal_of("choir", "desk"));
    ahead.apply(bundle_of(vec![item(customer_id("band"), 2, customer(5.0))]));
    behind.apply(ahead.difference(behind.digest()));
    assert_eq!(ahead.digest(), behind.digest());
    assert!(ahead.difference(behind.digest()).is_empty());
}

#[test]
fn a_record_keeps_the_newest_changes() {
    let mut record: Record<u64> = Record::default();
    for value in 0..100 {
        let change = stamp(&format!("change {value}")).change(
            Some(Version(value)),
            chicoryarch::connection::platform::Nonce(value),
        );
        record = record.with_change(Some(value), change);
    }
    assert_eq!(
        record.changes.len(),
        chicoryarch::version::objects::MAX_CHANGES
    );
    assert_eq!(record.changes.last().unwrap().command, "change 99");
}
