//! An HTTP/1.1 client with a pool of idle connections by address.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use parking_lot::Mutex;
use rustix::net::sockopt;

use crate::Body;
use crate::Spawner;
use crate::connection_io::ConnectionIo;
use crate::keepalive;

/// Header in which a server announces how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";
/// Fraction of the idle limit after which a connection is not reused, so that a
/// request does not cross the server's close.
const IDLE_SHARE: f64 = 0.6;

/// Longest idle limit that a server's announcement sets. A server may announce
/// more than the clock can add.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(3600);

/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Most idle connections kept for each address of which some response has not
/// named its request.
const MAX_IDLE_UNIDENTIFIED: usize = 4;

/// Error of a request that got no response head.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection could be opened, so nothing of the request was sent.
    #[error("connection refused or failed: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed after the request may have been sent.
    #[error("connection lost before the response: {0}")]
    Lost(#[source] hyper::Error),
    /// The connection closed before anything was written.
    #[error("connection closed before the request was sent: {0}")]
    NotSent(#[source] hyper::Error),
    /// The status is none of a final response; the request may have been executed.
    #[error("the response has the status {0}")]
    InvalidStatus(StatusCode),
    /// No response head arrived within the timeout; the request may have been
    /// sent.
    #[error("no response within {0:?}")]
    Timeout(Duration),
}

impl ClientError {
    /// Whether the request cannot have reached the server.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}

/// Result of a request.
pub type Result<T> = std::result::Result<T, ClientError>;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Most idle connections kept for each address.
    pub max_idle: usize,
    /// Idle limit of a connection if the server announces none.
    pub idle_limit: Duration,
    /// Largest read buffer of a connection, in bytes; also the largest head of a
    /// response.
    pub max_buf_size: usize,
    /// Time without acknowledgements after which a connection fails; `None` for
    /// no detection.
    pub silence_limit: Option<Duration>,
    /// Receive buffer of the system for a connection, in bytes; `None` leaves it
    /// to the system, which may let it grow to megabytes.
    pub receive_buffer: Option<usize>,
    /// Header by which a response names its request; `None` if responses do not.
    pub id_header: Option<HeaderName>,
    /// Header of a response that refuses a request. The same request may be sent
    /// again, so that its id does not tell a late copy of the refusal from the
    /// response to it.
    pub refusal_header: Option<HeaderName>,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle: 32,
            idle_limit: Duration::from_secs(60),
            max_buf_size: 64 * 1024,
            silence_limit: None,
            receive_buffer: None,
            id_header: None,
            refusal_header: None,
        }
    }
}

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug)]
pub struct Reuse {
    /// Longest time for which the connection was idle.
    pub max_idle: Duration,
    /// Whether all responses on it must have named their requests, and none refused
    /// its request. A late copy of another one could be taken for the response to
    /// this request.
    pub only_identified: bool,
}

impl Default for Reuse {
    fn default() -> Self {
        Self {
            max_idle: Duration::MAX,
            only_identified: false,
        }
    }
}

/// A connection in the pool.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Body>,
    idle_since: Instant,
    expires: Instant,
    /// Whether all responses on it have named their requests, and none was a refusal.
    is_identified: bool,
}

type IdleConnections = HashMap<SocketAddr, Vec<IdleConnection>>;

/// A client with a pool of idle connections.
///
/// A connection returns to the pool only when its whole response has been
/// read, so no response is ever delivered to another request.
#[derive(Clone, Debug)]
pub struct Client {
    cfg: ClientConfig,
    idle: Arc<Mutex<IdleConnections>>,
    spawner: Spawner,
}

impl Client {
    /// Creates a client whose connections run on the given executor.
    pub fn new(spawner: Spawner, cfg: ClientConfig) -> Self {
        Self {
            cfg,
            idle: Arc::default(),
            spawner,
        }
    }

    /// Sends a request and returns the response head; the body streams.
    ///
    /// Dropping the returned body early closes the connection, so that the
    /// server can cancel the request. `timeout` covers the connection and the
    /// response head only.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives. The server may have
    /// received the request unless [`ClientError::is_not_sent`].
    pub async fn send(
        &self,
        to: SocketAddr,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        with_timeout(timeout, self.exchange(to, req, Reuse::default())).await
    }

    /// Sends like [`Client::send`], on an idle connection that `reuse` allows or
    /// on a new one.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::send`].
    pub async fn send_reusing(
        &self,
        to: SocketAddr,
        req: Request<Body>,
        timeout: Duration,
        reuse: Reuse,
    ) -> Result<Response<Incoming>> {
        with_timeout(timeout, self.exchange(to, req, reuse)).await
    }

    /// Sends like [`Client::send`], always on a new connection.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::send`].
    pub async fn send_fresh(
        &self,
        to: SocketAddr,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        with_timeout(timeout, self.exchange_fresh(to, req)).await
    }

