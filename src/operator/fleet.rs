//! Runs queries over all hosts of the fleet.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorCode;
use jsonrpsee_types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use super::config_rows;
use super::execute::StatementExecutor;
use super::filter::Filter;
use super::language::Query;
use super::language::Statement;
use super::language::parse;
use super::report::Result;
use super::rows::Cancel;
use super::rows::RowSource;
use super::subject::Subject;
use super::table::Row;
use super::table::Table;
use super::table::TruncatedHost;
use crate::connection::peer;
use crate::connection::peer::PeerError;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::process::distribution::HostAddress;
use crate::process::distribution::Hosts;

/// Peer method that returns a host's rows for a query.
pub const ROWS_METHOD: &str = "operator.rows";

/// Parameters of [`ROWS_METHOD`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsRequest {
    /// Text of the query.
    pub query: String,
}

/// Answer to [`ROWS_METHOD`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RowsAnswer {
    /// First matching rows in the query's order, at most the host's `max_rows`.
    pub rows: Vec<Row>,
    /// Number of matching rows within the query's limit; more than `rows` if
    /// the host truncated them.
    pub matched: usize,
}

/// Registers [`ROWS_METHOD`] on a host's RPC module.
///
/// # Errors
///
/// If the method is already registered.
pub fn register<C, P, Q, H, B>(
    module: &mut RpcModule<C>,
    executor: &StatementExecutor<P, Q, H, B>,
) -> std::result::Result<(), RegisterMethodError>
where
    C: Send + Sync + 'static,
    P: Platform,
    Q: Peers,
    H: Hosts,
    B: Cancel + RowSource,
{
    let executor = executor.clone();
    module.register_method(ROWS_METHOD, move |params, _, _| {
        let request: RowsRequest = params.one()?;
        executor.handle_rows(&request)
    })?;
    Ok(())
}

impl<P: Platform, Q: Peers, H: Hosts, B: Cancel + RowSource> StatementExecutor<P, Q, H, B> {
    /// Answers a query with the rows of all hosts that respond in time.
    pub(super) async fn run_query(&self, query: &Query) -> Result<Table> {
        let filter = Filter::new(query)?;
        let mut table = self.local_table(query, &filter);
        if query.subject.is_per_host() {
            self.collect_rows(query, &mut table).await;
        }
        table.rows = filter.apply_limit(filter.select(table.rows));
        Ok(table)
    }

    /// Requests the rows of all other hosts and adds them to the table.
    async fn collect_rows(&self, query: &Query, table: &mut Table) {
        let request = RowsRequest {
            query: query.to_string(),
        };
        let timeout = self.cfg.answer;
        let answers =
            self.distribution.call_peers(
                self.distribution.hosts().live_peers(),
                move |this, host| {
                    let request = request.clone();
                    async move {
                        with_timeout(timeout, this.call_peer(&host, ROWS_METHOD, &request)).await
                    }
                },
            );
        for (host, answer) in answers.await {
            add_rows(table, host, answer);
        }
    }

    fn local_table(&self, query: &Query, filter: &Filter) -> Table {
        let mut table = Table {
            subject: query.subject,
            rows: Vec::new(),
            silent: Vec::new(),
            cut: Vec::new(),
        };
        let rows = filter.select(self.local_rows(query.subject));
        if query.subject.is_per_host() {
            let answer = self.truncate_rows(rows, filter);
            add_rows(
                &mut table,
                self.distribution.hosts().own_address().clone(),
                Ok(answer),
            );
        } else {
            table.rows = rows;
        }
        table
    }

    fn local_rows(&self, subject: Subject) -> Vec<Row> {
        let configuration = self.distribution.configuration();
        if subject == Subject::Versions {
            let own = self.distribution.hosts().own_address();
            let standing = self.distribution.standing();
            return vec![configuration.read(|c| config_rows::version_row(c, own, standing))];
        }
        if subject.is_per_host() {
            return self.backend.rows(subject);
        }
        configuration.read(|catalogue| config_rows::rows(catalogue, subject))
    }

    fn handle_rows(
        &self,
        request: &RowsRequest,
    ) -> std::result::Result<RowsAnswer, ErrorObjectOwned> {
        let invalid = || ErrorObjectOwned::from(ErrorCode::InvalidParams);
        let Ok(Statement::Show(query)) = parse(&request.query) else {
            return Err(invalid());
        };
        let filter = Filter::new(&query).map_err(|_| invalid())?;
        let rows = filter.select(self.local_rows(query.subject));
        Ok(self.truncate_rows(rows, &filter))
    }

    /// Truncates rows to the query's limit and the host's `max_rows`.
    fn truncate_rows(&self, rows: Vec<Row>, filter: &Filter) -> RowsAnswer {
        let mut rows = filter.apply_limit(rows);
        let matched = rows.len();
        rows.truncate(self.cfg.max_rows);
        RowsAnswer { rows, matched }
    }
}

async fn with_timeout(
    timeout: Duration,
    answer: impl Future<Output = peer::Result<RowsAnswer>>,
) -> peer::Result<RowsAnswer> {
    let expired = async {
        Timer::after(timeout).await;
        Err(PeerError::Unreachable(format!(
            "no rows within {timeout:?}"
        )))
    };
    future::or(answer, expired).await
}

fn add_rows(table: &mut Table, host: HostAddress, answer: peer::Result<RowsAnswer>) {
    let width = table.subject.columns().len();
    match answer {
        Ok(answer) if answer.rows.iter().all(|row| row.0.len() == width) => {
            record_truncation(table, host.id, &answer);
            table.rows.extend(answer.rows);
        }
        // No answer, or rows of a release with other columns, which cannot be
        // merged: the host is listed as silent.
        Ok(_) | Err(_) => table.silent.push(host.id),
    }
}

fn record_truncation(table: &mut Table, host: HostId, answer: &RowsAnswer) {
    if answer.matched > answer.rows.len() {
        table.cut.push(TruncatedHost {
            host,
            matched: answer.matched,
        });
    }
}
