//! Splits event streams whose bytes arrive in arbitrary pieces.

use chicoryarch::gateway::event_stream::FeedError;
use chicoryarch::gateway::event_stream::Splitter;
use chicoryarch_net::buffered::BodyMemory;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nweight-versions: 3\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

fn splitter() -> Splitter {
    Splitter::new(&BodyMemory::new(1 << 20))
}

#[test]
fn events_are_complete_at_every_split() {
    for split in 0..=STREAM.len() {
        let mut splitter = splitter();
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
    let mut splitter = splitter();
    splitter.feed(b"id: 1\ndata: a\n").expect("a small event");
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_partial());
}

// Guards against a stream of blank lines that keeps a host busy with two bytes
// at a time.
#[test]
fn blank_lines_without_end_are_one_piece_and_no_event() {
    for blank_line in ["\n", "\r\n"] {
        let mut splitter = splitter();
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
        let mut splitter = splitter();
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
    let mut splitter = splitter();
    let fed = splitter.feed(&vec![b'a'; 300 << 10]);
    assert!(matches!(fed, Err(FeedError::TooLarge)), "{fed:?}");
}

// Guards against incomplete events of many streams that exceed the memory together,
// and against memory that stays reserved after them.
#[test]
fn large_incomplete_events_share_a_limited_memory() {
    let memory = BodyMemory::new(600 << 10);
    let piece = vec![b'a'; 50 << 10];
    let mut streams: Vec<Splitter> = (0..30).map(|_| Splitter::new(&memory)).collect();
    let mut refused = 0;
    for splitter in &mut streams {
        for _ in 0..5 {
            match splitter.feed(&piece) {
                Ok(()) => assert_eq!(splitter.next_event(), None),
                Err(FeedError::Memory(_)) => refused += 1,
                Err(e) => panic!("{e}"),
            }
        }
    }
    assert!(refused > 100, "{refused} pieces of 150 are refused");
    assert!(memory.reserved() <= 600 << 10);
    // A stream with events of ordinary size needs none of it.
    let mut sound = Splitter::new(&memory);
    for _ in 0..1000 {
        sound
            .feed(b"id: 1\ndata: a token\n\n")
            .expect("a small event");
        assert!(sound.next_event().is_some());
    }
    streams[0].feed(b"\n\n").expect("it has room");
    assert!(streams[0].next_event().is_some());
    assert_eq!(streams[0].next_event(), None);
    drop(streams);
    assert_eq!(memory.reserved(), 0);
}
