//! Property tests of the settings parser, the callers' interface and the decoders
//! of the store's, endpoints' and other hosts' messages: arbitrary input causes
//! no panic, and accepted input is usable or round-trips unchanged.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryarch::connection::forward;
use chicoryarch::connection::headers;
use chicoryarch::connection::headers::CallHeaders;
use chicoryarch::gateway::budget::Account;
use chicoryarch::gateway::budget::Balance;
use chicoryarch::gateway::directory::Directory;
use chicoryarch::gateway::event_stream::Splitter;
use chicoryarch::gateway::exchange::ExchangeReply;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Pool;
use chicoryarch::ids::ProgramId;
use chicoryarch::platform::endpoints;
use chicoryarch::platform::registry;
use chicoryarch::platform::store::objects;
use chicoryarch::process::settings;
use chicoryarch::request::answer::AnswerBuffer;
use chicoryarch::request::call::IdempotencyKey;
use chicoryarch::request::completion;
use chicoryarch::units::Moment;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::connections::ConnectionLimits;
use chicoryarch_net::connections::Connections;
use chicoryarch_net::connections::LimitCounts;
use chicoryarch_net::pressure::TimeLimits;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;
use futures_lite::future;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Fixed seed, which makes runs in CI reproducible.
const SEED: [u8; 32] = [7; 32];
/// Default number of cases per test; `CHICORYARCH_CASES` overrides it.
const CASES: u32 = 2_000;

const VALID_SETTINGS: &str = "
host = \"north-1\"
data_centre = \"north\"
[listen]
callers = \"127.0.0.1:0\"
peers = \"127.0.0.1:0\"
operators = \"127.0.0.1:0\"
[secrets]
peers = \"peers.secret\"
[membership]
lease_ttl_ms = 5000
[journal]
writes_per_second = 10
";

fn check_property<S: Strategy>(strategy: S, test: impl Fn(S::Value)) {
    let cases = std::env::var("CHICORYARCH_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok()).unwrap_or(CASES);
    let cfg = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    runner
        .run(&strategy, |value| {
            test(value);
            Ok(())
        })
        .expect("every case passes");
}

/// Generates [`VALID_SETTINGS`] with some bytes replaced, removed or added.
fn mutated_settings() -> impl Strategy<Value = String> {
    let edit = (0..VALID_SETTINGS.len(), 0..6_usize, "[ -~\n]{0,6}");
    vec(edit, 0..4).prop_map(|edits| {
        let mut text = VALID_SETTINGS.to_owned();
        for (at, removed, added) in edits {
            let at = at.min(text.len());
            let end = (at + removed).min(text.len());
            text.replace_range(at..end, &added);
        }
        text
    })
}

#[test]
fn mutated_settings_never_panic_and_are_valid_if_parsed() {
    check_property(mutated_settings(), |text| {
        if let Ok(cfg) = settings::parse("fuzz.toml", &text) {
            assert!(cfg.check().is_ok());
        }
    });
}

#[test]
fn arbitrary_settings_never_panic() {
    check_property(".{0,400}", |text: String| {
        let _refused = settings::parse("fuzz.toml", &text);
    });
}

#[test]
fn arbitrary_headers_never_forward_internal_fields() {
    let names = prop::sample::select(vec![
        headers::PROGRAM,
        headers::CALL,
        headers::IDEMPOTENCY_KEY,
        headers::AFTER,
        headers::CALLER,
        HeaderName::from_static("authorization"),
        HeaderName::from_static("connection"),
    ]);
    let fields = vec((names, vec(any::<u8>(), 0..80)), 0..8);
    check_property(fields, |fields| {
        let mut map = HeaderMap::new();
        for (name, value) in fields {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                map.append(name, value);
            }
        }
        let _read = CallHeaders::read(&map);
        let _caller = forward::read_caller(&map);
        let _secret = headers::bearer_token(&map);
        let forwarded = headers::forwardable(&map);
        assert!(!forwarded.contains_key("authorization"));
        assert!(
            forwarded
                .keys()
                .all(|name| !name.as_str().starts_with("chicoryarch-"))
        );
    });
}

#[test]
fn path_split_is_lossless() {
    check_property("/?[a-z0-9/?.%A-Z-]{0,60}", |path: String| {
        if let Ok((service, rest)) = forward::split_path(&path) {
            let joined = format!("/{service}{rest}");
            let is_same = joined == path || joined.replacen("/?", "?", 1) == path;
            assert!(
                is_same || joined == format!("{path}/"),
                "{path} gave {joined}"
            );
        }
    });
}

