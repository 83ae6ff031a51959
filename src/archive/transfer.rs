//! Sends records to other archive hosts: all of them when the host is emptied,
//! and those of which another holder was lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;

use super::Storage;
use super::holders;
use super::index::Item;
use super::index::Link;
use super::index::Selection;
use super::peers::SentAnswer;
use super::reader::ReadError;
use crate::ids::HostId;
use crate::process::events::unix_ms;
use crate::protection::homes::HomeRule;
use crate::turns::TurnKey;
use crate::turns::record::Record;
use crate::units::Moment;

/// Size of the records that are sent at a time, in bytes. They are spread over
/// many hosts, each of which gets one request.
const ROUND_BYTES: u64 = 4 << 20;
/// Largest request, in bytes; a single larger record is sent alone.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Delay before records that no host has taken are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Size of the records of lost holders that are sent at a time, in bytes.
const REPLACE_ROUND_BYTES: u64 = 1 << 20;

/// Hosts to which records have been sent, by key.
type Sent = HashMap<TurnKey, HostId>;

/// A record on its way to another host.
struct Move {
    item: Item,
    /// Holders afterwards, without the new one.
    holders: Vec<HostId>,
}

#[derive(Serialize)]
struct DrainLine {
    records: usize,
    spent_ms: u128,
}

#[derive(Serialize)]
struct ReplacedLine<'a> {
    lost: &'a BTreeSet<HostId>,
    records: usize,
    spent_ms: u128,
}

/// Sends all live records of this host to others, and waits until they are
/// stored there. The host takes no more records by then.
pub async fn drain(storage: &Arc<Storage>) {
    let started = Moment::now();
    let own = storage.shared.place.host.clone();
    let mut sent = Sent::new();
    let mut after = 0;
    while storage.shared.is_draining() {
        // Records that were being written when the host began to refuse them.
        storage.writer.store(Vec::new(), None).await;
        let unsent = |key: &TurnKey, _: &Arc<[HostId]>| !sent.contains_key(key);
        let selection = select(storage, after, ROUND_BYTES, unsent);
        if selection.items.is_empty() && selection.next.is_none() {
            if after == 0 {
                break;
            }
            after = 0;
            continue;
        }
        let next = selection.next.unwrap_or(0);
        let unsent = send_all(storage, selection, &mut sent, |host| *host == own).await;
        if unsent > 0 {
            Timer::after(RETRY_DELAY).await;
        } else {
            after = next;
        }
    }
    let line = DrainLine {
        records: sent.len(),
        spent_ms: Moment::now().since(started).as_millis(),
    };
    storage.log.state("turns-drained", &line);
}

/// Sends the records of which a holder is lost, and that this host is the first
/// to replace, to other hosts.
pub async fn replace_lost(storage: &Arc<Storage>) {
    let started = Moment::now();
    let own = storage.shared.place.host.clone();
    let contacts = storage.contacts.lock().clone();
    let silent = contacts.silent(started);
    let is_lost = |host: &HostId| *host != own && contacts.is_lost(host, &silent);
    let lists = storage.shared.index.lock().holder_lists();
    let affected: HashSet<Arc<[HostId]>> = lists
        .into_iter()
        .filter(|hosts| holders::replaces_lost(&own, hosts, is_lost))
        .collect();
    if affected.is_empty() {
        return;
    }
    let mut sent = Sent::new();
    let mut after = Some(0);
    while let Some(from) = after {
        let round = Moment::now();
        let wanted = |_: &TurnKey, hosts: &Arc<[HostId]>| affected.contains(hosts);
        let selection = select(storage, from, REPLACE_ROUND_BYTES, wanted);
        after = selection.next;
        // Those that no host takes are sent at the next call.
        send_all(storage, selection, &mut sent, is_lost).await;
        if storage.contacts.lock().silent(Moment::now()) != silent {
            // Lost hosts have come back, or there are more.
            break;
        }
        let now = Moment::now();
        let since_loss = storage.times.since_loss(started, now);
        let pause = storage.times.pause(since_loss, now.since(round));
        if after.is_some() && !pause.is_zero() {
            Timer::after(pause).await;
        }
    }
    if !sent.is_empty() {
        let line = ReplacedLine {
            lost: &silent,
            records: sent.len(),
            spent_ms: Moment::now().since(started).as_millis(),
        };
        storage.log.state("turns-replaced", &line);
    }
}

