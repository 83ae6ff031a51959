//! Releases the caches of programs that this host owns.

use std::sync::Arc;

use parking_lot::Mutex;

use super::counters::count;
use super::engine;
use super::home;
use crate::connection::platform::Platform;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::process::context::Cx;
use crate::process::journals::JournalEvent;
use crate::process::timers::Timers;
use crate::units::Moment;
use crate::version::engine_memory::CacheHandle;
use crate::version::engine_memory::Placement;
use crate::version::engine_memory::Standing;
use crate::version::engine_memory::Uses;
use crate::version::history::HistoryMode;
use crate::version::journal::ProgramEnd;

/// Caches of the programs that a host owns; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    uses: Arc<Mutex<Uses>>,
}

impl Memory {
    /// Notes that a call is about to be dispatched with a cache; false if it
    /// must go without one because the cache is being released.
    #[must_use]
    pub fn dispatch(&self, handle: &CacheHandle, endpoint: &EndpointId) -> bool {
        self.uses.lock().dispatch(Moment::now(), handle, endpoint)
    }
}

/// Releases the caches of programs as these end.
pub(super) async fn run_ends<P: Platform>(cx: Cx<P>) {
    let events = cx.journals.events();
    while let Ok(event) = events.recv().await {
        if let JournalEvent::ProgramEnded(end) = event {
            cx.placing.forget_program(&end.program);
            erase_history(&cx, &end.program);
            release(&cx, cx.endpoints.memory.uses.lock().ended(&handle(end)));
        }
    }
}

/// Removes the conversation of a program that is gone, if it was kept.
fn erase_history<P: Platform>(cx: &Cx<P>, program: &ProgramId) {
    let summary = cx.journals.program_summary(program);
    if summary.is_none_or(|summary| summary.history != HistoryMode::Held) {
        return;
    }
    let (history, program) = (cx.history.clone(), program.clone());
    cx.spawner.detach(async move {
        if let Err(e) = history.remove_segments(&program).await {
            log::warn!("history of an ended program is left program={program}: {e}");
        }
    });
}

fn handle(end: ProgramEnd) -> CacheHandle {
    CacheHandle {
        customer: end.customer,
        program: end.program,
        epoch: end.epoch,
    }
}

/// Releases idle caches, and those whose program's end went unnoticed.
pub(super) async fn run_sweeps<P: Platform>(cx: Cx<P>, timers: Timers) {
    let ticks = timers.subscribe(cx.cfg.endpoints.review_period).await;
    while ticks.recv().await.is_ok() {
        let idle = cx.cfg.endpoints.idle_release;
        let standing = |handle: &CacheHandle| Standing::of(&home::home(&cx, handle), handle);
        let mut uses = cx.endpoints.memory.uses.lock();
        let placements = uses.sweep(Moment::now(), idle, standing);
        drop(uses);
        release(&cx, placements);
    }
}

fn release<P: Platform>(cx: &Cx<P>, placements: Vec<Placement>) {
    for placement in placements {
        cx.spawner.detach(release_one(Cx::clone(cx), placement));
    }
}

async fn release_one<P: Platform>(cx: Cx<P>, placement: Placement) {
    let Some(endpoint) = cx.configuration.endpoint(&placement.endpoint) else {
        cx.endpoints.memory.uses.lock().settled(&placement, true);
        return;
    };
    let counters = &cx.endpoints.counters;
    count(&counters.owner_releases);
    let released = engine::release(&cx, endpoint.address, &placement.order).await;
    if released.is_err() {
        count(&counters.release_failures);
    }
    let mut uses = cx.endpoints.memory.uses.lock();
    uses.settled(&placement, released.is_ok());
}
