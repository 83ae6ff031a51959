//! Counts of the calls that the platform stand-in was asked.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// What a call asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// The list of endpoint hosts.
    Hosts,
    /// The objects of a kind.
    List,
    /// One object.
    Read,
    /// The removal of an object.
    Remove,
    /// The changes of a kind.
    Watch,
    /// The storing of an object.
    Write,
}

/// Calls of one method, kind and client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCount {
    /// What was asked for.
    pub method: Method,
    /// Kind of object; empty for the list of hosts.
    pub kind: String,
    /// Name of the client; empty if it gave none.
    pub client: String,
    /// Calls so far.
    pub count: u64,
}

/// All counts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Calls by method, kind and client.
    pub calls: Vec<CallCount>,
    /// Writes and removals that took effect.
    pub effects: u64,
    /// Late writes that have not been tried yet.
    pub late_pending: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Watches that wait now.
    pub watches_waiting: u64,
    /// Watches so far.
    pub watches_total: u64,
}

impl Counts {
    /// Calls that the filter selects.
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

    /// The present counts.
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
