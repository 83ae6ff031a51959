//! Tests of tables, leases and ownership.

mod randomised;
mod world;
