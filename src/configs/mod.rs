//! Settings structs, one module for each part, all with `Default`.

pub mod distribution;
pub mod history;
pub mod journal;
pub mod limit;
pub mod membership;
pub mod operator;
pub mod peer;
pub mod place;
pub mod queue;
pub mod retry;
