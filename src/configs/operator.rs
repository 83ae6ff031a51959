//! Settings of the operator part.
