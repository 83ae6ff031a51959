//! Operator interface of a host: the rows that it reports and the cancellation
//! of programs.

use super::context::Cx;
use super::journals::PartitionSummary;
use crate::connection::platform::Platform;
use crate::ids::ProgramId;
use crate::operator::rows::Cancel;
use crate::operator::rows::CancelError;
use crate::operator::rows::RowSource;
use crate::operator::subject::BudgetRow;
use crate::operator::subject::CallRow;
use crate::operator::subject::DataCentreRow;
use crate::operator::subject::HostRow;
use crate::operator::subject::ProgramRow;
use crate::operator::subject::RateRow;
use crate::operator::subject::Subject;
use crate::operator::subject::WaitingRow;
use crate::operator::table::Row;
use crate::request::outcome::Ran;
use crate::request::outcome::Reason;
use crate::request::programs;
use crate::units::Moment;
use crate::version::journal::ProgramSummary;
use crate::version::journal::Status;
use crate::version::journal::WaitsFor;
use crate::version::objects::Stamp;

/// Serves the rows and commands of this host to operators.
pub struct OperatorBackend<P: Platform>(pub Cx<P>);

impl<P: Platform> Clone for OperatorBackend<P> {
    fn clone(&self) -> Self {
        Self(Cx::clone(&self.0))
    }
}

impl<P: Platform> RowSource for OperatorBackend<P> {
    fn rows(&self, subject: Subject) -> Vec<Row> {
        match subject {
            Subject::Budgets => self.rows_of_programs(|p| Some(self.budget_row(p))),
            Subject::Calls => self.call_rows(),
            Subject::DataCentres => self.data_centre_rows(),
            Subject::Hosts => vec![self.host_row().into()],
            Subject::Programs => self.rows_of_programs(|p| Some(self.program_row(p))),
            Subject::Rates => self.rate_rows(),
            Subject::Waiting => self.waiting_rows(),
            Subject::Audit
            | Subject::Customers
            | Subject::Endpoints
            | Subject::Keys
            | Subject::Services
            | Subject::Versions => Vec::new(),
        }
    }
}

impl<P: Platform> Cancel for OperatorBackend<P> {
    async fn cancel(&self, program: &ProgramId, stamp: Stamp) -> Result<(), CancelError> {
        log::info!("cancelling program program={program} actor={}", stamp.actor);
        let ended = programs::cancel(&self.0, program).await;
        ended.map_err(|refusal| match (refusal.reason, refusal.ran) {
            (Reason::UnknownProgram, _) => CancelError::UnknownProgram,
            (_, Ran::NotRun) => CancelError::NotRun(refusal.detail),
            (_, Ran::Unknown) => CancelError::Unknown(refusal.detail),
        })
    }
}

impl<P: Platform> OperatorBackend<P> {
    fn host_name(&self) -> String {
        self.0.cfg.host.to_string()
    }

    fn rows_of_programs<R: Into<Row>>(
        &self,
        row: impl Fn(&ProgramSummary) -> Option<R>,
    ) -> Vec<Row> {
        let programs = self.0.journals.programs();
        programs.iter().filter_map(row).map(Into::into).collect()
    }

    fn budget_row(&self, program: &ProgramSummary) -> BudgetRow {
        BudgetRow {
            program: program.program.to_string(),
            customer: program.customer.to_string(),
            budget: program.budget.unwrap_or_default().0,
            reserved: program.reserved.0,
            spent: program.spent.0,
            host: self.host_name(),
        }
    }

    fn program_row(&self, program: &ProgramSummary) -> ProgramRow {
        ProgramRow {
            program: program.program.to_string(),
            customer: program.customer.to_string(),
            calls: program.high_water.0,
            open_calls: program.calls.len() as u64,
            spent: program.spent.0,
            age_ms: 0,
            host: self.host_name(),
        }
    }

