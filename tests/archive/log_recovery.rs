//! Frames and their recovery from damaged segments.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryarch::archive::directory;
use chicoryarch::archive::directory::DIRECTORY_BYTES;
use chicoryarch::archive::index::Index;
use chicoryarch::archive::index::IndexLimits;
use chicoryarch::archive::recovery;
use chicoryarch::archive::recovery::Layout;
use chicoryarch::archive::segments;
use chicoryarch::archive::segments::Recovery;
use chicoryarch::archive::segments::Segments;
use chicoryarch::archive::segments::Since;
use chicoryarch::archive::writer::Received;
use chicoryarch::process::events::unix_ms;
use chicoryarch::protection::homes::Homes;
use chicoryarch::turns::record::MAX_FRAME_BYTES;
use chicoryarch::turns::record::Record;
use chicoryarch::turns::record::RecordError;
use chicoryarch::turns::record::RecordHead;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

use crate::fleet::record;

/// Number of a format of a later release.
const FOREIGN_FORMAT: u8 = 200;
/// Number of the segment in tests of a single one.
const SEGMENT: u64 = 1 << 31;
/// Its file.
const SEGMENT_FILE: &str = "0000000080000000.seg";
const LAYOUT: Layout = Layout::Directory(SEGMENT);
/// File of a segment of the release without directories.
const PLAIN_FILE: &str = "0000000000000000.log";

/// A text that holds whole frames, one after the other, as a caller may send it.
fn text_with_frames() -> Vec<u8> {
    let frame = record("forged", "", &["a"], "text of another customer").to_frame();
    frame.repeat(3)
}

fn any_record() -> impl Strategy<Value = Record> {
    // Texts may contain what looks like the start of a frame, or whole frames.
    let text = prop_oneof![
        vec(any::<u8>(), 0..300),
        Just(b"\0\0\0\x40\0\0\0\0\x01\0\0\0\x08{\"id\":\"x\"}".to_vec()),
        Just(text_with_frames()),
    ];
    let head = (
        "\\PC{1,40}",
        "[a-z0-9-]{0,20}",
        option::of("\\PC{1,40}"),
        any::<u64>(),
        any::<u64>(),
        vec("[a-z][a-z0-9]{0,9}", 0..4),
    );
    (head, text).prop_map(
        |((id, customer, previous, ended_ms, retention_ms, holders), text)| {
            let holders = holders.iter().map(|host| host.parse().expect("a name"));
            Record {
                head: RecordHead {
                    id: id.into(),
                    customer: customer.into(),
                    previous: previous.map(Into::into),
                    ended_ms,
                    retention_ms,
                    holders: holders.collect(),
                    homes: Homes::default(),
                    tokens: None,
                },
                text: Bytes::from(text),
            }
        },
    )
}

/// Returns the frames as the release without directories stored them, and their
/// ends.
fn plain_segment(records: &[Record]) -> (Vec<u8>, Vec<usize>) {
    let mut buf = BytesMut::new();
    let ends = records.iter().map(|record| {
        record.encode(&mut buf);
        buf.len()
    });
    let ends = ends.collect();
    (buf.to_vec(), ends)
}

/// Returns the segment, and the ends of its frames.
fn segment(records: &[Record]) -> (Vec<u8>, Vec<usize>) {
    let (frames, ends) = plain_segment(records);
    let lengths = records.iter().map(|record| record.to_frame().len());
    let mut bytes = directory::encode(SEGMENT, 0, DIRECTORY_BYTES as u64, lengths);
    bytes.resize(DIRECTORY_BYTES, 0);
    bytes.extend(frames);
    let ends = ends.iter().map(|end| end + DIRECTORY_BYTES);
    (bytes, ends.collect())
}

