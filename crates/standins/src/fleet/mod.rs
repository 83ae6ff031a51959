//! Stand-ins for the users' platform: its metadata store and its endpoints.
//!
//! They implement the platform's published interface, whose names are used only
//! here and in the scheduler's adapter.

pub mod endpoint;
pub mod objects;
pub mod proxy;

pub use endpoint::EndpointStandin;
pub use objects::ObjectsStandin;
pub use proxy::Proxy;
