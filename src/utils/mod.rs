//! Helpers that several modules share.

pub mod json;
