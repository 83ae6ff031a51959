//! Settings of the place part.
