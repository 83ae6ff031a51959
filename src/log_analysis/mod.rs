//! Evaluates the event logs of many hosts.

pub mod frequent;
pub mod lines;
pub mod summary;
pub mod trail;
