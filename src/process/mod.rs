//! What lives for the process: start, timers, metrics, logs and shutdown.

pub mod distribution;
pub mod journals;
pub mod membership;
pub mod rates;
pub mod timers;
