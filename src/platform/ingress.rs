//! Decodes callers' requests and encodes refusals.

use std::time::Duration;

use chicoryarch_net::Body;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;

use super::endpoints::EXPECT_INSTANCE;
use super::endpoints::REQUEST_URGENCY;
use super::endpoints::TENANT;
use crate::connection::headers::end_to_end;
use crate::gateway::call::CallMeta;
use crate::gateway::call::ProgramMeta;
use crate::gateway::call::Prompt;
use crate::gateway::call::PromptPart;
use crate::gateway::refusal::Outcome;
use crate::gateway::refusal::Refusal;
use crate::gateway::routes::hash_key;

/// Path of the readiness check that the load balancer calls.
pub const READY_PATH: &str = "/v1/readyz";
/// Path of the configuration in force, on the readiness port.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Id of a caller's request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Time that is left for a request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
pub(super) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the caller's attempt that received the first event of the stream that
/// `Last-Event-Id` resumes.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Id of the request whose turn the call continues.
const PREVIOUS_TURN: HeaderName = HeaderName::from_static("previous-turn");
const CREDENTIAL: HeaderName = HeaderName::from_static("credential");
const AFFINITY_KEY: HeaderName = HeaderName::from_static("affinity-key");
/// Number of prompt tokens and maximum number of output tokens,
/// comma-separated.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// Parts of the prompt in order, as comma-separated `ID:TOKENS` with the id in
/// hexadecimal.
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
const PROGRAM_ID: HeaderName = HeaderName::from_static("program-id");
/// Identifies one sequence of turns within a program.
const SESSION_ID: HeaderName = HeaderName::from_static("session-id");
/// Time until the whole program should finish.
const PROGRAM_DEADLINE_MS: HeaderName = HeaderName::from_static("program-deadline-ms");
/// Number of tokens that all turns of the program together may generate.
const TOKEN_BUDGET: HeaderName = HeaderName::from_static("token-budget");

/// Headers removed from callers' requests: only the scheduler may send them to
/// endpoints.
const RESERVED: [HeaderName; 10] = [
    CREDENTIAL,
    TENANT,
    EXPECT_INSTANCE,
    HeaderName::from_static("expect-version"),
    REQUEST_URGENCY,
    HeaderName::from_static("hold"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// Decodes the headers of a caller's request.
///
/// # Errors
///
/// Returns a refusal with [`Outcome::Malformed`] if a required header is
/// missing, or a header is repeated or cannot be parsed.
pub fn read(head: &request::Parts) -> Result<CallMeta, Refusal> {
    let headers = &head.headers;
    if headers.contains_key(header::CONTENT_LENGTH)
        && headers.contains_key(header::TRANSFER_ENCODING)
    {
        return Err(malformed("two lengths"));
    }
    let id = single_value(headers, &REQUEST_ID)?.ok_or_else(|| malformed("no request id"))?;
    let host = single_value(headers, &header::HOST)?.ok_or_else(|| malformed("no host"))?;
    let key = match headers.get_all(CREDENTIAL).iter().collect::<Vec<_>>()[..] {
        [] => None,
        [key] => Some(hash_key(key.as_bytes())),
        _ => return Err(malformed("more than one key")),
    };
    Ok(CallMeta {
        id: id.into(),
        host: host.split(':').next().unwrap_or(host).into(),
        key,
        time_left: parse_millis(headers, &DEADLINE_MS)?,
        affinity: single_value(headers, &AFFINITY_KEY)?.map(Into::into),
        resume_after: parse_number(headers, &LAST_EVENT_ID)?,
        resumed_attempt: single_value(headers, &RESUMES)?.map(Into::into),
        previous_turn: single_value(headers, &PREVIOUS_TURN)?.map(Into::into),
        prompt: parse_prompt(headers)?,
        program: parse_program(headers)?,
        forwarded: forwarded_headers(headers),
    })
}

fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::new(Outcome::Malformed, detail)
}

fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(format!("{name} comes more than once")));
    }
    let text = value
        .to_str()
        .map_err(|_| malformed(format!("{name} is not text")))?;
    Ok(Some(text.trim()))
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    let invalid = |_| malformed(format!("{name} is not a whole number"));
    text.parse().map(Some).map_err(invalid)
}

fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    let ms: Option<f64> = text.parse().ok();
    ms.and_then(|ms| Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).ok())
        .map(Some)
        .ok_or_else(|| malformed(format!("{name} is not a number of milliseconds")))
}

fn parse_prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Refusal> {
    let Some(usage) = single_value(headers, &TOKEN_USAGE)? else {
        return Ok(None);
    };
    let invalid = || malformed("the token counts cannot be read");
    let (input, max_output) = usage.split_once(',').ok_or_else(invalid)?;
    let parts = single_value(headers, &PROMPT_PREFIX)?.unwrap_or_default();
    let parts = parts.split(',').filter(|part| !part.trim().is_empty());
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    let parts: Option<Vec<PromptPart>> = parts.map(part).collect();
    Ok(Some(Prompt {
        tokens: input.trim().parse().map_err(|_| invalid())?,
        max_output: max_output.trim().parse().map_err(|_| invalid())?,
        parts: parts.ok_or_else(|| malformed("the prompt's parts cannot be read"))?,
    }))
}

fn parse_program(headers: &HeaderMap) -> Result<Option<ProgramMeta>, Refusal> {
    let Some(id) = single_value(headers, &PROGRAM_ID)? else {
        return Ok(None);
    };
    Ok(Some(ProgramMeta {
        id: id.into(),
        session: single_value(headers, &SESSION_ID)?
            .unwrap_or_default()
            .into(),
        time_left: parse_millis(headers, &PROGRAM_DEADLINE_MS)?,
        budget: parse_number(headers, &TOKEN_BUDGET)?,
    }))
}

/// Returns the headers that are forwarded to an endpoint.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = end_to_end(headers);
    for name in &RESERVED {
        out.remove(name);
    }
    out.remove(DEADLINE_MS);
    out
}

const fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
        Outcome::Malformed => StatusCode::BAD_REQUEST,
        Outcome::NoRoute | Outcome::NoTurn => StatusCode::NOT_FOUND,
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::OverRate => StatusCode::TOO_MANY_REQUESTS,
        Outcome::SlowSender => StatusCode::REQUEST_TIMEOUT,
        Outcome::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Outcome::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Outcome::UnknownKey => StatusCode::UNAUTHORIZED,
        Outcome::UnknownResult => StatusCode::BAD_GATEWAY,
    }
}

/// Builds the response to a refused request.
pub fn refusal_response(refusal: &Refusal, id: Option<&str>) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{}\n", refusal.detail)));
    *response.status_mut() = status_of(refusal.outcome);
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        fields.insert(REQUEST_ID, id);
    }
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            fields.insert(header::RETRY_AFTER, value);
        }
    }
    if matches!(
        refusal.outcome,
        Outcome::Malformed | Outcome::SlowSender | Outcome::TooLarge
    ) {
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
