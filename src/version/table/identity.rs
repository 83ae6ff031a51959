//! Who a host is and which start of its process is running.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// Random bits at the low end of an incarnation.
const RANDOM_BITS: u32 = 20;

const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// Name, place and addresses of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The host; unique over all data centres.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens for other hosts.
    pub peer: SocketAddr,
    /// Where it listens for callers.
    pub caller: SocketAddr,
}

/// An incarnation from the wall clock and a random number.
///
/// The clock orders the starts of a host as a rule; one that has stepped back
/// does no harm, since an incarnation found in the table is always exceeded.
pub fn incarnation(since_unix_epoch: Duration, random: u64) -> Incarnation {
    let millis = u64::try_from(since_unix_epoch.as_millis()).unwrap_or_default();
    let timestamp = millis << RANDOM_BITS;
    Incarnation(timestamp | random & RANDOM_MASK)
}

/// An incarnation above one that is already used.
///
/// The random part keeps apart two processes that start together under one
/// host name.
pub(super) fn incarnation_above(used: Incarnation, own: Incarnation) -> Incarnation {
    Incarnation(used.0 + 1 + (own.0 & RANDOM_MASK))
}
