//! Headers that the scheduler reads, adds and removes.

use std::str::FromStr;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::ids::Ordinal;
use crate::ids::ProgramId;
use crate::request::call::IdempotencyKey;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::version::history::Tip;

/// Program that a call belongs to.
pub const PROGRAM: HeaderName = HeaderName::from_static("chicoryarch-program");
/// Position of a call within its program.
pub const CALL: HeaderName = HeaderName::from_static("chicoryarch-call");
/// Last turn of a held conversation whose answer the caller has received.
pub const AFTER: HeaderName = HeaderName::from_static("chicoryarch-after");
/// Idempotency key of a call that must not run more than once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Whether a refused call may have run: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("chicoryarch-outcome");
/// `pending` if a turn of a held conversation is not yet in the platform.
pub const DURABILITY: HeaderName = HeaderName::from_static("chicoryarch-durability");
/// `true` if the answer was stored by an earlier run of the call.
pub const REPLAYED: HeaderName = HeaderName::from_static("chicoryarch-replayed");
/// Fencing token of the host that sends a call or order to an endpoint.
pub const FENCE: HeaderName = HeaderName::from_static("chicoryarch-fence");
/// Handle of the cache entry to use at a model engine.
pub const CACHE: HeaderName = HeaderName::from_static("chicoryarch-cache");
/// Priority at a model engine; higher values run first.
pub const PRIORITY: HeaderName = HeaderName::from_static("chicoryarch-priority");
/// Between hosts: the customer and key that the entry host identified.
pub const CALLER: HeaderName = HeaderName::from_static("chicoryarch-caller");
/// Between hosts: milliseconds left until the call's deadline.
pub const REMAINING_MS: HeaderName = HeaderName::from_static("chicoryarch-remaining-ms");

/// Between hosts: the call has not run and may run at another host.
pub const MOVED: HeaderName = HeaderName::from_static("chicoryarch-moved");

/// Prefix of the headers that the scheduler defines.
const SCHEDULER_PREFIX: &str = "chicoryarch-";

/// Headers that are not forwarded: the scheduler sets them itself, or they may
/// carry a secret.
const NOT_FORWARDED: [HeaderName; 4] = [
    header::AUTHORIZATION,
    header::COOKIE,
    header::HOST,
    IDEMPOTENCY_KEY,
];

/// Headers that apply to a single connection (hop-by-hop).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

const KEEP_ALIVE: &str = "keep-alive";
const BEARER: &str = "Bearer ";

/// Scheduler headers of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHeaders {
    /// Program that the call belongs to.
    pub program: Option<ProgramId>,
    /// Position within the program; starts at 1.
    pub ordinal: Option<Ordinal>,
    /// Last turn of a held conversation whose answer the caller has received.
    pub after: Option<Tip>,
    /// Idempotency key of a call that must not run more than once.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl CallHeaders {
    /// Parses the headers of a call.
    ///
    /// # Errors
    ///
    /// Returns a bad-request refusal that names the header.
    pub fn read(headers: &HeaderMap) -> Result<Self> {
        let ordinal = read_one::<u64>(headers, &CALL)?.map(Ordinal);
        if ordinal == Some(Ordinal(0)) {
            return Err(malformed(&CALL, "ordinals start at 1"));
        }
        Ok(Self {
            program: read_one(headers, &PROGRAM)?,
            ordinal,
            after: read_one(headers, &AFTER)?,
            idempotency_key: read_one(headers, &IDEMPOTENCY_KEY)?,
        })
    }
}

/// Parses a header that may occur at most once; `None` if it is missing.
///
/// # Errors
///
/// Returns a bad-request refusal if the header is repeated or cannot be parsed.
pub fn read_one<T>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(name, "it comes more than once"));
    }
    let text = value.to_str().map_err(|e| malformed(name, e))?;
    text.parse().map(Some).map_err(|e| malformed(name, e))
}

fn malformed(name: &HeaderName, detail: impl std::fmt::Display) -> Refusal {
    Refusal::not_run(Reason::BadRequest, format!("header {name}: {detail}"))
}

/// Returns the secret of a caller's key from `Authorization: Bearer`; `None` if
/// the header is missing, repeated or of another scheme.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()?.strip_prefix(BEARER)
}

/// Returns the headers that may be forwarded to an endpoint or a caller.
pub fn forwardable(headers: &HeaderMap) -> HeaderMap {
    filter_headers(headers, |name| {
        let is_internal =
            name.as_str().starts_with(SCHEDULER_PREFIX) || NOT_FORWARDED.contains(name);
        !is_internal && !HOP_BY_HOP.contains(name)
    })
}

/// Returns all headers except hop-by-hop headers.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    filter_headers(headers, |name| !HOP_BY_HOP.contains(name))
}

fn filter_headers(headers: &HeaderMap, is_kept: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let tokens = connection_tokens(headers);
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_hop_by_hop = text == KEEP_ALIVE || tokens.iter().any(|token| token == text);
        if !is_hop_by_hop && is_kept(name) {
            out.append(name, value.clone());
        }
    }
    out
}

/// Names of the hop-by-hop headers listed in `Connection`, in lower case.
fn connection_tokens(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// Size of the header section in bytes, including separators.
pub fn section_bytes(headers: &HeaderMap) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    let line =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + SEPARATORS;
    headers.iter().map(line).sum()
}

/// Converts an internal value to a header value.
///
/// # Panics
///
/// Panics if the text is not a valid header value.
pub fn value(text: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::try_from(text.to_string()).expect("ids and numbers are visible ASCII")
}