/// Opens a log and returns its number of records.
fn open(folder: &Path) -> (usize, Recovery) {
    let mut index = Index::new(IndexLimits {
        margin_ms: 0,
        recent_bytes: 0,
        check_delay_ms: 0,
    });
    let (_, recovery) = Segments::open(folder, &mut index, unix_ms()).expect("readable");
    (index.len(), recovery)
}

fn heads(scan: &recovery::Scan) -> Vec<&RecordHead> {
    scan.frames.iter().map(|frame| &frame.head).collect()
}

proptest! {
    /// Guards against records that are read as other ones than were written.
    #[test]
    fn records_are_decoded_as_encoded(records in vec(any_record(), 0..6)) {
        let (bytes, _) = plain_segment(&records);
        let mut bytes = Bytes::from(bytes);
        for record in &records {
            prop_assert_eq!(Record::decode(&mut bytes), Ok(Some(record.clone())));
        }
        prop_assert_eq!(Record::decode(&mut bytes), Ok(None));
    }

    /// Guards against a torn end that hides the records before it, or whose text is
    /// read as a record, also without the entry of its frame.
    #[test]
    fn a_torn_end_is_skipped(
        records in vec(any_record(), 1..6),
        cut in any::<prop::sample::Index>(),
        entries in any::<prop::sample::Index>(),
    ) {
        let (mut bytes, ends) = segment(&records);
        let length = DIRECTORY_BYTES + cut.index(bytes.len() - DIRECTORY_BYTES);
        bytes.truncate(length);
        let complete = ends.iter().filter(|end| **end <= length).count();
        let written = complete + entries.index(records.len() - complete + 1);
        bytes[directory::entry_offset(written)..DIRECTORY_BYTES].fill(0);
        let scan = recovery::scan(&Bytes::from(bytes), LAYOUT);
        let expected: Vec<&RecordHead> = records[..complete].iter().map(|r| &r.head).collect();
        prop_assert_eq!(heads(&scan), expected);
        prop_assert_eq!(scan.damaged, 0);
        prop_assert_eq!(scan.end, if complete == 0 { DIRECTORY_BYTES } else { ends[complete - 1] });
        prop_assert_eq!(scan.unread, (complete..written).collect::<Vec<_>>());
    }

    /// Guards against damaged bytes that hide the records after them, that are
    /// taken for a torn end, or whose text is read as a record.
    #[test]
    fn only_the_damaged_record_is_lost(
        records in vec(any_record(), 2..6),
        at in any::<prop::sample::Index>(),
        flip in 1..=255_u8,
    ) {
        let (mut bytes, ends) = segment(&records);
        let at = DIRECTORY_BYTES + at.index(bytes.len() - DIRECTORY_BYTES);
        bytes[at] ^= flip;
        let damaged = ends.iter().position(|end| at < *end).expect("within a frame");
        let scan = recovery::scan(&Bytes::from(bytes), LAYOUT);
        let others = records.iter().enumerate().filter(|(n, _)| *n != damaged);
        let expected: Vec<&RecordHead> = others.map(|(_, record)| &record.head).collect();
        prop_assert_eq!(heads(&scan), expected);
        let is_last = damaged + 1 == records.len();
        prop_assert_eq!(scan.damaged > 0, !is_last);
    }

    /// Guards against records that are lost with a damaged directory.
    #[test]
    fn records_are_read_without_their_directory(
        records in vec(any_record(), 1..6),
        from in 0..DIRECTORY_BYTES,
        length in 1..2048_usize,
        fill in any::<u8>(),
    ) {
        let (mut bytes, _) = segment(&records);
        bytes[from..DIRECTORY_BYTES.min(from + length)].fill(fill);
        let scan = recovery::scan(&Bytes::from(bytes), LAYOUT);
        let expected: Vec<&RecordHead> = records.iter().map(|record| &record.head).collect();
        prop_assert_eq!(heads(&scan), expected);
        prop_assert_eq!(scan.damaged, 0);
    }

    /// Guards against text that is read as a record behind damaged bytes of a disk
    /// that the release without directories wrote.
    #[test]
    fn a_plain_segment_is_read_up_to_its_damage(
        records in vec(any_record(), 1..6),
        at in any::<prop::sample::Index>(),
        flip in 1..=255_u8,
        cut in any::<prop::sample::Index>(),
    ) {
        let (mut bytes, ends) = plain_segment(&records);
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        bytes.truncate(at + 1 + cut.index(bytes.len() - at));
        let intact = ends.iter().filter(|end| **end <= at).count();
        let scan = recovery::scan(&Bytes::from(bytes), Layout::Plain);
        let expected: Vec<&RecordHead> = records[..intact].iter().map(|r| &r.head).collect();
        prop_assert_eq!(heads(&scan), expected);
        prop_assert_eq!(scan.end, if intact == 0 { 0 } else { ends[intact - 1] });
    }

    /// Guards against a panic or an endless loop on bytes from anywhere.
    #[test]
    fn any_bytes_can_be_scanned(bytes in vec(any::<u8>(), 0..400)) {
        let length = bytes.len();
        let bytes = Bytes::from(bytes);
        prop_assert!(recovery::scan(&bytes, Layout::Plain).end <= length);
        prop_assert!(recovery::scan(&bytes, LAYOUT).end <= length);
    }
}

