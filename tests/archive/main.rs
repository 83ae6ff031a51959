//! Storage of kept turns on archive hosts.

mod audit_trail;
mod copies;
mod fleet;
mod holders;
mod liveness;
mod log_recovery;
mod losses;
mod processes;
mod refill_plan;
mod repair;
