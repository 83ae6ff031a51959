//! Tracks which hosts apply a version of an object.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::Version;
use crate::units::Moment;

/// Which live hosts apply one version of an object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InForce {
    /// Hosts that apply the version or a higher one.
    pub in_force: Vec<HostId>,
    /// Hosts that have not confirmed the version.
    pub missing: Vec<HostId>,
    /// Whether the list of live hosts is newer than the last confirmation; if
    /// not, a host that has just started may be left out.
    pub hosts_known: bool,
}

impl InForce {
    /// Whether every live host has confirmed the version.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.hosts_known
    }
}

/// Collects the versions that hosts report.
///
/// A starting host is first listed as live and then catches up. A host listed
/// before the last confirmation appears in any list requested after it and has
/// to confirm; a host listed later catches up from a platform or host that
/// already has the version. A report is therefore complete only with a list
/// requested after the last confirmation.
#[derive(Clone, Debug)]
pub struct Confirmations {
    target: Version,
    reported: BTreeMap<HostId, Option<Version>>,
    listed_at: Moment,
    last_confirmed_at: Moment,
}

impl Confirmations {
    /// Starts with an empty list of hosts.
    pub fn new(target: Version) -> Self {
        Self {
            target,
            reported: BTreeMap::new(),
            listed_at: Moment::default(),
            last_confirmed_at: Moment::default(),
        }
    }

    /// Replaces the list of live hosts, which was requested at `listed_at`.
    /// Hosts that stay listed keep the version that they reported.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>, listed_at: Moment) {
        let mut previous = std::mem::take(&mut self.reported);
        let entry = |host: HostId| {
            let reported = previous.remove(&host).flatten();
            (host, reported)
        };
        self.reported = hosts.into_iter().map(entry).collect();
        self.listed_at = listed_at;
    }

    /// Records the version that a host applies. Unlisted hosts are ignored.
    pub fn record(&mut self, host: &HostId, applied: Option<Version>, now: Moment) {
        let was_confirmed = self.has_confirmed(host);
        if let Some(highest) = self.reported.get_mut(host) {
            *highest = applied.max(*highest);
        }
        if !was_confirmed && self.has_confirmed(host) {
            self.last_confirmed_at = now;
        }
    }

    /// Whether the host applies the target version or a higher one.
    pub fn has_confirmed(&self, host: &HostId) -> bool {
        let reported = self.reported.get(host).copied().flatten();
        reported.is_some_and(|version| version >= self.target)
    }

    /// The listed hosts, divided by whether they have confirmed.
    pub fn summary(&self) -> InForce {
        let (in_force, missing) = self
            .reported
            .keys()
            .cloned()
            .partition(|host| self.has_confirmed(host));
        InForce {
            in_force,
            missing,
            hosts_known: self.listed_at > self.last_confirmed_at,
        }
    }
}
