//! Drives the exchange of rate tokens between hosts.
