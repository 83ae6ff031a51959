//! Choice of the endpoint that runs a call.
