//! The `chicoryarch` command.

fn main() {}
