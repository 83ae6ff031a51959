//! Upper bound on the tokens that a call costs its program.

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

/// Field of a completion request that limits the generated tokens.
const MAX_TOKENS_FIELD: &str = "max_tokens";

#[derive(Deserialize)]
struct Limits {
    max_tokens: Option<u64>,
}

/// Returns the maximum cost of a call.
///
/// For a model call, this is the limit on generated tokens plus an upper bound
/// on the prompt tokens. The bound is derived from the length of the body plus
/// `held_bytes`, the bytes of held conversation still to be added to the body.
/// For a plain service, this is the service's fixed cost.
///
/// # Errors
///
/// Returns a bad-request refusal if a model call's body is not a JSON object.
pub fn max_cost(
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

/// Adds the default limit on generated tokens to a model call without one.
///
/// Without a limit, an engine could generate more tokens than remain in the
/// program's budget.
///
/// # Errors
///
/// Returns a bad-request refusal if the body is not a JSON object.
pub fn with_max_tokens(cfg: &CallerConfig, body: Bytes) -> Result<Bytes> {
    let limits: Limits = json::parse_object(&body).map_err(|e| not_an_object(&e))?;
    if limits.max_tokens.is_some() {
        return Ok(body);
    }
    let mut value: Value = json::parse_object(&body).map_err(|e| not_an_object(&e))?;
    if let Value::Object(fields) = &mut value {
        fields.insert(MAX_TOKENS_FIELD.to_owned(), cfg.default_max_tokens.into());
    }
    let bytes = serde_json::to_vec(&value).expect("a JSON value always encodes");
    Ok(bytes.into())
}

fn not_an_object(e: &serde_json::Error) -> Refusal {
    let detail = format!("the body is not a completion request: {e}");
    Refusal::not_run(Reason::BadRequest, detail)
}
