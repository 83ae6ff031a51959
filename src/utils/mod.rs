//! Small helpers without a subject of their own.

pub mod json;
