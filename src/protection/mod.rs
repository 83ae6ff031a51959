//! Decisions that protect endpoints, without I/O or clocks.

pub mod announced_limit;
pub mod cold;
pub mod evacuation;
pub mod fingerprint;
pub mod helpers;
pub mod homes;
pub mod limit_bucket;
pub mod listed_versions;
pub mod paths;
pub mod suspects;
