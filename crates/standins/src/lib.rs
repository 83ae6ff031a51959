//! Stand-ins for the services that the scheduler uses.
//!
//! Each stand-in is an HTTP server with switches for failures and counters of
//! what it was asked. A test starts it in its own process through this library
//! or as a separate process through the `chicoryarch-standin` command.

mod digest;
pub mod engine;
pub mod fleet;
pub mod headers;
mod lagging;
pub mod listen;
pub mod platform;
mod reply;
pub mod runs;
pub mod service;
mod switch;
