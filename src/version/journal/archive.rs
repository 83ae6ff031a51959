//! Archives: answers of once-only calls moved to objects of their own.
//!
//! The journal keeps the ids of the archived calls, so that it distinguishes a
//! retry of an archived call from a new call without reading from the platform.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use super::commit::Action;
use super::commit::Io;
use super::document::Answer;
use super::document::OnceId;
use super::document::OnceRecord;
use super::document::OnceState;
use super::machine::Journal;
use crate::connection::platform::PlatformError;
use crate::units::Moment;

/// Largest archive, in bytes, by the upper bound of its records' encoded sizes.
const MAX_ARCHIVE_BYTES: usize = 512 * 1024;

/// An archive must free at least the archive threshold divided by this number.
const MIN_FREED_DIVISOR: usize = 4;

/// A journal with too few records to archive tries again after it has grown by
/// the archive threshold divided by this number.
const RETRY_GROWTH_DIVISOR: usize = 8;

/// Ids of archived calls, encoded as one string of hexadecimal digits.
#[derive(Clone, Debug, Default, DeserializeFromStr, Eq, PartialEq, SerializeDisplay)]
pub struct OnceIds(pub Vec<OnceId>);

impl fmt::Display for OnceIds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|id| id.fmt(f))
    }
}

impl FromStr for OnceIds {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = hex::decode(text)?;
        let (ids, rest) = bytes.as_chunks::<{ OnceId::BYTES }>();
        if !rest.is_empty() {
            return Err(hex::FromHexError::InvalidStringLength);
        }
        Ok(Self(ids.iter().copied().map(OnceId::from).collect()))
    }
}

/// Reference from the journal to an archive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ArchiveRecord {
    /// Name of the object of kind [`ARCHIVE_KIND`](super::ARCHIVE_KIND).
    pub name: String,
    /// Journal clock at the newest intent in the archive, in milliseconds.
    pub newest_ms: u64,
    /// Ids of the calls in the archive.
    pub ids: OnceIds,
}

/// Contents of an archive object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Archive {
    /// Records of answered once-only calls.
    pub once: BTreeMap<OnceId, OnceRecord>,
}

/// An archive whose object is not yet stored.
#[derive(Clone, Debug)]
pub(super) struct PendingArchive {
    name: String,
    archive: Archive,
}

impl Journal {
    /// Starts an archive if the journal exceeds its threshold and holds enough
    /// inline answers to move.
    ///
    /// A failed write of an archive is repeated with the same contents.
    pub(super) fn poll_archive(&mut self) -> Option<Action> {
        if self.pending_archive.is_none() && self.size() > self.archive_above {
            self.pending_archive = self.choose_archive();
        }
        let Some(pending_archive) = &self.pending_archive else {
            return None;
        };
        self.io = Io::Archiving;
        Some(Action::StoreArchive {
            name: pending_archive.name.clone(),
            archive: pending_archive.archive.clone(),
        })
    }

    fn choose_archive(&mut self) -> Option<PendingArchive> {
        let is_inline =
            |record: &OnceRecord| matches!(record.state, OnceState::Answered(Answer::Inline(_)));
        let once = self.doc.once.iter();
        let mut found: Vec<(u64, OnceId)> = once
            .filter(|(_, record)| is_inline(record))
            .map(|(id, record)| (record.at_ms, *id))
            .collect();
        found.sort_unstable();
        let mut archive = Archive::default();
        let mut bytes = 0;
        for (_, id) in found {
            let record = &self.doc.once[&id];
            bytes += self.sizes.once_size(id, record);
            if bytes > MAX_ARCHIVE_BYTES {
                break;
            }
            archive.once.insert(id, record.clone());
        }
        let threshold = self.cfg.archive_above_bytes;
        if bytes < threshold / MIN_FREED_DIVISOR {
            self.archive_above = self.size() + threshold / RETRY_GROWTH_DIVISOR;
            return None;
        }
        let header = self.doc.header;
        let name = format!("{}.{}.{}", self.id, header.epoch, header.revision);
        Some(PendingArchive { name, archive })
    }

    /// Applies the result of [`Action::StoreArchive`].
    pub fn finish_archive(&mut self, now: Moment, result: &Result<(), PlatformError>) {
        assert_eq!(self.io, Io::Archiving, "one-write-in-flight");
        self.io = Io::Idle;
        if result.is_err() {
            self.counters.failures.add(1);
            self.pacer.record_failure(now);
            return;
        }
        self.pacer.reset_failures();
        let pending_archive = self.pending_archive.take().expect("an archive is pending");
        self.move_to_archive(now, pending_archive);
    }

    fn move_to_archive(&mut self, now: Moment, pending_archive: PendingArchive) {
        let once = pending_archive.archive.once;
        let newest_ms = once.values().map(|record| record.at_ms).max();
        let ids: Vec<OnceId> = once.into_keys().collect();
        for id in &ids {
            self.doc.once.remove(id);
            self.sizes.remove_once(*id);
            self.archived.insert(*id, pending_archive.name.clone());
        }
        let record = ArchiveRecord {
            name: pending_archive.name,
            newest_ms: newest_ms.unwrap_or_default(),
            ids: OnceIds(ids),
        };
        self.sizes.set_archive(&record);
        self.doc.archives.push(record);
        self.archive_above = self.cfg.archive_above_bytes + self.sizes.archives_size();
        self.counters.archives.add(1);
        self.bump_revision(now);
    }

    /// Drops archives whose newest call is past its retention; returns whether
    /// any was dropped.
    pub(super) fn sweep_archives(&mut self, is_past: impl Fn(u64) -> bool) -> bool {
        let archives = std::mem::take(&mut self.doc.archives);
        let (old, kept): (Vec<_>, Vec<_>) = archives
            .into_iter()
            .partition(|record| is_past(record.newest_ms));
        self.doc.archives = kept;
        for record in &old {
            self.sizes.remove_archive(record);
            for id in &record.ids.0 {
                self.archived.remove(id);
            }
            self.unreferenced.push_back(super::UnreferencedObject {
                kind: super::ARCHIVE_KIND,
                name: record.name.clone(),
            });
        }
        !old.is_empty()
    }
}
