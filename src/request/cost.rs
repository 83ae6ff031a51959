//! What a call can cost its program at most.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

use crate::configs::caller::CallerConfig;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::units::Tokens;
use crate::utils::json;
use crate::version::objects::Service;
use crate::version::objects::ServiceKind;

/// Name of the limit in a completion request.
const MAX_TOKENS: &str = "max_tokens";

#[derive(Deserialize)]
struct Limits {
    max_tokens: Option<u64>,
}

/// The most that a call can cost.
///
/// For a model call: the most prompt tokens that the body can hold plus the
/// limit on generated tokens. `held_bytes` are added to the body's length.
///
/// # Errors
///
/// A bad-request refusal if a model call's body is not a JSON object.
pub fn worst(
    cfg: &CallerConfig,
    service: &Service,
    body: &[u8],
    held_bytes: usize,
) -> Result<Tokens> {
    if service.kind == ServiceKind::Plain {
        return Ok(service.cost);
    }
    let limits: Limits = json::parse_object(body).map_err(|e| not_an_object(&e))?;
    let prompt = ((body.len() + held_bytes) as u64).div_ceil(cfg.bytes_per_token);
    let completion = limits.max_tokens.unwrap_or(cfg.default_max_tokens);
    Ok(Tokens(prompt.saturating_add(completion)))
}

/// Adds the limit on generated tokens where a model call has none.
///
/// Without it an engine could generate more than the program's budget holds.
///
/// # Errors
///
/// A bad-request refusal if the body is not a JSON object.
pub fn with_limit(cfg: &CallerConfig, body: Bytes) -> Result<Bytes> {
    let limits: Limits = json::parse_object(&body).map_err(|e| not_an_object(&e))?;
    if limits.max_tokens.is_some() {
        return Ok(body);
    }
    let mut value: Value = json::parse_object(&body).map_err(|e| not_an_object(&e))?;
    if let Value::Object(fields) = &mut value {
        fields.insert(MAX_TOKENS.to_owned(), cfg.default_max_tokens.into());
    }
    let bytes = serde_json::to_vec(&value).expect("a JSON value always encodes");
    Ok(bytes.into())
}

fn not_an_object(e: &serde_json::Error) -> Refusal {
    let detail = format!("the body is not a completion request: {e}");
    Refusal::not_run(Reason::BadRequest, detail)
}
