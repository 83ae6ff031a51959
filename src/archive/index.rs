//! Index of the records in the turn log: where they are, how they are chained,
//! and how long they live. It does no I/O, and the time is an argument.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::HostId;
use crate::protection::homes::Homes;
use crate::turns::TurnKey;
use crate::turns::record::Record;
use crate::turns::record::RecordHead;

/// Bits of a [`Position`]'s cursor that hold the offset within the segment.
const OFFSET_BITS: u32 = 32;

/// Live part of a segment, in percent, up to which its live records are copied to
/// another one. Copying more would cost more writes than it frees space.
const MAX_SPARSE_PERCENT: u64 = 35;
/// Number of the oldest segments that are looked at for sparse ones. The newer
/// ones have hardly expired.
const SPARSE_CANDIDATES: usize = 12;

/// Location of a record's frame in the log.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of the segment.
    pub segment: u64,
    /// Offset of the frame in the segment, in bytes; less than 4 GB.
    pub offset: u64,
    /// Length of the frame, in bytes.
    pub bytes: u64,
}

impl Position {
    /// Returns a number that orders the positions of a log.
    pub const fn cursor(self) -> u64 {
        (self.segment << OFFSET_BITS) | self.offset
    }
}

/// A record of a chain.
#[derive(Clone, Debug)]
pub struct Link {
    /// Where its frame is.
    pub at: Position,
    /// The record itself, if it is held in memory.
    pub record: Option<Arc<Record>>,
}

/// Whether a record can be stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The record is already stored.
    Known,
    /// The turn that it continues is not stored.
    Missing,
    /// The record can be stored.
    New,
}

/// Records for a host that has lost its disk.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Chains whose last records are sent. A chain of one record is sent as
    /// stored, a longer one as one record with the whole text.
    pub chains: Vec<Vec<Link>>,
    /// Cursor of the next page; `None` if this is the last one.
    pub next: Option<u64>,
}

/// A live record, for a transfer to another host.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its key.
    pub key: TurnKey,
    /// The turn that it continues.
    pub previous: Option<TurnKey>,
    /// Key of the first turn of its chain.
    pub root: TurnKey,
    /// Hosts that hold it.
    pub holders: Arc<[HostId]>,
    /// Regions in which they must be.
    pub homes: Homes,
    /// Its chain, oldest first.
    pub chain: Vec<Link>,
}

/// A segment whose live records are to be copied to another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SparseSegment {
    /// Number of the segment.
    pub number: u64,
    /// Its live records.
    pub records: Vec<(TurnKey, Position)>,
}

/// Live records in the order of the log.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// The records.
    pub items: Vec<Item>,
    /// Cursor to continue from; `None` at the end of the log.
    pub next: Option<u64>,
}

#[derive(Clone, Debug)]
struct Entry {
    at: Position,
    previous: Option<TurnKey>,
    /// When the turn itself need not be returned any more, in Unix milliseconds.
    own_expires_ms: u64,
    /// When neither the turn nor one that continues it need be returned.
    expires_ms: u64,
    holders: Arc<[HostId]>,
    homes: Homes,
    recent: Option<Arc<Record>>,
}

#[derive(Clone, Debug, Default)]
struct Segment {
    bytes: u64,
    /// When the last of its records expires, in Unix milliseconds.
    expires_ms: u64,
    /// Whether some of its bytes belong to no valid record.
    is_damaged: bool,
    /// Keys of its records by the offsets of their frames.
    keys: BTreeMap<u64, TurnKey>,
}

/// Limits of an [`Index`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IndexLimits {
    /// Time that a record lives beyond its retention, in milliseconds, since the
    /// clocks of hosts differ.
    pub margin_ms: u64,
    /// Memory of the recent records, in bytes.
    pub recent_bytes: usize,
    /// Time after which the holders of a new record are checked, in milliseconds.
    pub check_delay_ms: u64,
}

/// Records that are held in memory, oldest first.
#[derive(Debug, Default)]
struct Recent {
    keys: VecDeque<(TurnKey, usize)>,
    bytes: usize,
}

