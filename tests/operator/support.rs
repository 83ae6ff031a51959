//! Test fixture: a fleet in one process that executes operator statements.

use std::collections::HashMap;
use std::sync::Arc;

use chicoryarch::configs::operator::OperatorConfig;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::ProgramId;
use chicoryarch::operator::Answer;
use chicoryarch::operator::Report;
use chicoryarch::operator::Scope;
use chicoryarch::operator::StatementExecutor;
use chicoryarch::operator::fleet::register;
use chicoryarch::operator::rows::Cancel;
use chicoryarch::operator::rows::CancelError;
use chicoryarch::operator::rows::RowSource;
use chicoryarch::operator::subject::Subject;
use chicoryarch::operator::table::Row;
use chicoryarch::process::distribution::hosts::FixedHosts;
use chicoryarch::process::distribution::rpc;
use chicoryarch::version::objects::Kind;
use chicoryarch::version::objects::Stamp;
use futures_lite::future::block_on;
use jsonrpsee_core::server::RpcModule;
use parking_lot::Mutex;

use crate::fleet::Fleet;
use crate::fleet::LocalPeers;

/// Backend of one host with preset rows; records cancelled programs as
/// (program, command).
#[derive(Clone, Default)]
pub(crate) struct FakeBackend {
    pub(crate) rows: Arc<Mutex<HashMap<Subject, Vec<Row>>>>,
    pub(crate) cancelled: Arc<Mutex<Vec<(String, String)>>>,
}

impl RowSource for FakeBackend {
    fn rows(&self, subject: Subject) -> Vec<Row> {
        self.rows.lock().get(&subject).cloned().unwrap_or_default()
    }
}

impl Cancel for FakeBackend {
    async fn cancel(&self, program: &ProgramId, stamp: Stamp) -> Result<(), CancelError> {
        let cancelled = (program.to_string(), stamp.command);
        self.cancelled.lock().push(cancelled);
        Ok(())
    }
}

pub(crate) type LocalExecutor =
    StatementExecutor<MemoryPlatform, LocalPeers, FixedHosts, FakeBackend>;

pub(crate) struct OperatorFixture {
    pub(crate) fleet: Fleet,
    pub(crate) backends: Vec<FakeBackend>,
    pub(crate) executors: Vec<LocalExecutor>,
}

impl OperatorFixture {
    pub(crate) fn start(hosts: u16, cfg: &OperatorConfig) -> Self {
        let fleet = Fleet::start(hosts);
        let mut fixture = Self {
            fleet,
            backends: Vec::new(),
            executors: Vec::new(),
        };
        for (address, host) in fixture.fleet.addresses.iter().zip(&fixture.fleet.hosts) {
            let backend = FakeBackend::default();
            let executor = StatementExecutor::new(cfg.clone(), host.clone(), backend.clone());
            let mut module = RpcModule::new(());
            rpc::register(&mut module, host).unwrap();
            register(&mut module, &executor).unwrap();
            fixture.fleet.peers.serve_module(address, module);
            fixture.backends.push(backend);
            fixture.executors.push(executor);
        }
        fixture
    }

    pub(crate) fn run(&self, text: &str) -> Result<Answer, Report> {
        self.run_at(0, text)
    }

    pub(crate) fn run_at(&self, host: usize, text: &str) -> Result<Answer, Report> {
        let executor = &self.executors[host];
        let answer = executor.execute(text, "ana", &Scope::ReadWrite);
        block_on(require_send(answer))
    }

    pub(crate) fn run_ok(&self, text: &str) -> Answer {
        self.run(text)
            .unwrap_or_else(|e| panic!("{text}: {e} {:?}", e.help))
    }

    /// Returns all values stored by the platform, to detect changes.
    pub(crate) fn stored_values(&self) -> Vec<Vec<u8>> {
        let list_kind =
            |kind: &Kind| block_on(self.fleet.platform.list(kind.as_str(), "")).unwrap();
        let lists = Kind::ALL.iter().map(list_kind);
        lists
            .flat_map(|list| list.objects)
            .map(|object| object.value)
            .collect()
    }
}

/// Requires `Send`, because servers spawn these futures on other threads.
fn require_send<T>(future: impl Future<Output = T> + Send) -> impl Future<Output = T> + Send {
    future
}
