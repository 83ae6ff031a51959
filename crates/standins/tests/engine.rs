//! Tests of the model engine stand-in over HTTP.

mod common;

use std::time::Duration;

use chicoryarch_net::client::ClientError;
use chicoryarch_standins::engine::EngineStandin;
use chicoryarch_standins::engine::answer::assistant_message;
use chicoryarch_standins::engine::answer::expected_text;
use chicoryarch_standins::engine::cache::CacheChange;
use chicoryarch_standins::engine::cache::CacheContents;
use chicoryarch_standins::engine::chat::ChatAnswer;
use chicoryarch_standins::engine::chat::message_tokens;
use chicoryarch_standins::engine::config::EngineConfig;
use chicoryarch_standins::engine::events::CacheEvents;
use chicoryarch_standins::engine::load::Load;
use chicoryarch_standins::engine::orders::Exported;
use chicoryarch_standins::engine::orders::Order;
use chicoryarch_standins::engine::switches::Switches;
use common::Answer;
use common::Caller;
use common::Headers;
use common::LONG_DELAY;
use common::SPAWNER;
use common::any_port;
use common::read_broken_body;
use common::run_test;
use common::wait_until;
use futures_lite::future;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

/// Path of chat completions.
const CHAT: &str = "/v1/chat/completions";
/// Token limit of the calls.
const MAX_TOKENS: u32 = 8;

/// Starts an engine that generates text without delay.
async fn start_fast_engine(cfg: EngineConfig) -> (EngineStandin, Caller) {
    let cfg = EngineConfig {
        decode_per_token: Duration::ZERO,
        ..cfg
    };
    start_engine(cfg).await
}

async fn start_engine(cfg: EngineConfig) -> (EngineStandin, Caller) {
    let engine = EngineStandin::start(&SPAWNER, any_port(), cfg)
        .await
        .unwrap();
    let caller = Caller::new(engine.addr());
    (engine, caller)
}

fn user_message(text: &str) -> Value {
    json!({ "role": "user", "content": text })
}

fn chat_body(messages: &[Value], stream: bool) -> Vec<u8> {
    let req = json!({ "messages": messages, "max_tokens": MAX_TOKENS, "stream": stream });
    serde_json::to_vec(&req).unwrap()
}

async fn chat(caller: &Caller, headers: Headers<'_>, messages: &[Value]) -> Answer {
    let body = chat_body(messages, false);
    caller.call(Method::POST, CHAT, headers, body).await
}

async fn cached_tokens(caller: &Caller, handle: &str, messages: &[Value]) -> u64 {
    let answer = chat(caller, &[("chicoryarch-cache", handle)], messages).await;
    answer.json::<ChatAnswer>().usage.unwrap().cached_tokens
}

fn total_tokens(messages: &[Value]) -> u64 {
    messages.iter().map(message_tokens).sum()
}

/// Parses the events of a stream, which must end in `[DONE]`.
fn parse_events(text: &str) -> Vec<ChatAnswer> {
    let mut events: Vec<&str> = text
        .split_terminator("\n\n")
        .map(|event| event.strip_prefix("data: ").unwrap())
        .collect();
    assert_eq!(events.pop(), Some("[DONE]"));
    let parse = |event| serde_json::from_str(event).unwrap();
    events.into_iter().map(parse).collect()
}

async fn send_order(caller: &Caller, path: &str, value: Value) -> StatusCode {
    caller.send_json(Method::POST, path, &value).await.status
}

fn release_order(handle: &str, fence: u64) -> Value {
    json!({ "handle": handle, "fence": fence })
}

#[test]
fn a_streamed_answer_is_complete_and_belongs_to_its_request() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let messages = [user_message("one"), user_message("two")];
        let body = chat_body(&messages, true);
        let answer = caller.call(Method::POST, CHAT, &[], body).await;
        let chunks = parse_events(&answer.text());
        let deltas = chunks.iter().map(|c| c.choices[0].delta.as_ref().unwrap());
        let text: String = deltas.map(|delta| delta.content.as_str()).collect();
        assert_eq!(text, expected_text(&messages, MAX_TOKENS));
        let last = chunks.last().unwrap();
        let usage = last.usage.unwrap();
        assert_eq!(last.choices[0].finish_reason.as_deref(), Some("stop"));
        assert_eq!(usage.prompt_tokens, total_tokens(&messages));
        assert_eq!(usage.completion_tokens, u64::from(MAX_TOKENS));
    });
}

