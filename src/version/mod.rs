//! What lives for a version of shared state: configuration, tables, journals.

pub mod catalogue;
pub mod engine_memory;
pub mod history;
pub mod journal;
pub mod objects;
pub mod table;
