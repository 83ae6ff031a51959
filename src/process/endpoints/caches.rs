//! Releases the engine caches of the programs that this host owns.

use std::sync::Arc;

use parking_lot::Mutex;

use super::counters::increment;
use super::engine;
use super::owners;
use crate::connection::platform::Platform;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::process::context::Cx;
use crate::process::journals::JournalEvent;
use crate::process::timers::Timers;
use crate::units::Moment;
use crate::version::engine_memory::CacheHandle;
use crate::version::engine_memory::CacheLocations;
use crate::version::engine_memory::EngineRelease;
use crate::version::engine_memory::ProgramStatus;
use crate::version::history::HistoryMode;
use crate::version::journal::ProgramEnd;

/// Engine caches of the programs that this host owns; clones share them.
#[derive(Clone, Debug, Default)]
pub struct ProgramCaches {
    locations: Arc<Mutex<CacheLocations>>,
}

impl ProgramCaches {
    /// Records that a call is about to be dispatched with a cache.
    ///
    /// Returns whether the call may use the cache; it may not while the cache is
    /// being released.
    #[must_use]
    pub fn record_dispatch(&self, handle: &CacheHandle, endpoint: &EndpointId) -> bool {
        self.locations
            .lock()
            .record_dispatch(Moment::now(), handle, endpoint)
    }
}

/// Releases the caches and history of each program when it ends.
pub(super) async fn run_end_releases<P: Platform>(cx: Cx<P>) {
    let events = cx.journals.events();
    while let Ok(event) = events.recv().await {
        if let JournalEvent::ProgramEnded(end) = event {
            cx.placing.forget_program(&end.program);
            erase_history(&cx, &end.program);
            spawn_releases(
                &cx,
                cx.endpoints
                    .caches
                    .locations
                    .lock()
                    .remove_ended(&cache_handle(end)),
            );
        }
    }
}

/// Deletes the stored history of an ended program, if the scheduler held it.
fn erase_history<P: Platform>(cx: &Cx<P>, program: &ProgramId) {
    let summary = cx.journals.program_summary(program);
    if summary.is_none_or(|summary| summary.history != HistoryMode::Held) {
        return;
    }
    let (history, program) = (cx.history.clone(), program.clone());
    cx.spawner.detach(async move {
        if let Err(e) = history.remove_segments(&program).await {
            log::warn!("cannot erase the history of an ended program program={program}: {e}");
        }
    });
}

fn cache_handle(end: ProgramEnd) -> CacheHandle {
    CacheHandle {
        customer: end.customer,
        program: end.program,
        epoch: end.epoch,
    }
}

/// Releases idle caches, and those of ended programs whose end event was
/// missed, in every review period.
pub(super) async fn run_sweeps<P: Platform>(cx: Cx<P>, timers: Timers) {
    let ticks = timers.subscribe(cx.cfg.endpoints.review_period).await;
    while ticks.recv().await.is_ok() {
        let idle = cx.cfg.endpoints.idle_release;
        let status =
            |handle: &CacheHandle| ProgramStatus::of(&owners::owner_state(&cx, handle), handle);
        let mut locations = cx.endpoints.caches.locations.lock();
        let releases = locations.sweep(Moment::now(), idle, status);
        drop(locations);
        spawn_releases(&cx, releases);
    }
}

fn spawn_releases<P: Platform>(cx: &Cx<P>, releases: Vec<EngineRelease>) {
    for release in releases {
        cx.spawner.detach(send_release(Cx::clone(cx), release));
    }
}

async fn send_release<P: Platform>(cx: Cx<P>, release: EngineRelease) {
    let Some(endpoint) = cx.configuration.endpoint(&release.endpoint) else {
        cx.endpoints
            .caches
            .locations
            .lock()
            .record_outcome(&release, true);
        return;
    };
    let counters = &cx.endpoints.counters;
    increment(&counters.owner_releases);
    let result = engine::release_cache(&cx, endpoint.address, &release.request).await;
    if result.is_err() {
        increment(&counters.release_failures);
    }
    let mut locations = cx.endpoints.caches.locations.lock();
    locations.record_outcome(&release, result.is_ok());
}
