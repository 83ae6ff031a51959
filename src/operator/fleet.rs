//! Collects a query's rows from the whole fleet.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorCode;
use jsonrpsee_types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use super::configured;
use super::execute::Operator;
use super::filter::Filter;
use super::language::Query;
use super::language::Statement;
use super::language::parse;
use super::report::Result;
use super::rows::Cancel;
use super::rows::Rows;
use super::subject::Subject;
use super::table::Cut;
use super::table::Row;
use super::table::Table;
use crate::connection::peer;
use crate::connection::peer::PeerError;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::process::distribution::HostAddress;
use crate::process::distribution::Hosts;

/// Method that returns a host's rows of a query.
pub const ROWS: &str = "operator.rows";

/// Parameters of [`ROWS`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsRequest {
    /// Text of the query.
    pub query: String,
}

/// Answer to [`ROWS`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RowsAnswer {
    /// The first rows that match, in the query's order.
    pub rows: Vec<Row>,
    /// Number of rows that match.
    pub matched: usize,
}

/// Registers the methods of this part on a host's module.
///
/// # Errors
///
/// If a method of the same name is registered already.
pub fn register<C, P, Q, H, B>(
    module: &mut RpcModule<C>,
    operator: &Operator<P, Q, H, B>,
) -> std::result::Result<(), RegisterMethodError>
where
    C: Send + Sync + 'static,
    P: Platform,
    Q: Peers,
    H: Hosts,
    B: Cancel + Rows,
{
    let operator = operator.clone();
    module.register_method(ROWS, move |params, _, _| {
        let request: RowsRequest = params.one()?;
        operator.answer_rows(&request)
    })?;
    Ok(())
}

impl<P: Platform, Q: Peers, H: Hosts, B: Cancel + Rows> Operator<P, Q, H, B> {
    /// Answers a query with the rows of every host that can be reached.
    pub(super) async fn show(&self, query: &Query) -> Result<Table> {
        let filter = Filter::new(query)?;
        let mut table = self.own_table(query, &filter);
        if query.subject.is_spread() {
            self.collect(query, &mut table).await;
        }
        table.rows = filter.limit(filter.select(table.rows));
        Ok(table)
    }

    /// Rows of every host that answers in time.
    async fn collect(&self, query: &Query, table: &mut Table) {
        let request = RowsRequest {
            query: query.to_string(),
        };
        let deadline = self.cfg.answer;
        let answers = self.distribution.call_peers(
            self.distribution.hosts().live_peers(),
            move |this, host| {
                let request = request.clone();
                async move { within(deadline, this.call_peer(&host, ROWS, &request)).await }
            },
        );
        for (host, answer) in answers.await {
            add(table, host, answer);
        }
    }

    fn own_table(&self, query: &Query, filter: &Filter) -> Table {
        let mut table = Table {
            subject: query.subject,
            rows: Vec::new(),
            silent: Vec::new(),
            cut: Vec::new(),
        };
        let rows = filter.select(self.own_rows(query.subject));
        if query.subject.is_spread() {
            let answer = self.cap(rows, filter);
            add(
                &mut table,
                self.distribution.hosts().own_address().clone(),
                Ok(answer),
            );
        } else {
            table.rows = rows;
        }
        table
    }

    fn own_rows(&self, subject: Subject) -> Vec<Row> {
        let configuration = self.distribution.configuration();
        if subject == Subject::Versions {
            let own = self.distribution.hosts().own_address();
            let standing = self.distribution.standing();
            return vec![configuration.read(|c| configured::version_row(c, own, standing))];
        }
        if subject.is_spread() {
            return self.backend.rows(subject);
        }
        configuration.read(|catalogue| configured::rows(catalogue, subject))
    }

    fn answer_rows(
        &self,
        request: &RowsRequest,
    ) -> std::result::Result<RowsAnswer, ErrorObjectOwned> {
        let invalid = || ErrorObjectOwned::from(ErrorCode::InvalidParams);
        let Ok(Statement::Show(query)) = parse(&request.query) else {
            return Err(invalid());
        };
        let filter = Filter::new(&query).map_err(|_| invalid())?;
        let rows = filter.select(self.own_rows(query.subject));
        Ok(self.cap(rows, &filter))
    }

    /// The first rows, as many as the query wants and a host may send.
    fn cap(&self, rows: Vec<Row>, filter: &Filter) -> RowsAnswer {
        let mut rows = filter.limit(rows);
        let matched = rows.len();
        rows.truncate(self.cfg.max_rows);
        RowsAnswer { rows, matched }
    }
}

async fn within(
    deadline: Duration,
    answer: impl Future<Output = peer::Result<RowsAnswer>>,
) -> peer::Result<RowsAnswer> {
    let late = async {
        Timer::after(deadline).await;
        Err(PeerError::Unreachable(format!(
            "no rows within {deadline:?}"
        )))
    };
    future::or(answer, late).await
}

fn add(table: &mut Table, host: HostAddress, answer: peer::Result<RowsAnswer>) {
    let width = table.subject.columns().len();
    match answer {
        Ok(answer) if answer.rows.iter().all(|row| row.0.len() == width) => {
            note_cut(table, host.id, &answer);
            table.rows.extend(answer.rows);
        }
        // Rows of another release cannot be merged: the host counts as silent.
        Ok(_) | Err(_) => table.silent.push(host.id),
    }
}

fn note_cut(table: &mut Table, host: HostId, answer: &RowsAnswer) {
    if answer.matched > answer.rows.len() {
        table.cut.push(Cut {
            host,
            matched: answer.matched,
        });
    }
}