#[test]
fn parsed_ids_round_trip() {
    check_property(
        "[a-z0-9.-]{0,60}|[a-z]{1,9}\\.[0-9]{1,6}\\.[0-9a-f]{16}",
        |text: String| {
            if let Ok(id) = text.parse::<ProgramId>() {
                assert_eq!(id.to_string(), text);
            }
            if let Ok(key) = text.parse::<IdempotencyKey>() {
                assert_eq!(key.as_str(), text);
            }
        },
    );
}

#[test]
fn arbitrary_engine_answers_never_panic() {
    let piece = prop::sample::select(vec![
        "data: ",
        "[DONE]",
        "\n",
        "{\"choices\":[{\"delta\":{\"content\":\"x\"}}]}",
        "{\"choices\":[{\"message\":{\"role\":\"assistant\"}}]}",
        "\"usage\":",
        "{\"prompt_tokens\":18446744073709551615,\"completion_tokens\":9}",
        "é",
        "{",
        "}",
    ]);
    check_property(vec(piece, 0..12), |pieces| {
        let text = pieces.concat();
        let mut buffer = AnswerBuffer::default();
        let mut whole = AnswerBuffer::unbounded();
        for chunk in text.as_bytes().chunks(3) {
            buffer.push(chunk);
            whole.push(chunk);
        }
        if let Some(usage) = buffer.usage() {
            let _cost = usage.cost();
        }
        for is_stream in [true, false] {
            let _message = whole.message(is_stream);
        }
        let _message = completion::parse_streamed_message(&text);
    });
}

/// Entry of an endpoint as another program may have left it.
fn endpoint_entry() -> impl Strategy<Value = String> {
    let odd = prop::sample::select(vec![
        "null",
        "-1",
        "1e999",
        "18446744073709551616",
        "4294967295",
        "0",
        "[[[]]]",
        "\"\\ud800\"",
        "\"10.0.0.1:99999\"",
        "\"10.0.0.1:0\"",
        "\"\\u0000\"",
    ]);
    let fields = [
        ("service", "\"s\""),
        ("address", "\"10.0.0.1:80\""),
        ("zone", "\"a\""),
        ("version", "\"v1\""),
        ("slots", "8"),
        ("state", "\"ready\""),
        ("cold_remaining_ms", "5"),
        ("born", "17"),
    ];
    vec((0..fields.len(), odd, 0..3_usize), 0..3).prop_map(move |changes| {
        let mut members: Vec<String> = fields.map(|(name, v)| format!("\"{name}\":{v}")).into();
        for (field, odd, change) in changes {
            let name = fields[field].0;
            match change {
                0 => members[field] = format!("\"{name}\":{odd}"),
                1 => members.push(format!("\"{name}\":{odd}")),
                _ => members[field].clear(),
            }
        }
        members.retain(|member| !member.is_empty());
        format!("{{{}}}", members.join(","))
    })
}

#[test]
fn decoded_entries_of_endpoints_can_be_called() {
    let id = "[ -~\u{7f}ü\n]{0,4}";
    check_property((id, endpoint_entry()), |(id, entry)| {
        if let Some(endpoint) = registry::decode(&id, entry.as_bytes()) {
            assert!(endpoint.is_usable());
            let attempt = endpoints::Attempt {
                method: &Method::POST,
                target: "/",
                headers: &HeaderMap::new(),
                body: &Bytes::new(),
                endpoint: &endpoint,
                customer: None,
                time_left: Duration::MAX,
                urgency: None,
                resume_after: Some(u64::MAX),
            };
            assert!(endpoints::build_request(&attempt).is_ok());
            let mut pool = Pool::with_seed(1);
            pool.replace([Arc::new(endpoint)].into_iter(), Moment::default());
            let _chosen = pool.choose(&Criteria::default(), "a", Moment::default());
        }
    });
}