#[test]
fn an_unstreamed_answer_has_the_same_text() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let messages = [user_message("one")];
        let answer: ChatAnswer = chat(&caller, &[], &messages).await.json();
        let message = answer.choices[0].message.as_ref().unwrap();
        assert_eq!(message.content, expected_text(&messages, MAX_TOKENS));
    });
}

#[test]
fn different_conversations_get_different_texts() {
    let one = expected_text(&[user_message("one")], MAX_TOKENS);
    let two = expected_text(&[user_message("two")], MAX_TOKENS);
    assert_ne!(one, two);
}

#[test]
fn the_next_turn_finds_the_conversation_in_the_cache() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let mut messages = vec![user_message("one")];
        assert_eq!(cached_tokens(&caller, "c/dc.1.x/1", &messages).await, 0);
        let text = expected_text(&messages, MAX_TOKENS);
        messages.push(assistant_message(&text));
        let cached = total_tokens(&messages);
        messages.push(user_message("two"));
        assert_eq!(
            cached_tokens(&caller, "c/dc.1.x/1", &messages).await,
            cached
        );
    });
}

#[test]
fn another_handle_does_not_share_the_cache() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let messages = [user_message("one")];
        cached_tokens(&caller, "c/dc.1.x/1", &messages).await;
        assert_eq!(cached_tokens(&caller, "c/dc.1.y/1", &messages).await, 0);
    });
}

#[test]
fn the_cached_prefix_ends_at_the_first_difference() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let handle = "c/dc.1.x/1";
        cached_tokens(&caller, handle, &[user_message("one"), user_message("two")]).await;
        let cached =
            cached_tokens(&caller, handle, &[user_message("one"), user_message("2")]).await;
        assert_eq!(cached, message_tokens(&user_message("one")));
    });
}

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    run_test(async {
        let messages = [user_message("one")];
        let answer = assistant_message(&expected_text(&messages, MAX_TOKENS));
        let turn = total_tokens(&messages) + message_tokens(&answer);
        let (engine, caller) = start_fast_engine(EngineConfig {
            cache_tokens: 2 * turn,
            ..EngineConfig::default()
        })
        .await;
        for handle in ["a", "b", "a", "c"] {
            cached_tokens(&caller, handle, &messages).await;
        }
        let contents = engine.cache();
        let held: Vec<&str> = contents.entries.iter().map(|e| e.handle.as_str()).collect();
        assert_eq!(held, ["a", "c"]);
        assert_eq!(contents.used, 2 * turn);
    });
}

#[test]
fn cache_events_have_gaps() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig {
            event_gap_every: 2,
            ..EngineConfig::default()
        })
        .await;
        cached_tokens(&caller, "c/dc.1.x/1", &[user_message("one")]).await;
        send_order(&caller, "/cache/release", release_order("c/dc.1.x/1", 1)).await;
        let reported: CacheEvents = caller.get("/cache/events?since=0").await;
        let numbers: Vec<u64> = reported.events.iter().map(|event| event.number).collect();
        assert_eq!(numbers, [1, 3]);
        assert_eq!(reported.events[1].change, CacheChange::Released);
        let rest: CacheEvents = caller.get("/cache/events?since=1").await;
        assert_eq!(rest.events.len(), 1);
    });
}

#[test]
fn cache_events_are_delayed() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig {
            event_lag: LONG_DELAY,
            ..EngineConfig::default()
        })
        .await;
        cached_tokens(&caller, "c/dc.1.x/1", &[user_message("one")]).await;
        let reported: CacheEvents = caller.get("/cache/events").await;
        assert!(reported.events.is_empty());
        assert_eq!(engine.cache().entries.len(), 1);
    });
}

