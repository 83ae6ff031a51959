//! Stand-ins for the services that the scheduler uses.
//!
//! Each stand-in is an HTTP server with fault injection switches and counters of
//! its calls. Tests start it in their own process through this library, or as a
//! separate process through the `chicoryarch-standin` command.

mod delayed;
mod digest;
pub mod engine;
pub mod fleet;
pub mod headers;
pub mod listen;
pub mod platform;
mod reply;
pub mod runs;
pub mod service;
mod switch;
