//! HTTP server, HTTP client and executor of the scheduler and its stand-ins.
//!
//! The crate combines `async-executor`, `async-io` and `hyper` into a server, a
//! client with a connection pool and a multi-threaded executor. It does not
//! depend on programs, customers or endpoints.

pub mod body;
pub mod buffered;
pub mod client;
pub mod connection_io;
pub mod connections;
pub mod keepalive;
pub mod pressure;
pub mod runtime;
pub mod server;

pub use body::Body;
pub use client::Client;
pub use runtime::Spawner;