/// Index of the records in the turn log.
#[derive(Debug)]
pub struct Index {
    limits: IndexLimits,
    records: HashMap<TurnKey, Entry>,
    segments: BTreeMap<u64, Segment>,
    recent: Recent,
    /// Records whose holders are yet to be checked, by the time of the check.
    unchecked: BTreeSet<(u64, TurnKey)>,
    /// Distinct lists of holders, which many records share.
    holders: HashSet<Arc<[HostId]>>,
    /// Distinct homes, which many records share.
    homes: HashSet<Homes>,
}

impl Index {
    /// Creates an empty index.
    pub fn new(limits: IndexLimits) -> Self {
        Self {
            limits,
            records: HashMap::new(),
            segments: BTreeMap::new(),
            recent: Recent::default(),
            unchecked: BTreeSet::new(),
            holders: HashSet::new(),
            homes: HashSet::new(),
        }
    }

    /// Number of records, live or not.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Size of all segments, in bytes.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.bytes).sum()
    }

    /// Number of segments.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }

    /// Whether a record, and with it the turns that it continues, is to be
    /// returned.
    pub fn is_live(&self, key: &TurnKey, now_ms: u64) -> bool {
        let entry = self.records.get(key);
        entry.is_some_and(|entry| entry.expires_ms > now_ms)
    }

    /// Decides whether a record can be stored. `is_pending` tells which records
    /// are stored before it in the same write.
    pub fn admit(
        &self,
        head: &RecordHead,
        now_ms: u64,
        is_pending: impl Fn(&TurnKey) -> bool,
    ) -> Admission {
        let key = head.key();
        if self.is_live(&key, now_ms) || is_pending(&key) {
            return Admission::Known;
        }
        match &head.previous_key() {
            Some(previous) if !self.is_live(previous, now_ms) && !is_pending(previous) => {
                Admission::Missing
            }
            _ => Admission::New,
        }
    }

    /// Adds a segment without records.
    pub fn add_segment(&mut self, number: u64) {
        self.segments.entry(number).or_default();
    }

    /// Notes that some bytes of a segment belong to no valid record.
    pub fn set_damaged(&mut self, number: u64) {
        self.segments.entry(number).or_default().is_damaged = true;
    }

    /// Returns a segment with damaged bytes. Once its live records are copied to
    /// another one, a later start does not find the damage again.
    pub fn damaged_segment(&self, now_ms: u64) -> Option<SparseSegment> {
        let mut segments = self.segments.iter();
        let (number, segment) = segments.find(|(_, segment)| segment.is_damaged)?;
        Some(SparseSegment {
            number: *number,
            records: self.live_records(*number, segment, now_ms).collect(),
        })
    }

    /// Adds a stored record and extends the lives of the turns that it continues.
    /// A record of the same key is replaced. A turn does not end in the future: one
    /// from a host with a wrong clock would be kept for too long.
    pub fn insert(&mut self, head: &RecordHead, at: Position, now_ms: u64) {
        let key = head.key();
        let expires_ms = head
            .ended_ms
            .min(now_ms)
            .saturating_add(head.retention_ms)
            .saturating_add(self.limits.margin_ms);
        let previous = head.previous_key().map(|previous| {
            let known = self.records.get_key_value(&previous);
            known.map_or(previous.clone(), |(key, _)| key.clone())
        });
        let entry = Entry {
            at,
            previous,
            own_expires_ms: expires_ms,
            expires_ms: 0,
            holders: self.share_holders(&head.holders),
            homes: self.share_homes(&head.homes),
            recent: None,
        };
        let before = self.records.insert(key.clone(), entry);
        let segment = self.segments.entry(at.segment).or_default();
        segment.bytes = segment.bytes.max(at.offset + at.bytes);
        segment.keys.insert(at.offset, key.clone());
        let expires_ms = before.map_or(expires_ms, |before| before.expires_ms.max(expires_ms));
        self.unchecked
            .insert((now_ms + self.limits.check_delay_ms, key.clone()));
        self.extend(Some(key), expires_ms);
    }

    /// Returns up to `max` records whose holders are to be checked by now, and takes
    /// them off the list of those.
    pub fn take_unchecked(&mut self, now_ms: u64, max: usize) -> Vec<Item> {
        let mut items = Vec::new();
        while items.len() < max {
            let Some((due_ms, key)) = self.unchecked.pop_first() else {
                break;
            };
            if due_ms > now_ms {
                self.unchecked.insert((due_ms, key));
                break;
            }
            if let Some((key, entry)) = self.records.get_key_value(&key)
                && entry.own_expires_ms > now_ms
            {
                items.extend(self.item(key, entry, now_ms));
            }
        }
        items
    }

    /// Checks the holders of a record at this time.
    pub fn check_later(&mut self, key: &TurnKey, due_ms: u64) {
        if let Some((key, _)) = self.records.get_key_value(key) {
            self.unchecked.insert((due_ms, key.clone()));
        }
    }

    /// Checks the holders of all records that name a host at this time.
    pub fn check_all_of(&mut self, host: &HostId, due_ms: u64) {
        let records = self.records.iter();
        let named = records.filter(|(_, entry)| entry.holders.contains(host));
        self.unchecked
            .extend(named.map(|(key, _)| (due_ms, key.clone())));
    }

    /// Holds a record in memory, in place of the oldest ones that are held.
    pub fn remember(&mut self, record: Arc<Record>) {
        let size = record.text.len() + record.head.id.len();
        let Some((key, _)) = self.records.get_key_value(&record.head.key()) else {
            return;
        };
        let key = key.clone();
        if size > self.limits.recent_bytes {
            return;
        }
        while self.recent.bytes + size > self.limits.recent_bytes {
            let Some((oldest, bytes)) = self.recent.keys.pop_front() else {
                break;
            };
            self.recent.bytes -= bytes;
            if let Some(entry) = self.records.get_mut(&oldest) {
                entry.recent = None;
            }
        }
        if let Some(entry) = self.records.get_mut(&key)
            && entry.recent.is_none()
        {
            entry.recent = Some(record);
            self.recent.bytes += size;
            self.recent.keys.push_back((key, size));
        }
    }

    /// Returns the records of a turn's chain, oldest first; `None` if the turn is
    /// not stored or has expired.
    pub fn chain(&self, key: &TurnKey, now_ms: u64) -> Option<Vec<Link>> {
        if !self.is_live(key, now_ms) {
            return None;
        }
        let mut chain = Vec::new();
        let mut next = Some(key);
        while let Some(key) = next {
            let entry = self.records.get(key)?;
            // A cycle cannot be stored, since a record follows the one that it
            // continues, but damaged bytes could name one.
            if chain.len() > self.records.len() {
                return None;
            }
            chain.push(entry.link());
            next = entry.previous.as_ref();
        }
        chain.reverse();
        Some(chain)
    }

    /// Removes the records whose chains are not complete, and recomputes all
    /// lives. Returns the number of live records that were removed. This comes
    /// after the records of all segments have been inserted, in any order.
    pub fn complete_recovery(&mut self, now_ms: u64) -> usize {
        let keys: Vec<TurnKey> = self.records.keys().cloned().collect();
        for key in &keys {
            let entry = &self.records[key];
            let (previous, expires_ms) = (entry.previous.clone(), entry.expires_ms);
            self.extend(previous, expires_ms);
        }
        let is_broken =
            |key: &&TurnKey| self.is_live(key, now_ms) && !self.is_complete(key, now_ms);
        let broken: Vec<&TurnKey> = keys.iter().filter(is_broken).collect();
        for key in &broken {
            self.records.remove(*key);
        }
        broken.len()
    }

    fn is_complete(&self, key: &TurnKey, now_ms: u64) -> bool {
        self.chain(key, now_ms).is_some()
    }

    /// Segments whose records have all expired.
    pub fn expired_segments(&self, now_ms: u64) -> Vec<u64> {
        let segments = self.segments.iter();
        let expired = segments.filter(|(_, segment)| segment.expires_ms <= now_ms);
        expired.map(|(number, _)| *number).collect()
    }

    /// Returns the sparsest of the oldest segments before `current`, if at most
    /// [`MAX_SPARSE_PERCENT`] of it is live. A long chain would keep the whole of it
    /// for a few records.
    pub fn sparse_segment(&self, current: u64, now_ms: u64) -> Option<SparseSegment> {
        let oldest = self.segments.range(..current).take(SPARSE_CANDIDATES);
        let candidates = oldest.map(|(number, segment)| {
            let records: Vec<_> = self.live_records(*number, segment, now_ms).collect();
            let live_bytes: u64 = records.iter().map(|(_, at)| at.bytes).sum();
            let percent = live_bytes * 100 / segment.bytes.max(1);
            (percent, *number, records)
        });
        let (percent, number, records) = candidates.min_by_key(|(percent, ..)| *percent)?;
        (percent <= MAX_SPARSE_PERCENT).then_some(SparseSegment { number, records })
    }

    fn live_records(
        &self,
        number: u64,
        segment: &Segment,
        now_ms: u64,
    ) -> impl Iterator<Item = (TurnKey, Position)> {
        segment.keys.values().filter_map(move |key| {
            let entry = self.records.get(key)?;
            let is_live = entry.at.segment == number && entry.expires_ms > now_ms;
            is_live.then(|| (key.clone(), entry.at))
        })
    }

    /// Notes that a record was copied to another position.
    pub fn relocate(&mut self, key: &TurnKey, from: Position, to: Position) {
        let Some(entry) = self.records.get_mut(key).filter(|entry| entry.at == from) else {
            return;
        };
        entry.at = to;
        let segment = self.segments.entry(to.segment).or_default();
        segment.bytes = segment.bytes.max(to.offset + to.bytes);
        segment.expires_ms = segment.expires_ms.max(entry.expires_ms);
        segment.keys.insert(to.offset, key.clone());
    }

    /// Removes a segment with its records.
    pub fn remove_segment(&mut self, number: u64) {
        let Some(segment) = self.segments.remove(&number) else {
            return;
        };
        for key in segment.keys.values() {
            let is_here = |entry: &Entry| entry.at.segment == number;
            if self.records.get(key).is_some_and(is_here) {
                self.records.remove(key);
            }
        }
        self.remove_unused_lists();
    }

    fn remove_unused_lists(&mut self) {
        self.holders
            .retain(|holders| Arc::strong_count(holders) > 1);
    }

    /// Returns live records that name `holder`, from a cursor on, up to about
    /// `max_bytes`. Records that one of the hosts `skip` holds are left out, since
    /// the receiver has them from there.
    pub fn page(
        &self,
        holder: &HostId,
        skip: &[HostId],
        after: u64,
        max_bytes: u64,
        now_ms: u64,
    ) -> Page {
        let mut page = Page::default();
        let mut bytes = 0;
        for (key, entry) in self.entries_from(after) {
            let is_wanted = entry.expires_ms > now_ms
                && entry.holders.contains(holder)
                && !entry.holders.iter().any(|host| skip.contains(host));
            if !is_wanted {
                continue;
            }
            let chain = match self.is_sent_as_stored(entry, holder) {
                true => Some(vec![entry.link()]),
                false => self.chain(key, now_ms),
            };
            let Some(chain) = chain else {
                continue;
            };
            let size = bytes_of(&chain);
            if bytes > 0 && bytes + size > max_bytes {
                page.next = Some(entry.at.cursor());
                return page;
            }
            bytes += size;
            page.chains.push(chain);
        }
        page
    }

    /// Whether the receiver also gets the turn before, so that it does not need
    /// the whole text.
    fn is_sent_as_stored(&self, entry: &Entry, holder: &HostId) -> bool {
        let Some(previous) = &entry.previous else {
            return true;
        };
        let previous = self.records.get(previous);
        previous.is_some_and(|previous| previous.holders.contains(holder))
    }

    /// Returns records that are to be returned themselves and that `is_wanted`
    /// selects by key and holders, from a cursor on, up to about `max_bytes` of
    /// chains.
    pub fn select(
        &self,
        after: u64,
        max_bytes: u64,
        now_ms: u64,
        is_wanted: impl Fn(&TurnKey, &Arc<[HostId]>) -> bool,
    ) -> Selection {
        let mut selection = Selection::default();
        let mut bytes = 0;
        for (key, entry) in self.entries_from(after) {
            if entry.own_expires_ms <= now_ms || !is_wanted(key, &entry.holders) {
                continue;
            }
            let Some(item) = self.item(key, entry, now_ms) else {
                continue;
            };
            let size = bytes_of(&item.chain);
            if bytes > 0 && bytes + size > max_bytes {
                selection.next = Some(entry.at.cursor());
                return selection;
            }
            bytes += size;
            selection.items.push(item);
        }
        selection
    }

    fn item(&self, key: &TurnKey, entry: &Entry, now_ms: u64) -> Option<Item> {
        Some(Item {
            key: key.clone(),
            previous: entry.previous.clone(),
            root: self.root(key),
            holders: Arc::clone(&entry.holders),
            homes: entry.homes.clone(),
            chain: self.chain(key, now_ms)?,
        })
    }

    fn root(&self, key: &TurnKey) -> TurnKey {
        let mut root = key;
        while let Some(previous) = self.records.get(root).and_then(|e| e.previous.as_ref()) {
            root = previous;
        }
        root.clone()
    }

    /// Returns the distinct lists of holders, of which there are far fewer than
    /// records.
    pub fn holder_lists(&mut self) -> Vec<Arc<[HostId]>> {
        self.remove_unused_lists();
        self.holders.iter().map(Arc::clone).collect()
    }

    /// Replaces the list of a record's holders. It is not written to the log: after
    /// a restart, the holders are checked again.
    pub fn set_holders(&mut self, key: &TurnKey, holders: &[HostId]) {
        let holders = self.share_holders(holders);
        if let Some(entry) = self.records.get_mut(key) {
            entry.holders = holders;
        }
    }

    /// Entries in the order of the log, from a cursor on.
    fn entries_from(&self, after: u64) -> impl Iterator<Item = (&TurnKey, &Entry)> {
        let first = after >> OFFSET_BITS;
        let first_offset = after & ((1 << OFFSET_BITS) - 1);
        let segments = self.segments.range(first..);
        segments.flat_map(move |(number, segment)| {
            let from = if *number == first { first_offset } else { 0 };
            let keys = segment.keys.range(from..);
            keys.filter_map(move |(offset, key)| {
                let entry = self.records.get(key)?;
                // A record that was stored again is only at its last position.
                let is_here = (entry.at.segment, entry.at.offset) == (*number, *offset);
                is_here.then_some((key, entry))
            })
        })
    }

    /// Extends the life of a record and of all turns that it continues.
    fn extend(&mut self, mut next: Option<TurnKey>, expires_ms: u64) {
        while let Some(key) = next {
            let Some(entry) = self.records.get_mut(&key) else {
                return;
            };
            if entry.expires_ms >= expires_ms {
                return;
            }
            entry.expires_ms = expires_ms;
            let segment = self.segments.entry(entry.at.segment).or_default();
            segment.expires_ms = segment.expires_ms.max(expires_ms);
            next = entry.previous.clone();
        }
    }

    fn share_homes(&mut self, homes: &Homes) -> Homes {
        if homes.is_anywhere() {
            return Homes::default();
        }
        if !self.homes.contains(homes) {
            self.homes.insert(homes.clone());
        }
        self.homes.get(homes).cloned().unwrap_or_default()
    }

    fn share_holders(&mut self, holders: &[HostId]) -> Arc<[HostId]> {
        if let Some(shared) = self.holders.get(holders) {
            return Arc::clone(shared);
        }
        let shared: Arc<[HostId]> = Arc::from(holders);
        self.holders.insert(Arc::clone(&shared));
        shared
    }
}

/// Size of the frames of a chain, in bytes.
fn bytes_of(chain: &[Link]) -> u64 {
    chain.iter().map(|link| link.at.bytes).sum()
}

impl Entry {
    fn link(&self) -> Link {
        Link {
            at: self.at,
            record: self.recent.clone(),
        }
    }
}
