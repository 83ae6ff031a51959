//! The life of endpoints: which take new work, and what engines remember.

pub mod counters;
mod engine;
mod hosts;
mod leaving;
mod memory;
mod owners;
mod review;

use std::sync::Arc;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;

pub use counters::Counters;
pub use hosts::LastRead;
pub use leaving::Leaving;
pub use memory::Memory;

use super::context::Cx;
use super::timers::Timers;
use crate::connection::platform::Platform;

/// What a host knows of the endpoints beyond their configuration.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// Endpoints that get no new work.
    pub leaving: Leaving,
    /// Caches of the programs that this host owns.
    pub memory: Memory,
    /// When this host last read the platform's list itself.
    pub last_read: LastRead,
    /// Counters of this part.
    pub counters: Arc<Counters>,
}

/// Registers the control calls of this part.
///
/// # Errors
///
/// If a method of the same name is registered already.
pub fn register<P: Platform>(
    module: &mut RpcModule<()>,
    cx: &Cx<P>,
) -> Result<(), RegisterMethodError> {
    owners::register(module, cx)?;
    hosts::register(module, cx)
}

/// Starts the tasks of this part.
pub fn start<P: Platform>(cx: &Cx<P>, platform: P, timers: &Timers) {
    let spawner = &cx.spawner;
    spawner.detach(hosts::run(Cx::clone(cx), platform, timers.clone()));
    spawner.detach(memory::run_end_releases(Cx::clone(cx)));
    spawner.detach(memory::run_sweeps(Cx::clone(cx), timers.clone()));
    spawner.detach(review::run(Cx::clone(cx), timers.clone()));
}
