//! Runs archive hosts as separate processes against a stand-in of the store.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use chicoryarch::archive::directory::DIRECTORY_BYTES;
use chicoryarch::archive::server_api::PageQuery;
use chicoryarch::configs::gateway::ArchiveConfig;
use chicoryarch::turns::record::Record;
use http::StatusCode;
use serde_json::json;

use crate::fleet::CUSTOMER;
use crate::fleet::Fleet;
use crate::fleet::record;
use crate::fleet::wait_until;
use crate::log_recovery::foreign_frame;

const ALWAYS_MS: u64 = 1 << 53;

/// Guards against acknowledged turns that are lost by a killed process, and
/// against an index that is not rebuilt from the log.
#[test]
fn acknowledged_turns_are_returned_whole_after_a_restart() {
    let fleet = Fleet::new();
    let mut archive = fleet.archive("a-archive-1", "a");
    fleet.wait_listed(&archive);
    let holders = ["a-archive-1"];
    let first = record("turn-1", "", &holders, "one;");
    let second = record("turn-2", "turn-1", &holders, "two;");
    let third = record("turn-3", "turn-2", &holders, "three;");
    // Records of one body may continue each other.
    let stored = fleet.store_turns(&archive, &[first, second.clone()]);
    assert_eq!(stored.status, StatusCode::OK);
    let stored = fleet.store_turns(&archive, std::slice::from_ref(&third));
    assert_eq!(stored.status, StatusCode::OK);
    for is_restarted in [false, true] {
        let answer = fleet.turn(&archive, "turn-3");
        assert_eq!(answer.status, StatusCode::OK, "restarted: {is_restarted}");
        let whole = answer.record();
        assert_eq!(&whole.text[..], b"one;two;three;");
        assert_eq!(whole.head.previous, None);
        assert_eq!(whole.head.holders, third.head.holders);
        assert_eq!(whole.head.ended_ms, third.head.ended_ms);
        assert_eq!(
            &fleet.turn(&archive, "turn-2").record().text[..],
            b"one;two;"
        );
        // A repeated request is confirmed.
        let repeated = fleet.store_turns(&archive, std::slice::from_ref(&second));
        assert_eq!(repeated.status, StatusCode::OK);
        if !is_restarted {
            archive.kill();
            archive.start();
            fleet.wait_listed(&archive);
        }
    }
}

/// Guards against a record without the text before it, and against records of a
/// body that are not stored because of another one.
#[test]
fn a_record_whose_previous_turn_is_missing_is_refused_alone() {
    let fleet = Fleet::new();
    let archive = fleet.archive("a-archive-1", "a");
    fleet.wait_listed(&archive);
    let holders = ["a-archive-1"];
    let orphan = record("orphan", "unknown", &holders, "x");
    let sound = record("sound", "", &holders, "y");
    let stored = fleet.store_turns(&archive, &[orphan, sound]);
    assert_eq!(stored.status, StatusCode::CONFLICT);
    assert_eq!(
        stored.json(),
        json!({"missing": [{"customer": "customer-1", "id": "unknown"}]})
    );
    assert_eq!(fleet.turn(&archive, "sound").status, StatusCode::OK);
    let absent = fleet.turn(&archive, "orphan");
    assert_eq!(absent.status, StatusCode::NOT_FOUND);
    assert_eq!(absent.json(), json!({"whole_for_ms": ALWAYS_MS}));
    // Another customer's turn of the same id is stored, and neither is mixed up.
    let mut other = record("sound", "", &holders, "z");
    other.head.customer = "customer-2".into();
    assert_eq!(fleet.store_turns(&archive, &[other]).status, StatusCode::OK);
    for (customer, text) in [(CUSTOMER, "y"), ("customer-2", "z")] {
        let answer = fleet.try_turn_of(&archive, customer, "sound");
        assert_eq!(answer.expect("an answer").record().text, text);
    }
    let of_none = fleet.try_turn_of(&archive, "", "sound").expect("an answer");
    assert_eq!(of_none.status, StatusCode::NOT_FOUND);
    // A host that asks by the id alone learns nothing.
    let by_id = fleet.try_get(&archive, "/turns/00").expect("an answer");
    assert_eq!(by_id.status, StatusCode::BAD_REQUEST);
    // A body with a record of another format is not confirmed.
    let foreign = foreign_frame(b"another head");
    let refused = fleet.post(&archive, foreign.into()).expect("an answer");
    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
    let malformed = fleet
        .post(&archive, "not a frame".into())
        .expect("an answer");
    assert_eq!(malformed.status, StatusCode::BAD_REQUEST);
}

