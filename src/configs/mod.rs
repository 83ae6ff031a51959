//! Settings structs, one module for each part, all with `Default`.

pub mod distribution;
pub mod journal;
pub mod limit;
pub mod membership;
pub mod operator;
pub mod peer;
pub mod place;
pub mod platform;
pub mod queue;
pub mod retry;
