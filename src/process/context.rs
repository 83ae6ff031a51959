//! What the parts of one host share.

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
use super::links::KnownHosts;
use super::membership::Membership;
use super::metrics::Metrics;
use super::placing::Placing;
use super::rates::RateLimiter;
use crate::configs::host::HostConfig;
use crate::connection::peer::HttpPeers;
use crate::connection::peer::PeerSecret;
use crate::connection::platform::Platform;
use crate::ids::CustomerId;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;
use crate::request::outcome::Result;
use crate::request::retry::RetryBudget;
use crate::version::catalogue::Configuration;
use crate::version::journal::PartitionId;

/// What the parts of one host share; lives as long as the process.
pub struct Context<P: Platform> {
    /// Settings of the host.
    pub cfg: HostConfig,
    /// Connections to other hosts and to endpoints.
    pub client: Client,
    /// Customers, keys, services and endpoints in force here.
    pub configuration: Configuration,
    /// Spread of the configuration.
    pub distribution: Distribution<P, HttpPeers, KnownHosts>,
    /// Conversations that this host keeps for its programs.
    pub history: History<P>,
    /// What is known of endpoints beyond their configuration.
    pub endpoints: Endpoints,
    /// Journals of the partitions that this host owns.
    pub journals: Journals<P>,
    /// Where idempotency keys without a program are kept.
    pub layout: SharedLayout,
    /// Hosts, partition owners and this host's lease.
    pub membership: Membership,
    /// Counters and timings.
    pub metrics: Metrics,
    /// Control calls to other hosts.
    pub peers: HttpPeers,
    /// Calls that wait for endpoints.
    pub placing: Placing,
    /// Rate and burst of each customer.
    pub rates: RateLimiter<HttpPeers>,
    /// Whether the host asks for callers.
    pub readiness: Readiness,
    /// Attempts that may still be repeated.
    pub retries: Mutex<RetryBudget>,
    /// Credential towards other hosts.
    pub secret: PeerSecret,
    /// Executor of the host.
    pub spawner: Spawner,
}

impl<P: Platform> Context<P> {
    /// The partition that holds an idempotency key without a program.
    ///
    /// # Errors
    ///
    /// A `not-run` refusal while the layout is not known.
    pub fn home_of_key(&self, customer: &CustomerId, key: &str) -> Result<PartitionId> {
        self.layout.home(customer, key).ok_or_else(|| {
            let detail = "the platform has not yet told where such calls are recorded";
            Refusal::not_run(Reason::JournalUnavailable, detail)
                .retry_after(self.cfg.caller.retry_after)
        })
    }
}

/// Shared handle to the context.
pub type Cx<P> = Arc<Context<P>>;
