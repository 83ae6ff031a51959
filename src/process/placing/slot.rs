//! A place at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use super::Placing;
use super::shard::Shard;
use crate::ids::EndpointId;
use crate::request::answer::Usage;
use crate::request::place::Finish;
use crate::request::place::Prefix;
use crate::request::place::RunId;
use crate::request::place::Started;
use crate::request::place::Verdict;
use crate::units::Tokens;
use crate::version::objects::Endpoint;

/// A place at an endpoint, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What the endpoint has of the program's prefix.
    pub prefix: Prefix,
    /// How long the call waited for the place.
    pub waited: Duration,
    placing: Placing,
    shard: Arc<Shard>,
    run: RunId,
    status: StatusCode,
    finish: Finish,
}

impl Slot {
    pub(super) fn new(placing: Placing, shard: Arc<Shard>, started: Started) -> Self {
        Self {
            id: started.id,
            endpoint: started.endpoint,
            prefix: started.prefix,
            waited: started.waited,
            placing,
            shard,
            run: started.run,
            status: StatusCode::OK,
            finish: Finish {
                verdict: Verdict::Cancelled,
                usage: None,
            },
        }
    }

    /// Records that the answer begins, with its status.
    ///
    /// A server error counts as a failure of the endpoint however whole the
    /// answer is, so that one which fails quickly does not look fast.
    pub fn answering(&mut self, status: StatusCode) {
        self.status = status;
        self.shard.answering(&self.id, self.run);
    }

    /// Records what a model engine reports of the call.
    pub fn used(&mut self, usage: Option<Usage>) {
        self.finish.usage = usage;
    }

    /// Gives the place back and says how the call went.
    pub fn done(mut self, verdict: Verdict, cost: Tokens) {
        self.placing.counters().tokens.add(cost.0);
        self.finish.verdict = match verdict {
            Verdict::Answered if self.status.is_server_error() => Verdict::Failed,
            Verdict::Answered if !self.status.is_success() => Verdict::Rejected,
            other => other,
        };
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Self {
            placing,
            shard,
            finish,
            ..
        } = self;
        shard.finish(placing, &self.id, self.run, finish);
        placing.step_others(&self.endpoint.services, shard.service());
    }
}
