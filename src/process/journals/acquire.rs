//! Partition takeover: reads the journal, fences the previous owner with a
//! conditional write and activates the journal on this host.

use std::sync::Arc;

use super::Journals;
use super::run::run;
use super::shared::SharedJournal;
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

/// Attempts of one takeover while concurrent writers win the conditional
/// write.
const MAX_ATTEMPTS: usize = 4;

/// Error of a partition takeover.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum AcquireError {
    /// This host still holds the partition or is releasing it.
    #[error("the partition is already held by this host")]
    Held,
    /// An owner at the same or a higher epoch holds the partition.
    #[error(transparent)]
    Fenced(#[from] Fenced),
    /// Every attempt lost the conditional write to another writer.
    #[error("lost every journal write to concurrent writers")]
    Contended,
    /// The platform call failed; the takeover may be retried.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

type Result<T> = std::result::Result<T, AcquireError>;

impl<P: Platform> Journals<P> {
    /// Takes over a partition at an epoch.
    ///
    /// The partition accepts requests once the takeover is stored in the
    /// platform. After an error the takeover may still take effect; retrying
    /// at the same epoch is safe.
    ///
    /// # Errors
    ///
    /// [`AcquireError::Fenced`] with the epoch to exceed,
    /// [`AcquireError::Held`], [`AcquireError::Contended`], or the error of
    /// the platform call.
    pub async fn acquire(&self, partition: &PartitionId, epoch: Epoch) -> Result<()> {
        if self.find(partition).is_some() {
            return Err(AcquireError::Held);
        }
        for _ in 0..MAX_ATTEMPTS {
            if let Some((doc, version)) = self.fence(partition, epoch).await? {
                return self.activate(partition, doc, version);
            }
        }
        Err(AcquireError::Contended)
    }

    /// Attempts the takeover write once; `None` if another writer won.
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
        let shared = Arc::new(SharedJournal::new(journal));
        let mut by_partition = self.inner.by_partition.write();
        if by_partition.contains_key(partition) {
            return Err(AcquireError::Held);
        }
        by_partition.insert(partition.clone(), Arc::clone(&shared));
        drop(by_partition);
        log::info!("journal acquired partition={partition} epoch={epoch}");
        let task = run(Arc::clone(&self.inner), partition.clone(), shared);
        self.inner.spawner.detach(task);
        Ok(())
    }
}
