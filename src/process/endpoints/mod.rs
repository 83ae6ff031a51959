//! Tracks draining endpoints and releases the caches that engines hold.

mod caches;
pub mod counters;
mod draining;
mod engine;
mod hosts;
mod owners;
mod review;

use std::sync::Arc;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;

pub use caches::ProgramCaches;
pub use counters::Counters;
pub use draining::DrainingEndpoints;
pub use hosts::LastRead;

use super::context::Cx;
use super::timers::Timers;
use crate::connection::platform::Platform;

/// Runtime state of endpoints, beyond their configuration; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// Draining endpoints.
    pub draining: DrainingEndpoints,
    /// Engine caches of the programs that this host owns.
    pub caches: ProgramCaches,
    /// When this host last read the endpoint host list from the platform itself.
    pub last_read: LastRead,
    /// Counters of endpoint host lists and engine caches.
    pub counters: Arc<Counters>,
}

/// Registers the RPC methods for endpoint host lists and cache status.
///
/// # Errors
///
/// A method of the same name is already registered.
pub fn register<P: Platform>(
    module: &mut RpcModule<()>,
    cx: &Cx<P>,
) -> Result<(), RegisterMethodError> {
    owners::register(module, cx)?;
    hosts::register(module, cx)
}

/// Starts the tasks that refresh the endpoint host list and release caches.
pub fn start<P: Platform>(cx: &Cx<P>, platform: P, timers: &Timers) {
    let spawner = &cx.spawner;
    spawner.detach(hosts::run(Cx::clone(cx), platform, timers.clone()));
    spawner.detach(caches::run_end_releases(Cx::clone(cx)));
    spawner.detach(caches::run_sweeps(Cx::clone(cx), timers.clone()));
    spawner.detach(review::run(Cx::clone(cx), timers.clone()));
}
