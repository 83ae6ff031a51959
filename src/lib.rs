//! A scheduler for agent programs on heterogeneous model engines and services.
//!
//! Modules are organized by lifetime: state in [`request`] lives for one call,
//! in [`connection`] for one connection, in [`version`] for one version of
//! shared state and in [`process`] for the whole process.
//!
//! Decision logic receives the time and events as arguments and does no I/O.
//! The same code runs under a virtual clock in tests and on sockets in a host.

pub mod archive;
pub mod balance;
pub mod cli;
pub mod config_check;
pub mod configs;
pub mod connection;
pub mod door;
pub mod gateway;
pub mod ids;
pub mod lists;
pub mod load;
pub mod log_analysis;
pub mod operator;
pub mod platform;
pub mod process;
pub mod protection;
pub mod readiness;
pub mod request;
pub mod turns;
pub mod units;
pub mod utils;
pub mod version;
