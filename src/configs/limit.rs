//! Settings of the limit part.
