//! Names of the request headers that the stand-ins read.

use http::HeaderMap;

/// Cache handle of a model call: `customer/program/epoch`.
pub const CACHE: &str = "chicoryarch-cache";
/// Position of a call within its program.
pub const CALL: &str = "chicoryarch-call";
/// Fencing number of an order or a call.
pub const FENCE: &str = "chicoryarch-fence";
/// Name of the host that calls.
pub const HOST: &str = "chicoryarch-host";
/// Names a call that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Priority of a model call; larger runs first.
pub const PRIORITY: &str = "chicoryarch-priority";
/// Program that a call belongs to.
pub const PROGRAM: &str = "chicoryarch-program";

/// Value of a header as text, if it is present and readable.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header as a number, if it is present and one.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
