//! Where a starting host gets its configuration from.
//!
//! Every source is merged, none replaces another: versions only rise, so a
//! source that is behind takes nothing back.

use super::Distribution;
use super::Hosts;
use super::file::FileError;
use super::file::SavedFile;
use super::standing::Standing;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::version::catalogue::Configuration;

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Collects the configuration before the host serves.
    ///
    /// To be called once the host is listed as live and before it reports
    /// ready, also when it becomes live again after its lease had lapsed. A
    /// change that was reported as in force before the listing is then found
    /// here, and a later one is also asked of this host. The host may serve
    /// from [`Standing::Saved`] on; until it is [`Standing::Current`], changes
    /// that were in force may be missing.
    pub async fn catch_up(&self) -> Standing {
        if self.load_saved() {
            let term = self.hosts.term();
            self.standing.raise(Standing::Saved, term, term);
        }
        self.list_all().await;
        // Other hosts may know withdrawals that the platform does not.
        self.exchange_with_all().await;
        self.save().await;
        self.standing()
    }

    fn load_saved(&self) -> bool {
        let Some(dir) = &self.cfg.data_dir else {
            return false;
        };
        load_file(&SavedFile::new(dir), &self.configuration)
    }
}

/// Applies the saved file, if there is a sound one.
fn load_file(file: &SavedFile, configuration: &Configuration) -> bool {
    match file.load() {
        Ok(Some(bundle)) => {
            configuration.apply(bundle);
            true
        }
        Ok(None) => false,
        Err(e) => {
            log::error!("{e}");
            set_aside_if_damaged(file, &e);
            false
        }
    }
}

fn set_aside_if_damaged(file: &SavedFile, e: &FileError) {
    if !matches!(e, FileError::Damaged { .. }) {
        return;
    }
    if let Err(e) = file.set_aside() {
        log::error!("{e}");
    }
}
