//! Saves the configuration on a thread of its own, so that file I/O blocks no
//! executor thread.

use std::io;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;

use super::file::SavedFile;
use crate::version::catalogue::Configuration;
use crate::version::catalogue::Summary;

/// Limit of requests that wait for the thread.
const MAX_PENDING_SAVES: usize = 64;

type Reply = Sender<bool>;

/// Handle to the saver thread.
#[derive(Clone, Debug)]
pub struct Saver {
    tx: Sender<Reply>,
}

impl Saver {
    /// Starts the thread; it ends when the last handle is dropped.
    ///
    /// # Errors
    ///
    /// If the operating system cannot create a thread.
    pub fn start(file: SavedFile, configuration: Configuration) -> io::Result<Self> {
        let (tx, rx) = async_channel::bounded(MAX_PENDING_SAVES);
        thread::Builder::new()
            .name("configuration-saver".to_owned())
            .spawn(move || serve_requests(&file, &configuration, &rx))?;
        Ok(Self { tx })
    }

    /// Saves the configuration as applied now. Returns true once it survives a
    /// crash and false if it could not be saved.
    pub async fn save(&self) -> bool {
        let (reply, saved) = async_channel::bounded(1);
        if self.tx.send(reply).await.is_err() {
            return false;
        }
        saved.recv().await.unwrap_or(false)
    }
}

fn serve_requests(file: &SavedFile, configuration: &Configuration, rx: &Receiver<Reply>) {
    let mut failing = false;
    let mut last_saved = None;
    while let Ok(first) = rx.recv_blocking() {
        // One save serves all requests that are queued before it.
        let mut replies = vec![first];
        while let Ok(reply) = rx.try_recv() {
            replies.push(reply);
        }
        let saved = save_if_changed(file, configuration, &mut last_saved);
        log_change(&mut failing, &saved);
        for reply in replies {
            // Fails only if the requester no longer waits.
            let _ignored = reply.try_send(saved.is_ok());
        }
    }
}

/// Writes the file unless it already holds the same versions and withdrawals.
fn save_if_changed(
    file: &SavedFile,
    configuration: &Configuration,
    last_saved: &mut Option<Summary>,
) -> super::file::Result<()> {
    let unsaved = configuration.read(|catalogue| {
        let summary = catalogue.digest().summary();
        (*last_saved != Some(summary)).then(|| (summary, catalogue.bundle()))
    });
    let Some((summary, bundle)) = unsaved else {
        return Ok(());
    };
    file.save(&bundle)?;
    *last_saved = Some(summary);
    Ok(())
}

/// Logs the first of consecutive failures and the first success after them.
fn log_change(failing: &mut bool, saved: &super::file::Result<()>) {
    match saved {
        Err(e) if !*failing => log::error!("cannot save the configuration: {e}"),
        Ok(()) if *failing => log::info!("configuration saved again after failures"),
        _ => {}
    }
    *failing = saved.is_err();
}
