//! A scheduler for agent programs over unlike model engines and services.
//!
//! Modules are laid out by life span: [`request`] holds what lives for one
//! call, [`connection`] what lives for a connection, [`version`] what lives
//! for a version of shared state and [`process`] what lives for the process.
//! Decision logic takes the time and events as values and does no I/O, so the
//! same code runs under a virtual clock in tests and behind sockets in a host.

pub mod cli;
pub mod configs;
pub mod connection;
pub mod gateway;
pub mod ids;
pub mod load;
pub mod operator;
pub mod platform;
pub mod process;
pub mod request;
pub mod units;
pub mod utils;
pub mod version;
