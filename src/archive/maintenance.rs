//! Follows the other archive hosts: repairs records that too few of them have, and
//! removes the entries of hosts that are gone.

use std::collections::BTreeMap;
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
use crate::ids::Incarnation;
use crate::lists::ListKind;
use crate::lists::archives::ArchiveEntry;
use crate::lists::archives::Archives;
use crate::process::events::unix_ms;
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
    storage.spawner.detach(repair(Arc::clone(&storage)));
    storage.spawner.detach(remove_stale(Arc::clone(&storage)));
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
            silent_before = silent;
        }
    }
}

/// Repairs records that too few hosts have. This must not delay the probes.
async fn repair(storage: Arc<Storage>) {
    let mut waiting = 0;
    let mut known = None;
    let mut pause = storage.times.check_period();
    let mut incarnations = BTreeMap::new();
    loop {
        Timer::after(pause).await;
        if storage.shared.archives.upto().is_none() || storage.shared.is_draining() {
            continue;
        }
        check_restarted(&storage, &mut incarnations);
        let silent = storage.contacts.lock().silent(Moment::now());
        let now_known = Some((storage.hosts(), silent));
        let now_waiting = transfer::repair(&storage).await;
        // Records that no host can take are not looked at all the time.
        let is_stuck = now_waiting > 0 && now_waiting >= waiting && now_known == known;
        pause = match is_stuck {
            true => (pause * 2).min(storage.times.check_delay()),
            false => storage.times.check_period(),
        };
        (waiting, known) = (now_waiting, now_known);
    }
}

/// Checks the records of hosts that were started again, after the time in which they
/// refill a disk that they have lost.
fn check_restarted(storage: &Storage, incarnations: &mut BTreeMap<HostId, Incarnation>) {
    let due_ms = unix_ms() + storage.times.refill_ms();
    let entries = storage.shared.archives.entries();
    let mut known = BTreeMap::new();
    for (name, entry) in entries.iter() {
        let Ok(host) = name.parse::<HostId>() else {
            continue;
        };
        let before = incarnations.get(&host);
        if before.is_some_and(|before| *before != entry.incarnation)
            && host != storage.shared.place.host
        {
            let mut index = storage.shared.index.lock();
            index.check_all_of(&host, due_ms);
        }
        known.insert(host, entry.incarnation);
    }
    *incarnations = known;
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

/// Removes entries of hosts that are gone. The store may be slow, which must not delay
/// the probes.
async fn remove_stale(storage: Arc<Storage>) {
    loop {
        Timer::after(storage.times.check_period()).await;
        if storage.shared.archives.upto().is_some() {
            remove_stale_entries(&storage).await;
        }
    }
}

/// Removes the entries of hosts that have been silent for long and for which this
/// host is the first among those that answer.
async fn remove_stale_entries(storage: &Storage) {
    let silent = storage.contacts.lock().silent(Moment::now());
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
