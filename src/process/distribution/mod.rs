//! Drives the spread of configuration between platform and hosts.
