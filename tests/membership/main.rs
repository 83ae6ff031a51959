//! Tests of tables, leases and ownership.

mod cluster;
mod cost;
mod driver;
mod randomised;
mod rules;
mod simulation;
