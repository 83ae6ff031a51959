//! Open connections of a server: their limit, their memory and their progress.

use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::future;
use parking_lot::Mutex;
use rustix::net::sockopt;

use crate::buffered::BodyMemory;
use crate::buffered::ReservedBytes;
use crate::pressure;
use crate::pressure::Activity;
use crate::pressure::Need;
use crate::pressure::Overdue;
use crate::pressure::Standing;
use crate::pressure::TimeLimits;

/// Bytes that count as progress of a peer. At 8 KiB a second, which is far below
/// the links of callers, they take the two seconds after which a connection may
/// be closed under pressure.
const STEP_BYTES: u64 = 16 << 10;
/// Time for which a new connection waits for the place of one that is closed.
const CLOSE_WAIT: Duration = Duration::from_millis(100);
/// Most connections that are closed for one new connection or one body.
const MAX_CLOSED: usize = 4;
/// Interval at which the time limits of connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Marks a connection that has received nothing of a head.
const NO_HEAD: u64 = u64::MAX;

/// A limit that uncontrolled clients reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// A body was longer than the time without bytes allows.
    BodyPause,
    /// An open connection was closed for a new one or for its memory.
    Displaced,
    /// The fields or bytes of a head were too many.
    HeadSize,
    /// A head took too long.
    HeadTime,
    /// A body or an answer did not fit the memory.
    Memory,
    /// A new connection was closed since no other could be.
    Places,
    /// The peer did not read an answer.
    ReadPause,
}

impl Limit {
    /// All limits.
    pub const ALL: [Self; 7] = [
        Self::BodyPause,
        Self::Displaced,
        Self::HeadSize,
        Self::HeadTime,
        Self::Memory,
        Self::Places,
        Self::ReadPause,
    ];

    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BodyPause => "body-pause",
            Self::Displaced => "displaced",
            Self::HeadSize => "head-size",
            Self::HeadTime => "head-time",
            Self::Memory => "memory",
            Self::Places => "places",
            Self::ReadPause => "read-pause",
        }
    }
}

/// Number of times that each limit was reached; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LimitCounts(Arc<[AtomicU64; Limit::ALL.len()]>);

impl LimitCounts {
    /// Counts a limit that was reached.
    pub fn count(&self, limit: Limit) {
        self.0[limit as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how often a limit was reached.
    pub fn get(&self, limit: Limit) -> u64 {
        self.0[limit as usize].load(Ordering::Relaxed)
    }
}

/// Limits on the connections of one server.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_open: usize,
    /// Memory of each open connection, in bytes.
    pub idle_memory: usize,
    /// Further memory of a connection from the first bytes of a head to the end
    /// of the answer, in bytes.
    pub active_memory: usize,
    /// Time limits of each connection.
    pub times: TimeLimits,
}

/// Open connections of one server; clones share them. The default has no
/// limits.
#[derive(Clone, Debug, Default)]
pub struct Connections(Option<Arc<Shared>>);

#[derive(Debug)]
struct Shared {
    limits: ConnectionLimits,
    memory: BodyMemory,
    counts: LimitCounts,
    open: Mutex<Vec<Arc<Connection>>>,
    released_tx: Sender<()>,
    released_rx: Receiver<()>,
}

impl Connections {
    /// Limits connections, whose memory is taken from `memory`.
    pub fn new(limits: ConnectionLimits, memory: BodyMemory, counts: LimitCounts) -> Self {
        let (released_tx, released_rx) = async_channel::bounded(1);
        Self(Some(Arc::new(Shared {
            limits,
            memory,
            counts,
            open: Mutex::default(),
            released_tx,
            released_rx,
        })))
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.0.as_ref().map_or(0, |shared| shared.open.lock().len())
    }

    /// Admits a new connection, and closes a less promising one if it must.
    /// Returns `None` if there is no place for it.
    pub(crate) async fn admit(&self, stream: TcpStream) -> Option<OpenConnection> {
        let Some(shared) = &self.0 else {
            return Some(OpenConnection::new(stream, None));
        };
        for attempt in 0..MAX_CLOSED {
            if let Some(reserved) = shared.reserve() {
                return Some(OpenConnection::new(stream, Some((shared, reserved))));
            }
            if !shared.close_for(Need::Place, attempt == 0).await {
                break;
            }
        }
        shared.counts.count(Limit::Places);
        None
    }

    /// Closes a connection that holds memory without progress and waits until it
    /// is closed; `false` if there is none. The first attempt waits for one that
    /// is closing already.
    pub(crate) async fn free_memory(&self, is_first: bool) -> bool {
        match &self.0 {
            Some(shared) => shared.close_for(Need::Memory, is_first).await,
            None => false,
        }
    }

    pub(crate) fn count(&self, limit: Limit) {
        if let Some(shared) = &self.0 {
            shared.counts.count(limit);
        }
    }