    fn call_rows(&self) -> Vec<Row> {
        let programs = self.0.journals.programs();
        let running = programs.iter().flat_map(|program| {
            let calls = program.calls.iter();
            let running = calls.filter(|call| call.waits_for == WaitsFor::Answer);
            running.map(|call| CallRow {
                program: program.program.to_string(),
                call: call.ordinal.0,
                customer: program.customer.to_string(),
                host: self.host_name(),
                ..CallRow::default()
            })
        });
        running.map(Into::into).collect()
    }

    fn waiting_rows(&self) -> Vec<Row> {
        let programs = self.0.journals.programs();
        let waiting = programs.iter().flat_map(|program| {
            let calls = program.calls.iter();
            let is_waiting = |w| matches!(w, WaitsFor::Turn | WaitsFor::Commit);
            let waiting = calls.filter(move |call| is_waiting(call.waits_for));
            waiting.map(|call| WaitingRow {
                program: program.program.to_string(),
                call: call.ordinal.0,
                customer: program.customer.to_string(),
                reason: waiting_reason(call.waits_for).to_owned(),
                host: self.host_name(),
                ..WaitingRow::default()
            })
        });
        let placing = self.0.placing.rows().waiting.into_iter();
        let queued = placing.map(|call| WaitingRow {
            program: call.program.to_string(),
            customer: call.customer.to_string(),
            service: call.service.to_string(),
            reason: format!("{:?}", call.reason),
            waited_ms: call.waited.as_millis().try_into().unwrap_or(u64::MAX),
            host: self.host_name(),
            ..WaitingRow::default()
        });
        waiting.chain(queued).map(Into::into).collect()
    }

    fn rate_rows(&self) -> Vec<Row> {
        let rows = self.0.rates.rows().into_iter();
        let rows = rows.map(|row| RateRow {
            customer: row.customer.to_string(),
            data_centre: self.0.cfg.data_centre.to_string(),
            rate: row.summary.rate,
            tokens: row.summary.tokens,
            host: self.host_name(),
        });
        rows.map(Into::into).collect()
    }

    fn data_centre_rows(&self) -> Vec<Row> {
        let now = Moment::now();
        let snapshot = self.0.membership.snapshot();
        let rows = snapshot.tables.iter().map(|table| {
            let live = table.hosts.values().filter(|row| !row.lapsed).count();
            let is_live = |owner| table.hosts.get(owner).is_some_and(|row| !row.lapsed);
            let owned = table.partitions.iter().filter(|row| is_live(&row.owner));
            let is_own = table.data_centre == self.0.cfg.data_centre;
            DataCentreRow {
                data_centre: table.data_centre.to_string(),
                live: live as u64,
                owned: owned.count() as u64,
                partitions: table.partitions.len() as u64,
                reachable: if is_own {
                    snapshot.lease_until.is_some_and(|until| now < until)
                } else {
                    live > 0
                },
                host: self.host_name(),
            }
        });
        rows.map(Into::into).collect()
    }

    fn host_row(&self) -> HostRow {
        let cx = &self.0;
        let snapshot = cx.membership.snapshot();
        let table = cx.membership.table(&cx.cfg.data_centre);
        let own_row = table.and_then(|table| table.hosts.get(&cx.cfg.host).cloned());
        let state = match &own_row {
            Some(row) if row.draining => "draining",
            _ if cx.readiness.is_ready() => "serving",
            _ => "starting",
        };
        let is_active = |p: &&PartitionSummary| p.status == Status::Active;
        HostRow {
            host: self.host_name(),
            data_centre: cx.cfg.data_centre.to_string(),
            address: own_row.map(|row| row.peer.to_string()).unwrap_or_default(),
            state: state.to_owned(),
            incarnation: snapshot.incarnation.0,
            partitions: cx.journals.partitions().iter().filter(is_active).count() as u64,
            programs: cx.journals.programs().len() as u64,
        }
    }
}

const fn waiting_reason(waits_for: WaitsFor) -> &'static str {
    match waits_for {
        WaitsFor::Turn => "an earlier call",
        WaitsFor::Commit => "a journal write",
        WaitsFor::Dispatch => "an endpoint",
        WaitsFor::Answer => "the answer",
    }
}
