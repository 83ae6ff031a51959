//! Stand-in for the platform: an object API over HTTP.
//!
//! Versions come from one counter and are sent as entity tags, every write is
//! conditional, and a watch is a long poll.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Spawner;

use crate::listen::RunningServer;

mod api;
mod call;
pub mod counts;
pub mod hosts;
mod limit;
mod shared;
pub mod store;
pub mod switches;

use api::Api;
use counts::Counts;
use hosts::HostList;
use shared::Shared;
use switches::Switches;

/// A running platform stand-in; clones refer to the same server.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    server: RunningServer,
    shared: Arc<Shared>,
}

impl PlatformStandin {
    /// Starts a stand-in without objects; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `address`.
    pub async fn start(spawner: &Spawner, address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let api = Api {
            shared: Arc::clone(&shared),
            spawner: spawner.clone(),
        };
        let server = RunningServer::start(spawner, address, api).await?;
        Ok(Self { server, shared })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces all fault switches, including their remaining counts.
    pub fn set_switches(&self, switches: Switches) {
        self.shared.set_switches(switches);
    }

    /// Replaces the list of endpoint hosts after `list.lag`.
    pub fn set_hosts(&self, list: HostList) {
        self.shared.set_hosts(list);
    }

    /// Returns the current counters.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Stops accepting connections; open ones close after their current request.
    pub fn stop(&self) {
        self.server.stop();
    }
}
