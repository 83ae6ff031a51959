//! Identity of a host and incarnation of its process.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// Number of random bits at the low end of an incarnation.
const RANDOM_BITS: u32 = 20;

const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// Name, data centre and listen addresses of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Host name; unique across all data centres.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Listen address for other hosts.
    pub peer: SocketAddr,
    /// Listen address for callers.
    pub caller: SocketAddr,
}

/// Builds an incarnation from the wall clock and a random number.
///
/// The clock normally orders the starts of a host. A clock that has stepped back
/// is harmless, because a starting host always exceeds the incarnation in the
/// table.
pub fn incarnation(since_unix_epoch: Duration, random: u64) -> Incarnation {
    let millis = u64::try_from(since_unix_epoch.as_millis()).unwrap_or_default();
    let timestamp = millis << RANDOM_BITS;
    Incarnation(timestamp | random & RANDOM_MASK)
}

/// An incarnation above one that is already used.
///
/// The random part distinguishes two processes that start at the same time under
/// one host name.
pub(super) fn incarnation_above(used: Incarnation, own: Incarnation) -> Incarnation {
    Incarnation(used.0 + 1 + (own.0 & RANDOM_MASK))
}