/// Guards against a host that claims to hold all turns after its disk was lost,
/// though its settings still say that this is the first start.
#[test]
fn a_host_that_lost_its_disk_does_not_claim_to_hold_all_turns() {
    let fleet = Fleet::new();
    let mut archive = fleet.archive("a-archive-1", "a");
    fleet.wait_listed(&archive);
    let before = fleet.entry("a-archive-1").expect("an entry");
    archive.lose_disk();
    archive.start();
    fleet.wait_listed(&archive);
    // The new process answers before it has replaced the entry of the old one,
    // which has the same address.
    let incarnation = |entry: &serde_json::Value| entry["incarnation"].as_u64();
    wait_until("the entry is of the new process", || {
        let entry = fleet.entry("a-archive-1").expect("an entry");
        incarnation(&entry) != incarnation(&before)
    });
    let absent = fleet.turn(&archive, "turn").json();
    let whole_for_ms = absent["whole_for_ms"].as_u64().expect("a number");
    assert!(whole_for_ms < 60_000, "{whole_for_ms}");
    let entry = fleet.entry("a-archive-1").expect("an entry");
    assert!(incarnation(&entry) > incarnation(&before));
    assert_eq!(entry["data_centre"], "a");
    assert_eq!(entry["is_draining"], false);
}

/// Guards against archive hosts that listen in deployments that keep no turns.
#[test]
fn no_turns_are_kept_before_a_route_asks_for_it() {
    let fleet = Fleet::without_turns();
    let archive = fleet.archive("a-archive-1", "a");
    let trail = archive.data.join("audit.jsonl");
    wait_until("the configuration is read", || trail.exists());
    assert!(fleet.try_turn(&archive, "turn").is_none());
    assert_eq!(fleet.entry("a-archive-1"), None);
    fleet.keep_turns();
    fleet.wait_listed(&archive);
}

/// Guards against damaged bytes that hide other records or the loss of their own,
/// and against damage that makes the disk look young at each later start.
#[test]
fn a_host_with_a_damaged_record_keeps_the_others_and_admits_the_loss() {
    let fleet = Fleet::new();
    let mut archive = fleet.archive("a-archive-1", "a");
    fleet.wait_listed(&archive);
    let holders = ["a-archive-1"];
    let records = ["first", "second", "third"].map(|id| record(id, "", &holders, "text"));
    assert_eq!(fleet.store_turns(&archive, &records).status, StatusCode::OK);
    archive.kill();
    let segment = archive.data.join("turns/0000000080000000.seg");
    let mut bytes = fs::read(&segment).expect("the first segment");
    let middle = usize::midpoint(DIRECTORY_BYTES, bytes.len());
    bytes[middle] ^= 1;
    fs::write(&segment, bytes).expect("it can be written");
    archive.start();
    fleet.wait_listed(&archive);
    let whole_for_ms = || {
        let absent = fleet.turn(&archive, "second");
        assert_eq!(absent.status, StatusCode::NOT_FOUND);
        absent.json()["whole_for_ms"].as_u64().expect("a number")
    };
    assert!(whole_for_ms() < 60_000);
    wait_until("the records are copied", || !segment.exists());
    for id in ["first", "third"] {
        assert_eq!(fleet.turn(&archive, id).status, StatusCode::OK);
    }
}

/// Guards against text of a caller that is returned as a turn after two kills in
/// mid-write, and against turns that are lost with the torn ends.
#[test]
fn text_of_torn_records_is_never_returned_as_a_turn() {
    let fleet = Fleet::new();
    let mut archive = fleet.archive("a-archive-1", "a");
    fleet.wait_listed(&archive);
    let holders = ["a-archive-1"];
    let forged = record("forged", "", &holders, "text of another customer").to_frame();
    let mut torn = record("torn", "", &holders, "");
    torn.text = forged.repeat(3).into();
    let torn = torn.to_frame();
    let ids = ["first", "second", "third"];
    for (n, id) in ids.iter().enumerate() {
        let stored = fleet.store_turns(&archive, &[record(id, "", &holders, id)]);
        assert_eq!(stored.status, StatusCode::OK);
        archive.kill();
        let folder = fs::read_dir(archive.data.join("turns")).expect("the log");
        let files = folder.map(|entry| entry.expect("readable").path());
        let segments = files.filter(|path| path.extension().is_some_and(|e| e == "seg"));
        let last = segments.max().expect("a segment");
        let mut file = fs::OpenOptions::new().append(true).open(last).expect("it");
        file.write_all(&torn[..torn.len() - 1]).expect("it grows");
        archive.start();
        fleet.wait_listed(&archive);
        for stored in &ids[..=n] {
            assert_eq!(fleet.turn(&archive, stored).record().text, stored);
        }
        let absent = fleet.turn(&archive, "forged");
        assert_eq!(absent.status, StatusCode::NOT_FOUND);
        assert_eq!(absent.json(), json!({"whole_for_ms": ALWAYS_MS}));
    }
}