#[test]
fn the_load_report_counts_running_and_waiting_calls() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig {
            concurrency: 1,
            ..EngineConfig::default()
        })
        .await;
        engine.set_switches(Switches {
            hang: true,
            ..Switches::default()
        });
        let messages = [user_message("one")];
        let calls = future::zip(chat(&caller, &[], &messages), chat(&caller, &[], &messages));
        let observe = async {
            loop {
                let load: Load = caller.get("/load").await;
                if (load.running, load.queued) == (1, 1) {
                    break;
                }
            }
        };
        let calls = async {
            calls.await;
        };
        future::or(calls, observe).await;
    });
}

#[test]
fn the_load_report_is_delayed() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig {
            load_lag: LONG_DELAY,
            ..EngineConfig::default()
        })
        .await;
        cached_tokens(&caller, "c/dc.1.x/1", &[user_message("one")]).await;
        let load: Load = caller.get("/load").await;
        assert_eq!(load.cached_tokens, 0);
        assert!(engine.cache().used > 0);
    });
}

#[test]
fn a_waiting_call_of_higher_priority_starts_first() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig {
            concurrency: 1,
            ..EngineConfig::default()
        })
        .await;
        engine.set_switches(Switches {
            hang: true,
            ..Switches::default()
        });
        let messages = [user_message("one")];
        let queued = |count| {
            let caller = caller.clone();
            async move { while caller.get::<Load>("/load").await.queued < count {} }
        };
        let blocking = async {
            chat(&caller, &[], &messages).await;
        };
        let arrivals = async {
            wait_until(|| engine.counts().runs.runs == 1).await;
            engine.set_switches(Switches::default());
            let low = [("chicoryarch-priority", "1"), ("chicoryarch-call", "1")];
            let high = [("chicoryarch-priority", "5"), ("chicoryarch-call", "2")];
            let low = SPAWNER.spawn(call_with_headers(caller.clone(), low));
            queued(1).await;
            let high = SPAWNER.spawn(call_with_headers(caller.clone(), high));
            queued(2).await;
            (low, high)
        };
        let blocking = async {
            blocking.await;
            unreachable!("the first call hangs")
        };
        // `or` drops the first call, which frees its slot.
        let (low, high) = future::or(blocking, arrivals).await;
        future::zip(low, high).await;
        let order: Vec<Option<u64>> = engine.runs().iter().map(|run| run.ordinal).collect();
        assert_eq!(order, [None, Some(2), Some(1)]);
    });
}

async fn call_with_headers(caller: Caller, headers: [(&'static str, &'static str); 2]) {
    chat(&caller, &headers, &[user_message("one")]).await;
}

#[test]
fn a_caller_that_closes_its_stream_cancels_the_run() {
    run_test(async {
        let (engine, caller) = start_engine(EngineConfig {
            decode_per_token: LONG_DELAY,
            ..EngineConfig::default()
        })
        .await;
        let body = chat_body(&[user_message("one")], true);
        let response = caller.send(Method::POST, CHAT, &[], body).await.unwrap();
        assert_eq!(engine.counts().runs.runs, 1);
        drop(response);
        wait_until(|| engine.counts().runs.cancelled == 1).await;
        assert_eq!(engine.counts().runs.completed, 0);
    });
}

#[test]
fn a_cancelled_stream_frees_its_slot() {
    run_test(async {
        let (engine, caller) = start_engine(EngineConfig {
            concurrency: 1,
            decode_per_token: LONG_DELAY,
            ..EngineConfig::default()
        })
        .await;
        let body = chat_body(&[user_message("one")], true);
        let response = caller.send(Method::POST, CHAT, &[], body).await.unwrap();
        drop(response);
        let body = chat_body(&[user_message("two")], true);
        caller.send(Method::POST, CHAT, &[], body).await.unwrap();
        assert_eq!(engine.counts().runs.runs, 2);
    });
}

