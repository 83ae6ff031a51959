//! What lives for a connection: callers, peers, endpoints and the platform.

pub mod endpoint;
pub mod forward;
pub mod headers;
pub mod peer;
pub mod platform;
pub mod problem;