/// Guards against turns that are lost when a host is upgraded from the release
/// whose segments have no directory.
#[test]
fn the_disk_of_an_earlier_release_is_read() {
    let fleet = Fleet::new();
    let mut archive = fleet.archive("a-archive-1", "a");
    fleet.wait_listed(&archive);
    archive.kill();
    let turns = archive.data.join("turns");
    fs::remove_dir_all(&turns).expect("the log");
    fs::create_dir(&turns).expect("the folder takes files");
    fs::write(turns.join("since"), "first-start").expect("the folder takes files");
    let holders = ["a-archive-1"];
    let first = record("first", "", &holders, "one;");
    let second = record("second", "first", &holders, "two;");
    let third = record("third", "second", &holders, "three;");
    for (file, record) in [(0, &first), (1, &second)] {
        let path = turns.join(format!("{file:016x}.log"));
        fs::write(path, record.to_frame()).expect("the folder takes files");
    }
    for is_first_start in [true, false] {
        archive.start();
        fleet.wait_listed(&archive);
        if is_first_start {
            let stored = fleet.store_turns(&archive, std::slice::from_ref(&third));
            assert_eq!(stored.status, StatusCode::OK);
        }
        let text = fleet.turn(&archive, "third").record().text;
        assert_eq!(text, "one;two;three;");
        let absent = fleet.turn(&archive, "unknown").json();
        assert_eq!(absent, json!({"whole_for_ms": ALWAYS_MS}));
        archive.kill();
    }
}

/// Guards against a full disk that drops live records, confirms records that are
/// not on it, or is never used again.
#[test]
fn a_full_disk_refuses_new_records_until_old_ones_have_expired() {
    let fleet = Fleet::new();
    let settings = "limits.disk_mb=8\nlimits.memory_mb=130\n";
    let archive = fleet.archive_with("a-archive-1", "a", settings);
    fleet.wait_listed(&archive);
    let text = "x".repeat(100 << 10);
    let short_lived = |id: &str| {
        let mut record: Record = record(id, "", &["a-archive-1"], &text);
        record.head.retention_ms = 1000;
        record
    };
    let mut stored = 0;
    loop {
        let new = short_lived(&format!("turn-{stored}"));
        match fleet.store_turns(&archive, &[new]).status {
            StatusCode::OK => stored += 1,
            status => {
                assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
                break;
            }
        }
    }
    assert!((50..80).contains(&stored), "{stored}");
    let known = short_lived("turn-0");
    assert_eq!(fleet.store_turns(&archive, &[known]).status, StatusCode::OK);
    for n in 0..stored {
        let answer = fleet.turn(&archive, &format!("turn-{n}"));
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.record().text, text);
    }
    wait_until("records have expired", || {
        let new = short_lived("new");
        fleet.store_turns(&archive, &[new]).status == StatusCode::OK
    });
}

/// Guards against a process that ends because many large bodies arrive at the
/// same time.
#[test]
fn bodies_that_arrive_at_the_same_time_are_bounded() {
    let fleet = Fleet::new();
    let archive = fleet.archive("a-archive-1", "a");
    fleet.wait_listed(&archive);
    let mut connections: Vec<TcpStream> = (0..8)
        .map(|_| {
            let mut connection = TcpStream::connect(archive.address).expect("it listens");
            let head = "POST /turns HTTP/1.1\r\nhost: x\r\ncontent-length: 8000000\r\n\r\n";
            connection.write_all(head.as_bytes()).expect("it reads");
            connection
        })
        .collect();
    // The memory has room for two of them, which wait for the rest.
    let answers = connections.iter_mut().filter_map(|connection| {
        let limit = Some(Duration::from_millis(1500));
        connection.set_read_timeout(limit).expect("a valid time");
        let mut answer = [0; 12];
        connection.read_exact(&mut answer).ok()?;
        Some(answer)
    });
    let answers: Vec<[u8; 12]> = answers.collect();
    assert_eq!(answers, [*b"HTTP/1.1 503"; 6]);
    let small = record("small", "", &["a-archive-1"], "small");
    assert_eq!(fleet.store_turns(&archive, &[small]).status, StatusCode::OK);
}

/// Guards against an audit trail and a turn log that do not fit the disk together.
#[test]
fn shares_that_exceed_the_disk_are_refused() {
    let default = ArchiveConfig::default();
    assert!(default.check().is_ok());
    for turns_share in [0.95, -0.1, f64::NAN] {
        let cfg = ArchiveConfig {
            turns_share,
            ..default.clone()
        };
        assert!(cfg.check().is_err(), "{turns_share}");
    }
}

/// Guards against a query that is taken for another one.
#[test]
fn the_query_of_a_page_is_read_strictly() {
    let query = PageQuery::parse("holder=a1&after=5&skip=b1,b2&later=field").expect("valid");
    assert_eq!((query.holder.as_str(), query.after), ("a1", 5));
    assert_eq!(query.skip.len(), 2);
    let short = PageQuery::parse("holder=a1&skip=").expect("valid");
    assert_eq!((short.after, short.skip.len()), (0, 0));
    for invalid in [
        "",
        "after=5",
        "holder=A",
        "holder=a1&after=x",
        "holder=a1&skip=,",
    ] {
        assert_eq!(PageQuery::parse(invalid), None, "{invalid}");
    }
}
