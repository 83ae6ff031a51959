//! The audit trail on the disk of an archive host.

use std::fs;
use std::io::Write;

use chicoryarch::gateway::archive::AuditTrail;

/// Guards against a change that is lost in the line of one whose write was torn.
#[test]
fn a_line_after_a_torn_one_is_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    let trail = AuditTrail::open(folder.path(), 1 << 20).expect("a folder");
    trail.append(b"{\"object\":1}\n").expect("written");
    let path = folder.path().join("audit.jsonl");
    let mut file = fs::OpenOptions::new().append(true).open(&path).expect("it");
    file.write_all(b"{\"obj").expect("it grows");
    trail.append(b"{\"object\":2}\n").expect("written");
    trail.append(b"{\"object\":3}\n").expect("written");
    let text = fs::read_to_string(&path).expect("readable");
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "{\"object\":1}",
        "{\"obj",
        "{\"object\":2}",
        "{\"object\":3}",
    ];
    assert_eq!(lines, expected);
}
