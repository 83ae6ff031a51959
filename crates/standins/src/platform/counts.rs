//! Call counters of the platform stand-in.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Method of a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// Lists the endpoint hosts.
    Hosts,
    /// Lists the objects of a kind.
    List,
    /// Reads an object.
    Read,
    /// Removes an object.
    Remove,
    /// Watches the changes of a kind.
    Watch,
    /// Stores an object.
    Write,
}

/// Number of calls of one method, kind and client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCount {
    /// Method of the calls.
    pub method: Method,
    /// Object kind; empty for the list of hosts.
    pub kind: String,
    /// Client name from the `chicoryarch-host` header; empty if absent.
    pub client: String,
    /// Number of calls, including failed ones.
    pub count: u64,
}

/// Snapshot of all counters.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Call counts by method, kind and client.
    pub calls: Vec<CallCount>,
    /// Number of writes and removals that took effect.
    pub effects: u64,
    /// Number of late writes that have not been executed yet.
    pub late_pending: u64,
    /// Number of calls refused by the rate limit.
    pub limited: u64,
    /// Number of watches that are waiting.
    pub watches_waiting: u64,
    /// Number of watch calls, including failed ones.
    pub watches_total: u64,
}

impl Counts {
    /// Returns the number of calls in the entries that `wanted` selects.
    pub fn total(&self, wanted: impl Fn(&CallCount) -> bool) -> u64 {
        let selected = self.calls.iter().filter(|call| wanted(call));
        selected.map(|call| call.count).sum()
    }
}

/// Counters behind [`Counts`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    calls: BTreeMap<(Method, String, String), u64>,
    pub(crate) effects: u64,
    pub(crate) late_pending: u64,
    pub(crate) limited: u64,
    pub(crate) watches_waiting: u64,
}

impl Counters {
    /// Counts one call.
    pub(crate) fn record(&mut self, method: Method, kind: &str, client: &str) {
        let id = (method, kind.to_owned(), client.to_owned());
        *self.calls.entry(id).or_default() += 1;
    }

    /// Returns the current counts.
    pub(crate) fn snapshot(&self) -> Counts {
        let count =
            |((method, kind, client), count): (&(Method, String, String), &u64)| CallCount {
                method: *method,
                kind: kind.clone(),
                client: client.clone(),
                count: *count,
            };
        let calls: Vec<CallCount> = self.calls.iter().map(count).collect();
        let watches = calls.iter().filter(|call| call.method == Method::Watch);
        Counts {
            watches_total: watches.map(|call| call.count).sum(),
            effects: self.effects,
            late_pending: self.late_pending,
            limited: self.limited,
            watches_waiting: self.watches_waiting,
            calls,
        }
    }
}
