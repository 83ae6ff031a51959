//! The table of one data centre: hosts, leases and partition owners.
