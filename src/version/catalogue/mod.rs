//! The configuration a host applies, by object and version.