/// An object of the store, and whether it is sound.
fn stored_object() -> impl Strategy<Value = (Vec<u8>, bool)> {
    let odd = prop::sample::select(vec![
        &b"\"\xff\""[..],
        b"\"\x01\"",
        b"1e999",
        b"[[[[[]]]]]",
        b"{\"a\":1,\"a\":2}",
    ]);
    (any::<bool>(), odd).prop_map(|(is_sound, odd)| {
        let (metadata, spec) = match is_sound {
            true => (&b"{\"name\":\"n\",\"revision\":3}"[..], &b"{\"a\":1}"[..]),
            false => (&b"{\"name\":\"n\"}"[..], odd),
        };
        let object = [b"{\"metadata\":", metadata, b",\"spec\":", spec, b"}"].concat();
        (object, is_sound)
    })
}

#[test]
fn odd_objects_hide_no_others() {
    check_property(vec(stored_object(), 0..6), |stored| {
        let sound = stored.iter().filter(|(_, is_sound)| *is_sound).count();
        let items: Vec<&[u8]> = stored.iter().map(|(object, _)| &object[..]).collect();
        let items = items.join(&b","[..]);
        let tail = &b"],\"store_revision\":9}"[..];
        let page = [&b"{\"items\":["[..], &items, tail].concat();
        let page = objects::decode_page("k", "", &page).expect("a page");
        assert_eq!(page.objects.len(), sound);
        let events: Vec<Vec<u8>> = stored
            .iter()
            .map(|(object, _)| [b"{\"object\":", &object[..], b"}"].concat())
            .collect();
        let events = events.join(&b","[..]);
        let changes = [&b"{\"events\":["[..], &events, tail].concat();
        let changes = objects::decode_changes("k", &changes).expect("changes");
        assert_eq!(changes.objects.len(), sound.min(1));
    });
}

#[test]
fn arbitrary_answers_of_the_store_never_panic() {
    let piece = prop::sample::select(vec![
        "{\"items\":[",
        "{\"events\":[",
        "],\"truncated\":true,\"store_revision\":1}",
        "],\"store_revision\":18446744073709551616}",
        "{\"metadata\":{\"name\":\"n\",\"revision\":1},\"spec\":",
        "[[[[",
        "]]]]",
        "1e999",
        "\"\u{0}\"",
        "}",
        ",",
    ]);
    check_property(
        (vec(piece, 0..10), vec(any::<u8>(), 0..3)),
        |(pieces, raw)| {
            let body = [pieces.concat().as_bytes(), &raw].concat();
            let _page = objects::decode_page("k", "n", &body);
            let _changes = objects::decode_changes("k", &body);
        },
    );
}

/// Numbers at and beyond the ends of their ranges, and others.
fn odd_number() -> impl Strategy<Value = String> {
    let odd = prop::sample::select(vec![
        "0",
        "1",
        "-1",
        "4294967295",
        "9223372036854775807",
        "18446744073709551615",
        "18446744073709551616",
        "1e308",
        "5e-324",
        "NaN",
        "inf",
        " 7 ",
        "",
    ]);
    odd.prop_map(ToOwned::to_owned)
}

#[test]
fn odd_numbers_in_answers_of_endpoints_never_panic() {
    let numbers = (odd_number(), odd_number(), odd_number());
    check_property(numbers, |(first, second, third)| {
        let response = Response::builder()
            .header("server-load", format!("{first},{second},{third}"))
            .header("server-limit", &first)
            .header("server-leaving", &second)
            .body(())
            .expect("a response");
        let (head, ()) = response.into_parts();
        let now = Moment::from_start(Duration::from_secs(9));
        let endpoint = registry::decode(
            "e",
            br#"{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v","slots":1,"state":"ready"}"#,
        );
        let endpoint = Arc::new(endpoint.expect("an endpoint"));
        let mut pool = Pool::with_seed(1);
        pool.replace([Arc::clone(&endpoint)].into_iter(), now);
        if let Some(load) = endpoints::reported_load(&head) {
            pool.record_load("e", load, now);
        }
        let _change = pool.record_limit(&endpoint, endpoints::limit_notice(&head), now);
        let _is_leaving = endpoints::is_leaving(&head);
        let later = now + Duration::from_secs(1);
        assert!(pool.choose(&Criteria::default(), "a", later).is_some());
    });
}

#[test]
fn odd_event_ids_never_panic() {
    let line = (
        odd_number(),
        prop::sample::select(vec!["id:", "id: ", "data:", "\n"]),
    );
    check_property(vec(line, 0..8), |lines| {
        let text: String = lines
            .iter()
            .map(|(n, name)| format!("{name}{n}\n"))
            .collect();
        let mut splitter = Splitter::new(&BodyMemory::new(1 << 20));
        for chunk in text.as_bytes().chunks(5) {
            if splitter.feed(chunk).is_err() {
                break;
            }
            while splitter.next_event().is_some() {}
        }
    });
}

