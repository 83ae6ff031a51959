//! Versioned shared state: configuration, ownership tables, journals and
//! conversation histories, without I/O.

pub mod catalogue;
pub mod engine_memory;
pub mod history;
pub mod journal;
pub mod objects;
pub mod table;
