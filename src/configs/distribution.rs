//! Settings of the distribution part.
