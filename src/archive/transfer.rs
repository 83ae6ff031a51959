//! Sends records to other archive hosts, until enough have them: all of them when
//! the host is emptied, and those that other holders lack or have lost.
//!
//! Before records are sent, the hosts themselves are asked which they have.

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
use super::copies::Copies;
use super::copies::Step;
use super::copies::View;
use super::holders;
use super::holders::ListedHosts;
use super::index::Item;
use super::index::Link;
use super::index::Selection;
use super::peers::Held;
use super::peers::PeerError;
use super::peers::SentAnswer;
use super::reader::ReadError;
use crate::ids::HostId;
use crate::process::events::unix_ms;
use crate::protection::homes::HomeRule;
use crate::turns::TurnKey;
use crate::turns::placement::Demand;
use crate::turns::record::Record;
use crate::units::Moment;

/// Size of the records of a host that is emptied that are sent at a time, in bytes.
/// They are spread over many hosts, each of which gets one request.
const DRAIN_ROUND_BYTES: u64 = 4 << 20;
/// Size of the records that are repaired at a time, in bytes.
const REPAIR_ROUND_BYTES: u64 = 1 << 20;
/// Number of records whose holders are checked at a time.
const CHECK_RECORDS: usize = 2000;
/// Largest request with records, in bytes; a single larger record is sent alone.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Size of the keys from which a question is sent, in bytes.
const MAX_QUESTION_BYTES: usize = 64 << 10;
/// Delay before records that no host has taken are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Hosts to which records have been sent, by key.
type Sent = HashMap<TurnKey, Vec<HostId>>;

/// A record, and the hosts that are known to have it.
struct Candidate {
    item: Arc<Item>,
    /// Other hosts that said so, or have stored it since.
    held: Vec<HostId>,
    /// Whether one of the holders that it names has not answered.
    is_unsure: bool,
}

/// A record on its way to another host.
struct Move {
    /// Number of the candidate.
    number: usize,
    item: Arc<Item>,
    /// Holders that it names.
    holders: Vec<HostId>,
}

/// Result of a round.
#[derive(Default)]
struct Outcome {
    /// Copies that were stored.
    copies: usize,
    /// Records of which enough hosts have a copy.
    settled: Vec<TurnKey>,
    /// Records that need further copies.
    waiting: Vec<TurnKey>,
}

#[derive(Serialize)]
struct DrainLine {
    records: usize,
    spent_ms: u128,
}

#[derive(Serialize)]
struct RepairLine<'a> {
    lost: &'a BTreeSet<HostId>,
    copies: usize,
    waiting: usize,
    spent_ms: u128,
}

/// Sends all live records of this host to others, and waits until enough of them
/// have each. The host takes no more records by then.
pub async fn drain(storage: &Arc<Storage>) {
    let started = Moment::now();
    let mut done = HashSet::new();
    let mut sent = Sent::new();
    let mut after = 0;
    while storage.shared.is_draining() {
        // Records that were being written when the host began to refuse them.
        storage.writer.store(Vec::new(), None).await;
        let is_open = |key: &TurnKey, _: &Arc<[HostId]>| !done.contains(key);
        let selection = select(storage, after, DRAIN_ROUND_BYTES, is_open);
        if selection.items.is_empty() && selection.next.is_none() {
            if after == 0 {
                break;
            }
            after = 0;
            continue;
        }
        let next = selection.next.unwrap_or(0);
        let outcome = settle(storage, selection.items, &mut sent).await;
        done.extend(outcome.settled);
        if outcome.waiting.is_empty() {
            after = next;
        } else {
            Timer::after(RETRY_DELAY).await;
        }
    }
    let line = DrainLine {
        records: done.len(),
        spent_ms: Moment::now().since(started).as_millis(),
    };
    storage.log.state("turns-drained", &line);
}

