//! This host and its live peers, as reported by membership.

use std::net::SocketAddr;
use std::sync::Arc;

use super::standing::Term;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::units::Moment;

/// Name and peer address of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostAddress {
    /// Name of the host.
    pub id: HostId,
    /// Data centre in which the host runs.
    pub data_centre: DataCentre,
    /// Address on which the host listens for other hosts.
    pub address: SocketAddr,
}

/// Information from membership that the distribution needs.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// Name and peer address of this host.
    fn own_address(&self) -> &HostAddress;

    /// The other live hosts of all data centres.
    fn live_peers(&self) -> Vec<HostAddress>;

    /// The current term of this host; `None` while its lease has lapsed by its
    /// own clock.
    fn term(&self) -> Option<Term>;

    /// When the current list of live hosts was requested; the time of the
    /// oldest request if several answers make up the list.
    fn listed_at(&self) -> Moment;

    /// Whether this host watches the platform on behalf of its data centre.
    fn is_watcher(&self) -> bool;
}

/// A fixed list of hosts, each of which watches the platform.
#[derive(Clone, Debug)]
pub struct FixedHosts {
    own: HostAddress,
    others: Arc<[HostAddress]>,
}

impl FixedHosts {
    /// Creates a list in which `others` are always live.
    pub fn new(own: HostAddress, others: Vec<HostAddress>) -> Self {
        Self {
            own,
            others: others.into(),
        }
    }
}

impl Hosts for FixedHosts {
    fn own_address(&self) -> &HostAddress {
        &self.own
    }

    fn live_peers(&self) -> Vec<HostAddress> {
        self.others.to_vec()
    }

    fn term(&self) -> Option<Term> {
        Some(Term::default())
    }

    fn listed_at(&self) -> Moment {
        Moment::now()
    }

    fn is_watcher(&self) -> bool {
        true
    }
}
