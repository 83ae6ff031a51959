//! What lives for a connection: callers, peers, endpoints and the platform.

pub mod peer;
pub mod platform;
