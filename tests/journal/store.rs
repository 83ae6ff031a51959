//! In-memory platform objects of one journal, and checks that no write loses
//! durable state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryarch::configs::journal::JournalConfig;
use chicoryarch::connection::platform::Object;
use chicoryarch::connection::platform::PlatformError;
use chicoryarch::connection::platform::Written;
use chicoryarch::connection::platform::decode;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::ProgramId;
use chicoryarch::ids::Version;
use chicoryarch::version::journal::Answer;
use chicoryarch::version::journal::Archive;
use chicoryarch::version::journal::Document;
use chicoryarch::version::journal::JOURNAL_KIND;
use chicoryarch::version::journal::OnceId;
use chicoryarch::version::journal::OnceState;
use chicoryarch::version::journal::StoredAnswer;

use crate::steps::Fault;

/// A write that was sent and may take effect later.
struct LateWrite {
    expected: Option<Version>,
    value: Vec<u8>,
}

/// The journal's object, its answers and its archives.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) out: bool,
    pub(crate) object: Option<Object>,
    pub(crate) answers: BTreeMap<String, StoredAnswer>,
    pub(crate) archives: BTreeMap<String, Archive>,
    /// Programs whose id was returned to a caller.
    pub(crate) opened: BTreeSet<ProgramId>,
    /// Answers that an owner reported as durably recorded.
    pub(crate) recorded: BTreeMap<OnceId, StoredAnswer>,
    /// Intents of all stored documents, each with the document's epoch.
    pub(crate) intents: BTreeSet<(Epoch, OnceId)>,
    late: Vec<LateWrite>,
    last_version: u64,
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable("simulated outage".to_owned())
}

impl Store {
    pub(crate) fn read(&self, fault: Fault) -> Result<Option<Object>, PlatformError> {
        match fault {
            Fault::None if !self.out => Ok(self.object.clone()),
            _ => Err(unavailable()),
        }
    }

    pub(crate) fn write(
        &mut self,
        expected: Option<Version>,
        value: Vec<u8>,
        fault: Fault,
    ) -> Result<Written, PlatformError> {
        let unknown_outcome = Err(PlatformError::UnknownOutcome);
        match fault {
            _ if self.out => Err(unavailable()),
            Fault::NoEffect => Err(unavailable()),
            Fault::None => Ok(self.apply(expected, value)),
            Fault::AnswerLost => {
                self.apply(expected, value);
                unknown_outcome
            }
            Fault::Late => {
                self.late.push(LateWrite { expected, value });
                unknown_outcome
            }
        }
    }

    /// Applies one of the late writes, if there is one.
    pub(crate) fn apply_late(&mut self, pick: u8) {
        if self.late.is_empty() {
            return;
        }
        let index = usize::from(pick) % self.late.len();
        let late = self.late.swap_remove(index);
        self.apply(late.expected, late.value);
    }

    fn apply(&mut self, expected: Option<Version>, value: Vec<u8>) -> Written {
        let found = self.object.as_ref().map(|object| object.version);
        if found != expected {
            return Written::Conflict;
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        let object = Object {
            name: "journal".to_owned(),
            version,
            value,
        };
        self.check(&object);
        self.object = Some(object);
        Written::Done(version)
    }

    pub(crate) fn document(&self) -> Option<Document> {
        let object = self.object.as_ref()?;
        Some(decode(JOURNAL_KIND, object).expect("the journal is readable"))
    }

    /// Checks that a write loses no durable state.
    fn check(&mut self, object: &Object) {
        let new: Document = decode(JOURNAL_KIND, object).expect("the journal is readable");
        let most = JournalConfig::default().max_journal_bytes;
        assert!(object.value.len() <= most, "journal-fits");
        if let Some(old) = self.document() {
            assert!(old.header.epoch <= new.header.epoch, "epoch-never-falls");
            assert!(
                old.header.clock_ms <= new.header.clock_ms,
                "clock-never-falls"
            );
        }
        for program in &self.opened {
            assert!(new.programs.contains_key(program), "no-program-lost");
        }
        for (id, answer) in &self.recorded {
            let archived = new.archives.iter().find(|record| record.ids.0.contains(id));
            let archived = archived.and_then(|record| self.archives[&record.name].once.get(id));
            let record = new.once.get(id).or(archived);
            let state = record.map(|record| &record.state);
            let Some(OnceState::Answered(found)) = state else {
                panic!("no-outcome-lost: {state:?}");
            };
            assert_eq!(self.answer(found).as_ref(), Some(answer), "no-outcome-lost");
        }
        let ids = new.once.keys();
        self.intents.extend(ids.map(|id| (new.header.epoch, *id)));
    }

    /// Resolves the answer of a journal record; `None` if it was omitted or its
    /// object does not exist.
    pub(crate) fn answer(&self, answer: &Answer) -> Option<StoredAnswer> {
        match answer {
            Answer::Inline(answer) => Some(answer.clone()),
            Answer::Object(name) => self.answers.get(name).cloned(),
            Answer::Omitted => None,
        }
    }
}