#[test]
fn odd_numbers_of_callers_and_hosts_exceed_no_budget() {
    let number = prop::sample::select(vec![0, 1, 50, u64::MAX / 3, u64::MAX - 5, u64::MAX]);
    check_property(
        (vec((number, 0..5_usize), 1..20), any::<bool>()),
        |(steps, has)| {
            let mut account = Account::default();
            let mut balance = Balance::open(420, if has { 210 } else { 0 });
            let (mut granted, mut reserved) = (0_u128, 0_u128);
            for (number, step) in steps {
                match step {
                    0 => {
                        account.add(number);
                        granted += u128::from(number);
                    }
                    1 if account.reserve(number) => reserved += u128::from(number),
                    2 => reserved += u128::from(account.reserve_remaining(number).unwrap_or(0)),
                    3 => balance.deposit(number),
                    _ => {
                        let _drawn = balance.draw(number);
                        let _is_ample = balance.is_ample(number);
                    }
                }
                assert!(reserved <= granted, "{reserved} of {granted}");
            }
        },
    );
}

#[test]
fn a_part_of_another_hosts_message_that_cannot_be_read_hides_no_other() {
    check_property(endpoint_entry(), |odd| {
        let sound = r#"{"endpoint":{"id":"e","service":"s","address":"10.0.0.1:80",
            "data_centre":"a","version":"v1","slots":8,"state":"Ready","cold_ms":0,
            "started_ms":1},"gone_in_ms":null}"#;
        let unusable = sound.replace(":80\"", ":0\"");
        let known = r#"{"host":"g1","configuration":1,"endpoints":7,"hosts":null,
            "is_current":true,"spent":[],
            "limits":[{"per_s":"many"}],"crashes":[{"age_ms":-1}]}"#;
        let reply = format!(
            r#"{{"known":{known},"configuration":null,
                "endpoints":[{odd},{sound},{unusable},{{"endpoint":{odd}}}],"hosts":[[1,2]]}}"#
        );
        let reply: ExchangeReply = serde_json::from_str(&reply).expect("a reply");
        let mut directory = Directory::default();
        directory.import(reply.endpoints.expect("endpoints"), Moment::default());
        assert_eq!(directory.len(), 1);
    });
}

/// Guards against bodies whose memory exceeds the limit or is not counted, that
/// change on the way, or whose memory is not released.
#[test]
fn bodies_in_any_pieces_stay_within_their_memory() {
    let piece = (any::<u8>(), 0..6000_usize).prop_map(|(byte, length)| vec![byte; length]);
    let pieces = vec(piece, 0..12);
    let strategy = (pieces, 0..SERVER_MEMORY, any::<bool>());
    check_property(strategy, |(pieces, max_bytes, is_shared)| {
        let memory = BodyMemory::new(SERVER_MEMORY);
        let whole = pieces.concat();
        let (tx, body) = Body::channel(pieces.len() + 1);
        let send = async {
            for piece in pieces {
                if tx.send(piece.into()).await.is_err() {
                    return;
                }
            }
            tx.finish().await;
        };
        let read = async {
            match is_shared {
                true => BufferedBody::read_shared(body, &memory, max_bytes).await,
                false => {
                    let read = BufferedBody::read(body, &memory, max_bytes).await;
                    let read = read.inspect(|_| assert!(memory.reserved() >= whole.len()));
                    match read {
                        Ok(body) => Body::collect(body, SERVER_MEMORY).await,
                        Err(e) => Err(e),
                    }
                }
            }
        };
        let ((), read) = async_io::block_on(future::zip(send, read));
        assert!(memory.reserved() <= SERVER_MEMORY);
        match read {
            Ok(bytes) => {
                assert_eq!(bytes, whole);
                let clone = bytes.clone();
                drop(bytes);
                let held = if is_shared { whole.len() } else { 0 };
                assert!(memory.reserved() >= held);
                drop(clone);
            }
            Err(BodyError::TooLarge(_)) => assert!(whole.len() > max_bytes),
            // The last piece may be half empty, and a shared body is copied.
            Err(BodyError::MemoryFull(_)) => assert!(whole.len() > SERVER_MEMORY / 4),
            Err(e) => panic!("{e}"),
        }
        assert_eq!(memory.reserved(), 0);
    });
}

