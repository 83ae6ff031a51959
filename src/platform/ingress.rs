//! Callers' requests and the answers to them.

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

/// Path at which the balancer asks whether the host takes callers.
pub const READY_PATH: &str = "/v1/readyz";

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
pub(super) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const CREDENTIAL: HeaderName = HeaderName::from_static("credential");
const AFFINITY_KEY: HeaderName = HeaderName::from_static("affinity-key");
/// Prompt tokens and the most output tokens, separated by a comma.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// Parts of the prompt in order, `ID:TOKENS` with the id in hexadecimal.
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
const PROGRAM_ID: HeaderName = HeaderName::from_static("program-id");
/// One value for each line of a program's turns.
const SESSION_ID: HeaderName = HeaderName::from_static("session-id");
/// Time until the whole program should be finished.
const PROGRAM_DEADLINE_MS: HeaderName = HeaderName::from_static("program-deadline-ms");
/// Tokens that all turns of the program may generate.
const TOKEN_BUDGET: HeaderName = HeaderName::from_static("token-budget");

/// Headers that only this system may set towards endpoints.
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

/// Reads what the scheduler needs from a caller's request.
///
/// # Errors
///
/// A refusal if a field is missing, doubled or cannot be read.
pub fn read(head: &request::Parts) -> Result<CallMeta, Refusal> {
    let headers = &head.headers;
    if headers.contains_key(header::CONTENT_LENGTH)
        && headers.contains_key(header::TRANSFER_ENCODING)
    {
        return Err(malformed("two lengths"));
    }
    let id = single(headers, &REQUEST_ID)?.ok_or_else(|| malformed("no request id"))?;
    let host = single(headers, &header::HOST)?.ok_or_else(|| malformed("no host"))?;
    let key = match headers.get_all(CREDENTIAL).iter().collect::<Vec<_>>()[..] {
        [] => None,
        [key] => Some(hash_key(key.as_bytes())),
        _ => return Err(malformed("more than one key")),
    };
    Ok(CallMeta {
        id: id.into(),
        host: host.split(':').next().unwrap_or(host).into(),
        key,
        time_left: millis(headers, &DEADLINE_MS)?,
        affinity: single(headers, &AFFINITY_KEY)?.map(Into::into),
        resume_after: number(headers, &LAST_EVENT_ID)?,
        prompt: prompt(headers)?,
        program: program(headers)?,
        forwarded: forwarded(headers),
    })
}

fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::new(Outcome::Malformed, detail)
}

fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
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

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(text) = single(headers, name)? else {
        return Ok(None);
    };
    let wrong = |_| malformed(format!("{name} is not a whole number"));
    text.parse().map(Some).map_err(wrong)
}

fn millis(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(text) = single(headers, name)? else {
        return Ok(None);
    };
    let ms: Option<f64> = text.parse().ok();
    ms.and_then(|ms| Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).ok())
        .map(Some)
        .ok_or_else(|| malformed(format!("{name} is not a number of milliseconds")))
}

fn prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Refusal> {
    let Some(usage) = single(headers, &TOKEN_USAGE)? else {
        return Ok(None);
    };
    let wrong = || malformed("the token counts cannot be read");
    let (input, output) = usage.split_once(',').ok_or_else(wrong)?;
    let parts = single(headers, &PROMPT_PREFIX)?.unwrap_or_default();
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
        tokens: input.trim().parse().map_err(|_| wrong())?,
        max_output: output.trim().parse().map_err(|_| wrong())?,
        parts: parts.ok_or_else(|| malformed("the prompt's parts cannot be read"))?,
    }))
}

fn program(headers: &HeaderMap) -> Result<Option<ProgramMeta>, Refusal> {
    let Some(id) = single(headers, &PROGRAM_ID)? else {
        return Ok(None);
    };
    Ok(Some(ProgramMeta {
        id: id.into(),
        session: single(headers, &SESSION_ID)?.unwrap_or_default().into(),
        time_left: millis(headers, &PROGRAM_DEADLINE_MS)?,
        budget: number(headers, &TOKEN_BUDGET)?,
    }))
}

/// Headers that go on to an endpoint.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut out = end_to_end(headers);
    for name in &RESERVED {
        out.remove(name);
    }
    out.remove(DEADLINE_MS);
    out
}

const fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
        Outcome::Malformed => StatusCode::BAD_REQUEST,
        Outcome::NoRoute => StatusCode::NOT_FOUND,
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::OverRate => StatusCode::TOO_MANY_REQUESTS,
        Outcome::SlowSender => StatusCode::REQUEST_TIMEOUT,
        Outcome::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Outcome::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Outcome::UnknownKey => StatusCode::UNAUTHORIZED,
        Outcome::UnknownResult => StatusCode::BAD_GATEWAY,
    }
}

/// The answer to a refused request.
pub fn refusal_response(refusal: &Refusal, id: Option<&str>) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{}\n", refusal.detail)));
    *response.status_mut() = status(refusal.outcome);
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
