//! Decisions that protect endpoints, without I/O or clocks.

pub mod announced_limit;
pub mod limit_bucket;