/// Memory for the bodies of the server under test, in bytes.
const SERVER_MEMORY: usize = 64 << 10;
/// Largest body that the server under test takes, in bytes.
const SERVER_BODY: usize = 10 << 10;
/// Timeout of a read from the server under test; only a hang reaches it.
const SERVER_HANG_GUARD: Duration = Duration::from_secs(20);

/// Answers a request once its body has been received.
#[derive(Clone)]
struct BodyReader(BodyMemory);

impl Handler for BodyReader {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let (head, body) = req.into_parts();
        let _receiving = server::receive_body(&head.extensions);
        let read = BufferedBody::read_contiguous(body, &self.0, SERVER_BODY).await;
        Response::new(Body::from(match read {
            Ok((body, _memory)) => format!("{} bytes", body.len()),
            Err(e) => e.to_string(),
        }))
    }
}

/// Starts a server with small limits on its connections.
fn start_limited_server() -> (SocketAddr, BodyMemory, Connections) {
    let memory = BodyMemory::new(SERVER_MEMORY);
    let limits = ConnectionLimits {
        max_open: 2,
        idle_memory: 1 << 10,
        active_memory: 4 << 10,
        times: TimeLimits::default(),
    };
    let connections = Connections::new(limits, memory.clone(), LimitCounts::default());
    let spawner = Spawner::start(1);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = async_io::block_on(server::bind(any_port)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    let cfg = ServerConfig {
        max_buf_size: 32 << 10,
        connections: connections.clone(),
        ..ServerConfig::default()
    };
    spawner.detach(server::serve(
        listener,
        spawner.clone(),
        cfg,
        ServerControl::default(),
        BodyReader(memory.clone()),
    ));
    (address, memory, connections)
}

/// Part of a request, valid or not.
fn request_part() -> impl Strategy<Value = Vec<u8>> {
    let valid = prop::sample::select(vec![
        "POST / HTTP/1.1\r\nhost: h\r\n",
        "GET / HTTP/1.0\r\n",
        "content-length: 5\r\n\r\nhello",
        "content-length: 99999999999999999999\r\n",
        "content-length: 9000\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n",
        "expect: 100-continue\r\n",
        "connection: close\r\n",
        "5\r\nhello\r\n",
        "ffffffffffffffff\r\n",
        "0\r\n\r\n",
        "0\r\ntrailer: x\r\n\r\n",
        "\r\n",
    ]);
    prop_oneof![
        4 => valid.prop_map(|text| text.as_bytes().to_vec()),
        1 => vec(any::<u8>(), 0..40),
        1 => (1..400_usize).prop_map(|count| "a:\r\n".repeat(count).into_bytes()),
        1 => (1..40_000_usize).prop_map(|length| vec![b'x'; length]),
    ]
}

/// Guards against requests that end the server, exceed its memory, or hold
/// places and memory after them, in whatever pieces they arrive.
#[test]
fn arbitrary_requests_end_no_server_and_hold_nothing() {
    let (address, memory, connections) = start_limited_server();
    let parts = vec(request_part(), 0..8);
    check_property((parts, vec(1..3000_usize, 1..6)), |(parts, sizes)| {
        let mut stream = TcpStream::connect(address).expect("the server listens");
        let timeout = Some(SERVER_HANG_GUARD);
        stream.set_read_timeout(timeout).expect("a valid timeout");
        stream.set_nodelay(true).expect("the option is known");
        let bytes = parts.concat();
        let mut rest = &bytes[..];
        for size in sizes {
            let (piece, after) = rest.split_at(size.min(rest.len()));
            // Fails once the server has refused the request.
            let _refused = stream.write_all(piece);
            // The server usually reads the piece alone.
            std::thread::yield_now();
            rest = after;
            assert!(memory.reserved() <= SERVER_MEMORY, "{memory:?}");
        }
        let _refused = stream.write_all(rest);
        let _closed = stream.shutdown(Shutdown::Write);
        // A reset ends the connection as well.
        let read = stream.read_to_end(&mut Vec::new());
        let is_hanging = read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        assert!(!is_hanging, "the connection stays open");
        drop(stream);
        let start = Instant::now();
        while connections.open() > 0 || memory.reserved() > 0 {
            assert!(start.elapsed() < SERVER_HANG_GUARD, "{memory:?}");
            std::thread::sleep(Duration::from_micros(100));
        }
    });
}
