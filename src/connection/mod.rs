//! Ports for callers, peers and operators, and clients of peers, endpoints and
//! the platform.

pub mod caller;
pub mod endpoint;
pub mod forward;
pub mod headers;
pub mod hop;
pub mod operator_port;
pub mod peer;
pub mod peer_port;
pub mod platform;
pub mod problem;
