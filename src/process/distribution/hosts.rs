//! The other hosts, as membership knows them.

use std::net::SocketAddr;
use std::sync::Arc;

use super::standing::Term;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::units::Moment;

/// Where a host listens for its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostAddress {
    /// Its name.
    pub id: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// What membership tells about the hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// This host.
    fn own_address(&self) -> &HostAddress;

    /// The other live hosts of all data centres.
    fn live_peers(&self) -> Vec<HostAddress>;

    /// The present period during which this host is listed as live; none
    /// while its lease has lapsed by its own clock.
    fn term(&self) -> Option<Term>;

    /// When the present list of live hosts was asked for; the oldest moment
    /// where it is put together from several answers.
    fn listed_at(&self) -> Moment;

    /// True if this host watches the platform for its data centre.
    fn is_watcher(&self) -> bool;
}

/// A fixed list of hosts, each of which watches the platform.
#[derive(Clone, Debug)]
pub struct FixedHosts {
    own: HostAddress,
    others: Arc<[HostAddress]>,
}

impl FixedHosts {
    /// A list of hosts that never changes.
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
