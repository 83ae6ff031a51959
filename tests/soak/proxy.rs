//! A loopback proxy that delays, stalls or resets connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::TcpListener;
use async_net::TcpStream;
use chicoryarch_net::Spawner;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use parking_lot::Mutex;

/// What the proxy does with the bytes of all its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Forwards them.
    #[default]
    Forward,
    /// Forwards them after a pause.
    Delay(Duration),
    /// Holds back the replies of the upstream.
    StallReplies,
    /// Closes a connection when bytes arrive on it.
    Reset,
    /// Holds back both directions.
    Stall,
}

/// Interval at which a stalled connection rechecks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone)]
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    pub(crate) fn start(spawner: &Spawner, to: SocketAddr) -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let listener = async_io::block_on(TcpListener::bind(any_port)).expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("its address"),
            mode: Arc::default(),
        };
        let mode = Arc::clone(&proxy.mode);
        let task_spawner = spawner.clone();
        spawner.detach(async move {
            while let Ok((client, _)) = listener.accept().await {
                let mode = Arc::clone(&mode);
                task_spawner.detach(async move {
                    if let Ok(upstream) = TcpStream::connect(to).await {
                        let requests = forward(client.clone(), upstream.clone(), &mode, false);
                        let replies = forward(upstream.clone(), client.clone(), &mode, true);
                        future::or(requests, replies).await;
                    }
                });
            }
        });
        proxy
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, mode: &Mutex<Mode>, is_reply: bool) {
    let mut buf = [0; 16 << 10];
    loop {
        let Ok(length @ 1..) = from.read(&mut buf).await else {
            return;
        };
        loop {
            let current = *mode.lock();
            match current {
                Mode::Reset => return,
                Mode::Stall => (),
                Mode::StallReplies if is_reply => (),
                Mode::Delay(pause) => {
                    async_io::Timer::after(pause).await;
                    break;
                }
                Mode::StallReplies | Mode::Forward => break,
            }
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        if to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}
