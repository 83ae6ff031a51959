//! Headers of calls: those the scheduler reads and those it takes away.

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
/// Last turn of a held conversation whose answer the caller has.
pub const AFTER: HeaderName = HeaderName::from_static("chicoryarch-after");
/// Name of a call that may not be repeated.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Whether a refused call can have run: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("chicoryarch-outcome");
/// `pending` if a held turn is not yet in the platform.
pub const DURABILITY: HeaderName = HeaderName::from_static("chicoryarch-durability");
/// `true` if the answer is the stored one of an earlier run.
pub const REPLAYED: HeaderName = HeaderName::from_static("chicoryarch-replayed");
/// Fencing number of the host that dispatches a call or order.
pub const FENCE: HeaderName = HeaderName::from_static("chicoryarch-fence");
/// Cache handle at a model engine.
pub const CACHE: HeaderName = HeaderName::from_static("chicoryarch-cache");
/// Priority at a model engine; higher runs first.
pub const PRIORITY: HeaderName = HeaderName::from_static("chicoryarch-priority");
/// Between hosts: the customer and key that the entry host identified.
pub const CALLER: HeaderName = HeaderName::from_static("chicoryarch-caller");
/// Between hosts: milliseconds left until the call's deadline.
pub const REMAINING_MS: HeaderName = HeaderName::from_static("chicoryarch-remaining-ms");

/// Between hosts: the call has not run because its program has another owner.
pub const MOVED: HeaderName = HeaderName::from_static("chicoryarch-moved");

/// Prefix of every header of the scheduler's own.
const OWN_PREFIX: &str = "chicoryarch-";

/// Headers that are the scheduler's own concern or may carry a secret.
const KEPT_BACK: [HeaderName; 4] = [
    header::AUTHORIZATION,
    header::COOKIE,
    header::HOST,
    IDEMPOTENCY_KEY,
];

/// Headers that concern one connection only.
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

/// What the scheduler reads from the headers of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHeaders {
    /// Program that the call belongs to.
    pub program: Option<ProgramId>,
    /// Position within the program.
    pub ordinal: Option<Ordinal>,
    /// Last turn of a held conversation whose answer the caller has.
    pub after: Option<Tip>,
    /// Name of a call that may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl CallHeaders {
    /// Reads the headers of a call.
    ///
    /// # Errors
    ///
    /// A bad-request refusal that names the header.
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

/// Reads a header that may come at most once.
///
/// # Errors
///
/// A bad-request refusal if it comes twice or cannot be parsed.
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

/// The secret of a caller's key, from `Authorization: Bearer`.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()?.strip_prefix(BEARER)
}

/// The headers that go on to an endpoint or back to a caller.
pub fn forwardable(headers: &HeaderMap) -> HeaderMap {
    filtered(headers, |name| {
        let is_own = name.as_str().starts_with(OWN_PREFIX) || KEPT_BACK.contains(name);
        !is_own && !HOP_BY_HOP.contains(name)
    })
}

/// All headers but those that concern one connection only.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    filtered(headers, |name| !HOP_BY_HOP.contains(name))
}

fn filtered(headers: &HeaderMap, is_kept: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let named = connection_tokens(headers);
    let mut out = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_bound = text == KEEP_ALIVE || named.iter().any(|n| n == text);
        if !is_bound && is_kept(name) {
            out.append(name, value.clone());
        }
    }
    out
}

/// Names that the `Connection` header binds to this connection.
fn connection_tokens(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// Size of a header section as sent, in bytes.
pub fn section_bytes(headers: &HeaderMap) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    let line =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + SEPARATORS;
    headers.iter().map(line).sum()
}

/// A header value from a text of the scheduler's own, always visible ASCII.
pub fn value(text: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::try_from(text.to_string()).expect("ids and numbers are visible ASCII")
}
