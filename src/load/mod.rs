//! Seeded workloads modelled on two deployments, and a runner that sends them
//! to hosts. No request announces later steps of its program.

pub mod caller;
pub mod crowd;
pub mod deployment;
pub mod program;
pub mod result;
pub mod run;
pub mod trace;
