//! An HTTP/1.1 server with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::future;
use http::Request;
use http::Response;
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt;
use smol_hyper::rt::SmolTimer;

use crate::Body;
use crate::Spawner;
use crate::connection_io::ConnectionIo;
use crate::connections::Connection;
use crate::connections::Connections;
use crate::connections::Limit;
use crate::connections::OpenConnection;
use crate::connections::ReceivingBody;
use crate::connections::RunningRequest;
use crate::keepalive;

/// Pause after a failed accept, so that the loop does not spin when file
/// descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Time after the stop of a server within which the head of a request that is
/// being received must be complete.
const HEAD_GRACE: Duration = Duration::from_secs(1);

/// Handles the requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request; the future is dropped if the caller disconnects.
    fn handle(
        &self,
        req: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Timeout for receiving the headers of a request.
    pub header_timeout: Duration,
    /// Largest read buffer of a connection, in bytes.
    pub max_buf_size: usize,
    /// Time without acknowledgements after which a connection fails; `None` for
    /// no detection.
    pub silence_limit: Option<Duration>,
    /// Largest send buffer of a connection, in bytes; `None` leaves it to the
    /// system. With a small one, a body is taken at the rate at which the
    /// receiver gets it.
    pub send_buffer: Option<usize>,
    /// Largest receive buffer of a connection, in bytes; `None` leaves it to the
    /// system, which may let it grow to megabytes.
    pub receive_buffer: Option<usize>,
    /// Maximum number of fields in the head of a request.
    pub max_fields: usize,
    /// Open connections and their limits.
    pub connections: Connections,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_buf_size: 64 * 1024,
            silence_limit: None,
            send_buffer: None,
            receive_buffer: None,
            max_fields: 100,
            connections: Connections::default(),
        }
    }
}

/// Handle that stops a server and counts its open requests and sockets.
#[derive(Clone, Debug)]
pub struct ServerControl {
    stop_tx: Sender<()>,
    stop_rx: Receiver<()>,
    requests: Arc<AtomicUsize>,
    /// Open sockets: the listener and the callers' connections.
    sockets: Arc<AtomicUsize>,
}

impl Default for ServerControl {
    fn default() -> Self {
        let (stop_tx, stop_rx) = async_channel::bounded(1);
        Self {
            stop_tx,
            stop_rx,
            requests: Arc::default(),
            sockets: Arc::default(),
        }
    }
}

impl ServerControl {
    /// Stops accepting connections; open ones close after their current
    /// request.
    ///
    /// A request that has arrived by then is still served, even if it has not
    /// been read yet. [`ServerControl::is_closed`] tells when all are answered.
    pub fn stop(&self) {
        self.stop_tx.close();
    }

    /// Whether the listener and all connections are closed, so that no request
    /// can begin any more and all responses have been written.
    pub fn is_closed(&self) -> bool {
        self.sockets.load(Ordering::Acquire) == 0
    }

    /// Returns the number of requests whose response has not been sent
    /// completely.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    async fn wait_for_stop(&self) {
        // The channel carries no items; `recv` returns when it is closed.
        let _closed = self.stop_rx.recv().await;
    }
}

/// Counts a request or a socket as open until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Accepts connections until the server is stopped; each is served by a task of
/// its own.
pub fn serve<H: Handler>(
    listener: TcpListener,
    spawner: Spawner,
    cfg: ServerConfig,
    control: ServerControl,
    handler: H,
) -> impl Future<Output = ()> + Send {
    // Counted before the first poll, so that the server does not look closed
    // until then.
    let open = OpenGuard::new(&control.sockets);
    accept_until_stopped(listener, spawner, cfg, control, handler, open)
}