#[test]
fn a_caller_that_disconnects_in_the_queue_is_counted_and_not_run() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig {
            concurrency: 1,
            ..EngineConfig::default()
        })
        .await;
        engine.set_switches(Switches {
            hang: true,
            ..Switches::default()
        });
        let messages = [user_message("one")];
        let waiting = async {
            wait_until(|| engine.counts().runs.runs == 1).await;
            let queued = async { while caller.get::<Load>("/load").await.queued == 0 {} };
            let call = async {
                chat(&caller, &[], &messages).await;
            };
            future::or(call, queued).await;
            wait_until(|| engine.counts().cancelled_in_queue == 1).await;
        };
        let blocking = async {
            chat(&caller, &[], &messages).await;
        };
        future::or(blocking, waiting).await;
        assert_eq!(engine.counts().runs.runs, 1);
    });
}

#[test]
fn a_release_frees_the_handle() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        cached_tokens(&caller, "c/dc.1.x/1", &[user_message("one")]).await;
        let status = send_order(&caller, "/cache/release", release_order("c/dc.1.x/1", 1)).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
        assert_eq!(engine.cache().used, 0);
        assert_eq!(engine.counts().releases, 1);
    });
}

#[test]
fn an_order_with_a_stale_fence_is_refused_if_fences_are_checked() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig {
            checks_fence: true,
            ..EngineConfig::default()
        })
        .await;
        cached_tokens(&caller, "c/dc.1.x/1", &[user_message("one")]).await;
        send_order(&caller, "/cache/release", release_order("c/dc.1.y/1", 7)).await;
        let status = send_order(&caller, "/cache/release", release_order("c/dc.1.x/1", 6)).await;
        assert_eq!(status, StatusCode::CONFLICT);
        assert_eq!(engine.cache().entries.len(), 1);
        assert_eq!(engine.counts().refused_by_fence, 1);
    });
}

#[test]
fn an_order_with_a_stale_fence_is_executed_if_fences_are_ignored() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        cached_tokens(&caller, "c/dc.1.x/1", &[user_message("one")]).await;
        send_order(&caller, "/cache/release", release_order("c/dc.1.y/1", 7)).await;
        let status = send_order(&caller, "/cache/release", release_order("c/dc.1.x/1", 6)).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
        assert!(engine.cache().entries.is_empty());
        assert_eq!(engine.counts().stale_accepted, 1);
    });
}

#[test]
fn fences_of_different_partitions_are_independent() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig {
            checks_fence: true,
            ..EngineConfig::default()
        })
        .await;
        send_order(&caller, "/cache/release", release_order("c/dc.1.x/1", 7)).await;
        let status = send_order(&caller, "/cache/release", release_order("c/dc.2.x/1", 1)).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
    });
}

#[test]
fn a_call_with_a_stale_fence_does_not_run() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig {
            checks_fence: true,
            ..EngineConfig::default()
        })
        .await;
        let mut statuses = Vec::new();
        for fence in ["7", "6", "7"] {
            let headers = [
                ("chicoryarch-program", "dc.1.x"),
                ("chicoryarch-fence", fence),
            ];
            let answer = chat(&caller, &headers, &[user_message("one")]).await;
            statuses.push(answer.status.as_u16());
        }
        assert_eq!(statuses, [200, 409, 200]);
        assert_eq!(engine.counts().runs.runs, 2);
    });
}

#[test]
fn an_exported_prefix_can_be_imported_by_another_engine() {
    run_test(async {
        let (_one, from) = start_fast_engine(EngineConfig::default()).await;
        let (_two, to) = start_fast_engine(EngineConfig::default()).await;
        let handle = "c/dc.1.x/1";
        let messages = [user_message("one")];
        cached_tokens(&from, handle, &messages).await;
        let export = release_order(handle, 1);
        let answer = from.send_json(Method::POST, "/cache/export", &export).await;
        let exported: Exported = answer.json();
        let import = json!({ "handle": handle, "fence": 1, "messages": exported.messages });
        send_order(&to, "/cache/import", import).await;
        let held = cached_tokens(&to, handle, &messages).await;
        assert_eq!(held, total_tokens(&messages));
    });
}

