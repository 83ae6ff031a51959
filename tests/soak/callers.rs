//! Callers of a soak and what they must see.

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

/// Tokens of one event, as the tests' configuration says.
const TOKENS_PER_EVENT: usize = 10;
/// Tokens that a program may generate, and the most of one turn.
const BUDGET: usize = 200;
const TURN: usize = 50;
/// Programs of each caller.
const PROGRAMS: u32 = 3;
/// Longest time for an answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Once,
    Safe,
    Turn,
    WrongKey,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    id: String,
    kind: Kind,
    program: Option<String>,
    status: Option<u16>,
    body: Vec<u8>,
    is_whole: bool,
}

fn client() -> Client {
    Client::new(Spawner::start(1), ClientConfig::default())
}

/// Sends requests to any of the gateways, on connections that it keeps.
pub(crate) fn call_until(
    over: &AtomicBool,
    gateways: &[SocketAddr],
    caller: u64,
    mut rng: ChaCha8Rng,
) -> Vec<Seen> {
    let client = client();
    let mut seen = Vec::new();
    while !over.load(Ordering::Acquire) {
        let kind = match rng.random_range(0..10) {
            0..3 => Kind::Once,
            3..5 => Kind::Safe,
            5..9 => Kind::Turn,
            _ => Kind::WrongKey,
        };
        let program = rng.random_range(0..PROGRAMS);
        let call = Seen {
            id: format!("{caller}-{}", seen.len()),
            kind,
            program: (kind == Kind::Turn).then(|| format!("p{caller}-{program}")),
            status: None,
            body: Vec::new(),
            is_whole: false,
        };
        let to = gateways[rng.random_range(0..gateways.len())];
        seen.push(async_io::block_on(send(&client, to, call)));
        std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
    }
    seen
}

async fn send(client: &Client, to: SocketAddr, mut call: Seen) -> Seen {
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
            .header("token-usage", format!("100,{TURN}"))
            .header("token-budget", BUDGET.to_string());
    }
    let req = req.body(Body::from("body")).expect("a valid request");
    let Ok(response) = client.send(to, req, PATIENCE).await else {
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
    call.is_whole = true;
    call
}

/// True if a gateway answers a call.
pub(crate) fn is_served(to: SocketAddr, n: u64) -> bool {
    let call = Seen {
        id: format!("after-{n}"),
        kind: Kind::Safe,
        program: None,
        status: None,
        body: Vec::new(),
        is_whole: false,
    };
    async_io::block_on(send(&client(), to, call)).status == Some(200)
}

fn events(count: u64) -> Vec<u8> {
    let event = |id| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=count).map(event).collect::<String>().into_bytes()
}

/// Checks the promises.
pub(crate) fn check(seed: u64, seen: &[Seen], runs: &[Run]) {
    let mut ran: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *ran.entry(&run.id).or_default() += 1;
    }
    let mut handed: HashMap<&str, usize> = HashMap::new();
    for call in seen {
        let runs = ran.get(call.id.as_str()).copied().unwrap_or(0);
        let at = || format!("seed {seed}: {call:?} ran {runs} times");
        if call.kind == Kind::Once {
            assert!(runs <= 1, "runs twice: {}", at());
        }
        if matches!(call.status, Some(401 | 402 | 408 | 421 | 429 | 503)) {
            assert_eq!(runs, 0, "said not to have run: {}", at());
        }
        if call.kind == Kind::WrongKey {
            assert_eq!(runs, 0, "ran without a key: {}", at());
            continue;
        }
        assert!(
            !matches!(call.status, Some(400 | 401 | 404 | 413)),
            "denied: {}",
            at()
        );
        if call.status == Some(200) {
            check_answer(call, &at());
        }
        if let Some(program) = &call.program {
            let events = call.body.windows(4).filter(|w| w == b"id: ").count();
            *handed.entry(program).or_default() += events * TOKENS_PER_EVENT;
        }
    }
    for (program, tokens) in handed {
        assert!(
            tokens <= BUDGET + TURN,
            "seed {seed}: {program} was handed {tokens} tokens of {BUDGET}"
        );
    }
    let served = seen.iter().filter(|call| call.status == Some(200)).count();
    assert!(served > 0, "seed {seed}: nothing was served");
}

fn check_answer(call: &Seen, at: &str) {
    let whole = match call.kind {
        Kind::Turn => events(EVENTS),
        _ => b"done".to_vec(),
    };
    assert!(whole.starts_with(&call.body), "not its answer: {at}");
    if call.is_whole {
        assert_eq!(call.body, whole, "looks whole: {at}");
    }
}
