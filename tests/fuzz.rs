//! Property tests of the settings parser and the callers' interface: arbitrary
//! input causes no panic, and accepted input round-trips unchanged.

use chicoryarch::connection::forward;
use chicoryarch::connection::headers;
use chicoryarch::connection::headers::CallHeaders;
use chicoryarch::ids::ProgramId;
use chicoryarch::process::settings;
use chicoryarch::request::answer::AnswerBuffer;
use chicoryarch::request::call::IdempotencyKey;
use chicoryarch::request::completion;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
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
