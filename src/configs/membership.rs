//! Settings of the membership part.
