//! A loopback proxy that delays, silences, cuts one way or resets connections.

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

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on later.
    Delay(Duration),
    /// Keeps back what comes from the far end.
    OneWay,
    /// Closes connections.
    Reset,
    /// Keeps everything back.
    Silent,
}

/// Pause between two looks at a mode that keeps bytes back.
const RECHECK: Duration = Duration::from_millis(10);

/// A running proxy.
#[derive(Clone)]
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    pub(crate) fn start(spawner: &Spawner, to: SocketAddr) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let listener = async_io::block_on(TcpListener::bind(any)).expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("its address"),
            mode: Arc::default(),
        };
        let mode = Arc::clone(&proxy.mode);
        let spawning = spawner.clone();
        spawner.detach(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mode = Arc::clone(&mode);
                spawning.detach(async move {
                    if let Ok(far) = TcpStream::connect(to).await {
                        let out = pass(near.clone(), far.clone(), &mode, false);
                        let back = pass(far.clone(), near.clone(), &mode, true);
                        future::or(out, back).await;
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

async fn pass(mut from: TcpStream, mut to: TcpStream, mode: &Mutex<Mode>, is_back: bool) {
    let mut buf = [0; 16 << 10];
    loop {
        let Ok(length @ 1..) = from.read(&mut buf).await else {
            return;
        };
        loop {
            let now = *mode.lock();
            match now {
                Mode::Reset => return,
                Mode::Silent => (),
                Mode::OneWay if is_back => (),
                Mode::Delay(pause) => {
                    async_io::Timer::after(pause).await;
                    break;
                }
                Mode::OneWay | Mode::Pass => break,
            }
            async_io::Timer::after(RECHECK).await;
        }
        if to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}
