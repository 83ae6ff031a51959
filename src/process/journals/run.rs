//! The task of one partition: carries out its journal's platform calls.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;

use super::Inner;
use super::JournalEvent;
use super::cell::Cell;
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

/// Runs until the partition is released or lost.
pub(super) async fn run<P: Platform>(
    inner: Arc<Inner<P>>,
    partition: PartitionId,
    cell: Arc<Cell>,
) {
    let events = &inner.events_tx;
    loop {
        let next = match cell.poll(events) {
            Action::Stop => None,
            Action::Wait(until) => {
                wait(&cell, until).await;
                continue;
            }
            action => call(&inner, &partition, &cell, action).await,
        };
        if next.is_none() {
            break;
        }
    }
    stop(&inner, &partition, &cell);
}

/// Carries out one platform call; gives nothing if the journal stopped first.
async fn call<P: Platform>(
    inner: &Inner<P>,
    partition: &PartitionId,
    cell: &Cell,
    action: Action,
) -> Option<()> {
    let (platform, events) = (&inner.platform, &inner.events_tx);
    let name = partition.to_string();
    match action {
        Action::Write(write) => {
            let expect = Expect::At(write.expected);
            let written = platform.write(JOURNAL_KIND, &name, expect, write.nonce, write.value);
            let written = attend(cell, events, written).await?;
            cell.step(events, |journal, now| journal.finish_write(now, &written));
        }
        Action::Read => {
            let found = attend(cell, events, platform.read(JOURNAL_KIND, &name)).await?;
            cell.step(events, |journal, now| journal.finish_read(now, found));
        }
        Action::StoreAnswer { name, answer } => {
            let stored = attend(cell, events, store(platform, &name, &answer)).await?;
            cell.step(events, |journal, now| journal.finish_answer(now, &stored));
        }
        Action::StoreArchive { name, archive } => {
            let written = write_value(platform, ARCHIVE_KIND, &name, Expect::Absent, &archive);
            let stored = attend(cell, events, written).await?.map(|_| ());
            cell.step(events, |journal, now| journal.finish_archive(now, &stored));
        }
        Action::Remove(dropped) => {
            let removed = attend(cell, events, remove(platform, &dropped)).await?;
            cell.step(events, |journal, now| journal.finish_remove(now, &removed));
        }
        Action::Wait(_) | Action::Stop => {}
    }
    Some(())
}

/// Waits for a platform call and meanwhile keeps the journal's timers, so that
/// a call that hangs holds up no refusal.
async fn attend<T>(
    cell: &Cell,
    events: &Sender<JournalEvent>,
    call: impl Future<Output = T>,
) -> Option<T> {
    let mut call = pin!(call);
    loop {
        let Action::Wait(until) = cell.poll(events) else {
            return None;
        };
        let done = async { Some(call.as_mut().await) };
        let due = async {
            wait(cell, until).await;
            None
        };
        let done = future::or(done, due).await;
        if done.is_some() {
            return done;
        }
    }
}

/// Creates an answer's object. One that exists is from a lost answer to an
/// earlier attempt, since a once-only call runs at most once.
async fn store(platform: &impl Platform, name: &str, answer: &StoredAnswer) -> Result<()> {
    let written = write_value(platform, ANSWER_KIND, name, Expect::Absent, answer).await;
    written.map(|_| ())
}

async fn remove(platform: &impl Platform, dropped: &UnreferencedObject) -> Result<()> {
    let UnreferencedObject { kind, name } = dropped;
    if let Some(object) = platform.read(kind, name).await? {
        platform.remove(kind, name, object.version).await?;
    }
    Ok(())
}

async fn wait(cell: &Cell, until: Option<Moment>) {
    let due = async {
        match until {
            Some(until) => Timer::after(Moment::now().until(until)).await,
            None => future::pending().await,
        };
    };
    future::or(cell.woken(), due).await;
}

fn stop<P>(inner: &Inner<P>, partition: &PartitionId, cell: &Arc<Cell>) {
    let (status, epoch) = {
        let state = cell.lock();
        (state.journal.status(), state.journal.epoch())
    };
    let mut cells = inner.cells.write();
    let held = cells.get(partition);
    if held.is_some_and(|held| Arc::ptr_eq(held, cell)) {
        cells.remove(partition);
    }
    drop(cells);
    if status == Status::Deposed {
        log::warn!("journal lost to a higher epoch partition={partition} epoch={epoch}");
        let partition = partition.clone();
        // Readers find out what they have missed by other means.
        let _dropped = inner
            .events_tx
            .try_send(JournalEvent::Deposed { partition, epoch });
    } else {
        log::info!("journal released partition={partition} epoch={epoch}");
    }
    cell.stop();
}
