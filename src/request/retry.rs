//! Which failed calls may be tried again, and how often.
