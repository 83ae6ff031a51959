//! Settings of the queue part.