    /// Closes connections that exceed a time limit, until the server ends.
    pub(crate) fn check_times(&self) -> impl Future<Output = ()> + Send + 'static {
        let shared = self.0.as_ref().map(Arc::downgrade);
        async move {
            while let Some(shared) = shared.as_ref().and_then(Weak::upgrade) {
                shared.close_overdue();
                drop(shared);
                Timer::after(CHECK_INTERVAL).await;
            }
        }
    }
}

impl Shared {
    /// Reserves the place and the memory of one connection.
    fn reserve(&self) -> Option<ReservedBytes> {
        if self.open.lock().len() >= self.limits.max_open {
            return None;
        }
        self.memory.reserve(self.limits.idle_memory).ok()
    }

    /// Waits until a connection has been closed; `false` if there is none to
    /// close. Several that wait at the same time share one that is closing.
    async fn close_for(&self, need: Need, may_share: bool) -> bool {
        // Left by connections that ended while nobody waited.
        while self.released_rx.try_recv().is_ok() {}
        let is_shared = may_share && self.open.lock().iter().any(|c| c.is_closing());
        let is_closing = is_shared || self.close_least_promising(need);
        if is_closing {
            self.wait_released().await;
        }
        is_closing
    }

    /// Closes the least promising connection; `false` if there is none.
    fn close_least_promising(&self, need: Need) -> bool {
        let now = Instant::now();
        let open = self.open.lock();
        let closable: Vec<_> = open.iter().filter(|c| !c.is_closing()).collect();
        let standings = closable.iter().map(|c| c.standing(now));
        let chosen = pressure::least_promising(standings, need, &self.limits.times);
        let Some(connection) = chosen.and_then(|index| closable.get(index)) else {
            return false;
        };
        connection.close();
        self.counts.count(Limit::Displaced);
        true
    }

    fn close_overdue(&self) {
        let now = Instant::now();
        for connection in self.open.lock().iter().filter(|c| !c.is_closing()) {
            let standing = connection.standing(now);
            let Some(overdue) = pressure::overdue(&standing, &self.limits.times) else {
                continue;
            };
            self.counts.count(match overdue {
                Overdue::Body => Limit::BodyPause,
                Overdue::Head => Limit::HeadTime,
                Overdue::Reading => Limit::ReadPause,
            });
            connection.close();
        }
    }

    /// Reserves the memory of a connection with a request. If there is none, it
    /// closes a connection that makes no progress, and the request goes on
    /// without until its next bytes; `Err` if no connection can be closed.
    fn activate(&self) -> Result<Option<ReservedBytes>, Exhausted> {
        let reserved = self.memory.reserve(self.limits.active_memory).ok();
        if reserved.is_none() && !self.close_least_promising(Need::Memory) {
            self.counts.count(Limit::Memory);
            return Err(Exhausted);
        }
        Ok(reserved)
    }

    async fn wait_released(&self) {
        let released = async {
            // The channel is not closed while `self` exists.
            let _released = self.released_rx.recv().await;
        };
        let expire = async {
            Timer::after(CLOSE_WAIT).await;
        };
        future::or(released, expire).await;
    }
}

/// The memory for connections is full.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("the memory for connections is full")]
struct Exhausted;