fn select(
    storage: &Storage,
    after: u64,
    max_bytes: u64,
    is_wanted: impl Fn(&TurnKey, &Arc<[HostId]>) -> bool,
) -> Selection {
    let index = storage.shared.index.lock();
    index.select(after, max_bytes, unix_ms(), is_wanted)
}

/// Sends records to hosts that do not hold them, in place of the holders that
/// leave. Returns the number of records that no host has taken.
async fn send_all(
    storage: &Arc<Storage>,
    selection: Selection,
    sent: &mut Sent,
    leaves: impl Fn(&HostId) -> bool,
) -> usize {
    // Hosts that may be lost too would cost a time-out each.
    let doubt = storage.times.doubt();
    let mut failed = storage.contacts.lock().silent_for(doubt, Moment::now());
    let mut left = selection.items;
    let mut untaken = 0;
    loop {
        let count = left.len();
        let groups = group(storage, left, sent, &failed, &leaves);
        let grouped: usize = groups.values().map(Vec::len).sum();
        untaken += count - grouped;
        let tasks: Vec<_> = groups
            .into_iter()
            .map(|(target, moves)| {
                let storage = Arc::clone(storage);
                let known: Sent = sent_to(&moves, sent);
                storage.spawner.clone().spawn(async move {
                    let outcome = send_group(&storage, &target, moves, known).await;
                    (target, outcome)
                })
            })
            .collect();
        left = Vec::new();
        for task in tasks {
            let (target, outcome) = task.await;
            for key in outcome.sent {
                sent.insert(key, target.clone());
            }
            if !outcome.unsent.is_empty() {
                failed.insert(target);
                left.extend(outcome.unsent);
            }
        }
        if left.is_empty() {
            return untaken;
        }
    }
}

/// The previous turns of a group that were sent, with where they were sent to.
fn sent_to(moves: &[Move], sent: &Sent) -> Sent {
    let previous = moves
        .iter()
        .filter_map(|moved| moved.item.previous.as_ref());
    previous
        .filter_map(|key| Some((key.clone(), sent.get(key)?.clone())))
        .collect()
}

/// Groups records by the hosts that they are sent to. A chain goes to one host,
/// so that its text is sent once.
fn group(
    storage: &Storage,
    items: Vec<Item>,
    sent: &Sent,
    failed: &BTreeSet<HostId>,
    leaves: &impl Fn(&HostId) -> bool,
) -> BTreeMap<HostId, Vec<Move>> {
    let listed = storage.hosts();
    let mut groups: BTreeMap<HostId, Vec<Move>> = BTreeMap::new();
    let mut planned: Sent = HashMap::new();
    for item in items {
        let rule = HomeRule::new(&item.homes, &storage.shared.regions);
        let is_outside = |host: &HostId| {
            rule.is_some_and(|rule| {
                let listed = listed.get(host);
                !listed.is_some_and(|listed| rule.contains(listed.data_centre.as_str()))
            })
        };
        let is_unusable = |host: &HostId| failed.contains(host) || leaves(host) || is_outside(host);
        let takers = holders::takers(item.root.id(), &item.holders, &listed, is_unusable);
        let previous = item.previous.as_ref();
        let before = previous.and_then(|key| planned.get(key).or_else(|| sent.get(key)));
        let same = before.filter(|host| takers.contains(host)).cloned();
        let Some(target) = same.or_else(|| takers.into_iter().next()) else {
            continue;
        };
        planned.insert(item.key.clone(), target.clone());
        let remaining = item.holders.iter().filter(|host| !leaves(host));
        let holders = remaining.cloned().collect();
        groups
            .entry(target)
            .or_default()
            .push(Move { item, holders });
    }
    groups
}

