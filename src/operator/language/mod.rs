//! Syntax of queries and commands: parser, typed statements and printer.

mod parse;
mod print;
mod span;
mod statement;

pub use parse::MAX_STATEMENT_BYTES;
pub use parse::SyntaxError;
pub use parse::parse;
pub use span::Span;
pub use span::Spanned;
pub use statement::Action;
pub use statement::Assignment;
pub use statement::Command;
pub use statement::Comparison;
pub use statement::Condition;
pub use statement::Options;
pub use statement::Order;
pub use statement::Query;
pub use statement::Retirable;
pub use statement::Statement;
pub use statement::Target;
pub use statement::Wait;
