//! Latency and throughput of calls through hosts, compared in the same run
//! with calls sent directly to the service stand-in.
//!
//! `cargo build --release --workspace && cargo bench --bench path`

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use hdrhistogram::Histogram;
use http::HeaderValue;
use http::Request;
use http::header;
use support::Fleet;
use support::FleetSpec;
use support::SECRET;

/// Sequential calls of a latency measurement.
const SEQUENTIAL_CALLS: u32 = 3_000;
/// Sequential calls if each waits for a journal write.
const SEQUENTIAL_ONCE_CALLS: u32 = 200;
/// Calls of a throughput measurement.
const CONCURRENT_CALLS: u32 = 8_000;
/// Calls of a throughput measurement if each waits for a journal write.
const CONCURRENT_ONCE_CALLS: u32 = 1_600;
/// Concurrent callers of a throughput measurement.
const CALLERS: u32 = 32;
/// Calls that are sent before the latency measurement.
const WARM_UP_CALLS: u32 = 100;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Maximum size of a response body, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// Target and headers of the calls of one measurement.
#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    to: SocketAddr,
    path: &'static str,
    program: Option<String>,
    once: bool,
}

impl Case {
    const fn sequential_calls(&self) -> u32 {
        if self.once {
            SEQUENTIAL_ONCE_CALLS
        } else {
            SEQUENTIAL_CALLS
        }
    }

    const fn concurrent_calls(&self) -> u32 {
        if self.once {
            CONCURRENT_ONCE_CALLS
        } else {
            CONCURRENT_CALLS
        }
    }

    fn request(&self, number: u32) -> Request<Body> {
        let mut req = Request::post(self.path)
            .header(header::HOST, "bench")
            .header(header::AUTHORIZATION, format!("Bearer {SECRET}"))
            .body(Body::from("{\"lot\":1}"))
            .expect("the parts are valid");
        if let Some(program) = &self.program {
            let program = HeaderValue::try_from(program).expect("an id is valid");
            req.headers_mut().insert("chicoryarch-program", program);
        }
        if self.once {
            let key = format!("{}-{number}", self.name.replace(' ', "-"));
            let key = HeaderValue::try_from(key).expect("a name is valid");
            req.headers_mut().insert("idempotency-key", key);
        }
        req
    }
}

async fn call(client: &Client, case: &Case, number: u32) {
    let sent = client
        .send(case.to, case.request(number), CALL_TIMEOUT)
        .await;
    let response = sent.expect("the call is answered");
    let status = response.status();
    let body = Body::collect(response.into_body(), MAX_ANSWER).await;
    let body = body.expect("the response body is complete");
    assert!(status.is_success(), "{}: {status} {body:?}", case.name);
}

fn measure_latency(client: &Client, case: &Case) -> Histogram<u64> {
    let mut latencies =
        Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are allowed");
    async_io::block_on(async {
        for number in 0..WARM_UP_CALLS + case.sequential_calls() {
            let started = Instant::now();
            call(client, case, number).await;
            if number >= WARM_UP_CALLS {
                latencies.saturating_record(
                    started.elapsed().as_micros().try_into().unwrap_or(u64::MAX),
                );
            }
        }
    });
    latencies
}

fn measure_throughput(spawner: &Spawner, client: &Client, case: &Case) -> f64 {
    let calls_per_caller = case.concurrent_calls() / CALLERS;
    let started = Instant::now();
    let tasks: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (client, case) = (client.clone(), case.clone());
            spawner.spawn(async move {
                let first = 1_000_000 + caller * calls_per_caller;
                for number in first..first + calls_per_caller {
                    call(&client, &case, number).await;
                }
            })
        })
        .collect();
    async_io::block_on(async {
        for task in tasks {
            task.await;
        }
    });
    f64::from(calls_per_caller * CALLERS) / started.elapsed().as_secs_f64()
}

fn main() {
    let fleet = Fleet::start(FleetSpec {
        threads: 1,
        log: "warn",
        rate: 1_000_000.0,
        ..FleetSpec::default()
    });
    let spawner = Spawner::start(2);
    let client = Client::new(spawner.clone(), ClientConfig::default());
    // The host that opens a program owns it.
    let program = fleet.open_program(0, "{}");
    let case = |name, to, path| Case {
        name,
        to,
        path,
        program: None,
        once: false,
    };
    let in_program = |name, to| Case {
        program: Some(program.clone()),
        ..case(name, to, "/lookup/x")
    };
    let (owner, entry) = (fleet.hosts[0].callers, fleet.hosts[1].callers);
    let direct = case("direct", fleet.service.addr, "/x");
    let cases = [
        case("single call", owner, "/lookup/x"),
        in_program("program, at owner", owner),
        in_program("program, other host", entry),
        Case {
            once: true,
            ..case("once-only, single", owner, "/orders/x")
        },
    ];
    let base = measure_latency(&client, &direct);
    let base_rate = measure_throughput(&spawner, &client, &direct);
    println!(
        "{:<22} {:>9} {:>9} {:>9} {:>9} {:>10} {:>7}",
        "case", "p50 us", "p99 us", "x p50", "x p99", "calls/s", "x rate"
    );
    let print = |name: &str, latencies: &Histogram<u64>, rate: f64| {
        let (p50, p99) = (
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
        );
        let ratio =
            |q: f64| latencies.value_at_quantile(q) as f64 / base.value_at_quantile(q) as f64;
        println!(
            "{name:<22} {p50:>9} {p99:>9} {:>9.2} {:>9.2} {rate:>10.0} {:>7.3}",
            ratio(0.5),
            ratio(0.99),
            rate / base_rate
        );
    };
    print("direct", &base, base_rate);
    for case in &cases {
        let latencies = measure_latency(&client, case);
        // Calls of one program run sequentially, also with concurrent callers.
        let rate = measure_throughput(&spawner, &client, case);
        print(case.name, &latencies, rate);
    }
}
