//! Which hosts apply a version of an object.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::Version;

/// Report on the spread of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InForce {
    /// Hosts that apply it or a higher one.
    pub in_force: Vec<HostId>,
    /// Hosts that have not confirmed it.
    pub missing: Vec<HostId>,
}

impl InForce {
    /// True if every live host confirmed.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}

/// Collects the versions that hosts report.
#[derive(Clone, Debug)]
pub struct Confirmations {
    wanted: Version,
    reported: BTreeMap<HostId, Option<Version>>,
}

impl Confirmations {
    /// Waits for `wanted` at each of the hosts.
    pub fn new(wanted: Version, hosts: impl IntoIterator<Item = HostId>) -> Self {
        Self {
            wanted,
            reported: hosts.into_iter().map(|host| (host, None)).collect(),
        }
    }

    /// Adds hosts that have become live since.
    pub fn expect(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        for host in hosts {
            self.reported.entry(host).or_default();
        }
    }

    /// Takes a host's report of the version that it applies.
    pub fn report(&mut self, host: &HostId, applied: Option<Version>) {
        if let Some(known) = self.reported.get_mut(host) {
            *known = applied.max(*known);
        }
    }

    /// True if the host confirmed.
    pub fn has(&self, host: &HostId) -> bool {
        let reported = self.reported.get(host).copied().flatten();
        reported.is_some_and(|version| version >= self.wanted)
    }

    /// The hosts that confirmed and those that have not.
    pub fn summary(&self) -> InForce {
        let (in_force, missing) = self
            .reported
            .keys()
            .cloned()
            .partition(|host| self.has(host));
        InForce { in_force, missing }
    }
}