/// Progress of one connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    opened: Instant,
    /// Milliseconds from `opened` to the last bytes in either direction.
    last_bytes: AtomicU64,
    /// Milliseconds from `opened` to the last step, see [`Standing::stuck_for`].
    last_step: AtomicU64,
    /// Bytes since the last step.
    bytes: AtomicU64,
    /// Milliseconds from `opened` to the first bytes of the head; [`NO_HEAD`]
    /// before them.
    head_began: AtomicU64,
    running: AtomicUsize,
    receiving: AtomicUsize,
    has_served: AtomicBool,
    is_write_blocked: AtomicBool,
    is_closing: AtomicBool,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            opened: Instant::now(),
            last_bytes: AtomicU64::new(0),
            last_step: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            head_began: AtomicU64::new(NO_HEAD),
            running: AtomicUsize::new(0),
            receiving: AtomicUsize::new(0),
            has_served: AtomicBool::new(false),
            is_write_blocked: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
        }
    }

    /// Marks the connection as waiting for the body of its request until the
    /// guard is dropped.
    pub fn receive_body(self: &Arc<Self>) -> ReceivingBody {
        self.receiving.fetch_add(1, Ordering::Relaxed);
        self.step();
        ReceivingBody(Arc::clone(self))
    }

    fn millis(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn step(&self) {
        self.step_at(self.millis());
    }

    fn step_at(&self, now: u64) {
        self.bytes.store(0, Ordering::Relaxed);
        self.last_step.store(now, Ordering::Relaxed);
    }

    /// Marks a request as running until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RunningRequest {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.head_began.store(NO_HEAD, Ordering::Relaxed);
        self.step();
        RunningRequest(Arc::clone(self))
    }

    fn end_request(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.has_served.store(true, Ordering::Relaxed);
        self.step();
    }

    fn record_bytes(&self, count: usize) {
        let now = self.millis();
        self.last_bytes.store(now, Ordering::Relaxed);
        let bytes = self.bytes.fetch_add(count as u64, Ordering::Relaxed) + count as u64;
        if bytes >= STEP_BYTES {
            self.step_at(now);
        }
    }

    fn record_received(&self, count: usize) {
        self.record_bytes(count);
        if self.running.load(Ordering::Relaxed) == 0
            && self.head_began.load(Ordering::Relaxed) == NO_HEAD
        {
            let began = self.last_bytes.load(Ordering::Relaxed);
            self.head_began.store(began, Ordering::Relaxed);
        }
    }

    fn standing(&self, now: Instant) -> Standing {
        let age = now.saturating_duration_since(self.opened);
        let since = |millis: &AtomicU64| {
            age.saturating_sub(Duration::from_millis(millis.load(Ordering::Relaxed)))
        };
        let head = self.head_began.load(Ordering::Relaxed) != NO_HEAD;
        let activity = if self.is_write_blocked.load(Ordering::Relaxed) {
            Activity::NotReading
        } else if self.receiving.load(Ordering::Relaxed) > 0 {
            Activity::ReceivingBody
        } else if self.running.load(Ordering::Relaxed) > 0 {
            Activity::Running
        } else {
            Activity::Waiting {
                has_served: self.has_served.load(Ordering::Relaxed),
                head: head.then(|| since(&self.head_began)),
            }
        };
        Standing {
            activity,
            silent_for: since(&self.last_bytes),
            stuck_for: since(&self.last_step),
        }
    }

    /// Whether no request is running and nothing of the next one has arrived.
    fn is_idle(&self) -> bool {
        self.running.load(Ordering::Relaxed) == 0
            && self.head_began.load(Ordering::Relaxed) == NO_HEAD
    }

    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Ends the connection; its task notices by the end of its stream. What the
    /// peer has not read is discarded, so that the system holds nothing for it.
    fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        // Both fail only if the connection has failed already.
        let _lingers = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        let _closed = self.stream.shutdown(Shutdown::Both);
    }
}

/// Marks a connection whose handler waits for a body.
#[derive(Debug)]
pub struct ReceivingBody(Arc<Connection>);

impl Drop for ReceivingBody {
    fn drop(&mut self) {
        self.0.receiving.fetch_sub(1, Ordering::Relaxed);
        self.0.step();
    }
}

/// Marks a request as running until its answer has been taken.
#[derive(Debug)]
pub(crate) struct RunningRequest(Arc<Connection>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// An open connection; gives its place and memory back when dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connection: Arc<Connection>,
    place: Option<(Arc<Shared>, ReservedBytes)>,
}

impl OpenConnection {
    fn new(stream: TcpStream, place: Option<(&Arc<Shared>, ReservedBytes)>) -> Self {
        let connection = Arc::new(Connection::new(stream));
        let place = place.map(|(shared, reserved)| (Arc::clone(shared), reserved));
        if let Some((shared, _)) = &place {
            shared.open.lock().push(Arc::clone(&connection));
        }
        Self { connection, place }
    }

    pub(crate) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    pub(crate) fn stream(&self) -> ProgressStream {
        ProgressStream {
            stream: self.connection.stream.clone(),
            connection: Arc::clone(&self.connection),
            shared: self.place.as_ref().map(|(shared, _)| Arc::clone(shared)),
            active: None,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let Some((shared, reserved)) = self.place.take() else {
            return;
        };
        let mut open = shared.open.lock();
        open.retain(|other| !Arc::ptr_eq(other, &self.connection));
        drop(open);
        drop(reserved);
        // A full channel already wakes whoever waits.
        let _wakes = shared.released_tx.try_send(());
    }
}

/// A stream that records the progress of its connection.
#[derive(Debug)]
pub(crate) struct ProgressStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    shared: Option<Arc<Shared>>,
    /// Memory of the request that is received or running.
    active: Option<ReservedBytes>,
}

impl ProgressStream {
    pub(crate) fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Reserves the memory of a request when its first bytes have arrived.
    fn activate(&mut self) -> io::Result<()> {
        if self.active.is_some() {
            return Ok(());
        }
        if let Some(shared) = &self.shared {
            self.active = shared.activate().map_err(io::Error::other)?;
        }
        Ok(())
    }
}

impl AsyncRead for ProgressStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match polled {
            Poll::Ready(Ok(count)) if count > 0 => {
                self.connection.record_received(count);
                self.activate()?;
            }
            Poll::Pending if self.connection.is_idle() => self.active = None,
            _ => {}
        }
        polled
    }
}

impl AsyncWrite for ProgressStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        match polled {
            Poll::Ready(Ok(count)) => {
                self.connection.record_bytes(count);
                self.connection
                    .is_write_blocked
                    .store(false, Ordering::Relaxed);
            }
            Poll::Pending => self
                .connection
                .is_write_blocked
                .store(true, Ordering::Relaxed),
            Poll::Ready(Err(_)) => {}
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
