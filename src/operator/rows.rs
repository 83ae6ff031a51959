//! Interfaces to state that is not part of the configuration: rows of a host and
//! cancellation of programs.

use std::future::Future;

use super::subject::Subject;
use super::table::Row;
use crate::ids::ProgramId;
use crate::version::objects::Stamp;

/// Provides one host's rows of subjects that are distributed over the hosts.
pub trait RowSource: Clone + Send + Sync + 'static {
    /// Returns this host's rows. Called only for subjects with
    /// [`Subject::is_per_host`], and not for [`Subject::Versions`].
    fn rows(&self, subject: Subject) -> Vec<Row>;
}

/// Why a program was not cancelled.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum CancelError {
    /// The program has not been cancelled.
    #[error("the program was not cancelled: {0}")]
    NotRun(String),
    /// The program may have been cancelled.
    #[error("it is unknown whether the program was cancelled: {0}")]
    Unknown(String),
    /// There is no such program.
    #[error("there is no such program")]
    UnknownProgram,
}

/// Cancels programs, whichever host owns them.
pub trait Cancel: Clone + Send + Sync + 'static {
    /// Cancels a program and records the stamp with its end.
    fn cancel(
        &self,
        program: &ProgramId,
        stamp: Stamp,
    ) -> impl Future<Output = Result<(), CancelError>> + Send;
}
