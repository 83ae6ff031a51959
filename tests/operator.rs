//! Tests of the operator language, queries, commands and credentials.

#[allow(dead_code, reason = "shared with the tests of the configuration")]
#[path = "configuration/support.rs"]
mod fleet;

mod operator {
    mod commands;
    mod credentials;
    mod language;
    mod queries;
    mod support;
}