#[derive(Default)]
struct Outcome {
    sent: Vec<TurnKey>,
    unsent: Vec<Item>,
}

/// Sends records to one host, in the order of their chains.
async fn send_group(
    storage: &Storage,
    target: &HostId,
    moves: Vec<Move>,
    mut known: Sent,
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut batch = BytesMut::new();
    let mut pending: Vec<Move> = Vec::new();
    let mut moves = moves.into_iter();
    loop {
        let next = moves.next();
        let is_last = next.is_none();
        if let Some(moved) = next {
            let previous = moved.item.previous.as_ref();
            let is_known = previous.is_some_and(|key| known.get(key) == Some(target));
            match frame(storage, &moved, target, is_known).await {
                Ok(frame) => {
                    batch.extend_from_slice(&frame);
                    known.insert(moved.item.key.clone(), target.clone());
                    pending.push(moved);
                }
                Err(e) => {
                    log::error!("cannot read turn {} to send it: {e}", moved.item.key);
                    outcome.unsent.push(moved.item);
                }
            }
        }
        if batch.is_empty() || (!is_last && batch.len() < MAX_REQUEST_BYTES) {
            if is_last {
                return outcome;
            }
            continue;
        }
        let frames = batch.split().freeze();
        let stored = send_batch(storage, target, frames, &pending).await;
        let batch_moves = std::mem::take(&mut pending);
        if stored {
            let mut index = storage.shared.index.lock();
            for mut moved in batch_moves {
                moved.holders.push(target.clone());
                index.set_holders(&moved.item.key, &moved.holders);
                outcome.sent.push(moved.item.key);
            }
        } else {
            outcome
                .unsent
                .extend(batch_moves.into_iter().map(|m| m.item));
            outcome.unsent.extend(moves.map(|m| m.item));
            return outcome;
        }
        if is_last {
            return outcome;
        }
    }
}

/// Sends frames, and the whole texts of those that the host cannot store without.
/// Returns whether all are stored.
async fn send_batch(storage: &Storage, target: &HostId, frames: Bytes, moves: &[Move]) -> bool {
    let Some(to) = storage.address_of(target) else {
        return false;
    };
    let timeout = storage.times.call_timeout(frames.len());
    let missing = match storage.peers.store(to, frames, timeout).await {
        Ok(SentAnswer::Stored) => return true,
        Ok(SentAnswer::Missing(missing)) => missing,
        Err(e) => {
            log::warn!("cannot send turns to host {target}: {e}");
            return false;
        }
    };
    for moved in moves {
        let previous = moved.item.previous.as_ref();
        if !previous.is_some_and(|key| missing.contains(key)) {
            continue;
        }
        let Ok(frame) = frame(storage, moved, target, false).await else {
            return false;
        };
        let timeout = storage.times.call_timeout(frame.len());
        let stored = storage.peers.store(to, frame, timeout).await;
        if !matches!(stored, Ok(SentAnswer::Stored)) {
            return false;
        }
    }
    true
}

/// Returns the frame of a record that names its holders with the new one. It has
/// the whole text unless the receiver has the turn before.
async fn frame(
    storage: &Storage,
    moved: &Move,
    target: &HostId,
    is_previous_known: bool,
) -> Result<Bytes, ReadError> {
    let chain: Vec<Link> = match (is_previous_known, moved.item.chain.last()) {
        (true, Some(last)) => vec![last.clone()],
        _ => moved.item.chain.clone(),
    };
    let mut frame = storage.bulk_reader.frames(vec![chain]).await?.freeze();
    let record = Record::decode(&mut frame).ok().flatten();
    let mut record = record.ok_or(ReadError::Damaged)?;
    record.head.holders = moved.holders.clone();
    record.head.holders.push(target.clone());
    Ok(record.to_frame())
}
