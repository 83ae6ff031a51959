//! Splits event streams whose bytes arrive in arbitrary pieces.

use chicoryarch::gateway::event_stream::Splitter;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nweight-versions: 3\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

#[test]
fn events_are_complete_at_every_split() {
    for split in 0..=STREAM.len() {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for part in [&STREAM[..split], &STREAM[split..]] {
            splitter.feed(part).expect("small events");
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "split at {split}");
        let bytes: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!(bytes, STREAM);
        assert!(!splitter.is_partial());
    }
}

#[test]
fn an_event_without_its_blank_line_is_partial() {
    let mut splitter = Splitter::default();
    splitter.feed(b"id: 1\ndata: a\n").expect("a small event");
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_partial());
}

// Guards against a stream of blank lines that keeps a host busy with two bytes
// at a time.
#[test]
fn blank_lines_without_end_are_one_piece_and_no_event() {
    for blank_line in ["\n", "\r\n"] {
        let mut splitter = Splitter::default();
        let lines = blank_line.repeat(4096);
        splitter.feed(lines.as_bytes()).expect("few bytes");
        let piece = splitter.next_event().expect("blank lines");
        assert_eq!(piece.bytes, lines);
        assert!(piece.is_blank);
        assert_eq!(splitter.next_event(), None);
        assert!(!splitter.is_partial());
    }
}

#[test]
fn an_event_after_blank_lines_is_an_event() {
    for blank_lines in ["", "\n", "\r\n\n", "\n\n\n"] {
        let mut splitter = Splitter::default();
        let stream = format!("{blank_lines}id: 7\ndata: a\n\n");
        splitter.feed(stream.as_bytes()).expect("few bytes");
        let pieces: Vec<_> = std::iter::from_fn(|| splitter.next_event()).collect();
        let events: Vec<_> = pieces.iter().filter(|piece| !piece.is_blank).collect();
        assert_eq!(events.len(), 1);
        assert_eq!(events[0].id, Some(7));
        let bytes: Vec<u8> = pieces.iter().flat_map(|p| p.bytes.to_vec()).collect();
        assert_eq!(bytes, stream.as_bytes());
    }
}

#[test]
fn an_event_over_the_size_limit_is_refused() {
    let mut splitter = Splitter::default();
    assert!(splitter.feed(&vec![b'a'; 300 << 10]).is_err());
}
