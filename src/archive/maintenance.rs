//! Follows the other archive hosts: replaces lost holders, and removes the
//! entries of hosts that are gone.

use std::collections::BTreeSet;
use std::sync::Arc;

use async_io::Timer;
use parking_lot::Mutex;
use serde::Serialize;

use super::Storage;
use super::holders;
use super::transfer;
use crate::connection::platform;
use crate::connection::platform::Platform;
use crate::connection::platform::Written;
use crate::ids::HostId;
use crate::lists::ListKind;
use crate::lists::archives::ArchiveEntry;
use crate::lists::archives::Archives;
use crate::units::Moment;

/// Multiple of the longest retention for which the entry of a silent host stays.
const STALE_RETENTIONS: u32 = 2;

#[derive(Serialize)]
struct LostLine<'a> {
    silent: &'a BTreeSet<HostId>,
}

#[derive(Serialize)]
struct RemovedLine<'a> {
    archive: &'a str,
}

/// Follows the other hosts until the process ends.
pub async fn run(storage: Arc<Storage>) {
    storage
        .spawner
        .detach(replace_lost_holders(Arc::clone(&storage)));
    let mut silent_before = BTreeSet::new();
    let probed = Arc::new(Mutex::new(BTreeSet::new()));
    loop {
        Timer::after(storage.times.check_period()).await;
        if storage.shared.archives.upto().is_none() {
            continue;
        }
        start_probes(&storage, &probed);
        let silent = storage.contacts.lock().silent(Moment::now());
        if silent != silent_before {
            let line = LostLine { silent: &silent };
            storage.log.state("archives-silent", &line);
            silent_before.clone_from(&silent);
        }
        remove_stale(&storage, &silent).await;
    }
}

/// Replaces lost holders. This must not delay the probes.
async fn replace_lost_holders(storage: Arc<Storage>) {
    loop {
        Timer::after(storage.times.check_period()).await;
        let is_known = storage.shared.archives.upto().is_some();
        if is_known && !storage.shared.is_draining() {
            transfer::replace_lost(&storage).await;
        }
    }
}

/// Probes the other hosts, except those that were probed and have not answered yet.
fn start_probes(storage: &Arc<Storage>, probed: &Arc<Mutex<BTreeSet<HostId>>>) {
    let others = storage.other_hosts();
    storage.contacts.lock().set_listed(&others, Moment::now());
    for host in others.into_keys() {
        if !probed.lock().insert(host.clone()) {
            continue;
        }
        let (storage, probed) = (Arc::clone(storage), Arc::clone(probed));
        let spawner = storage.spawner.clone();
        spawner.detach(async move {
            probe(&storage, &host).await;
            probed.lock().remove(&host);
        });
    }
}

async fn probe(storage: &Storage, host: &HostId) {
    let Some(to) = storage.address_of(host) else {
        return;
    };
    match storage.peers.probe(to, storage.times.probe_timeout()).await {
        Ok(()) => storage.contacts.lock().set_answered(host, Moment::now()),
        Err(e) => log::debug!("archive host {host} does not answer: {e}"),
    }
}

/// Removes the entries of hosts that have been silent for long and for which this
/// host is the first among those that answer.
async fn remove_stale(storage: &Storage, silent: &BTreeSet<HostId>) {
    let limit = storage.longest_retention() * STALE_RETENTIONS;
    let stale = {
        let contacts = storage.contacts.lock();
        contacts.silent_for(limit, Moment::now())
    };
    let others = storage.other_hosts();
    let own = &storage.shared.place.host;
    for host in stale {
        let answering = others.keys().filter(|other| !silent.contains(other));
        if !holders::is_first(own, host.as_str(), answering) {
            continue;
        }
        match remove_entry(storage, &host).await {
            Ok(true) => {
                let archive = host.as_str();
                storage
                    .log
                    .state("archive-removed", &RemovedLine { archive });
            }
            Ok(false) => {}
            Err(e) => log::debug!("cannot remove the entry of archive host {host} yet: {e}"),
        }
    }
}

/// Removes an entry unless the host has been started since.
async fn remove_entry(storage: &Storage, host: &HostId) -> platform::Result<bool> {
    let store = &storage.store;
    let stored = platform::read_value::<ArchiveEntry>(store, Archives::KIND, host.as_str()).await?;
    let Some((version, entry)) = stored else {
        return Ok(false);
    };
    let listed = storage.shared.archives.entries();
    let known = listed.get(host.as_str());
    if known.is_none_or(|known| known.incarnation != entry.incarnation) {
        return Ok(false);
    }
    let removed = store.remove(Archives::KIND, host.as_str(), version).await?;
    Ok(matches!(removed, Written::Done(_)))
}
