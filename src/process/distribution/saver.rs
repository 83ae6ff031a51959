//! A thread that saves the configuration, so that no executor thread blocks.

use std::io;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;

use super::file::SavedFile;
use crate::version::catalogue::Configuration;
use crate::version::catalogue::Summary;

/// Requests waiting for the thread.
const MAX_PENDING_SAVES: usize = 64;

type Reply = Sender<bool>;

/// Handle to the saving thread.
#[derive(Clone, Debug)]
pub struct Saver {
    tx: Sender<Reply>,
}

impl Saver {
    /// Starts the thread; it ends when the last handle is dropped.
    ///
    /// # Errors
    ///
    /// What the operating system reported when asked for a thread.
    pub fn start(file: SavedFile, configuration: Configuration) -> io::Result<Self> {
        let (tx, rx) = async_channel::bounded(MAX_PENDING_SAVES);
        thread::Builder::new()
            .name("configuration-saver".to_owned())
            .spawn(move || run(&file, &configuration, &rx))?;
        Ok(Self { tx })
    }

    /// Saves what is applied now; true once it survives a crash.
    pub async fn save(&self) -> bool {
        let (reply, saved) = async_channel::bounded(1);
        if self.tx.send(reply).await.is_err() {
            return false;
        }
        saved.recv().await.unwrap_or(false)
    }
}

fn run(file: &SavedFile, configuration: &Configuration, rx: &Receiver<Reply>) {
    let mut failing = false;
    let mut last_saved = None;
    while let Ok(first) = rx.recv_blocking() {
        // One save answers all requests that came before it.
        let mut replies = vec![first];
        while let Ok(reply) = rx.try_recv() {
            replies.push(reply);
        }
        let saved = save(file, configuration, &mut last_saved);
        log_change(&mut failing, &saved);
        for reply in replies {
            // A requester that has gone needs no answer.
            let _ignored = reply.try_send(saved.is_ok());
        }
    }
}

/// Saves unless the file holds the same versions and withdrawals already.
fn save(
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

fn log_change(failing: &mut bool, saved: &super::file::Result<()>) {
    match saved {
        Err(e) if !*failing => log::error!("saving the configuration failed: {e}"),
        Ok(()) if *failing => log::info!("saving the configuration works again"),
        _ => {}
    }
    *failing = saved.is_err();
}
