//! State that the components of a host share.

use std::sync::Arc;

use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use parking_lot::Mutex;

use super::distribution::Distribution;
use super::drain::Readiness;
use super::endpoints::Endpoints;
use super::journals::Journals;
use super::journals::history::History;
use super::layout::SharedLayout;
use super::links::LiveHosts;
use super::membership::Membership;
use super::metrics::Metrics;
use super::placing::Placing;
use super::rates::RateLimiter;
use crate::configs::host::HostConfig;
use crate::connection::peer::HttpPeers;
use crate::connection::peer::PeerSecret;
use crate::connection::platform::Platform;
use crate::door::Door;
use crate::ids::CustomerId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::request::retry::RetryBudget;
use crate::version::catalogue::Configuration;
use crate::version::journal::PartitionId;

/// State that the components of a host share; lives as long as the process.
pub struct Context<P: Platform> {
    /// Settings of the host.
    pub cfg: HostConfig,
    /// HTTP client for other hosts and endpoints.
    pub client: Client,
    /// Customers, keys, services and endpoints in force on this host.
    pub configuration: Configuration,
    /// Distribution of configuration changes among the hosts.
    pub distribution: Distribution<P, HttpPeers, LiveHosts>,
    /// Conversation history of the programs that this host owns.
    pub history: History<P>,
    /// Limits on the connections and the memory of clients.
    pub door: Door,
    /// State of the endpoints beyond their configuration.
    pub endpoints: Endpoints,
    /// Journals of the partitions that this host owns.
    pub journals: Journals<P>,
    /// Assigns idempotency keys without a program to partitions.
    pub layout: SharedLayout,
    /// Tables of hosts and partition owners, and the lease of this host.
    pub membership: Membership,
    /// Metrics of the request path.
    pub metrics: Metrics,
    /// Client of the RPC methods of other hosts.
    pub peers: HttpPeers,
    /// Queues of calls that wait for an endpoint, and their placement.
    pub placing: Placing,
    /// Rate limiter of the customers.
    pub rates: RateLimiter<HttpPeers>,
    /// Whether the host reports itself ready for new callers.
    pub readiness: Readiness,
    /// Budget that bounds the number of retries.
    pub retries: Mutex<RetryBudget>,
    /// Secret that authenticates calls between hosts.
    pub secret: PeerSecret,
    /// Handle to the executor of the host.
    pub spawner: Spawner,
}

impl<P: Platform> Context<P> {
    /// Partition that records an idempotency key without a program.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal until the layout has been read from the platform,
    /// or if it has no partitions.
    pub fn partition_of_key(&self, customer: &CustomerId, key: &str) -> Result<PartitionId> {
        self.layout.partition_of(customer, key).ok_or_else(|| {
            let detail = "the platform has not yet told where such calls are recorded";
            Refusal::not_run(Reason::JournalUnavailable, detail)
                .retry_after(self.cfg.caller.retry_after)
        })
    }
}

/// Shared handle to a [`Context`].
pub type Cx<P> = Arc<Context<P>>;
