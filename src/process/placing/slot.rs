//! Slot for one call at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use super::Placing;
use super::shard::Shard;
use crate::ids::EndpointId;
use crate::request::answer::Usage;
use crate::request::place::Prefix;
use crate::request::place::RunId;
use crate::request::place::RunOutcome;
use crate::request::place::RunResult;
use crate::request::place::StartedCall;
use crate::units::Tokens;
use crate::version::objects::Endpoint;

/// Slot for one call at an endpoint, released when dropped. Without
/// [`Self::finish`] the call counts as cancelled.
#[derive(Debug)]
pub struct Slot {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Configuration of the endpoint.
    pub endpoint: Arc<Endpoint>,
    /// State of the program's prompt prefix at the endpoint.
    pub prefix: Prefix,
    /// Time that the call spent in the queue.
    pub waited: Duration,
    placing: Placing,
    shard: Arc<Shard>,
    run: RunId,
    status: StatusCode,
    result: RunResult,
}

impl Slot {
    pub(super) fn new(placing: Placing, shard: Arc<Shard>, started: StartedCall) -> Self {
        Self {
            id: started.id,
            endpoint: started.endpoint,
            prefix: started.prefix,
            waited: started.waited,
            placing,
            shard,
            run: started.run,
            status: StatusCode::OK,
            result: RunResult {
                outcome: RunOutcome::Cancelled,
                usage: None,
            },
        }
    }

    /// Records the start of the answer and its status.
    ///
    /// A server error counts as a failure of the endpoint even if the answer is
    /// complete, so that an endpoint that fails quickly does not appear fast.
    pub fn record_answer_start(&mut self, status: StatusCode) {
        self.status = status;
        self.shard.record_answer_start(&self.id, self.run);
    }

    /// Records the token usage reported by a model engine.
    pub fn record_usage(&mut self, usage: Option<Usage>) {
        self.result.usage = usage;
    }

    /// Releases the slot and records the result of the call.
    pub fn finish(mut self, outcome: RunOutcome, cost: Tokens) {
        self.placing.counters().tokens.add(cost.0);
        self.result.outcome = match outcome {
            RunOutcome::Answered if self.status.is_server_error() => RunOutcome::Failed,
            RunOutcome::Answered if !self.status.is_success() => RunOutcome::Rejected,
            other => other,
        };
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Self {
            placing,
            shard,
            result,
            ..
        } = self;
        shard.finish(placing, &self.id, self.run, result);
        placing.step_other_services(&self.endpoint.services, shard.service());
    }
}
