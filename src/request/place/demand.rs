//! What placing needs to know of a call, and what it is told at its end.

use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::request::answer::Usage;
use crate::units::Moment;
use crate::units::Tokens;

/// What placing needs to know of a call.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Service that is called.
    pub service: ServiceId,
    /// Customer that the call is charged to.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: f64,
    /// Root program, whose attained service counts.
    pub program: ProgramId,
    /// Program whose prefix an engine may hold; absent if none is kept.
    pub conversation: Option<ProgramId>,
    /// True if the call may use reserved places.
    pub interactive: bool,
    /// The most that the call can cost.
    pub worst: Tokens,
    /// Bytes of the prompt; 0 for a plain service.
    pub prompt_bytes: usize,
    /// Endpoints that failed earlier attempts of this call.
    pub avoid: Vec<EndpointId>,
    /// When the call must have been answered.
    pub deadline: Moment,
}

/// How a call at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It gave an answer.
    Answered,
    /// It answered that it does not do such a call.
    Rejected,
    /// It did not accept the call or broke off.
    Failed,
    /// The call was cancelled; nothing is known about the endpoint.
    Cancelled,
}

/// The end of a call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Finish {
    /// How it ended.
    pub verdict: Verdict,
    /// What a model engine reports.
    pub usage: Option<Usage>,
}