/// Sends the records that too few hosts have, because holders are gone or never had
/// them, to other hosts. Returns the number of those that need further copies.
pub async fn repair(storage: &Arc<Storage>) -> usize {
    let started = Moment::now();
    let lost = storage.contacts.lock().silent(started);
    let mut sent = Sent::new();
    let mut total = check_new(storage, &mut sent).await;
    let others = storage.other_hosts();
    let own = &storage.shared.place.host;
    let is_gone =
        |host: &HostId| host != own && (!others.contains_key(host) || lost.contains(host));
    let lists = storage.shared.index.lock().holder_lists();
    let affected: HashSet<Arc<[HostId]>> = lists
        .into_iter()
        .filter(|hosts| hosts.iter().any(is_gone))
        .collect();
    let mut after = (!affected.is_empty()).then_some(0);
    while let Some(from) = after {
        let round = Moment::now();
        let is_wanted = |_: &TurnKey, hosts: &Arc<[HostId]>| affected.contains(hosts);
        let selection = select(storage, from, REPAIR_ROUND_BYTES, is_wanted);
        after = selection.next;
        let outcome = settle(storage, selection.items, &mut sent).await;
        total.copies += outcome.copies;
        total.waiting.extend(outcome.waiting);
        if storage.contacts.lock().silent(Moment::now()) != lost {
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
    let waiting = total.waiting.len();
    if total.copies > 0 {
        let line = RepairLine {
            lost: &lost,
            copies: total.copies,
            waiting,
            spent_ms: Moment::now().since(started).as_millis(),
        };
        storage.log.state("turns-replaced", &line);
    }
    waiting
}

/// Checks the holders of records that were stored some time ago: one that did not
/// answer in time may have been replaced while they were sent.
async fn check_new(storage: &Arc<Storage>, sent: &mut Sent) -> Outcome {
    let now_ms = unix_ms();
    let items = storage
        .shared
        .index
        .lock()
        .take_unchecked(now_ms, CHECK_RECORDS);
    let mut outcome = settle(storage, items, sent).await;
    let delay = storage.times.check_delay();
    let due_ms = unix_ms().saturating_add(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    let mut index = storage.shared.index.lock();
    for key in outcome.waiting.drain(..) {
        index.check_later(&key, due_ms);
    }
    outcome
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

/// What is known of the other hosts during a round.
struct Round {
    own: HostId,
    is_draining: bool,
    demand: Demand,
    listed: ListedHosts,
    lost: BTreeSet<HostId>,
    /// Hosts that have not answered of late.
    failed: BTreeSet<HostId>,
}

impl Round {
    fn new(storage: &Storage) -> Self {
        let now = Moment::now();
        let contacts = storage.contacts.lock();
        Self {
            own: storage.shared.place.host.clone(),
            is_draining: storage.shared.is_draining(),
            demand: storage.demand,
            listed: storage.hosts_with_own(),
            lost: contacts.silent(now),
            // Hosts that may be lost would cost a time-out each.
            failed: contacts.silent_for(storage.times.doubt(), now),
        }
    }

    /// Hosts that a record names and that can be asked.
    fn named(&self, item: &Item) -> Vec<HostId> {
        let named = item.holders.iter().filter(|host| self.can_ask(host));
        named.cloned().collect()
    }

    /// Hosts to which a record may have been sent by others.
    fn likely(&self, item: &Item) -> Vec<HostId> {
        let takers = holders::takers(item.root.id(), &item.holders, &self.listed, |host| {
            !self.can_ask(host)
        });
        takers.into_iter().take(self.demand.hosts).collect()
    }

    fn can_ask(&self, host: &HostId) -> bool {
        *host != self.own && self.listed.contains_key(host) && !self.failed.contains(host)
    }

    /// Whether a holder that a record names may still have it, though it cannot be
    /// asked.
    fn is_unsure(&self, item: &Item) -> bool {
        let mut named = item.holders.iter();
        named.any(|host| {
            let is_listed = *host != self.own && self.listed.contains_key(host);
            is_listed && self.failed.contains(host) && !self.lost.contains(host)
        })
    }

    fn next(&self, storage: &Storage, candidate: &Candidate, preferred: &[HostId]) -> Step {
        let Candidate { item, held, .. } = candidate;
        let rule = HomeRule::new(&item.homes, &storage.shared.regions);
        let within = rule.map(|rule| {
            let mut listed = self.listed.clone();
            listed.retain(|_, host| rule.contains(host.data_centre.as_str()));
            listed
        });
        let view = View {
            own: &self.own,
            is_draining: self.is_draining,
            demand: self.demand,
            listed: within.as_ref().unwrap_or(&self.listed),
            lost: &self.lost,
            failed: &self.failed,
        };
        let step = view.next(Copies {
            root: item.root.id(),
            held,
            preferred,
        });
        match step {
            // It may be a copy too many, which a host that is emptied prefers.
            Step::Send(_) if candidate.is_unsure && !self.is_draining => Step::Wait,
            step => step,
        }
    }
}

/// Asks which hosts have records, and sends them to others until enough do.
async fn settle(storage: &Arc<Storage>, items: Vec<Item>, sent: &mut Sent) -> Outcome {
    let mut outcome = Outcome::default();
    if items.is_empty() {
        return outcome;
    }
    let mut round = Round::new(storage);
    let candidate = |item: Item| Candidate {
        held: Vec::new(),
        is_unsure: round.is_unsure(&item),
        item: Arc::new(item),
    };
    let mut open: Vec<Candidate> = items.into_iter().map(candidate).collect();
    ask(storage, &mut open, &mut round, Round::named).await;
    set_settled(storage, &round, &mut open, &mut outcome);
    ask(storage, &mut open, &mut round, Round::likely).await;
    loop {
        set_settled(storage, &round, &mut open, &mut outcome);
        let groups = group(storage, &round, &open, sent);
        if groups.is_empty() {
            break;
        }
        let tasks: Vec<_> = groups
            .into_iter()
            .map(|(target, moves)| {
                let storage = Arc::clone(storage);
                let known = known_to(&target, &moves, sent);
                storage.spawner.clone().spawn(async move {
                    let count = moves.len();
                    let stored = send_group(&storage, &target, moves, known).await;
                    (target, stored, count)
                })
            })
            .collect();
        for task in tasks {
            let (target, stored, count) = task.await;
            if stored.len() < count {
                round.failed.insert(target.clone());
            }
            outcome.copies += stored.len();
            for number in stored {
                let candidate = &mut open[number];
                candidate.held.push(target.clone());
                let key = candidate.item.key.clone();
                sent.entry(key).or_default().push(target.clone());
            }
        }
    }
    let waiting = open.into_iter().map(|candidate| candidate.item.key.clone());
    outcome.waiting.extend(waiting);
    outcome
}

/// Removes the records of which enough hosts have a copy, and notes their holders.
fn set_settled(storage: &Storage, round: &Round, open: &mut Vec<Candidate>, outcome: &mut Outcome) {
    let is_settled =
        |candidate: &mut Candidate| round.next(storage, candidate, &[]) == Step::Enough;
    let settled: Vec<Candidate> = open.extract_if(.., is_settled).collect();
    let own = (!round.is_draining).then_some(&round.own);
    let mut index = storage.shared.index.lock();
    for candidate in settled {
        let holders: Vec<HostId> = own.into_iter().chain(&candidate.held).cloned().collect();
        index.set_holders(&candidate.item.key, &holders);
        outcome.settled.push(candidate.item.key.clone());
    }
}

/// Asks hosts which of the records they have. Those that do not answer get none.
async fn ask(
    storage: &Arc<Storage>,
    open: &mut [Candidate],
    round: &mut Round,
    hosts_of: impl Fn(&Round, &Item) -> Vec<HostId>,
) {
    let mut questions: BTreeMap<HostId, Vec<usize>> = BTreeMap::new();
    for (number, candidate) in open.iter().enumerate() {
        for host in hosts_of(round, &candidate.item) {
            questions.entry(host).or_default().push(number);
        }
    }
    let tasks: Vec<_> = questions
        .into_iter()
        .map(|(host, numbers)| {
            let keys = numbers.iter().map(|number| open[*number].item.key.clone());
            let keys: Vec<TurnKey> = keys.collect();
            let storage = Arc::clone(storage);
            storage.spawner.clone().spawn(async move {
                let held = ask_host(&storage, &host, &keys).await;
                (host, numbers, held)
            })
        })
        .collect();
    for task in tasks {
        let (host, numbers, held) = task.await;
        let Some(held) = held else {
            for number in numbers {
                let candidate = &mut open[number];
                candidate.is_unsure |= candidate.item.holders.contains(&host);
            }
            round.failed.insert(host);
            continue;
        };
        for (number, has) in numbers.into_iter().zip(held) {
            let candidate = &mut open[number];
            // An earlier release cannot be asked.
            let has = has.unwrap_or_else(|| candidate.item.holders.contains(&host));
            if has {
                candidate.held.push(host.clone());
            }
        }
    }
}

/// Asks a host which records it has; `None` without an answer. There is none for a
/// record if the host is of a release that cannot tell.
async fn ask_host(storage: &Storage, host: &HostId, keys: &[TurnKey]) -> Option<Vec<Option<bool>>> {
    let to = storage.address_of(host)?;
    let mut held = Vec::with_capacity(keys.len());
    let mut from = 0;
    while from < keys.len() {
        let mut bytes = 0;
        let fits = |key: &&TurnKey| {
            bytes += key.bytes();
            bytes <= MAX_QUESTION_BYTES
        };
        let count = keys[from..].iter().take_while(fits).count().max(1);
        let asked = &keys[from..from + count];
        let timeout = storage.times.probe_timeout();
        match storage.peers.held(to, asked, timeout).await {
            Ok(Held::Known(known)) => held.extend(known.into_iter().map(Some)),
            Ok(Held::Unsupported) => held.extend(asked.iter().map(|_| None)),
            Err(e) => {
                log::debug!("cannot ask host {host} for turns: {e}");
                return None;
            }
        }
        from += count;
    }
    Some(held)
}

/// Groups records by the hosts that they are sent to. A chain goes to the same
/// hosts, so that its text is sent once.
fn group(
    storage: &Storage,
    round: &Round,
    open: &[Candidate],
    sent: &Sent,
) -> BTreeMap<HostId, Vec<Move>> {
    let mut groups: BTreeMap<HostId, Vec<Move>> = BTreeMap::new();
    let mut planned: Sent = HashMap::new();
    for (number, candidate) in open.iter().enumerate() {
        let item = &candidate.item;
        let previous = item.previous.as_ref();
        let before = previous.and_then(|key| planned.get(key).or_else(|| sent.get(key)));
        let preferred = before.cloned().unwrap_or_default();
        let Step::Send(targets) = round.next(storage, candidate, &preferred) else {
            continue;
        };
        let own = (!round.is_draining).then_some(&round.own);
        let holders = own.into_iter().chain(&candidate.held).chain(&targets);
        let holders: Vec<HostId> = holders.cloned().collect();
        for target in &targets {
            groups.entry(target.clone()).or_default().push(Move {
                number,
                item: Arc::clone(item),
                holders: holders.clone(),
            });
        }
        planned.insert(item.key.clone(), targets);
    }
    groups
}

/// The previous turns of a group that its target got before.
fn known_to(target: &HostId, moves: &[Move], sent: &Sent) -> HashSet<TurnKey> {
    let previous = moves
        .iter()
        .filter_map(|moved| moved.item.previous.as_ref());
    let is_there = |key: &&TurnKey| sent.get(key).is_some_and(|hosts| hosts.contains(target));
    previous.filter(is_there).cloned().collect()
}

/// Sends records to one host, in the order of their chains. Returns the numbers of
/// those that it has stored.
async fn send_group(
    storage: &Storage,
    target: &HostId,
    moves: Vec<Move>,
    mut known: HashSet<TurnKey>,
) -> Vec<usize> {
    let mut sent = Vec::new();
    let mut batch = BytesMut::new();
    let mut pending: Vec<Move> = Vec::new();
    let mut moves = moves.into_iter().peekable();
    while let Some(moved) = moves.next() {
        let previous = moved.item.previous.as_ref();
        let is_known = previous.is_some_and(|key| known.contains(key));
        match frame(storage, &moved, is_known).await {
            Ok(frame) => {
                batch.extend_from_slice(&frame);
                known.insert(moved.item.key.clone());
                pending.push(moved);
            }
            Err(e) => log::error!("cannot read turn {} to send it: {e}", moved.item.key),
        }
        let is_last = moves.peek().is_none();
        if batch.is_empty() || (!is_last && batch.len() < MAX_REQUEST_BYTES) {
            continue;
        }
        let frames = batch.split().freeze();
        let moves = std::mem::take(&mut pending);
        if let Err(e) = send_batch(storage, target, frames, &moves).await {
            log::warn!("cannot send turns to host {target}: {e}");
            break;
        }
        sent.extend(moves.iter().map(|moved| moved.number));
    }
    sent
}

/// Why records could not be sent.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error("{0}")]
    Peer(#[from] PeerError),
    #[error("{0}")]
    Read(#[from] ReadError),
    #[error("the host is not listed any more")]
    NotListed,
    #[error("the host has not stored a turn with its whole text")]
    NotStored,
}

/// Sends frames, and the whole texts of those that the host cannot store without.
async fn send_batch(
    storage: &Storage,
    target: &HostId,
    frames: Bytes,
    moves: &[Move],
) -> Result<(), SendError> {
    let to = storage.address_of(target).ok_or(SendError::NotListed)?;
    let timeout = storage.times.call_timeout(frames.len());
    let missing = match storage.peers.store(to, frames, timeout).await? {
        SentAnswer::Stored => return Ok(()),
        SentAnswer::Missing(missing) => missing,
    };
    for moved in moves {
        let previous = moved.item.previous.as_ref();
        if !previous.is_some_and(|key| missing.contains(key)) {
            continue;
        }
        let frame = frame(storage, moved, false).await?;
        let timeout = storage.times.call_timeout(frame.len());
        match storage.peers.store(to, frame, timeout).await? {
            SentAnswer::Stored => {}
            SentAnswer::Missing(_) => return Err(SendError::NotStored),
        }
    }
    Ok(())
}

/// Returns the frame of a record that names its holders. It has the whole text
/// unless the receiver has the turn before.
async fn frame(
    storage: &Storage,
    moved: &Move,
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
    Ok(record.to_frame())
}
