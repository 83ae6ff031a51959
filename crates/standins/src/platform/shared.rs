//! Shared state of the platform stand-in.

use std::sync::Arc;

use parking_lot::Mutex;

use super::call::Call;
use super::counts::Counters;
use super::counts::Counts;
use super::hosts::HostList;
use super::hosts::HostStatus;
use super::limit::RateLimit;
use super::store;
use super::store::ChangeSignal;
use super::store::Condition;
use super::store::Entry;
use super::store::Listing;
use super::store::Store;
use super::switches::Outcome;
use super::switches::Switches;
use crate::delayed::Delayed;

/// State shared by all requests; each part has its own lock.
#[derive(Debug)]
pub(crate) struct Shared {
    counters: Mutex<Counters>,
    held: Mutex<Vec<Call>>,
    hosts: Mutex<Delayed<Vec<HostStatus>>>,
    limit: Mutex<Option<RateLimit>>,
    store: Mutex<Store>,
    switches: Mutex<Switches>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            counters: Mutex::default(),
            held: Mutex::default(),
            hosts: Mutex::new(Delayed::new(Vec::new())),
            limit: Mutex::default(),
            store: Mutex::default(),
            switches: Mutex::default(),
        }
    }
}

/// Counts a waiting watch until dropped.
pub(crate) struct WaitingWatch<'a>(&'a Mutex<Counters>);

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().watches_waiting -= 1;
    }
}

/// Counts a pending late write until dropped.
pub(crate) struct LateWrite(Arc<Shared>);

impl Drop for LateWrite {
    fn drop(&mut self) {
        self.0.counters.lock().late_pending -= 1;
    }
}

impl Shared {
    /// Counts a call; returns false if the rate limit refuses it.
    pub(crate) fn admit(&self, call: &Call) -> bool {
        let mut counters = self.counters.lock();
        counters.record(call.method(), &call.kind, &call.client);
        let admitted = self.limit.lock().as_mut().is_none_or(RateLimit::admit);
        if !admitted {
            counters.limited += 1;
        }
        admitted
    }

    /// Decides the outcome of a call.
    pub(crate) fn decide_outcome(&self, call: &Call) -> Outcome {
        let mut switches = self.switches.lock();
        switches.decide_outcome(&call.client, &call.kind, call.is_write())
    }

    /// Returns the outcome of a call during an outage; `None` if no outage affects
    /// it.
    pub(crate) fn outage_outcome(&self, client: &str, kind: &str) -> Option<Outcome> {
        self.switches.lock().outage_outcome(client, kind)
    }

    /// Replaces all fault switches and wakes the waiting watches.
    pub(crate) fn set_switches(&self, switches: Switches) {
        *self.limit.lock() = switches.max_calls_per_second.map(RateLimit::new);
        *self.switches.lock() = switches;
        self.store.lock().wake_all();
    }

    /// Returns the fault switches with their remaining counts.
    pub(crate) fn switches(&self) -> Switches {
        self.switches.lock().clone()
    }

    /// Returns the current counters.
    pub(crate) fn counts(&self) -> Counts {
        self.counters.lock().snapshot()
    }

    /// Counts a waiting watch until the returned guard is dropped.
    pub(crate) fn count_waiting_watch(&self) -> WaitingWatch<'_> {
        self.counters.lock().watches_waiting += 1;
        WaitingWatch(&self.counters)
    }

    /// Holds a write until the next one arrives.
    pub(crate) fn hold(&self, call: Call) {
        self.held.lock().push(call);
    }

    /// Removes and returns the held writes, in order of arrival.
    pub(crate) fn take_held(&self) -> Vec<Call> {
        std::mem::take(&mut self.held.lock())
    }

    /// Counts a late write until the returned guard is dropped.
    pub(crate) fn count_late_write(self: &Arc<Self>) -> LateWrite {
        self.counters.lock().late_pending += 1;
        LateWrite(Arc::clone(self))
    }

    /// Replaces the list of endpoint hosts after `list.lag`.
    pub(crate) fn set_hosts(&self, list: HostList) {
        self.hosts.lock().set(list.hosts, list.lag);
    }

    /// Returns the currently visible list of endpoint hosts.
    pub(crate) fn hosts(&self) -> Vec<HostStatus> {
        self.hosts.lock().get()
    }

    /// Reads one object.
    pub(crate) fn read(&self, kind: &str, name: &str) -> Option<Entry> {
        self.store.lock().read(kind, name).cloned()
    }

    /// Lists the objects of a kind whose names start with `prefix`.
    pub(crate) fn list(&self, kind: &str, prefix: &str) -> Listing {
        self.store.lock().list(kind, prefix)
    }

    /// Lists the changes of a kind after version `since`.
    pub(crate) fn changes_since(&self, kind: &str, since: u64) -> Listing {
        self.store.lock().changes_since(kind, since)
    }

    /// Subscribes to the next write of a kind or change of the fault switches.
    pub(crate) fn subscribe(&self, kind: &str) -> ChangeSignal {
        self.store.lock().subscribe(kind)
    }

    /// Stores a value if the condition holds, and returns the new version.
    pub(crate) fn write(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Vec<u8>,
    ) -> store::Result<u64> {
        let result = self.store.lock().write(kind, name, condition, value);
        self.count_effect(result)
    }

    /// Removes an object if the condition holds, and returns the new version.
    pub(crate) fn remove(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> store::Result<u64> {
        let result = self.store.lock().remove(kind, name, condition);
        self.count_effect(result)
    }

    fn count_effect(&self, result: store::Result<u64>) -> store::Result<u64> {
        if result.is_ok() {
            self.counters.lock().effects += 1;
        }
        result
    }
}
