//! Parses and executes statements, and checks permissions.

use super::answer::Answer;
use super::credentials::Scope;
use super::language::Command;
use super::language::Statement;
use super::language::parse;
use super::report::Failure;
use super::report::Report;
use super::report::Result;
use super::rows::Cancel;
use super::rows::RowSource;
use crate::configs::operator::OperatorConfig;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::process::distribution::Distribution;
use crate::process::distribution::Hosts;
use crate::version::objects::Stamp;

/// Executes statements on one host; clones share its state.
#[derive(Clone, Debug)]
pub struct StatementExecutor<P, Q, H, B> {
    pub(super) cfg: OperatorConfig,
    pub(super) distribution: Distribution<P, Q, H>,
    pub(super) backend: B,
}

impl<P: Platform, Q: Peers, H: Hosts, B: Cancel + RowSource> StatementExecutor<P, Q, H, B> {
    /// Creates an executor over the host's configuration, with `backend` as the
    /// source of all other rows.
    pub fn new(cfg: OperatorConfig, distribution: Distribution<P, Q, H>, backend: B) -> Self {
        Self {
            cfg,
            distribution,
            backend,
        }
    }

    /// Executes one statement on behalf of the operator `actor`.
    ///
    /// # Errors
    ///
    /// If the statement is invalid, not permitted or fails. Nothing was changed
    /// unless the failure is [`Failure::Unknown`].
    pub async fn execute(&self, text: &str, actor: &str, scope: &Scope) -> Result<Answer> {
        let result = match parse(text) {
            Ok(Statement::Show(query)) => self.run_query(&query).await.map(Answer::Table),
            Ok(Statement::Command(command)) => self.execute_command(&command, actor, *scope).await,
            Err(e) => Err(e.into()),
        };
        result.map_err(|report| report.with_text(text))
    }

    async fn execute_command(
        &self,
        command: &Command,
        actor: &str,
        scope: Scope,
    ) -> Result<Answer> {
        if scope != Scope::ReadWrite {
            let message = format!("operator `{actor}` has read-only permissions");
            return Err(Report::new(Failure::Forbidden, message));
        }
        // Records the printed form, which never contains a secret.
        let stamp = Stamp::now(actor, command.to_string());
        let answer = self.run_command(command, &stamp).await?;
        log::info!("operator command accepted actor={actor} command=\"{command}\"");
        Ok(answer)
    }
}
