//! Query and command language for operators, and execution of its statements.

pub mod answer;
mod commands;
mod config_rows;
pub mod credentials;
mod edit;
pub mod execute;
mod filter;
pub mod fleet;
pub mod language;
pub mod render;
pub mod report;
pub mod rows;
pub mod subject;
pub mod table;

pub use answer::Answer;
pub use credentials::OperatorSecrets;
pub use credentials::Scope;
pub use execute::StatementExecutor;
pub use report::Report;
