//! The `chicoryarch-standin` command.

fn main() {}
