//! Stand-in for a plain service: any POST runs once and is counted.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Spawner;

use crate::listen::RunningServer;
use crate::runs::Run;
use crate::runs::RunCounts;

pub mod answer;
mod api;
pub mod switches;

use api::Api;
use api::Shared;
use switches::Switches;

/// A running plain service stand-in; clones refer to the same server.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    server: RunningServer,
    shared: Arc<Shared>,
}

impl ServiceStandin {
    /// Starts a service without runs; port 0 selects a free port.
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
        *self.shared.switches.lock() = switches;
    }

    /// Returns the most recent runs in start order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.runs()
    }

    /// Returns the current counters.
    pub fn counts(&self) -> RunCounts {
        self.shared.runs.counts()
    }

    /// Stops accepting connections; open ones close after their current request.
    pub fn stop(&self) {
        self.server.stop();
    }
}
