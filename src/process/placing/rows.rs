//! Waiting calls and endpoints as operators see them.

use std::time::Duration;

use super::Placing;
use crate::ids::CustomerId;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::request::place::EndpointRow;
use crate::request::place::Wait;
use crate::units::Moment;

/// Most waiting calls of one service that are listed.
const MAX_ROWS: usize = 200;

/// A waiting call.
#[derive(Clone, Debug)]
pub struct WaitingView {
    /// Service that it calls.
    pub service: ServiceId,
    /// Its customer.
    pub customer: CustomerId,
    /// Its root program.
    pub program: ProgramId,
    /// How long it has waited.
    pub waited: Duration,
    /// True if it may use reserved places.
    pub interactive: bool,
    /// Why it waits.
    pub why: Wait,
}

/// An endpoint as one of its services uses it.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// The service.
    pub service: ServiceId,
    /// The endpoint.
    pub row: EndpointRow,
}

/// Waiting calls and endpoints, by service.
#[derive(Clone, Debug, Default)]
pub struct PlacingRows {
    /// Waiting calls in order of arrival, those that have waited longest of
    /// each service.
    pub waiting: Vec<WaitingView>,
    /// Endpoints by name.
    pub endpoints: Vec<EndpointView>,
}

impl Placing {
    /// Waiting calls and endpoints as operators see them.
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
