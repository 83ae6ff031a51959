//! Seeded workloads: programs of unknown shape as two deployments send them.

pub mod deployment;
pub mod program;
pub mod trace;
