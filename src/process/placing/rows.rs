//! Waiting calls and endpoints, as listed for operators.

use std::time::Duration;

use super::Placing;
use crate::ids::CustomerId;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::request::place::EndpointRow;
use crate::request::place::WaitReason;
use crate::units::Moment;

/// Maximum number of waiting calls listed per service.
const MAX_ROWS: usize = 200;

/// A waiting call.
#[derive(Clone, Debug)]
pub struct WaitingView {
    /// Called service.
    pub service: ServiceId,
    /// Customer to which the call is charged.
    pub customer: CustomerId,
    /// Root program of the call.
    pub program: ProgramId,
    /// Time since the call was queued.
    pub waited: Duration,
    /// Whether the call may use slots reserved for interactive calls.
    pub interactive: bool,
    /// Reason why the call waits.
    pub reason: WaitReason,
}

/// State of an endpoint in the pool of one of its services.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Service of the pool.
    pub service: ServiceId,
    /// State of the endpoint.
    pub row: EndpointRow,
}

/// Waiting calls and endpoints, ordered by service.
#[derive(Clone, Debug, Default)]
pub struct PlacingRows {
    /// Waiting calls of each service in order of arrival; limited to the ones
    /// that have waited longest.
    pub waiting: Vec<WaitingView>,
    /// Endpoints of each service, ordered by name.
    pub endpoints: Vec<EndpointView>,
}

impl Placing {
    /// Waiting calls and endpoints of all services.
    pub fn rows(&self) -> PlacingRows {
        let now = Moment::now();
        let mut shards = self.all_shards();
        shards.sort_by(|a, b| a.service().cmp(b.service()));
        let mut rows = PlacingRows::default();
        for shard in shards {
            let (waiting, endpoints) = shard.rows(now, MAX_ROWS);
            rows.waiting.extend(waiting);
            rows.endpoints.extend(endpoints);
        }
        rows
    }
}
