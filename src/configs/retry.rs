//! Settings of the retry part.
