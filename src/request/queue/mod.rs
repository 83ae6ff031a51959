//! The fair queue of calls that wait for an endpoint.
