//! State that all requests of the platform stand-in share.

use std::sync::Arc;

use parking_lot::Mutex;

use super::call::Call;
use super::counts::Counters;
use super::counts::Counts;
use super::hosts::HostList;
use super::hosts::HostStatus;
use super::limit::RateLimit;
use super::store;
use super::store::Condition;
use super::store::Entry;
use super::store::Listing;
use super::store::Store;
use super::store::Wake;
use super::switches::Fate;
use super::switches::Switches;
use crate::lagging::Lagging;

/// State that all requests share, each part under its own lock.
#[derive(Debug)]
pub(crate) struct Shared {
    counters: Mutex<Counters>,
    held: Mutex<Vec<Call>>,
    hosts: Mutex<Lagging<Vec<HostStatus>>>,
    limit: Mutex<Option<RateLimit>>,
    store: Mutex<Store>,
    switches: Mutex<Switches>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            counters: Mutex::default(),
            held: Mutex::default(),
            hosts: Mutex::new(Lagging::new(Vec::new())),
            limit: Mutex::default(),
            store: Mutex::default(),
            switches: Mutex::default(),
        }
    }
}

/// Counts one waiting watch until dropped.
pub(crate) struct Waiting<'a>(&'a Mutex<Counters>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().watches_waiting -= 1;
    }
}

/// Counts one late write until dropped.
pub(crate) struct Late(Arc<Shared>);

impl Drop for Late {
    fn drop(&mut self) {
        self.0.counters.lock().late_pending -= 1;
    }
}

impl Shared {
    /// Counts a call; false if the rate limit refuses it.
    pub(crate) fn admit(&self, call: &Call) -> bool {
        let mut counters = self.counters.lock();
        counters.record(call.method(), &call.kind, &call.client);
        let admitted = self.limit.lock().as_mut().is_none_or(RateLimit::admit);
        if !admitted {
            counters.limited += 1;
        }
        admitted
    }

    /// Decides what happens to a call.
    pub(crate) fn decide(&self, call: &Call) -> Fate {
        let mut switches = self.switches.lock();
        switches.decide(&call.client, &call.kind, call.is_write())
    }

    /// The fate of a waiting watch once an outage has begun.
    pub(crate) fn outage(&self, client: &str, kind: &str) -> Option<Fate> {
        self.switches.lock().outage(client, kind)
    }

    /// Replaces all switches.
    pub(crate) fn set_switches(&self, switches: Switches) {
        *self.limit.lock() = switches.max_calls_per_second.map(RateLimit::new);
        *self.switches.lock() = switches;
        self.store.lock().wake_all();
    }

    /// The present switches, with what is left of each count.
    pub(crate) fn switches(&self) -> Switches {
        self.switches.lock().clone()
    }

    /// The present counts.
    pub(crate) fn counts(&self) -> Counts {
        self.counters.lock().snapshot()
    }

    /// Counts a waiting watch until the result is dropped.
    pub(crate) fn count_waiting(&self) -> Waiting<'_> {
        self.counters.lock().watches_waiting += 1;
        Waiting(&self.counters)
    }

    /// Holds a write back until the next one.
    pub(crate) fn hold(&self, call: Call) {
        self.held.lock().push(call);
    }

    /// The writes that were held back, in order.
    pub(crate) fn take_held(&self) -> Vec<Call> {
        std::mem::take(&mut self.held.lock())
    }

    /// Counts a late write until the result is dropped.
    pub(crate) fn count_late(self: &Arc<Self>) -> Late {
        self.counters.lock().late_pending += 1;
        Late(Arc::clone(self))
    }

    /// Replaces the list of endpoint hosts.
    pub(crate) fn set_hosts(&self, list: HostList) {
        self.hosts.lock().set(list.hosts, list.lag);
    }

    /// The list of endpoint hosts that is visible now.
    pub(crate) fn hosts(&self) -> Vec<HostStatus> {
        self.hosts.lock().get()
    }

    /// Reads one object.
    pub(crate) fn read(&self, kind: &str, name: &str) -> Option<Entry> {
        self.store.lock().read(kind, name).cloned()
    }

    /// Lists the objects of a kind.
    pub(crate) fn list(&self, kind: &str, prefix: &str) -> Listing {
        self.store.lock().list(kind, prefix)
    }

    /// Lists the changes of a kind.
    pub(crate) fn changed(&self, kind: &str, since: u64) -> Listing {
        self.store.lock().changed(kind, since)
    }

    /// Registers for the next write of a kind or change of the switches.
    pub(crate) fn wait(&self, kind: &str) -> Wake {
        self.store.lock().wait(kind)
    }

    /// Stores a value if the object is as expected.
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

    /// Removes an object if it is as expected.
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
