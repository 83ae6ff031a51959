//! Stand-in for a model engine: chat completions over HTTP.
//!
//! The generated text depends only on the request, so a caller can verify that
//! an answer is complete and belongs to its request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Spawner;

use crate::listen::RunningServer;
use crate::runs::Run;

mod admission;
pub mod answer;
mod api;
pub mod cache;
pub mod chat;
mod completion;
pub mod config;
pub mod events;
mod fences;
pub mod load;
pub mod orders;
mod shared;
pub mod switches;

pub use shared::EngineCounts;

use api::Api;
use cache::CacheContents;
use config::EngineConfig;
use shared::Shared;
use switches::Switches;

/// A running model engine stand-in; clones refer to the same server.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    server: RunningServer,
    shared: Arc<Shared>,
}

impl EngineStandin {
    /// Starts an idle engine; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `address`.
    pub async fn start(
        spawner: &Spawner,
        address: SocketAddr,
        cfg: EngineConfig,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(cfg));
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

    /// Returns the most recent runs in start order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.runs()
    }

    /// Returns the current counters.
    pub fn counts(&self) -> EngineCounts {
        self.shared.counts()
    }

    /// Returns the contents of the prefix cache.
    pub fn cache(&self) -> CacheContents {
        self.shared.cache_contents()
    }

    /// Stops accepting connections; open ones close after their current request.
    pub fn stop(&self) {
        self.server.stop();
    }
}
