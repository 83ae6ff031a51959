//! In-memory platform for tests, examples and benches.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;

use super::Changes;
use super::Expect;
use super::HostStatus;
use super::Nonce;
use super::Object;
use super::Platform;
use super::PlatformError;
use super::Result;
use super::Written;
use crate::ids::Version;

/// Interval at which a watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);

/// Faults to inject into calls of a [`MemoryPlatform`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether every call fails as unavailable and changes nothing.
    pub out: bool,
    /// Number of next writes and removals that are processed but report an
    /// unknown outcome.
    pub lost_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    newest: u64,
    hosts: Vec<HostStatus>,
    faults: Faults,
    calls: u64,
}

/// In-memory platform; clones share their objects. Watches do not report
/// removals.
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Replaces the list of endpoint hosts.
    pub fn set_hosts(&self, hosts: Vec<HostStatus>) {
        self.state.lock().hosts = hosts;
    }

    /// Number of calls so far, including failed ones.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    fn begin_call(&self) -> Result<parking_lot::MutexGuard<'_, State>> {
        let mut state = self.state.lock();
        state.calls += 1;
        if state.faults.out {
            return Err(PlatformError::Unavailable("switched off".to_owned()));
        }
        Ok(state)
    }

    fn changes_since(&self, kind: &str, prefix: &str, since: Version) -> Result<Changes> {
        let state = self.begin_call()?;
        let matches =
            |name: &str, object: &Object| name.starts_with(prefix) && object.version > since;
        let objects = state
            .objects
            .iter()
            .filter(|((k, name), object)| k == kind && matches(name, object))
            .map(|(_, object)| object.clone())
            .collect();
        Ok(Changes {
            objects,
            ..Changes::up_to(Version(state.newest))
        })
    }
}

impl State {
    fn matches(&self, id: &(String, String), expect: Expect) -> bool {
        match (self.objects.get(id), expect) {
            (None, Expect::Absent) => true,
            (Some(object), Expect::At(version)) => object.version == version,
            _ => false,
        }
    }

    /// Returns the result of a write, or an unknown outcome if its answer is to be
    /// lost.
    fn finish_write(&mut self, written: Written) -> Result<Written> {
        if self.faults.lost_answers == 0 {
            return Ok(written);
        }
        self.faults.lost_answers -= 1;
        Err(PlatformError::UnknownOutcome)
    }
}

impl Platform for MemoryPlatform {
    async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let state = self.begin_call()?;
        let id = (kind.to_owned(), name.to_owned());
        Ok(state.objects.get(&id).cloned())
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Changes> {
        self.changes_since(kind, prefix, Version(0))
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
        _nonce: Nonce,
        value: Vec<u8>,
    ) -> Result<Written> {
        let mut state = self.begin_call()?;
        if value.len() > super::MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge(value.len()));
        }
        let id = (kind.to_owned(), name.to_owned());
        if !state.matches(&id, expect) {
            return state.finish_write(Written::Conflict);
        }
        state.newest += 1;
        let object = Object {
            name: name.to_owned(),
            version: Version(state.newest),
            value,
        };
        state.objects.insert(id, object);
        let version = Version(state.newest);
        state.finish_write(Written::Done(version))
    }

    async fn remove(&self, kind: &str, name: &str, at: Version) -> Result<Written> {
        let mut state = self.begin_call()?;
        let id = (kind.to_owned(), name.to_owned());
        if !state.matches(&id, Expect::At(at)) {
            return state.finish_write(Written::Conflict);
        }
        state.objects.remove(&id);
        state.newest += 1;
        let version = Version(state.newest);
        state.finish_write(Written::Done(version))
    }

    async fn watch(&self, kind: &str, since: Version, wait: Duration) -> Result<Changes> {
        let mut waited = Duration::ZERO;
        loop {
            let changes = self.changes_since(kind, "", since)?;
            if !changes.objects.is_empty() || waited >= wait {
                return Ok(changes);
            }
            Timer::after(WATCH_POLL).await;
            waited += WATCH_POLL;
        }
    }

    async fn hosts(&self) -> Result<Vec<HostStatus>> {
        Ok(self.begin_call()?.hosts.clone())
    }
}
