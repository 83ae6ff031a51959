//! Helpers that several modules share.

pub mod json;
pub mod readable_parts;
