//! Stand-ins for the users' platform: its metadata store and its endpoints.
//!
//! They speak the platform's published interface, whose names appear here and
//! in the scheduler's adapter only.

pub mod endpoint;
pub mod objects;

pub use endpoint::EndpointStandin;
pub use objects::ObjectsStandin;
