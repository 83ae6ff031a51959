//! Executes statements.

use super::answer::Answer;
use super::credentials::Scope;
use super::language::Command;
use super::language::Statement;
use super::language::parse;
use super::report::Failure;
use super::report::Report;
use super::report::Result;
use super::rows::Cancel;
use super::rows::Rows;
use crate::configs::operator::OperatorConfig;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::process::distribution::Distribution;
use crate::process::distribution::Hosts;
use crate::version::objects::Stamp;

/// Executes the statements of operators at one host; clones share it.
#[derive(Clone, Debug)]
pub struct Operator<P, Q, H, B> {
    pub(super) cfg: OperatorConfig,
    pub(super) distribution: Distribution<P, Q, H>,
    pub(super) backend: B,
}

impl<P: Platform, Q: Peers, H: Hosts, B: Cancel + Rows> Operator<P, Q, H, B> {
    /// Creates the part over the configuration and the other rows.
    pub fn new(cfg: OperatorConfig, distribution: Distribution<P, Q, H>, backend: B) -> Self {
        Self {
            cfg,
            distribution,
            backend,
        }
    }

    /// Executes one statement for an operator.
    ///
    /// # Errors
    ///
    /// Why there is no answer; unless the failure is [`Failure::Unknown`],
    /// nothing has been changed.
    pub async fn execute(&self, text: &str, actor: &str, scope: &Scope) -> Result<Answer> {
        let done = match parse(text) {
            Ok(Statement::Show(query)) => self.show(&query).await.map(Answer::Table),
            Ok(Statement::Command(command)) => self.change(&command, actor, *scope).await,
            Err(e) => Err(e.into()),
        };
        done.map_err(|report| report.about(text))
    }

    async fn change(&self, command: &Command, actor: &str, scope: Scope) -> Result<Answer> {
        if scope != Scope::Change {
            let message = format!("operator `{actor}` may ask and not change");
            return Err(Report::new(Failure::Forbidden, message));
        }
        // The printed form is recorded: it holds no secret.
        let stamp = Stamp::now(actor, command.to_string());
        let answer = self.run(command, &stamp).await?;
        log::info!("operator command accepted actor={actor} command=\"{command}\"");
        Ok(answer)
    }
}
