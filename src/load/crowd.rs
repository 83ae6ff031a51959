//! A crowd of clients that hold connections, bodies and answers of hosts, to try
//! the hosts' limits by hand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use chicoryarch_net::Spawner;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;

use super::result::LoadResult;
use crate::configs::load::LoadConfig;
use crate::platform::ingress::DEADLINE_MS;
use crate::platform::ingress::READY_PATH;
use crate::platform::ingress::REQUEST_ID;

/// Size of the bodies, in bytes; within the limit of most configurations.
const BODY_BYTES: usize = 1 << 20;
/// Bytes of a body that clients hold back.
const HELD_BACK_BYTES: usize = 16;
/// Number of requests that a client sends ahead.
const REQUESTS_AHEAD: usize = 1000;
/// Number of short fields of a request that has many.
const FIELDS: usize = 5000;
/// Pause after each byte of a client that sends or reads slowly.
const BYTE_PAUSE: Duration = Duration::from_millis(100);

/// What a client of the crowd does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Sends requests ahead and reads no answer.
    Ahead,
    /// Sends a body in chunks and stops before its end.
    Chunks,
    /// Sends very many short fields.
    Fields,
    /// Stops in the head.
    HalfHead,
    /// Connects and sends nothing.
    Silent,
    /// Sends a byte at a time.
    Slow,
    /// Sends a body and stops before its end.
    Unfinished,
}

const KINDS: [Kind; 7] = [
    Kind::Ahead,
    Kind::Chunks,
    Kind::Fields,
    Kind::HalfHead,
    Kind::Silent,
    Kind::Slow,
    Kind::Unfinished,
];

impl Kind {
    fn bytes(self, path: &str, number: usize) -> Vec<u8> {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\n{REQUEST_ID}: crowd-{number}\r\n\
             {DEADLINE_MS}: 60000\r\n"
        );
        let body = |fields: &str, length: usize| {
            let mut bytes = format!("{head}{fields}\r\n").into_bytes();
            bytes.resize(bytes.len() + length, b'x');
            bytes
        };
        let declared = format!("content-length: {BODY_BYTES}\r\n");
        match self {
            Self::Ahead => body("content-length: 0\r\n", 0).repeat(REQUESTS_AHEAD),
            Self::Chunks => {
                let chunk = format!("transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}");
                body(&chunk, BODY_BYTES - HELD_BACK_BYTES)
            }
            Self::Fields => {
                let fields: String = (0..FIELDS).map(|n| format!("{n:x}:\r\n")).collect();
                body(&fields, 0)
            }
            Self::HalfHead => head.into_bytes(),
            Self::Silent => Vec::new(),
            Self::Slow | Self::Unfinished => body(&declared, BODY_BYTES - HELD_BACK_BYTES),
        }
    }
}

/// Runs the crowd for the length of the plan.
///
/// In the result, `programs` is the number of clients, `finished` the number of
/// connections that stayed open, and `broken` that of those that a host closed
/// or refused. A client that does not read does not notice a closed connection
/// unless it still sends.
pub async fn run(cfg: &LoadConfig, spawner: &Spawner) -> LoadResult {
    let hosts: Vec<SocketAddr> = cfg.hosts.iter().flatten().copied().collect();
    let paths: Arc<[String]> = [&cfg.crowd_path, "/no-route/", READY_PATH]
        .map(str::to_owned)
        .into();
    let tasks: Vec<_> = (0..cfg.crowd_clients)
        .map(|number| {
            let host = hosts[number % hosts.len()];
            let paths = Arc::clone(&paths);
            let length = cfg.length;
            spawner.spawn(async move {
                let kind = KINDS[number % KINDS.len()];
                let path = &paths[number / KINDS.len() % paths.len()];
                let expire = async {
                    Timer::after(length).await;
                    true
                };
                future::or(hold(host, kind, path, number), expire).await
            })
        })
        .collect();
    let mut result = LoadResult {
        seed: cfg.seed,
        ..LoadResult::default()
    };
    for task in tasks {
        let is_open = task.await;
        result.programs += 1;
        result.finished += u64::from(is_open);
        result.broken += u64::from(!is_open);
    }
    result
}

/// Holds one connection; returns `false` once the host closes it.
async fn hold(host: SocketAddr, kind: Kind, path: &str, number: usize) -> bool {
    let Ok(mut stream) = TcpStream::connect(host).await else {
        return false;
    };
    let bytes = kind.bytes(path, number);
    let piece = match kind {
        Kind::Slow => 1,
        _ => bytes.len().max(1),
    };
    for piece in bytes.chunks(piece) {
        if stream.write_all(piece).await.is_err() {
            return false;
        }
        if kind == Kind::Slow {
            Timer::after(BYTE_PAUSE).await;
        }
    }
    if kind == Kind::Ahead {
        future::pending::<()>().await;
    }
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte).await {
        Timer::after(BYTE_PAUSE).await;
    }
    false
}
