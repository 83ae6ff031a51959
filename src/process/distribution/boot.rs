//! Loads the configuration when a host starts.
//!
//! All sources are merged: the catalogue keeps the highest version of each
//! object, so an outdated source reverts nothing.

use super::Distribution;
use super::Hosts;
use super::file::FileError;
use super::file::SavedFile;
use super::standing::Standing;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::version::catalogue::Configuration;

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Loads the configuration from the saved file, the platform and the other
    /// hosts.
    ///
    /// Must be called once the host is listed as live and before it reports
    /// ready, and again when it is listed after its lease has lapsed. Changes
    /// reported as in force before the listing are then found in these
    /// sources, and later changes are in force only once this host confirms
    /// them. The host may serve from [`Standing::Saved`] on; until it is
    /// [`Standing::Current`], changes that are in force may be missing.
    pub async fn catch_up(&self) -> Standing {
        if self.load_saved() {
            let term = self.hosts.term();
            self.standing.raise(Standing::Saved, term, term);
        }
        self.list_all().await;
        // Other hosts may hold withdrawals that the platform has not recorded.
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

/// Applies the saved file. Returns false if it is missing or unreadable.
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
