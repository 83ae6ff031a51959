//! Request headers read by the stand-ins.

use http::HeaderMap;

/// Cache handle of a model call: `customer/program/epoch`.
pub const CACHE: &str = "chicoryarch-cache";
/// Ordinal of a call within its program.
pub const CALL: &str = "chicoryarch-call";
/// Fencing token of an order or a call.
pub const FENCE: &str = "chicoryarch-fence";
/// Name of the calling host.
pub const HOST: &str = "chicoryarch-host";
/// Idempotency key: calls with the same key must run only once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Priority of a model call; larger runs first.
pub const PRIORITY: &str = "chicoryarch-priority";
/// Id of the program that a call belongs to.
pub const PROGRAM: &str = "chicoryarch-program";

/// Returns a header's value; `None` if it is absent or not visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value as a number; `None` if it is absent or not one.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
