//! HTTP and executor plumbing shared by the scheduler and its stand-ins.
//!
//! Nothing here knows about programs, customers or endpoints: the crate joins
//! `async-executor`, `async-io` and `hyper` into a server, a pooled client and
//! a multi-threaded executor.

pub mod body;
pub mod client;
pub mod runtime;
pub mod server;
pub mod silence;

pub use body::Body;
pub use client::Client;
pub use runtime::Spawner;
