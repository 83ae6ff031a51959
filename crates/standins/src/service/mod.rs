//! Stand-in for a plain service: any POST runs once and is counted.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Spawner;

use crate::listen::Listening;
use crate::runs::Run;
use crate::runs::RunCounts;

pub mod answer;
mod api;
pub mod switches;

use api::Api;
use api::Shared;
use switches::Switches;

/// A running plain service stand-in; clones share it.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    listening: Listening,
    shared: Arc<Shared>,
}

impl ServiceStandin {
    /// Starts a service that has run nothing; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// What the operating system answered to the bind.
    pub async fn start(spawner: &Spawner, address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let api = Api {
            shared: Arc::clone(&shared),
            spawner: spawner.clone(),
        };
        let listening = Listening::start(spawner, address, api).await?;
        Ok(Self { listening, shared })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listening.addr()
    }

    /// Replaces all switches.
    pub fn set_switches(&self, switches: Switches) {
        *self.shared.switches.lock() = switches;
    }

    /// The last runs, in order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.runs()
    }

    /// The present counts.
    pub fn counts(&self) -> RunCounts {
        self.shared.runs.counts()
    }

    /// Stops accepting connections.
    pub fn stop(&self) {
        self.listening.stop();
    }
}
