//! Components of a host that run for the lifetime of the process, with its
//! start, timers, metrics, logs and shutdown.

pub mod context;
pub mod counters;
pub mod dev;
pub mod distribution;
pub mod drain;
pub mod endpoints;
pub mod events;
pub mod journals;
pub mod layout;
pub mod limit_view;
pub mod links;
pub mod listeners;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod operator_backend;
pub mod placing;
pub mod rates;
pub mod ready;
pub mod secrets;
pub mod serve;
pub mod settings;
pub mod timers;
