//! Upper bound of a journal's encoded size, updated with each entry.

use std::collections::HashMap;

use serde::Serialize;

use super::archive::ArchiveRecord;
use super::document::OnceId;
use super::document::OnceRecord;
use super::document::OnceState;
use super::document::ProgramRecord;
use crate::ids::ProgramId;

/// Margin for growing numbers and the punctuation of an entry, in bytes.
const ENTRY_MARGIN_BYTES: usize = 96;

/// Upper bound of the envelope and the header, in bytes.
const HEADER_BYTES: usize = 512;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Entry {
    Archive(String),
    Once(OnceId),
    Program(ProgramId),
}

/// Sum of the largest encoded sizes that the entries can reach, in bytes.
///
/// An open once-only call counts with the largest inline answer, so that its
/// outcome always fits.
#[derive(Debug)]
pub(super) struct Sizes {
    inline_answer_bytes: usize,
    entries: HashMap<Entry, usize>,
    total: usize,
    archives_size: usize,
}

impl Sizes {
    pub(super) fn new(inline_answer_bytes: usize) -> Self {
        Self {
            inline_answer_bytes,
            entries: HashMap::new(),
            total: HEADER_BYTES,
            archives_size: 0,
        }
    }

    pub(super) fn total(&self) -> usize {
        self.total
    }

    pub(super) fn program_size(id: &ProgramId, record: &ProgramRecord) -> usize {
        encoded_len(id) + encoded_len(record) + ENTRY_MARGIN_BYTES
    }

    pub(super) fn once_size(&self, id: OnceId, record: &OnceRecord) -> usize {
        let room = match record.state {
            OnceState::Open => self.inline_answer_bytes,
            OnceState::Answered(_) => 0,
        };
        encoded_len(&id) + encoded_len(record) + room + ENTRY_MARGIN_BYTES
    }

    pub(super) fn set_program(&mut self, id: &ProgramId, record: &ProgramRecord) {
        let size = Self::program_size(id, record);
        self.set(Entry::Program(id.clone()), size);
    }

    pub(super) fn set_once(&mut self, id: OnceId, record: &OnceRecord) {
        let size = self.once_size(id, record);
        self.set(Entry::Once(id), size);
    }

    /// Part of the total that references archives.
    pub(super) fn archives_size(&self) -> usize {
        self.archives_size
    }

    pub(super) fn set_archive(&mut self, record: &ArchiveRecord) {
        let size = encoded_len(record) + ENTRY_MARGIN_BYTES;
        self.archives_size += size;
        self.set(Entry::Archive(record.name.clone()), size);
    }

    pub(super) fn remove_archive(&mut self, record: &ArchiveRecord) {
        self.archives_size -= encoded_len(record) + ENTRY_MARGIN_BYTES;
        self.remove(&Entry::Archive(record.name.clone()));
    }

    pub(super) fn remove_program(&mut self, id: &ProgramId) {
        self.remove(&Entry::Program(id.clone()));
    }

    pub(super) fn remove_once(&mut self, id: OnceId) {
        self.remove(&Entry::Once(id));
    }

    fn set(&mut self, entry: Entry, size: usize) {
        let old = self.entries.insert(entry, size).unwrap_or_default();
        self.total = self.total + size - old;
    }

    fn remove(&mut self, entry: &Entry) {
        self.total -= self.entries.remove(entry).unwrap_or_default();
    }
}

fn encoded_len(value: &impl Serialize) -> usize {
    serde_json::to_vec(value)
        .expect("typed values always encode as JSON")
        .len()
}