async fn accept_until_stopped<H: Handler>(
    listener: TcpListener,
    spawner: Spawner,
    cfg: ServerConfig,
    control: ServerControl,
    handler: H,
    _open: OpenGuard,
) {
    set_buffers(&listener, &cfg);
    spawner.detach(cfg.connections.check_times());
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            control.wait_for_stop().await;
            None
        });
        match accepted.await {
            None => return,
            Some(Ok((stream, from))) => {
                let Some(place) = cfg.connections.admit(stream).await else {
                    continue;
                };
                let open = OpenGuard::new(&control.sockets);
                let (cfg, control, handler) = (cfg.clone(), control.clone(), handler.clone());
                spawner.detach(async move {
                    serve_connection(place, from, cfg, control, handler).await;
                    drop(open);
                });
            }
            Some(Err(_)) => {
                Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Sets the buffers of the listener, which all accepted connections inherit, also
/// those that are not accepted yet.
fn set_buffers(listener: &TcpListener, cfg: &ServerConfig) {
    // Without an option, the system chooses the size.
    if let Some(bytes) = cfg.receive_buffer {
        let _unsupported = sockopt::set_socket_recv_buffer_size(listener, bytes);
    }
    if let Some(bytes) = cfg.send_buffer {
        let _unsupported = sockopt::set_socket_send_buffer_size(listener, bytes);
    }
}

async fn serve_connection<H: Handler>(
    open: OpenConnection,
    from: SocketAddr,
    cfg: ServerConfig,
    control: ServerControl,
    handler: H,
) {
    let stream = open.stream();
    if stream.get_ref().set_nodelay(true).is_err() {
        return;
    }
    if let Some(limit) = cfg.silence_limit {
        // Without detection, only the connection of a lost caller stays open
        // for longer; the caller is still served.
        let _unsupported = keepalive::enable(stream.get_ref(), limit);
    }
    let count = Arc::clone(&control.requests);
    let has_begun = Arc::new(AtomicBool::new(false));
    let begun = Arc::clone(&has_begun);
    let connection = Arc::clone(open.connection());
    let service = service_fn(move |mut req: Request<Incoming>| {
        begun.store(true, Ordering::Release);
        let handler = handler.clone();
        let open = OpenGuard::new(&count);
        let running = connection.begin_request();
        if !req.body().is_end_stream() {
            req.extensions_mut().insert(Arc::clone(&connection));
        }
        async move {
            let response = handler.handle(req, from).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody {
                body,
                _open: open,
                _running: running,
            }))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(cfg.header_timeout)
        .max_headers(cfg.max_fields)
        .max_buf_size(cfg.max_buf_size);
    let mut serving = pin!(builder.serve_connection(ConnectionIo::new(stream), service));
    let ended = future::or(async { Some(serving.as_mut().await) }, async {
        control.wait_for_stop().await;
        None
    });
    let ended = ended.await;
    if let Some(Err(e)) = &ended
        && e.is_parse_too_large()
    {
        cfg.connections.count(Limit::HeadSize);
    }
    if ended.is_none() {
        serving.as_mut().graceful_shutdown();
        let finished = async {
            let _outcome = serving.await;
        };
        // Only a connection without any request yet waits for the rest of a
        // head; the others close at once or after their current request.
        let head_missing = async {
            Timer::after(HEAD_GRACE).await;
            if has_begun.load(Ordering::Acquire) {
                future::pending::<()>().await;
            }
        };
        future::or(finished, head_missing).await;
    }
}

/// Marks the connection of a request as waiting for the body until the guard is
/// dropped. A connection whose body makes no progress may be closed.
pub fn receive_body(extensions: &http::Extensions) -> Option<ReceivingBody> {
    extensions
        .get::<Arc<Connection>>()
        .map(Connection::receive_body)
}

/// A response body that counts its request as open until it has been sent.
struct TrackedBody {
    body: Body,
    _open: OpenGuard,
    _running: RunningRequest,
}

impl http_body::Body for TrackedBody {
    type Data = bytes::Bytes;
    type Error = crate::body::BodyError;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<crate::body::Result<http_body::Frame<Self::Data>>>> {
        std::pin::Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Binds a listener; port 0 lets the kernel choose.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
