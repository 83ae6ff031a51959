//! Stand-in for the platform: an object API over HTTP.
//!
//! Versions are entity tags taken from one counter, every write is
//! conditional, and a watch is a long poll.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryarch_net::Spawner;

use crate::listen::Listening;

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

/// A running platform stand-in; clones share it.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    listening: Listening,
    shared: Arc<Shared>,
}

impl PlatformStandin {
    /// Starts a stand-in without objects; port 0 lets the kernel choose.
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
        self.shared.set_switches(switches);
    }

    /// Replaces the list of endpoint hosts.
    pub fn set_hosts(&self, list: HostList) {
        self.shared.set_hosts(list);
    }

    /// The present counts.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Stops accepting connections.
    pub fn stop(&self) {
        self.listening.stop();
    }
}
