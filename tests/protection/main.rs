//! Decisions that protect endpoints, in virtual time.

mod cut_off;
mod limits;
mod suspects;
