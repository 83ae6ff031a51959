//! Tests of the plain service stand-in over HTTP.

mod common;

use chicoryarch_net::client::ClientError;
use chicoryarch_standins::runs::End;
use chicoryarch_standins::runs::Run;
use chicoryarch_standins::runs::RunCounts;
use chicoryarch_standins::service::ServiceStandin;
use chicoryarch_standins::service::answer::Answer;
use chicoryarch_standins::service::answer::expected_answer;
use chicoryarch_standins::service::switches::Switches;
use common::Caller;
use common::LONG_DELAY;
use common::SPAWNER;
use common::any_port;
use common::read_broken_body;
use common::run_test;
use common::wait_until;
use futures_lite::future;
use http::Method;
use http::StatusCode;

/// Path of the calls.
const PATH: &str = "/print/run";

async fn start_standin() -> (ServiceStandin, Caller) {
    let standin = ServiceStandin::start(&SPAWNER, any_port()).await.unwrap();
    let caller = Caller::new(standin.addr());
    (standin, caller)
}

#[test]
fn the_answer_depends_only_on_path_and_body() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let answer = caller.call(Method::POST, PATH, &[], "abc").await;
        let answer: Answer = answer.json();
        assert_eq!(answer, expected_answer(PATH, b"abc"));
        assert_ne!(answer, expected_answer(PATH, b"abd"));
    });
}

#[test]
fn the_ordinal_is_returned() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let headers = [("chicoryarch-call", "7")];
        let answer = caller.call(Method::POST, PATH, &headers, "abc").await;
        assert_eq!(answer.headers["chicoryarch-call"], "7");
    });
}

#[test]
fn runs_are_counted_by_key_and_by_call() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let headers = [
            ("idempotency-key", "k"),
            ("chicoryarch-program", "dc.1.x"),
            ("chicoryarch-call", "7"),
        ];
        caller.call(Method::POST, PATH, &headers, "abc").await;
        caller.call(Method::POST, PATH, &headers, "abc").await;
        let counts: RunCounts = caller.get("/counts").await;
        assert_eq!(counts.runs_of_key("k"), 2);
        assert_eq!(counts.runs_of_key("other"), 0);
        assert_eq!(counts.calls[0].program.as_deref(), Some("dc.1.x"));
        assert_eq!(counts.calls[0].ordinal, Some(7));
        assert_eq!(counts.calls[0].runs, 2);
    });
}

#[test]
fn the_log_shows_the_headers_and_the_order_of_runs() {
    run_test(async {
        let (_standin, caller) = start_standin().await;
        let headers = [("authorization", "Bearer secret")];
        caller.call(Method::POST, PATH, &headers, "a").await;
        caller.call(Method::POST, PATH, &[], "b").await;
        let runs: Vec<Run> = caller.get("/runs").await;
        assert_eq!(runs[0].header("authorization"), Some("Bearer secret"));
        assert_eq!(runs[1].header("authorization"), None);
        assert!(runs[0].ended.unwrap().at < runs[1].started);
    });
}

#[test]
fn die_before_closes_the_connection_without_a_run() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            die_before: 1,
            ..Switches::default()
        });
        let lost = caller.send(Method::POST, PATH, &[], "abc").await;
        assert!(matches!(lost, Err(ClientError::Lost(_))));
        assert_eq!(standin.counts().runs, 0);
    });
}

#[test]
fn die_after_closes_the_connection_after_the_run() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            die_after: 1,
            ..Switches::default()
        });
        let lost = caller.send(Method::POST, PATH, &[], "abc").await;
        assert!(matches!(lost, Err(ClientError::Lost(_))));
        assert_eq!(standin.counts().completed, 1);
    });
}

#[test]
fn an_answer_of_the_wrong_length_breaks_off() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            wrong_length: 1,
            ..Switches::default()
        });
        let response = caller.send(Method::POST, PATH, &[], "abc").await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        read_broken_body(response).await;
        assert_eq!(standin.counts().completed, 1);
    });
}

#[test]
fn a_late_answer_arrives_after_the_answer_to_a_later_call() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            late_answers: 1,
            late: LONG_DELAY,
            ..Switches::default()
        });
        let late = async {
            caller.call(Method::POST, PATH, &[], "late").await;
            "late"
        };
        let prompt = async {
            wait_until(|| standin.counts().completed == 1).await;
            let answer = caller.call(Method::POST, PATH, &[], "prompt").await;
            assert_eq!(answer.json::<Answer>(), expected_answer(PATH, b"prompt"));
            "prompt"
        };
        assert_eq!(future::or(late, prompt).await, "prompt");
        assert_eq!(standin.counts().completed, 2);
    });
}

#[test]
fn a_disconnected_caller_cancels_a_slow_run() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            slow: LONG_DELAY,
            ..Switches::default()
        });
        let call = async {
            caller.call(Method::POST, PATH, &[], "abc").await;
        };
        future::or(call, wait_until(|| standin.counts().runs == 1)).await;
        drop(caller);
        wait_until(|| standin.counts().cancelled == 1).await;
        assert_eq!(standin.runs()[0].ended.unwrap().how, End::Cancelled);
    });
}

#[test]
fn a_refused_call_does_not_run() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            refuse: true,
            ..Switches::default()
        });
        let refused = caller.call(Method::POST, PATH, &[], "abc").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(standin.counts().runs, 0);
    });
}

#[test]
fn a_hanging_call_runs_and_is_never_answered() {
    run_test(async {
        let (standin, caller) = start_standin().await;
        standin.set_switches(Switches {
            hang: true,
            ..Switches::default()
        });
        let call = async {
            caller.call(Method::POST, PATH, &[], "abc").await;
        };
        future::or(call, wait_until(|| standin.counts().runs == 1)).await;
        drop(caller);
        wait_until(|| standin.counts().cancelled == 1).await;
        assert_eq!(standin.counts().completed, 0);
    });
}
