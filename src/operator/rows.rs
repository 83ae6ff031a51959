//! Where rows come from and what carries out commands besides configuration.

use std::future::Future;

use super::subject::Subject;
use super::table::Row;
use crate::ids::ProgramId;
use crate::version::objects::Stamp;

/// Rows that one host holds of what is spread over the hosts.
pub trait Rows: Clone + Send + Sync + 'static {
    /// This host's rows; asked only if [`Subject::is_spread`], and not for
    /// [`Subject::Versions`].
    fn rows(&self, subject: Subject) -> Vec<Row>;
}

/// Why a program was not cancelled.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum CancelError {
    /// The program has not been cancelled.
    #[error("the program was not cancelled: {0}")]
    NotRun(String),
    /// The program may have been cancelled.
    #[error("whether the program was cancelled is not known: {0}")]
    Unknown(String),
    /// There is no such program.
    #[error("there is no such program")]
    UnknownProgram,
}

/// Cancels programs, at whichever host owns them.
pub trait Cancel: Clone + Send + Sync + 'static {
    /// Ends a program and records the stamp with its end.
    fn cancel(
        &self,
        program: &ProgramId,
        stamp: Stamp,
    ) -> impl Future<Output = Result<(), CancelError>> + Send;
}
