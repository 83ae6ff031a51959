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

#[test]
fn an_event_over_the_size_limit_is_refused() {
    let mut splitter = Splitter::default();
    assert!(splitter.feed(&vec![b'a'; 300 << 10]).is_err());
}
