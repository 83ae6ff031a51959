//! Which hosts apply a version of an object.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::Version;
use crate::units::Moment;

/// Report on the spread of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InForce {
    /// Hosts that apply it or a higher one.
    pub in_force: Vec<HostId>,
    /// Hosts that have not confirmed it.
    pub missing: Vec<HostId>,
    /// True if the list of live hosts is newer than the last confirmation;
    /// otherwise a host that has just started may be left out.
    pub hosts_known: bool,
}

impl InForce {
    /// True if every live host confirmed.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.hosts_known
    }
}

/// Collects the versions that hosts report.
///
/// A host that starts is listed first and then catches up. One that was listed
/// before the last confirmation is in any list read after it, and is asked; a
/// later one catches up from a platform or host that has the version. So a
/// report is complete only with a list read after the last confirmation.
#[derive(Clone, Debug)]
pub struct Confirmations {
    target: Version,
    reported: BTreeMap<HostId, Option<Version>>,
    listed_at: Moment,
    last_confirmed_at: Moment,
}

impl Confirmations {
    /// Waits for a version.
    pub fn new(target: Version) -> Self {
        Self {
            target,
            reported: BTreeMap::new(),
            listed_at: Moment::default(),
            last_confirmed_at: Moment::default(),
        }
    }

    /// Takes the list of live hosts, with the moment when it was asked for.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>, at: Moment) {
        let mut previous = std::mem::take(&mut self.reported);
        let entry = |host: HostId| {
            let reported = previous.remove(&host).flatten();
            (host, reported)
        };
        self.reported = hosts.into_iter().map(entry).collect();
        self.listed_at = at;
    }

    /// Takes a host's report of the version that it applies.
    pub fn record(&mut self, host: &HostId, applied: Option<Version>, now: Moment) {
        let was_confirmed = self.has_confirmed(host);
        if let Some(highest) = self.reported.get_mut(host) {
            *highest = applied.max(*highest);
        }
        if !was_confirmed && self.has_confirmed(host) {
            self.last_confirmed_at = now;
        }
    }

    /// True if the host confirmed.
    pub fn has_confirmed(&self, host: &HostId) -> bool {
        let reported = self.reported.get(host).copied().flatten();
        reported.is_some_and(|version| version >= self.target)
    }

    /// The hosts that confirmed and those that have not.
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
