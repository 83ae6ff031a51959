//! Callers of the soak test, and the checks on the answers they get.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::fleet::endpoint::Run;
use http::Request;
use http_body_util::BodyExt;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::faults::EVENTS;

/// Tokens per event, as set in the configuration of the tests.
const TOKENS_PER_EVENT: usize = 10;
/// Token budget of a program.
const BUDGET: usize = 200;
/// Maximum tokens of one turn.
const TURN_TOKENS: usize = 50;
/// Programs of each caller.
const PROGRAMS: u32 = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Once,
    Safe,
    Turn,
    WrongKey,
}

/// A request and its response as the caller received it.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    id: String,
    kind: Kind,
    program: Option<String>,
    status: Option<u16>,
    body: Vec<u8>,
    is_complete: bool,
}

fn client() -> Client {
    Client::new(Spawner::start(1), ClientConfig::default())
}

/// Sends requests to random gateways over persistent connections until `stop`
/// is set.
pub(crate) fn call_until_stopped(
    stop: &AtomicBool,
    gateways: &[SocketAddr],
    caller: u64,
    mut rng: ChaCha8Rng,
) -> Vec<CallRecord> {
    let client = client();
    let mut calls = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let kind = match rng.random_range(0..10) {
            0..3 => Kind::Once,
            3..5 => Kind::Safe,
            5..9 => Kind::Turn,
            _ => Kind::WrongKey,
        };
        let program = rng.random_range(0..PROGRAMS);
        let call = CallRecord {
            id: format!("{caller}-{}", calls.len()),
            kind,
            program: (kind == Kind::Turn).then(|| format!("p{caller}-{program}")),
            status: None,
            body: Vec::new(),
            is_complete: false,
        };
        let to = gateways[rng.random_range(0..gateways.len())];
        calls.push(async_io::block_on(send(&client, to, call)));
        std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
    }
    calls
}

async fn send(client: &Client, to: SocketAddr, mut call: CallRecord) -> CallRecord {
    let (path, key) = match call.kind {
        Kind::Once => ("/once/", "key-1"),
        Kind::Safe => ("/safe/", "key-1"),
        Kind::Turn => ("/turns/", "key-1"),
        Kind::WrongKey => ("/safe/", "key-0"),
    };
    let mut req = Request::post(path)
        .header("host", "h")
        .header("request-id", &call.id)
        .header("deadline-ms", "3000")
        .header("credential", key);
    if let Some(program) = &call.program {
        req = req
            .header("program-id", program)
            .header("session-id", "s")
            .header("token-usage", format!("100,{TURN_TOKENS}"))
            .header("token-budget", BUDGET.to_string());
    }
    let req = req.body(Body::from("body")).expect("a valid request");
    let Ok(response) = client.send(to, req, CALL_TIMEOUT).await else {
        return call;
    };
    call.status = Some(response.status().as_u16());
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return call;
        };
        call.body.extend(frame.into_data().unwrap_or_default());
    }
    call.is_complete = true;
    call
}

/// Whether a gateway answers a call with status 200.
pub(crate) fn is_served(to: SocketAddr, n: u64) -> bool {
    let call = CallRecord {
        id: format!("after-{n}"),
        kind: Kind::Safe,
        program: None,
        status: None,
        body: Vec::new(),
        is_complete: false,
    };
    async_io::block_on(send(&client(), to, call)).status == Some(200)
}

fn event_stream(count: u64) -> Vec<u8> {
    let event = |id| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=count).map(event).collect::<String>().into_bytes()
}

/// Checks the guarantees on the responses of callers and the runs of endpoints.
pub(crate) fn check_guarantees(seed: u64, calls: &[CallRecord], runs: &[Run]) {
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *run_counts.entry(&run.id).or_default() += 1;
    }
    let mut delivered: HashMap<&str, usize> = HashMap::new();
    for call in calls {
        let runs = run_counts.get(call.id.as_str()).copied().unwrap_or(0);
        let describe = || format!("seed {seed}: {call:?} ran {runs} times");
        if call.kind == Kind::Once {
            assert!(runs <= 1, "ran more than once: {}", describe());
        }
        if matches!(call.status, Some(401 | 402 | 408 | 421 | 429 | 503)) {
            assert_eq!(
                runs,
                0,
                "ran although the status reports that it did not: {}",
                describe()
            );
        }
        if call.kind == Kind::WrongKey {
            assert_eq!(runs, 0, "ran without a valid key: {}", describe());
            continue;
        }
        assert!(
            !matches!(call.status, Some(400 | 401 | 404 | 413)),
            "valid call denied: {}",
            describe()
        );
        if call.status == Some(200) {
            check_answer(call, &describe());
        }
        if let Some(program) = &call.program {
            let events = call.body.windows(4).filter(|w| w == b"id: ").count();
            *delivered.entry(program).or_default() += events * TOKENS_PER_EVENT;
        }
    }
    for (program, tokens) in delivered {
        assert!(
            tokens <= BUDGET + TURN_TOKENS,
            "seed {seed}: {program} received {tokens} tokens with a budget of {BUDGET}"
        );
    }
    let served = calls.iter().filter(|call| call.status == Some(200)).count();
    assert!(served > 0, "seed {seed}: no call was served");
}

fn check_answer(call: &CallRecord, description: &str) {
    let expected = match call.kind {
        Kind::Turn => event_stream(EVENTS),
        _ => b"done".to_vec(),
    };
    assert!(
        expected.starts_with(&call.body),
        "wrong answer: {description}"
    );
    if call.is_complete {
        assert_eq!(
            call.body, expected,
            "truncated answer ended as complete: {description}"
        );
    }
}
