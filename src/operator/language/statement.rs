//! Typed representation of statements.

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
    /// Changes the configuration or cancels a program.
    Command(Command),
    /// Returns rows and changes nothing.
    Show(Query),
}

/// A `show` statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Kind of the rows.
    pub subject: Subject,
    /// Conditions that a row must all satisfy.
    pub conditions: Vec<Condition>,
    /// Sort order; `None` sorts by the columns from left to right.
    pub order: Option<Order>,
    /// Maximum number of rows; `None` for no limit.
    pub limit: Option<usize>,
}

/// A condition on one field.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Name of the field.
    pub field: Spanned<String>,
    /// Comparison operator.
    pub comparison: Comparison,
    /// Value to compare the field with.
    pub value: Spanned<String>,
}

/// Comparison operator of a condition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// `~`: the text of the field contains the value.
    Contains,
    /// `=`.
    Equal,
    /// `>`.
    Greater,
    /// `>=`.
    GreaterOrEqual,
    /// `<`.
    Less,
    /// `<=`.
    LessOrEqual,
    /// `!=`; also satisfied by a row without a value.
    NotEqual,
}

/// Sort order by one field; ties are broken by the columns from left to right.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Name of the field.
    pub field: Spanned<String>,
    /// Set for largest first.
    pub descending: bool,
}

/// A statement that changes something.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The change to make.
    pub action: Action,
    /// Version condition and wait.
    pub options: Options,
}

/// Version condition and wait of a command.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Options {
    /// Version that the object must have; `None` for any.
    pub version: Option<Version>,
    /// How long to wait until the change is in force; `None` to return once it is
    /// accepted.
    pub wait: Option<Wait>,
}

/// Maximum time to wait until a change is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// The `operator.wait_ms` setting of the host.
    Default,
    /// Time given in the command, in whole seconds.
    For(Duration),
}

/// The change that a command makes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Cancels a program.
    Cancel(ProgramId),
    /// Sets fields of an existing object.
    Change(Target, Vec<Assignment>),
    /// Creates an object with the given fields.
    Create(Target, Vec<Assignment>),
    /// Creates a caller key.
    Grant(KeyRef),
    /// Removes an object.
    Remove(Target),
    /// Undoes a retirement.
    Restore(Retirable),
    /// Stops new work on an endpoint or host.
    Retire(Retirable),
    /// Withdraws a caller key.
    Withdraw(KeyRef),
}

/// An object that can be created, changed and removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A customer.
    Customer(CustomerId),
    /// An endpoint.
    Endpoint(EndpointId),
    /// A service.
    Service(ServiceId),
}

/// An object that can be retired and restored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Retirable {
    /// An endpoint.
    Endpoint(EndpointId),
    /// A host.
    Host(HostId),
}

/// An assignment `field=value`.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Name of the field.
    pub field: Spanned<String>,
    /// Text of the new value.
    pub value: Spanned<String>,
}
