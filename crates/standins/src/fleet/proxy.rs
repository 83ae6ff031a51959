//! A loopback proxy that delays, slows, silences or resets connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use chicoryarch_net::Spawner;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use parking_lot::Mutex;
use rustix::net::sockopt;

/// What the proxy does with the bytes of all its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Forwards them after a pause.
    Delay(Duration),
    /// Forwards them.
    #[default]
    Forward,
    /// Closes a connection when bytes arrive on it.
    Reset,
    /// Holds back both directions.
    Stall,
    /// Holds back the replies of the upstream.
    StallReplies,
    /// Forwards replies at a rate in bytes per second that all connections
    /// share.
    Throttle(u32),
}

/// Receive buffer of a connection to the upstream, in bytes.
const RECEIVE_BUFFER: usize = 64 << 10;
/// Interval at which a stalled connection rechecks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Link {
    mode: Mutex<Mode>,
    /// Time at which the bytes sent so far have passed a throttled link.
    busy_until: Mutex<Instant>,
    /// Connections opened before this generation carry nothing any more.
    generation: AtomicU64,
}

impl Link {
    async fn pass(&self, length: usize, bytes_per_s: u32) {
        let spent = Duration::from_secs_f64(length as f64 / f64::from(bytes_per_s));
        let free_at = {
            let mut busy_until = self.busy_until.lock();
            *busy_until = (*busy_until).max(Instant::now()) + spent;
            *busy_until
        };
        Timer::at(free_at).await;
    }
}

/// A running proxy; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Link>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start(spawner: &Spawner, to: SocketAddr) -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let listener = async_io::block_on(TcpListener::bind(any_port)).expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("its address"),
            link: Arc::new(Link {
                mode: Mutex::default(),
                busy_until: Mutex::new(Instant::now()),
                generation: AtomicU64::new(0),
            }),
        };
        let link = Arc::clone(&proxy.link);
        let task_spawner = spawner.clone();
        spawner.detach(async move {
            while let Ok((client, _)) = listener.accept().await {
                let link = Arc::clone(&link);
                task_spawner.detach(async move {
                    let generation = link.generation.load(Ordering::Acquire);
                    if let Ok(upstream) = TcpStream::connect(to).await {
                        // Without it, the proxy takes far more than it forwards.
                        sockopt::set_socket_recv_buffer_size(&upstream, RECEIVE_BUFFER)
                            .expect("the option is known");
                        let connection = |from: &TcpStream, to: &TcpStream, is_reply| Direction {
                            from: from.clone(),
                            to: to.clone(),
                            link: &link,
                            generation,
                            is_reply,
                        };
                        let requests = connection(&client, &upstream, false).forward();
                        let replies = connection(&upstream, &client, true).forward();
                        future::or(requests, replies).await;
                    }
                });
            }
        });
        proxy
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all connections.
    pub fn set(&self, mode: Mode) {
        *self.link.mode.lock() = mode;
    }

    /// Silences the connections that are open now: they stay open and take
    /// bytes, but carry nothing any more. New ones work.
    pub fn silence_open_connections(&self) {
        self.link.generation.fetch_add(1, Ordering::AcqRel);
    }
}

/// One direction of a connection.
struct Direction<'a> {
    from: TcpStream,
    to: TcpStream,
    link: &'a Link,
    generation: u64,
    is_reply: bool,
}

impl Direction<'_> {
    async fn forward(mut self) {
        let mut buf = [0; 16 << 10];
        loop {
            let Ok(length @ 1..) = self.from.read(&mut buf).await else {
                return;
            };
            if !self.admit(length).await || self.to.write_all(&buf[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the mode lets bytes pass; `false` if it closes the
    /// connection.
    async fn admit(&self, length: usize) -> bool {
        loop {
            let mode = *self.link.mode.lock();
            let is_silenced = self.generation < self.link.generation.load(Ordering::Acquire);
            match mode {
                Mode::Reset => return false,
                _ if is_silenced => (),
                Mode::Stall => (),
                Mode::StallReplies if self.is_reply => (),
                Mode::Throttle(bytes_per_s) if self.is_reply => {
                    self.link.pass(length, bytes_per_s).await;
                    return true;
                }
                Mode::Delay(pause) => {
                    Timer::after(pause).await;
                    return true;
                }
                Mode::Forward | Mode::StallReplies | Mode::Throttle(_) => return true,
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}
