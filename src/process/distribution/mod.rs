//! Distributes configuration between the platform and the hosts.
//!
//! The decision code performs no I/O: the catalogue in
//! [`crate::version::catalogue`], [`proposal`] for conditional changes and
//! [`in_force`] for the confirmations of a change. [`driver`] connects it to
//! the platform, the other hosts and the saved file.

pub mod boot;
pub mod contact;
pub mod driver;
pub mod exchange;
pub mod file;
pub mod hosts;
pub mod in_force;
pub mod platform;
pub mod proposal;
pub mod rpc;
pub mod saver;
pub mod standing;
pub mod submit;
mod tasks;
pub mod withdraw;

pub use driver::Distribution;
pub use hosts::HostAddress;
pub use hosts::Hosts;
pub use in_force::InForce;
pub use standing::Standing;