/// Returns a frame of a format that this release does not know.
pub(crate) fn foreign_frame(text: &[u8]) -> Vec<u8> {
    let body = [&[FOREIGN_FORMAT], text].concat();
    let length = u32::try_from(body.len()).expect("a frame is small");
    let checksum = crc32fast::hash(&body);
    [&length.to_be_bytes()[..], &checksum.to_be_bytes(), &body].concat()
}

/// Guards against records of another release that are taken for a torn end, so
/// that the records after them are cut off, or whose loss is not admitted.
#[test]
fn records_of_another_format_are_skipped() {
    let known = ["first", "second"].map(|id| record(id, "", &["a"], "some text"));
    let foreign = foreign_frame(b"another head");
    let (bytes, ends) = plain_segment(&known);
    let (first, second) = bytes.split_at(ends[0]);
    let mixed = [first, &foreign, second, &foreign].concat();
    let scan = recovery::scan(&Bytes::from(mixed.clone()), Layout::Plain);
    assert_eq!(heads(&scan), [&known[0].head, &known[1].head]);
    assert_eq!((scan.skipped, scan.damaged), (2, 0));
    assert_eq!(scan.end, mixed.len());
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join(PLAIN_FILE);
    fs::write(&file, &mixed).expect("the folder takes files");
    let (count, recovery) = open(folder.path());
    assert_eq!((count, recovery.skipped_records), (2, 2));
    assert_eq!((recovery.torn_bytes, recovery.damaged_bytes), (0, 0));
    assert!(recovery.is_incomplete(), "they cannot be returned");
    assert_eq!(fs::read(&file).expect("readable"), mixed);
    // A body with one must not be confirmed.
    let (received, skipped) = Received::decode_all(mixed.into()).expect("whole frames");
    assert_eq!((received.len(), skipped), (2, 2));
}

