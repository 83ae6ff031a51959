//! Tests that the saved configuration is replaced atomically and refused when it
//! is damaged.

use std::fs;

use chicoryarch::process::distribution::file::SavedFile;
use chicoryarch::version::catalogue::Bundle;
use chicoryarch::version::catalogue::Tombstone;

use super::support::customer;
use super::support::customer_id;
use super::support::item;
use super::support::key;
use super::support::stamp;

fn bundle() -> Bundle {
    Bundle {
        items: vec![item(customer_id("choir"), 1, customer(5.0))],
        tombstones: vec![Tombstone {
            key: key("choir", "desk"),
            stamp: Some(stamp("withdraw")),
        }],
    }
}

#[test]
fn a_saved_bundle_is_loaded() {
    let dir = tempfile::tempdir().unwrap();
    let file = SavedFile::new(dir.path());
    assert_eq!(file.load().unwrap(), None);
    file.save(&Bundle::default()).unwrap();
    file.save(&bundle()).unwrap();
    assert_eq!(file.load().unwrap(), Some(bundle()));
}

#[test]
fn any_damaged_byte_is_detected() {
    let dir = tempfile::tempdir().unwrap();
    let file = SavedFile::new(dir.path());
    file.save(&bundle()).unwrap();
    let intact = fs::read(file.path()).unwrap();
    for position in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[position] ^= 1;
        fs::write(file.path(), &damaged).unwrap();
        assert!(file.load().is_err(), "byte {position}");
        fs::write(file.path(), &intact[..position]).unwrap();
        assert!(file.load().is_err(), "cut at {position}");
    }
}

#[test]
fn a_damaged_file_is_refused_with_a_clear_message() {
    let dir = tempfile::tempdir().unwrap();
    let file = SavedFile::new(dir.path());
    file.save(&bundle()).unwrap();
    let mut content = fs::read(file.path()).unwrap();
    content.pop();
    fs::write(file.path(), content).unwrap();
    let message = file.load().unwrap_err().to_string();
    let message = message.replace(&dir.path().display().to_string(), "DIR");
    insta::assert_snapshot!(message, @"the saved configuration DIR/configuration.json is damaged (the checksum does not match) and was not used");
}

#[test]
fn a_partial_write_leaves_the_previous_file_in_place() {
    let dir = tempfile::tempdir().unwrap();
    let file = SavedFile::new(dir.path());
    file.save(&bundle()).unwrap();
    fs::write(dir.path().join("configuration.json.new"), "half").unwrap();
    assert_eq!(file.load().unwrap(), Some(bundle()));
}
