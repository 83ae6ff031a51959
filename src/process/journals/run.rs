//! The task of a partition, which executes the platform calls of its journal.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;

use super::Inner;
use super::JournalEvent;
use super::shared::SharedJournal;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::Result;
use crate::connection::platform::write_value;
use crate::units::Moment;
use crate::version::journal::ANSWER_KIND;
use crate::version::journal::ARCHIVE_KIND;
use crate::version::journal::Action;
use crate::version::journal::JOURNAL_KIND;
use crate::version::journal::PartitionId;
use crate::version::journal::Status;
use crate::version::journal::StoredAnswer;
use crate::version::journal::UnreferencedObject;

/// Drives a journal until its partition is released or lost.
pub(super) async fn run<P: Platform>(
    inner: Arc<Inner<P>>,
    partition: PartitionId,
    shared: Arc<SharedJournal>,
) {
    let events = &inner.events_tx;
    loop {
        let next = match shared.poll(events) {
            Action::Stop => None,
            Action::Wait(until) => {
                wait_until(&shared, until).await;
                continue;
            }
            action => execute(&inner, &partition, &shared, action).await,
        };
        if next.is_none() {
            break;
        }
    }
    deregister(&inner, &partition, &shared);
}

/// Executes one platform call; `None` if the journal stops before it
/// completes.
async fn execute<P: Platform>(
    inner: &Inner<P>,
    partition: &PartitionId,
    shared: &SharedJournal,
    action: Action,
) -> Option<()> {
    let (platform, events) = (&inner.platform, &inner.events_tx);
    let name = partition.to_string();
    match action {
        Action::Write(write) => {
            let expect = Expect::At(write.expected);
            let written = platform.write(JOURNAL_KIND, &name, expect, write.nonce, write.value);
            let written = await_call(shared, events, written).await?;
            shared.step(events, |journal, now| journal.finish_write(now, &written));
        }
        Action::Read => {
            let found = await_call(shared, events, platform.read(JOURNAL_KIND, &name)).await?;
            shared.step(events, |journal, now| journal.finish_read(now, found));
        }
        Action::StoreAnswer { name, answer } => {
            let stored = await_call(shared, events, store_answer(platform, &name, &answer)).await?;
            shared.step(events, |journal, now| journal.finish_answer(now, &stored));
        }
        Action::StoreArchive { name, archive } => {
            let written = write_value(platform, ARCHIVE_KIND, &name, Expect::Absent, &archive);
            let stored = await_call(shared, events, written).await?.map(|_| ());
            shared.step(events, |journal, now| journal.finish_archive(now, &stored));
        }
        Action::Remove(unreferenced) => {
            let removed =
                await_call(shared, events, remove_object(platform, &unreferenced)).await?;
            shared.step(events, |journal, now| journal.finish_remove(now, &removed));
        }
        Action::Wait(_) | Action::Stop => {}
    }
    Some(())
}

/// Awaits a platform call while serving the journal's timers, so that a
/// hanging call delays no refusal. Returns `None` if the journal stops first.
async fn await_call<T>(
    shared: &SharedJournal,
    events: &Sender<JournalEvent>,
    call: impl Future<Output = T>,
) -> Option<T> {
    let mut call = pin!(call);
    loop {
        let Action::Wait(until) = shared.poll(events) else {
            return None;
        };
        let done = async { Some(call.as_mut().await) };
        let due = async {
            wait_until(shared, until).await;
            None
        };
        let done = future::or(done, due).await;
        if done.is_some() {
            return done;
        }
    }
}

/// Stores an answer as an object. An object that already exists counts as
/// success: a once-only call runs at most once, so an earlier attempt wrote
/// the object and its response was lost.
async fn store_answer(platform: &impl Platform, name: &str, answer: &StoredAnswer) -> Result<()> {
    let written = write_value(platform, ANSWER_KIND, name, Expect::Absent, answer).await;
    written.map(|_| ())
}

async fn remove_object(platform: &impl Platform, unreferenced: &UnreferencedObject) -> Result<()> {
    let UnreferencedObject { kind, name } = unreferenced;
    if let Some(object) = platform.read(kind, name).await? {
        platform.remove(kind, name, object.version).await?;
    }
    Ok(())
}

async fn wait_until(shared: &SharedJournal, until: Option<Moment>) {
    let due = async {
        match until {
            Some(until) => Timer::after(Moment::now().until(until)).await,
            None => future::pending().await,
        };
    };
    future::or(shared.wait_for_wake(), due).await;
}

/// Removes a stopped journal from the host and reports why it stopped.
fn deregister<P>(inner: &Inner<P>, partition: &PartitionId, shared: &Arc<SharedJournal>) {
    let (status, epoch) = {
        let state = shared.lock();
        (state.journal.status(), state.journal.epoch())
    };
    let mut by_partition = inner.by_partition.write();
    let held = by_partition.get(partition);
    if held.is_some_and(|held| Arc::ptr_eq(held, shared)) {
        by_partition.remove(partition);
    }
    drop(by_partition);
    if status == Status::Deposed {
        log::warn!(
            "journal lost to an owner at a higher epoch partition={partition} epoch={epoch}"
        );
        let partition = partition.clone();
        // Readers detect missed events by other means.
        let _dropped = inner
            .events_tx
            .try_send(JournalEvent::Deposed { partition, epoch });
    } else {
        log::info!("journal released partition={partition} epoch={epoch}");
    }
    shared.mark_stopped();
}
