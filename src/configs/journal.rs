//! Settings of the journal part.