    /// Closes the idle connections to an address, for a host that was removed.
    pub fn close_idle(&self, to: SocketAddr) {
        self.idle.lock().remove(&to);
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        mut req: Request<Body>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>> {
        while let Some((mut sender, is_identified)) = self.take_idle(to, reuse) {
            match sender.try_send_request(req).await {
                Ok(response) => {
                    let response = check_status(response)?;
                    return Ok(self.return_to_pool(to, sender, is_identified, response));
                }
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(ClientError::Lost(failure.into_error())),
                },
            }
        }
        self.exchange_fresh(to, req).await
    }

    async fn exchange_fresh(
        &self,
        to: SocketAddr,
        req: Request<Body>,
    ) -> Result<Response<Incoming>> {
        let mut sender = self.connect(to).await?;
        match sender.try_send_request(req).await {
            Ok(response) => {
                let response = check_status(response)?;
                Ok(self.return_to_pool(to, sender, true, response))
            }
            Err(mut failure) => match failure.take_message() {
                Some(_) => Err(ClientError::NotSent(failure.into_error())),
                None => Err(ClientError::Lost(failure.into_error())),
            },
        }
    }

    /// Takes the connection that was idle for the shortest time; also returns
    /// whether all its responses have named their requests.
    fn take_idle(&self, to: SocketAddr, reuse: Reuse) -> Option<(SendRequest<Body>, bool)> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&to)?;
        let now = Instant::now();
        let is_usable = |idle: &IdleConnection| {
            now < idle.expires && idle.sender.is_ready() && !idle.sender.is_closed()
        };
        connections.retain(is_usable);
        let is_allowed = |idle: &IdleConnection| {
            let is_recent = now.duration_since(idle.idle_since) <= reuse.max_idle;
            is_recent && (idle.is_identified || !reuse.only_identified)
        };
        let last = connections.iter().rposition(is_allowed)?;
        let IdleConnection {
            sender,
            is_identified,
            ..
        } = connections.remove(last);
        Some((sender, is_identified))
    }

    /// Puts the connection into the pool once the response has been read,
    /// unless the server closes it or the pool is full. `was_identified` is
    /// whether all responses before have named their requests.
    fn return_to_pool(
        &self,
        to: SocketAddr,
        mut sender: SendRequest<Body>,
        was_identified: bool,
        response: Response<Incoming>,
    ) -> Response<Incoming> {
        let idle = Arc::clone(&self.idle);
        let headers = response.headers();
        let id_header = self.cfg.id_header.as_ref();
        let is_named = id_header.is_none_or(|name| headers.contains_key(name));
        let refusal_header = self.cfg.refusal_header.as_ref();
        let is_refusal = refusal_header.is_some_and(|name| headers.contains_key(name));
        let is_identified = was_identified && is_named && !is_refusal;
        let max_idle = match is_identified {
            true => self.cfg.max_idle,
            // Few requests may use it.
            false => self.cfg.max_idle.min(MAX_IDLE_UNIDENTIFIED),
        };
        let allowed_idle = announced_idle(response.headers()).unwrap_or(self.cfg.idle_limit);
        if is_closing(response.headers()) {
            return response;
        }
        self.spawner.detach(async move {
            if sender.ready().await.is_err() {
                return;
            }
            let mut idle = idle.lock();
            let connections = idle.entry(to).or_default();
            let alike = connections
                .iter()
                .filter(|idle| is_identified || !idle.is_identified);
            if alike.count() < max_idle {
                let now = Instant::now();
                connections.push(IdleConnection {
                    sender,
                    idle_since: now,
                    expires: now + allowed_idle.min(MAX_IDLE_LIMIT).mul_f64(IDLE_SHARE),
                    is_identified,
                });
            }
        });
        response
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Body>> {
        let limit = async {
            Timer::after(self.cfg.connect_timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let stream = future::or(TcpStream::connect(to), limit)
            .await
            .map_err(ClientError::Connect)?;
        stream.set_nodelay(true).map_err(ClientError::Connect)?;
        if let Some(limit) = self.cfg.silence_limit {
            keepalive::enable(&stream, limit).map_err(ClientError::Connect)?;
        }
        if let Some(bytes) = self.cfg.receive_buffer {
            // Without it, the system chooses the size.
            let _unsupported = sockopt::set_socket_recv_buffer_size(&stream, bytes);
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(self.cfg.max_buf_size)
            .handshake(ConnectionIo::new(stream))
            .await
            .map_err(ClientError::NotSent)?;
        self.spawner.detach(async move {
            let _outcome = connection.await;
        });
        Ok(sender)
    }
}

/// Refuses a status that no final response has.
fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>> {
    match FINAL_STATUSES.contains(&response.status().as_u16()) {
        true => Ok(response),
        false => Err(ClientError::InvalidStatus(response.status())),
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    exchange: impl Future<Output = Result<T>>,
) -> Result<T> {
    let limit = async {
        Timer::after(timeout).await;
        Err(ClientError::Timeout(timeout))
    };
    future::or(exchange, limit).await
}

/// Returns the idle time that a server announces by
/// `Keep-Alive: timeout=SECONDS`.
fn announced_idle(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Whether the server closes the connection after this response.
fn is_closing(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}
