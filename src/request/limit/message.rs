//! Messages between hosts that move rate tokens.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::serde_as;

use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::request::limit::amount::Amount;

/// Identifies a request for tokens, and the tokens granted to it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GrantId {
    /// Host that asks.
    pub holder: HostId,
    /// Random number of the asking account, so that a restart repeats no id.
    pub session: u64,
    /// Number of the request within the session.
    pub sequence: u64,
}

/// What a holder did with tokens granted earlier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReport {
    /// Sequence of the request that they were granted to.
    pub sequence: u64,
    /// Tokens that the holder still holds.
    pub held: Amount,
    /// Unused tokens that the holder gives back.
    pub returned: Amount,
}

/// A request for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRequest {
    /// Customer whose tokens are asked for.
    pub customer: CustomerId,
    /// Id of the request.
    pub id: GrantId,
    /// Tokens that calls wait for.
    pub need: Amount,
    /// Tokens wanted ahead of demand.
    pub extra: Amount,
    /// Reports on grants of earlier requests to the same host.
    pub reports: Vec<GrantReport>,
}

/// The answer to an [`GrantRequest`].
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReply {
    /// Tokens granted; already deducted from the bucket.
    pub granted: Amount,
    /// Life of the granted tokens, counted from when the request was sent.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "ttl_us")]
    pub ttl: Duration,
    /// Tokens left at the granting host.
    pub level: Amount,
    /// Refill at the granting host, a second.
    pub refill: Amount,
    /// Most tokens that the granting host can hold.
    pub capacity: Amount,
}
