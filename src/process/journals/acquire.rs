//! Takeover of a partition: read, fence by conditional write, then activate.

use std::sync::Arc;

use super::Journals;
use super::cell::Cell;
use super::run::run;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::connection::platform::decode;
use crate::connection::platform::nonce_of;
use crate::ids::Epoch;
use crate::ids::Version;
use crate::units::Moment;
use crate::version::journal::Document;
use crate::version::journal::Fenced;
use crate::version::journal::JOURNAL_KIND;
use crate::version::journal::Journal;
use crate::version::journal::PartitionId;

/// Attempts of one takeover against writers that race with it.
const ATTEMPTS: usize = 4;

/// Why a partition was not taken over.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum AcquireError {
    /// This host holds the partition, or is just letting it go.
    #[error("the partition is held by this host")]
    Held,
    /// An owner of the same or a higher epoch holds it.
    #[error(transparent)]
    Fenced(#[from] Fenced),
    /// Other writers were faster each time.
    #[error("other writers of the journal were faster")]
    Contended,
    /// The platform gave no result; the takeover may be tried again.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Result of a takeover.
type Result<T> = std::result::Result<T, AcquireError>;

impl<P: Platform> Journals<P> {
    /// Takes a partition over at an epoch.
    ///
    /// Requests are taken once the takeover is in the platform. After an error
    /// the takeover may still take effect; trying again at the same epoch is
    /// safe.
    ///
    /// # Errors
    ///
    /// [`AcquireError::Fenced`] with the epoch to exceed, or why the platform
    /// gave no result.
    pub async fn acquire(&self, partition: &PartitionId, epoch: Epoch) -> Result<()> {
        if self.cell(partition).is_some() {
            return Err(AcquireError::Held);
        }
        for _ in 0..ATTEMPTS {
            if let Some((doc, version)) = self.fence(partition, epoch).await? {
                return self.activate(partition, doc, version);
            }
        }
        Err(AcquireError::Contended)
    }

    /// Writes the takeover once; gives nothing if another write came first.
    async fn fence(
        &self,
        partition: &PartitionId,
        epoch: Epoch,
    ) -> Result<Option<(Document, Version)>> {
        let platform = &self.inner.platform;
        let name = partition.to_string();
        let found = platform.read(JOURNAL_KIND, &name).await?;
        let stored = found.as_ref().map(|object| decode(JOURNAL_KIND, object));
        let doc = Journal::takeover_document(stored.transpose()?, epoch, self.inner.owner)?;
        let (nonce, value) = doc.encode();
        let expect = found.map_or(Expect::Absent, |object| Expect::At(object.version));
        let written = platform
            .write(JOURNAL_KIND, &name, expect, nonce, value)
            .await;
        match written {
            Ok(Written::Done(version)) => return Ok(Some((doc, version))),
            Ok(Written::Conflict) | Err(PlatformError::UnknownOutcome) => {}
            Err(error) => return Err(error.into()),
        }
        let found = platform.read(JOURNAL_KIND, &name).await?;
        let ours = found.filter(|object| nonce_of(&object.value) == Some(nonce));
        Ok(ours.map(|object| (doc, object.version)))
    }

    fn activate(&self, partition: &PartitionId, doc: Document, version: Version) -> Result<()> {
        let journal = Journal::from_document(
            partition.clone(),
            self.inner.cfg.clone(),
            Arc::clone(&self.inner.counters),
            doc,
            version,
            Moment::now(),
        );
        let epoch = journal.epoch();
        let cell = Arc::new(Cell::new(journal));
        let mut cells = self.inner.cells.write();
        if cells.contains_key(partition) {
            return Err(AcquireError::Held);
        }
        cells.insert(partition.clone(), Arc::clone(&cell));
        drop(cells);
        log::info!("journal acquired partition={partition} epoch={epoch}");
        let task = run(Arc::clone(&self.inner), partition.clone(), cell);
        self.inner.spawner.detach(task);
        Ok(())
    }
}
