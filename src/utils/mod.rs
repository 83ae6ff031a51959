//! Small helpers without a subject of their own.