#[test]
fn an_export_of_an_unknown_handle_is_refused() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let status = send_order(&caller, "/cache/export", release_order("c/dc.1.x/1", 1)).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn other_orders_are_recorded_unless_their_fence_is_stale() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig {
            checks_fence: true,
            ..EngineConfig::default()
        })
        .await;
        for fence in ["2", "1"] {
            let headers = [("chicoryarch-fence", fence)];
            let body = r#"{"model":"m"}"#;
            caller
                .call(Method::POST, "/orders/load-model", &headers, body)
                .await;
        }
        let orders: Vec<Order> = caller.get("/orders").await;
        let expected = Order {
            name: "load-model".to_owned(),
            fence: Some(2),
            body: json!({ "model": "m" }),
        };
        assert_eq!(orders, [expected]);
    });
}

#[test]
fn die_before_closes_the_connection_without_a_run() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        engine.set_switches(Switches {
            die_before: 1,
            ..Switches::default()
        });
        let body = chat_body(&[user_message("one")], true);
        let lost = caller.send(Method::POST, CHAT, &[], body).await;
        assert!(matches!(lost, Err(ClientError::Lost(_))));
        assert_eq!(engine.counts().runs.runs, 0);
    });
}

#[test]
fn die_after_closes_the_connection_after_the_run() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        engine.set_switches(Switches {
            die_after: 1,
            ..Switches::default()
        });
        let body = chat_body(&[user_message("one")], true);
        let lost = caller.send(Method::POST, CHAT, &[], body).await;
        assert!(matches!(lost, Err(ClientError::Lost(_))));
        assert_eq!(engine.counts().runs.completed, 1);
    });
}

#[test]
fn die_midway_breaks_the_stream_off() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        engine.set_switches(Switches {
            die_midway: 1,
            ..Switches::default()
        });
        let body = chat_body(&[user_message("one")], true);
        let response = caller.send(Method::POST, CHAT, &[], body).await.unwrap();
        read_broken_body(response).await;
        assert_eq!(engine.counts().runs.died, 1);
    });
}

#[test]
fn a_late_answer_is_complete() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        engine.set_switches(Switches {
            late_answers: 1,
            late: Duration::from_millis(20),
            ..Switches::default()
        });
        let messages = [user_message("one")];
        let body = chat_body(&messages, true);
        let answer = caller.call(Method::POST, CHAT, &[], body).await;
        assert_eq!(parse_events(&answer.text()).len(), MAX_TOKENS as usize + 1);
    });
}

#[test]
fn a_refused_call_does_not_run() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        engine.set_switches(Switches {
            refuse: true,
            ..Switches::default()
        });
        let refused = chat(&caller, &[], &[user_message("one")]).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(engine.counts().runs.runs, 0);
    });
}

#[test]
fn the_log_shows_the_headers_of_a_call() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let headers = [
            ("authorization", "Bearer secret"),
            ("chicoryarch-program", "dc.1.x"),
            ("chicoryarch-call", "3"),
            ("chicoryarch-fence", "9"),
        ];
        chat(&caller, &headers, &[user_message("one")]).await;
        let run = &engine.runs()[0];
        assert_eq!(run.header("authorization"), Some("Bearer secret"));
        assert_eq!(run.program.as_deref(), Some("dc.1.x"));
        assert_eq!((run.ordinal, run.fence), (Some(3), Some(9)));
    });
}

#[test]
fn switches_are_set_over_http() {
    run_test(async {
        let (_engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let switches = json!({ "half_speed": true, "late_ms": 5 });
        caller.send_json(Method::PUT, "/switches", &switches).await;
        let present: Switches = caller.get("/switches").await;
        let expected = Switches {
            half_speed: true,
            late: Duration::from_millis(5),
            ..Switches::default()
        };
        assert_eq!(present, expected);
    });
}

#[test]
fn a_request_that_is_not_json_is_refused() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        let refused = caller.call(Method::POST, CHAT, &[], "{").await;
        assert_eq!(refused.status, StatusCode::BAD_REQUEST);
        assert_eq!(engine.counts().runs.runs, 0);
    });
}

#[test]
fn the_cache_report_is_read_over_http() {
    run_test(async {
        let (engine, caller) = start_fast_engine(EngineConfig::default()).await;
        cached_tokens(&caller, "c/dc.1.x/1", &[user_message("one")]).await;
        let contents: CacheContents = caller.get("/cache").await;
        assert_eq!(contents, engine.cache());
    });
}