/// Guards against a torn end that is taken for lost records at each later start,
/// and against damaged bytes that are not noticed.
#[test]
fn a_torn_end_is_removed_and_damage_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let file = folder.join(SEGMENT_FILE);
    let records = ["first", "second"].map(|id| record(id, "", &["a"], "some text"));
    let (mut bytes, ends) = segment(&records);
    fs::write(&file, &bytes[..bytes.len() - 5]).expect("the folder takes files");
    let (count, recovery) = open(folder);
    assert_eq!((count, recovery.is_incomplete()), (1, false));
    assert_eq!(recovery.torn_bytes, (ends[1] - ends[0] - 5) as u64);
    let (count, recovery) = open(folder);
    assert_eq!((count, recovery.torn_bytes), (1, 0), "it was removed");
    // The entry of the torn frame names nothing any more once a segment follows.
    let later = folder.join("0000000080000001.seg");
    fs::write(&later, []).expect("it takes files");
    assert_eq!(open(folder), (1, recovery));
    fs::remove_file(&later).expect("removable");
    bytes[ends[0] - 1] ^= 1;
    fs::write(&file, &bytes).expect("the folder takes files");
    let (count, recovery) = open(folder);
    assert_eq!((count, recovery.is_incomplete()), (1, true));
    // A later segment is begun only after this one was synced.
    fs::write(&file, &bytes[..ends[0] - 5]).expect("the folder takes files");
    fs::write(&later, []).expect("it takes files");
    assert!(open(folder).1.is_incomplete());
    // Also if nothing is left of the frame that the directory names.
    let (bytes, ends) = segment(&records);
    fs::write(&file, &bytes[..ends[0]]).expect("the folder takes files");
    let (count, recovery) = open(folder);
    assert_eq!((count, recovery.is_incomplete()), (1, true));
}

/// Guards against text that is read as a record after a kill in mid-write, and
/// again after a second one.
#[test]
fn text_in_torn_records_is_never_a_record() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let forged = String::from_utf8_lossy(&text_with_frames()).into_owned();
    let mut torn = record("torn", "", &["a"], "");
    torn.text = text_with_frames().into();
    assert!(forged.contains("forged"));
    let records = [record("first", "", &["a"], "some text"), torn.clone()];
    for file in [SEGMENT_FILE, "0000000080000001.seg"] {
        let (bytes, _) = segment(&records);
        let kept = &bytes[..bytes.len() - 1];
        // A segment of the second process, whose number its entries name.
        let number = u64::from_str_radix(&file[..16], 16).expect("a number");
        let lengths = records.iter().map(|record| record.to_frame().len());
        let mut entries = directory::encode(number, 0, DIRECTORY_BYTES as u64, lengths);
        entries.resize(DIRECTORY_BYTES, 0);
        fs::write(
            folder.join(file),
            [&entries, &kept[DIRECTORY_BYTES..]].concat(),
        )
        .expect("it takes files");
        for _ in 0..2 {
            let (count, recovery) = open(folder);
            assert_eq!((count, recovery.is_incomplete()), (1, false), "{file}");
        }
    }
    // The same on a disk of the release without directories.
    let plain = tempfile::tempdir().expect("a folder");
    let (bytes, _) = plain_segment(&records);
    fs::write(plain.path().join(PLAIN_FILE), &bytes[..bytes.len() - 1]).expect("it takes files");
    let (count, recovery) = open(plain.path());
    assert_eq!(count, 1);
    assert!(recovery.is_incomplete(), "it may be damage");
}

/// Guards against an earlier release that takes a disk whose segments it cannot
/// read for one that holds everything.
#[test]
fn an_earlier_release_does_not_take_the_disk_for_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let plain = folder.join("since");
    fs::write(&plain, "first-start").expect("the folder takes files");
    assert_eq!(segments::read_since(folder), Some(Since::FirstStart));
    assert!(segments::is_readable_by_earlier(folder));
    segments::write_since(folder, Since::FirstStart).expect("written");
    assert!(!plain.exists());
    assert_eq!(segments::read_since(folder), Some(Since::FirstStart));
    // It has run meanwhile, with a disk that it took for an empty one.
    fs::write(&plain, "7").expect("the folder takes files");
    assert_eq!(segments::read_since(folder), Some(Since::At(7)));
}

/// Guards against a length that makes the reader allocate or wait for too much.
#[test]
fn a_frame_above_the_limit_is_refused() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("a frame is small");
    let mut bytes = Bytes::from([&length.to_be_bytes()[..], &[0; 40]].concat());
    assert_eq!(Record::decode(&mut bytes), Err(RecordError::TooLarge));
}
