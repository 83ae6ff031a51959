//! Messages by which hosts lend and return rate tokens.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::serde_as;

use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::request::limit::amount::Amount;

/// Identifies a request for tokens and the grant made for it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GrantId {
    /// Host that requests the tokens and holds the grant.
    pub holder: HostId,
    /// Random number of the requesting limiter, so that ids do not repeat after
    /// a restart.
    pub session: u64,
    /// Number of the request within the session.
    pub sequence: u64,
}

/// Report of a holder on the tokens of an earlier grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReport {
    /// Sequence number of the request that the tokens were granted for.
    pub sequence: u64,
    /// Unspent tokens that the holder keeps.
    pub held: Amount,
    /// Unspent tokens that the holder returns.
    pub returned: Amount,
}

/// A request for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRequest {
    /// Customer whose tokens are requested.
    pub customer: CustomerId,
    /// Id of the request.
    pub id: GrantId,
    /// Tokens that waiting calls need.
    pub need: Amount,
    /// Tokens to prefetch for later calls.
    pub extra: Amount,
    /// Reports on earlier grants from the same host.
    pub reports: Vec<GrantReport>,
}

/// Reply to a [`GrantRequest`].
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReply {
    /// Granted tokens, already deducted from the lender's bucket.
    pub granted: Amount,
    /// Lifetime of the granted tokens, counted from the sending of the request.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "ttl_us")]
    pub ttl: Duration,
    /// Tokens left at the lender.
    pub level: Amount,
    /// Tokens refilled per second at the lender.
    pub refill: Amount,
    /// Capacity of the lender's buckets, in tokens.
    pub capacity: Amount,
}
