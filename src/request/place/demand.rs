//! Input of placement for each call, and the result reported at its end.

use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::request::answer::Usage;
use crate::units::Moment;
use crate::units::Tokens;

/// Properties of a call that placement uses.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The called service.
    pub service: ServiceId,
    /// Customer to which the call is charged.
    pub customer: CustomerId,
    /// Share of the customer relative to other customers.
    pub weight: f64,
    /// Root program; its attained service determines the call's rank.
    pub program: ProgramId,
    /// Program whose prompt prefix an engine may have cached; `None` if engines
    /// cache no prefix for the call.
    pub conversation: Option<ProgramId>,
    /// Whether the call may use slots reserved for interactive calls.
    pub interactive: bool,
    /// Maximum cost of the call.
    pub max_cost: Tokens,
    /// Size of the prompt in bytes; 0 for a plain service.
    pub prompt_bytes: usize,
    /// Endpoints that failed earlier attempts of this call.
    pub avoid: Vec<EndpointId>,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
}

/// How a call at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The endpoint answered the call.
    Answered,
    /// The endpoint answered with a status other than success or a server
    /// error.
    Rejected,
    /// The endpoint did not accept the call, did not complete its answer in
    /// time or answered with a server error.
    Failed,
    /// The call was cancelled; this says nothing about the endpoint's health.
    Cancelled,
}

/// Result of a call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RunResult {
    /// How the call ended.
    pub outcome: RunOutcome,
    /// Token usage reported by a model engine; `None` if it reported none.
    pub usage: Option<Usage>,
}
