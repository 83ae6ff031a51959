//! A loopback proxy that delays, slows, silences or resets connections.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use chicoryarch_net::Spawner;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use parking_lot::Mutex;
use rustix::net;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
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

/// How a proxy is cut off from its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Open connections carry nothing, and new ones hang.
    Silent,
    /// Open connections are reset, and new ones hang.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refuse,
}

/// What happens to new connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Door {
    Accepts,
    /// Their opening packets are dropped.
    Hangs,
    Refuses,
}

/// Receive buffer of a connection to the upstream, in bytes.
const RECEIVE_BUFFER: usize = 64 << 10;
/// Connections that are opened to fill the queue of a listener: one more than
/// it holds.
const QUEUE_LENGTH: usize = 2;
/// Timeout of opening such a connection, which hangs once the queue is full.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(20);
/// Attempts to listen again at a port, at the interval [`POLL_INTERVAL`].
const LISTEN_ATTEMPTS: usize = 100;
/// Interval at which a stalled connection rechecks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Link {
    mode: Mutex<Mode>,
    /// Time at which the bytes sent so far have passed a throttled link.
    busy_until: Mutex<Instant>,
    /// Connections opened before this generation carry nothing any more.
    generation: AtomicU64,
    /// Connections that were opened.
    connections: AtomicU64,
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
    door_tx: Sender<Door>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub fn start(spawner: &Spawner, to: SocketAddr) -> Self {
        let (reservation, address) = reserve_port();
        let listener = async_io::block_on(TcpListener::bind(address));
        let listener = listener.expect("the port is reserved");
        let (door_tx, door_rx) = async_channel::unbounded();
        let proxy = Self {
            address,
            link: Arc::new(Link {
                mode: Mutex::default(),
                busy_until: Mutex::new(Instant::now()),
                generation: AtomicU64::new(0),
                connections: AtomicU64::new(0),
            }),
            door_tx: door_tx.clone(),
        };
        let accepting = Accepting {
            link: Arc::clone(&proxy.link),
            spawner: spawner.clone(),
            to,
            door_tx,
            address,
            _reservation: reservation,
        };
        spawner.detach(accepting.run(listener, door_rx));
        proxy
    }

    /// Cuts the upstream off until [`Proxy::heal`].
    pub fn cut(&self, cut: Cut) {
        let (mode, door) = match cut {
            Cut::Silent => (Mode::Stall, Door::Hangs),
            Cut::Reset => (Mode::Reset, Door::Hangs),
            Cut::Refuse => (Mode::Forward, Door::Refuses),
        };
        self.set(mode);
        self.set_door(door);
    }

    /// Ends a cut.
    pub fn heal(&self) {
        self.set(Mode::Forward);
        self.set_door(Door::Accepts);
    }

    fn set_door(&self, door: Door) {
        self.door_tx
            .try_send(door)
            .expect("the proxy runs as long as its executor");
    }

    /// Returns the number of connections that were opened so far.
    pub fn connections(&self) -> u64 {
        self.link.connections.load(Ordering::Acquire)
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

/// Accepts the connections of a proxy.
struct Accepting {
    link: Arc<Link>,
    spawner: Spawner,
    to: SocketAddr,
    door_tx: Sender<Door>,
    address: SocketAddr,
    /// Keeps the port while nothing listens there.
    _reservation: OwnedFd,
}

/// Creates a socket that processes started by the test do not inherit.
fn new_socket() -> OwnedFd {
    let flags = SocketFlags::CLOEXEC;
    let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None);
    socket.expect("a socket")
}

/// Reserves a free port by a socket that does not listen.
fn reserve_port() -> (OwnedFd, SocketAddr) {
    let socket = new_socket();
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    net::bind(&socket, &any_port).expect("a free port");
    // Set only now, so that no other socket shares the port yet.
    sockopt::set_socket_reuseaddr(&socket, true).expect("the option is known");
    let address = net::getsockname(&socket).expect("its address");
    let address = SocketAddr::try_from(address).expect("an IP address");
    (socket, address)
}

impl Accepting {
    async fn run(self, listener: TcpListener, door_rx: Receiver<Door>) {
        let address = self.address;
        let mut listener = Some(listener);
        let mut hanging = None;
        loop {
            let accepted = async {
                match &listener {
                    Some(listener) => Some(listener.accept().await),
                    None => future::pending().await,
                }
            };
            let changed = async {
                let door = door_rx.recv().await;
                Err(door)
            };
            match future::or(async { Ok(accepted.await) }, changed).await {
                Ok(Some(Ok((client, _)))) => self.connect(client),
                Ok(_) => return,
                Err(Err(_closed)) => return,
                Err(Ok(door)) => {
                    listener = None;
                    drop(hanging.take());
                    match door {
                        Door::Accepts => {
                            let bind = || TcpListener::bind(address);
                            listener = Some(listen_again(bind).await);
                        }
                        Door::Hangs => {
                            let bind = || std::future::ready(HangingListener::bind(address));
                            hanging = Some(listen_again(bind).await);
                        }
                        Door::Refuses => (),
                    }
                }
            }
        }
    }

    fn connect(&self, client: TcpStream) {
        let (link, to, door_tx) = (Arc::clone(&self.link), self.to, self.door_tx.clone());
        link.connections.fetch_add(1, Ordering::AcqRel);
        self.spawner.detach(async move {
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
            // An upstream that has ended is seen as such through the proxy too.
            if TcpStream::connect(to).await.is_err() {
                let _stopped = door_tx.send(Door::Refuses).await;
                Timer::after(POLL_INTERVAL).await;
            }
            drop(client);
        });
    }
}

/// Listens at a port whose listener was closed. A process that is being started has
/// a copy of it until it runs its program.
async fn listen_again<T, F>(bind: impl Fn() -> F) -> T
where
    F: Future<Output = io::Result<T>>,
{
    for _ in 1..LISTEN_ATTEMPTS {
        match bind().await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => Timer::after(POLL_INTERVAL).await,
            bound => return bound.expect("the port is reserved"),
        };
    }
    bind().await.expect("the port is reserved")
}

/// A listener that accepts nothing and whose queue is full, so that the system
/// drops the opening packets of further connections.
struct HangingListener {
    _listener: OwnedFd,
    _queued: Vec<std::net::TcpStream>,
}

impl HangingListener {
    fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = new_socket();
        sockopt::set_socket_reuseaddr(&listener, true).expect("the option is known");
        net::bind(&listener, &address)?;
        net::listen(&listener, 0)?;
        let connect = |_| std::net::TcpStream::connect_timeout(&address, QUEUE_TIMEOUT).ok();
        Ok(Self {
            _listener: listener,
            _queued: (0..QUEUE_LENGTH).filter_map(connect).collect(),
        })
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
