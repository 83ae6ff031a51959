//! The task of one partition: carries out its journal's platform calls.

use std::sync::Arc;

use async_io::Timer;
use futures_lite::future;

use super::Inner;
use super::JournalEvent;
use super::cell::Cell;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::write_value;
use crate::units::Moment;
use crate::version::journal::ANSWER_KIND;
use crate::version::journal::Action;
use crate::version::journal::JOURNAL_KIND;
use crate::version::journal::PartitionId;
use crate::version::journal::Status;
use crate::version::journal::StoredAnswer;

/// Runs until the partition is released or lost.
pub(super) async fn run<P: Platform>(
    inner: Arc<Inner<P>>,
    partition: PartitionId,
    cell: Arc<Cell>,
) {
    let name = partition.to_string();
    let (platform, events) = (&inner.platform, &inner.events_tx);
    loop {
        match cell.poll(events) {
            Action::Write(write) => {
                let expect = Expect::At(write.expected);
                let written = platform
                    .write(JOURNAL_KIND, &name, expect, write.nonce, write.value)
                    .await;
                cell.step(events, |journal, now| journal.written(now, &written));
            }
            Action::Read => {
                let found = platform.read(JOURNAL_KIND, &name).await;
                cell.step(events, |journal, now| journal.settled(now, found));
            }
            Action::StoreAnswer { name, answer } => {
                let stored = store(platform, &name, &answer).await;
                cell.step(events, |journal, now| journal.answer_stored(now, &stored));
            }
            Action::Wait(until) => wait(&cell, until).await,
            Action::Stop => break,
        }
    }
    stop(&inner, &partition, &cell);
}

/// Creates an answer's object. One that exists is from a lost answer to an
/// earlier attempt, since a once-only call runs at most once.
async fn store(
    platform: &impl Platform,
    name: &str,
    answer: &StoredAnswer,
) -> Result<(), PlatformError> {
    let written = write_value(platform, ANSWER_KIND, name, Expect::Absent, answer).await;
    written.map(|_| ())
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
    if cells
        .get(partition)
        .is_some_and(|held| Arc::ptr_eq(held, cell))
    {
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
