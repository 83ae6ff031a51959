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

/// Refusal that names no request.
const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
/// Refusal that names its request.
const NAMED_REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n\
                             request-id: {id}\r\ncontent-length: 0\r\n\r\n";
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
fn serve(mut stream: TcpStream, runs: &Runs, refusal: &str) {
    let Some(id) = read_request(&mut stream) else {
        return;
    };
    let refusal = refusal.replace("{id}", &id);
    if stream.write_all(refusal.as_bytes()).is_err() {
        return;
    }
    let mut late = stream.try_clone().expect("a connection");
    std::thread::spawn(move || {
        std::thread::sleep(LATE);
        late.write_all(refusal.as_bytes())
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

fn start(refusal: &'static str) -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let runs = Runs::default();
    let shared = Arc::clone(&runs);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = Arc::clone(&shared);
            std::thread::spawn(move || serve(stream, &runs, refusal));
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
    let (address, runs) = start(REFUSAL);
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

// A late copy of a refusal that names its request was taken for the answer to the same
// request, which the caller had sent again: it ran, and its caller was told that it had
// not.
#[test]
fn a_late_refusal_is_not_taken_for_the_answer_to_the_same_call_sent_again() {
    let fleet = Fleet::new();
    let (address, runs) = start(NAMED_REFUSAL);
    fleet.list("e1", "plain", address, "ready");
    let gateway = fleet.gateway("g1");
    for n in 0..8 {
        let id = format!("r{n}");
        for _ in 0..3 {
            let answer = fleet.call(&gateway, "/once/", &[("request-id", &id)]);
            let has_run = runs.lock().contains(&id);
            let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
            assert!(!(is_refused && has_run), "{id} was refused and has run");
            if has_run {
                break;
            }
        }
        let count = runs.lock().iter().filter(|run| **run == id).count();
        assert!(count <= 1, "{id} has run {count} times");
    }
}
