//! An endpoint that sends its refusals once more, late.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use parking_lot::Mutex;

use super::fleet::Fleet;

const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
/// Time after which a refusal is sent once more.
const LATE: Duration = Duration::from_millis(50);
/// Time for which the endpoint works on a request.
const WORK: Duration = Duration::from_millis(200);

/// Ids of the requests that have run.
type Runs = Arc<Mutex<Vec<String>>>;

/// Reads a request; the value of its `request-id`. `None` at the end of the
/// connection.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let field = |name: &str| {
        let line = head.lines().find(|line| line.starts_with(name))?;
        Some(line.split_once(": ")?.1.to_owned())
    };
    let length = field("content-length:").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    field("request-id:")
}

/// Refuses the first request of a connection twice and runs the others.
fn serve(mut stream: TcpStream, runs: &Runs) {
    if read_request(&mut stream).is_none() || stream.write_all(REFUSAL).is_err() {
        return;
    }
    let mut late = stream.try_clone().expect("a connection");
    std::thread::spawn(move || {
        std::thread::sleep(LATE);
        late.write_all(REFUSAL)
    });
    while let Some(id) = read_request(&mut stream) {
        runs.lock().push(id.clone());
        std::thread::sleep(WORK);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s\r\n\
             content-length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn start() -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let runs = Runs::default();
    let shared = Arc::clone(&runs);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = Arc::clone(&shared);
            std::thread::spawn(move || serve(stream, &runs));
        }
    });
    (address, runs)
}

// A late copy of a refusal, which names no request, was taken for the answer to
// the next call on the connection: it ran, and its caller was told that it had
// not.
#[test]
fn a_late_refusal_is_not_taken_for_the_answer_to_the_next_call() {
    let fleet = Fleet::new();
    let (address, runs) = start();
    fleet.list("e1", "plain", address, "ready");
    let gateway = fleet.gateway("g1");
    for n in 0..8 {
        let id = format!("r{n}");
        let answer = fleet.call(&gateway, "/once/", &[("request-id", &id)]);
        std::thread::sleep(LATE / 2 * (n % 3));
        let has_run = runs.lock().contains(&id);
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!(is_refused && has_run), "{id} was refused and has run");
    }
}
