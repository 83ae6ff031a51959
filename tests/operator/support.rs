//! Operators at the hosts of a small fleet in one process.

use std::collections::HashMap;
use std::sync::Arc;

use chicoryarch::configs::operator::OperatorConfig;
use chicoryarch::connection::platform::Platform;
use chicoryarch::connection::platform::memory::MemoryPlatform;
use chicoryarch::ids::ProgramId;
use chicoryarch::operator::Answer;
use chicoryarch::operator::Operator;
use chicoryarch::operator::Report;
use chicoryarch::operator::Scope;
use chicoryarch::operator::fleet::register;
use chicoryarch::operator::rows::Cancel;
use chicoryarch::operator::rows::CancelError;
use chicoryarch::operator::rows::Rows;
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

/// Rows and programs of one host.
#[derive(Clone, Default)]
pub(crate) struct Backend {
    pub(crate) rows: Arc<Mutex<HashMap<Subject, Vec<Row>>>>,
    pub(crate) cancelled: Arc<Mutex<Vec<(String, String)>>>,
}

impl Rows for Backend {
    fn rows(&self, subject: Subject) -> Vec<Row> {
        self.rows.lock().get(&subject).cloned().unwrap_or_default()
    }
}

impl Cancel for Backend {
    async fn cancel(&self, program: &ProgramId, stamp: Stamp) -> Result<(), CancelError> {
        let cancelled = (program.to_string(), stamp.command);
        self.cancelled.lock().push(cancelled);
        Ok(())
    }
}

pub(crate) type LocalOperator = Operator<MemoryPlatform, LocalPeers, FixedHosts, Backend>;

pub(crate) struct Operated {
    pub(crate) fleet: Fleet,
    pub(crate) backends: Vec<Backend>,
    pub(crate) operators: Vec<LocalOperator>,
}

impl Operated {
    pub(crate) fn start(hosts: u16, cfg: &OperatorConfig) -> Self {
        let fleet = Fleet::start(hosts);
        let mut operated = Self {
            fleet,
            backends: Vec::new(),
            operators: Vec::new(),
        };
        for (at, host) in operated.fleet.addresses.iter().zip(&operated.fleet.hosts) {
            let backend = Backend::default();
            let operator = Operator::new(cfg.clone(), host.clone(), backend.clone());
            let mut module = RpcModule::new(());
            rpc::register(&mut module, host).unwrap();
            register(&mut module, &operator).unwrap();
            operated.fleet.peers.serve_module(at, module);
            operated.backends.push(backend);
            operated.operators.push(operator);
        }
        operated
    }

    pub(crate) fn run(&self, text: &str) -> Result<Answer, Report> {
        self.run_at(0, text)
    }

    pub(crate) fn run_at(&self, host: usize, text: &str) -> Result<Answer, Report> {
        let operator = &self.operators[host];
        let answer = operator.execute(text, "ana", &Scope::Change);
        block_on(movable(answer))
    }

    pub(crate) fn ok(&self, text: &str) -> Answer {
        self.run(text)
            .unwrap_or_else(|e| panic!("{text}: {e} {:?}", e.help))
    }

    /// Every stored value, to see whether anything has changed.
    pub(crate) fn stored(&self) -> Vec<Vec<u8>> {
        let list = |kind: &Kind| block_on(self.fleet.platform.list(kind.as_str(), "")).unwrap();
        let lists = Kind::ALL.iter().map(list);
        lists
            .flat_map(|list| list.objects)
            .map(|object| object.value)
            .collect()
    }
}

/// Servers spawn these futures, so they have to move between threads.
fn movable<T>(future: impl Future<Output = T> + Send) -> impl Future<Output = T> + Send {
    future
}
