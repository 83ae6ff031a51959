//! Memory of buffered bodies. Guards against memory that is held but not
//! counted, and against memory that stays counted.

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::BufferedBody;
use http_body::Body as _;
use http_body_util::BodyExt;

const MEMORY: usize = 1 << 20;

/// Returns a body of unknown length that sends `count` chunks of `size` bytes.
fn chunks(size: usize, count: usize) -> Body {
    let (tx, body) = Body::channel(1);
    Spawner::start(1).detach(async move {
        for n in 0..count {
            let chunk = Bytes::from(vec![(n % 251) as u8; size]);
            if tx.send(chunk).await.is_err() {
                return;
            }
        }
        tx.finish().await;
    });
    body
}

fn read(body: Body, memory: &BodyMemory) -> chicoryarch_net::body::Result<BufferedBody> {
    async_io::block_on(BufferedBody::read(body, memory, MEMORY))
}

#[test]
fn memory_that_pieces_hold_is_counted_also_beyond_their_bytes() {
    for (size, count) in [(1, 10_000), (100_000, 3), (7, 1), (65_537, 5)] {
        let memory = BodyMemory::new(MEMORY);
        let body = read(chunks(size, count), &memory).expect("a whole body");
        let length = size * count;
        assert!(memory.reserved() >= length);
        assert!(memory.reserved() < 2 * length + (64 << 10));
        drop(body);
        assert_eq!(memory.reserved(), 0);
    }
}

#[test]
fn memory_is_released_while_a_body_is_sent() {
    let memory = BodyMemory::new(MEMORY);
    let body = read(chunks(100_000, 5), &memory).expect("a whole body");
    assert_eq!(body.size_hint().exact(), Some(500_000));
    let mut body = Body::from(body);
    let mut left = memory.reserved();
    let mut sent = Vec::new();
    while let Some(frame) = async_io::block_on(body.frame()) {
        sent.extend(frame.expect("a piece").into_data().expect("bytes"));
        assert!(memory.reserved() < left);
        left = memory.reserved();
    }
    let expected: Vec<u8> = (0..5).flat_map(|n| vec![n; 100_000]).collect();
    assert!(sent == expected);
    assert_eq!(memory.reserved(), 0);
}

#[test]
fn bodies_share_their_memory() {
    let memory = BodyMemory::new(MEMORY);
    let first = read(chunks(1000, 900), &memory).expect("a whole body");
    let second = read(chunks(1000, 900), &memory);
    assert!(matches!(second, Err(BodyError::MemoryFull(MEMORY))));
    drop((first, second));
    assert_eq!(memory.reserved(), 0);
    read(chunks(1000, 900), &memory).expect("memory was released");
}

#[test]
fn a_contiguous_body_is_counted_until_its_memory_is_dropped() {
    let whole = |body| {
        let memory = BodyMemory::new(MEMORY);
        let read = BufferedBody::read_contiguous(body, &memory, MEMORY);
        let (bytes, reserved) = async_io::block_on(read).expect("a whole body");
        assert_eq!(memory.reserved(), bytes.len());
        drop(reserved);
        assert_eq!(memory.reserved(), 0);
        bytes
    };
    assert_eq!(whole(chunks(1000, 300)), {
        let bytes: Vec<u8> = (0..300).flat_map(|n| vec![(n % 251) as u8; 1000]).collect();
        bytes
    });
    assert_eq!(whole(Body::from("abc")), "abc");
    assert_eq!(whole(Body::empty()), "");
}

#[test]
fn a_declared_length_that_does_not_fit_is_refused_before_it_is_received() {
    let memory = BodyMemory::new(MEMORY);
    let declared = |length| Body::from(vec![0; length]);
    let held = BufferedBody::read_contiguous(declared(MEMORY), &memory, MEMORY);
    let _held = async_io::block_on(held).expect("it fits");
    let second = BufferedBody::read_contiguous(declared(1), &memory, MEMORY);
    let second = async_io::block_on(second);
    assert!(matches!(second, Err(BodyError::MemoryFull(_))));
    let large = BufferedBody::read_contiguous(declared(MEMORY + 1), &memory, MEMORY);
    let large = async_io::block_on(large);
    assert!(matches!(large, Err(BodyError::TooLarge(_))));
}

#[test]
fn a_body_over_its_limit_releases_its_memory() {
    let memory = BodyMemory::new(usize::MAX);
    let body = read(chunks(1000, usize::MAX), &memory);
    assert!(matches!(body, Err(BodyError::TooLarge(MEMORY))));
    drop(body);
    assert_eq!(memory.reserved(), 0);
}
