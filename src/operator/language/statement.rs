//! Statements as typed values.

use std::time::Duration;

use super::Spanned;
use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::ids::Version;
use crate::operator::subject::Subject;
use crate::version::objects::KeyRef;

/// A query or a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Changes something.
    Command(Command),
    /// Shows something.
    Show(Query),
}

/// What to show.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Which rows.
    pub subject: Subject,
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Order of the rows; by the first columns where absent.
    pub order: Option<Order>,
    /// Largest number of rows.
    pub limit: Option<usize>,
}

/// A condition on one field.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Name of the field.
    pub field: Spanned<String>,
    /// How to compare.
    pub comparison: Comparison,
    /// What to compare with.
    pub value: Spanned<String>,
}

/// How a field is compared with a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// The field's text contains the value.
    Contains,
    /// Equal.
    Equal,
    /// Greater.
    Greater,
    /// Greater or equal.
    GreaterOrEqual,
    /// Less.
    Less,
    /// Less or equal.
    LessOrEqual,
    /// Not equal.
    NotEqual,
}

/// Order of rows by one field.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Name of the field.
    pub field: Spanned<String>,
    /// True for the largest first.
    pub descending: bool,
}

/// What to change, and under which condition.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// What to change.
    pub action: Action,
    /// Condition and waiting.
    pub options: Options,
}

/// Condition and waiting of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Options {
    /// Version that the object must be at.
    pub version: Option<Version>,
    /// Whether to wait until the change is in force.
    pub wait: Option<Wait>,
}

/// How long to wait until a change is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// As long as the host's settings say.
    Default,
    /// At most this long.
    For(Duration),
}

/// What a command changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ends a program.
    Cancel(ProgramId),
    /// Changes fields of an object.
    Change(Target, Vec<Assignment>),
    /// Creates an object.
    Create(Target, Vec<Assignment>),
    /// Creates a caller's key.
    Grant(KeyRef),
    /// Removes an object.
    Remove(Target),
    /// Takes back a retirement.
    Restore(Retirable),
    /// Stops new work.
    Retire(Retirable),
    /// Withdraws a caller's key.
    Withdraw(KeyRef),
}

/// An object that is created, changed and removed by name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A customer.
    Customer(CustomerId),
    /// An endpoint.
    Endpoint(EndpointId),
    /// A service.
    Service(ServiceId),
}

/// What can be retired and restored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Retirable {
    /// An endpoint.
    Endpoint(EndpointId),
    /// A host.
    Host(HostId),
}

/// A new value of one field.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Name of the field.
    pub field: Spanned<String>,
    /// Its new value.
    pub value: Spanned<String>,
}
