//! What lives for a connection: callers, peers, endpoints and the platform.

pub mod caller;
pub mod endpoint;
pub mod forward;
pub mod headers;
pub mod operator_port;
pub mod peer;
pub mod peer_port;
pub mod platform;
pub mod problem;
