//! What lives for the process: start, timers, metrics, logs and shutdown.

pub mod distribution;
pub mod journals;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod placing;
pub mod rates;
pub mod secrets;
pub mod settings;
pub mod timers;
