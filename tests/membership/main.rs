//! Tests of membership tables, leases and partition ownership.

mod cluster;
mod cost;
mod driver;
mod randomised;
mod rules;
mod simulation;
