//! Stand-in for a model engine: chat completions over HTTP.
//!
//! The generated text is a function of the request, so a caller can prove that
//! it received the whole answer to its own request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Spawner;

use crate::listen::Listening;
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

/// A running model engine stand-in; clones share it.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    listening: Listening,
    shared: Arc<Shared>,
}

impl EngineStandin {
    /// Starts an idle engine; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// What the operating system answered to the bind.
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
        let listening = Listening::start(spawner, address, api).await?;
        Ok(Self { listening, shared })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listening.addr()
    }

    /// Replaces all switches.
    pub fn set_switches(&self, switches: Switches) {
        self.shared.set_switches(switches);
    }

    /// The last runs, in order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.runs()
    }

    /// The present counts.
    pub fn counts(&self) -> EngineCounts {
        self.shared.counts()
    }

    /// What the prefix cache holds.
    pub fn cache(&self) -> CacheContents {
        self.shared.cache_contents()
    }

    /// Stops accepting connections.
    pub fn stop(&self) {
        self.listening.stop();
    }
}
