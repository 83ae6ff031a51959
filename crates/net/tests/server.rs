//! Graceful shutdown of the HTTP server.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;
use http::Request;
use http::Response;
use hyper::body::Incoming;

/// Timeout of every wait; only a hang reaches it.
const HANG_GUARD: Duration = Duration::from_secs(20);
/// Time that the handler takes.
const HANDLER_TIME: Duration = Duration::from_millis(300);
/// Time for which the worker is kept from serving connections.
const BUSY_TIME: Duration = Duration::from_millis(200);

/// Time within which a server without requests closes; a connection that waits
/// for a head ends by itself only after the header timeout of 10 seconds.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

#[derive(Clone)]
struct SlowAnswer;

impl Handler for SlowAnswer {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let _body = Body::collect(req.into_body(), 1024).await;
        async_io::Timer::after(HANDLER_TIME).await;
        Response::new(Body::from("done"))
    }
}

struct Server {
    spawner: Spawner,
    address: SocketAddr,
    control: ServerControl,
}

impl Server {
    fn start() -> Self {
        let spawner = Spawner::start(1);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = async_io::block_on(server::bind(any_port)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        let control = ServerControl::default();
        spawner.detach(server::serve(
            listener,
            spawner.clone(),
            ServerConfig::default(),
            control.clone(),
            SlowAnswer,
        ));
        Self {
            spawner,
            address,
            control,
        }
    }

    /// Keeps the only worker busy, as a long task or a processor quota would.
    fn occupy_worker(&self) {
        let (tx, rx) = std::sync::mpsc::channel();
        self.spawner.detach(async move {
            tx.send(()).expect("the test waits");
            thread::sleep(BUSY_TIME);
        });
        rx.recv().expect("the worker runs");
    }

    /// Stops the server and waits until a shutdown may proceed.
    fn drain(&self) {
        self.control.stop();
        let start = Instant::now();
        while !self.control.is_closed() {
            assert!(start.elapsed() < HANG_GUARD, "the server does not close");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    let timeout = stream.set_read_timeout(Some(HANG_GUARD));
    timeout.expect("the timeout is valid");
    stream
}

fn send_request(stream: &mut TcpStream) {
    let req = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
    stream.write_all(req).expect("the request fits");
}

fn receive(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut buf = [0; 1024];
    while !received.ends_with(b"done") {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(len) => received.extend_from_slice(&buf[..len]),
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Returns what has arrived without waiting for more.
fn received_so_far(stream: &mut TcpStream) -> String {
    stream.set_nonblocking(true).expect("a connection");
    receive(stream)
}

// A drain counted open requests once; a request that lay unread in the socket
// of an open connection was run after that, and its answer was lost.
#[test]
fn a_drain_waits_for_a_request_that_is_read_after_the_stop() {
    let server = Server::start();
    let mut caller = connect(server.address);
    send_request(&mut caller);
    assert!(receive(&mut caller).ends_with("done"));
    server.occupy_worker();
    send_request(&mut caller);
    server.drain();
    let answer = received_so_far(&mut caller);
    assert!(answer.ends_with("done"), "the caller got {answer:?}");
}

// The same on a connection that the server had not accepted when it stopped.
#[test]
fn a_drain_waits_for_a_connection_that_is_accepted_during_the_stop() {
    let server = Server::start();
    server.occupy_worker();
    let mut caller = connect(server.address);
    send_request(&mut caller);
    server.drain();
    let answer = received_so_far(&mut caller);
    assert!(answer.ends_with("done"), "the caller got {answer:?}");
}

// The head of a request that never arrived held a drain up to its time limit.
#[test]
fn a_drain_does_not_wait_for_the_rest_of_a_head() {
    let server = Server::start();
    let mut caller = connect(server.address);
    caller.write_all(b"POST / HT").expect("the bytes fit");
    thread::sleep(BUSY_TIME);
    let start = Instant::now();
    server.drain();
    assert!(start.elapsed() < DRAIN_LIMIT);
}

// An idle connection must not hold up a drain until its time limit.
#[test]
fn a_drain_closes_idle_connections_at_once() {
    let server = Server::start();
    let mut caller = connect(server.address);
    send_request(&mut caller);
    assert!(receive(&mut caller).ends_with("done"));
    let start = Instant::now();
    server.drain();
    assert!(start.elapsed() < DRAIN_LIMIT);
    assert_eq!(receive(&mut caller), "");
}
