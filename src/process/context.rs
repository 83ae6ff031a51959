//! What the parts of one host share.

use std::sync::Arc;

use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use parking_lot::Mutex;

use super::distribution::Configuration;
use super::journals::Journals;
use super::membership::Membership;
use super::metrics::Metrics;
use super::placing::Placing;
use super::rates::Rates;
use crate::configs::host::HostConfig;
use crate::connection::peer::HttpPeers;
use crate::connection::peer::PeerSecret;
use crate::connection::platform::Platform;
use crate::request::retry::RetryBudget;

/// What the parts of one host share; lives as long as the process.
pub struct Context<P: Platform> {
    /// Settings of the host.
    pub cfg: HostConfig,
    /// Connections to other hosts and to endpoints.
    pub client: Client,
    /// Customers, keys, services and endpoints in force here.
    pub configuration: Configuration,
    /// Journals of the partitions that this host owns.
    pub journals: Journals<P>,
    /// Hosts, partition owners and this host's lease.
    pub membership: Membership,
    /// Counters and timings.
    pub metrics: Metrics,
    /// Control calls to other hosts.
    pub peers: HttpPeers,
    /// Calls that wait for endpoints.
    pub placing: Placing,
    /// Rate and burst of each customer.
    pub rates: Rates<HttpPeers>,
    /// Attempts that may still be repeated.
    pub retries: Mutex<RetryBudget>,
    /// Credential towards other hosts.
    pub secret: PeerSecret,
    /// Executor of the host.
    pub spawner: Spawner,
}

/// Shared handle to the context.
pub type Cx<P> = Arc<Context<P>>;
