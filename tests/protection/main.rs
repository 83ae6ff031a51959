//! Decisions that protect endpoints, in virtual time.

mod limits;
mod suspects;
