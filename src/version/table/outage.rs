//! Detection of a platform outage by the hosts of a table.
//!
//! Each heartbeat reports whether its sender can reach the platform, and each
//! reply carries the tally of these reports. No further messages are needed for a
//! host to learn the views of the other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::message::Heartbeat;
use super::message::Piggyback;
use crate::ids::HostId;
use crate::ids::Version;
use crate::units::Moment;

/// A host's view of whether it can reach the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformView {
    /// No recent call.
    #[default]
    Unknown,
    /// The last call was answered.
    Reachable,
    /// The last call failed.
    Out,
}

/// Number of hosts that can and cannot reach the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Tally {
    /// Hosts whose last platform call failed.
    pub out: u32,
    /// Hosts whose last platform call was answered.
    pub reachable: u32,
    /// Newest ownership version of the table seen by any of the counted hosts.
    pub ownership: Version,
}

impl Tally {
    /// Adds the view of one host.
    pub fn add(&mut self, view: PlatformView, ownership: Version) {
        match view {
            PlatformView::Unknown => {}
            PlatformView::Reachable => self.reachable += 1,
            PlatformView::Out => self.out += 1,
        }
        self.ownership = self.ownership.max(ownership);
    }

    /// Whether the platform is out: no host reaches it, at least half of the
    /// `live` hosts report it as out, and none has seen a table newer than
    /// `ownership`.
    pub fn confirms_outage(&self, live: usize, ownership: Version) -> bool {
        let out = usize::try_from(self.out).unwrap_or(usize::MAX);
        let half = out.saturating_mul(2) >= live && out > 0;
        self.reachable == 0 && half && self.ownership <= ownership
    }
}

#[derive(Clone, Debug)]
struct Report {
    at: Moment,
    view: PlatformView,
    ownership: Version,
    piggyback: Piggyback,
}

/// The last report received from each host.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    hosts: BTreeMap<HostId, Report>,
}

impl Reports {
    /// Stores the report of a heartbeat, replacing the host's previous one.
    pub fn record(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let report = Report {
            at: now,
            view: heartbeat.platform,
            ownership: heartbeat.ownership,
            piggyback: heartbeat.piggyback,
        };
        self.hosts.insert(heartbeat.host.clone(), report);
    }

    /// Removes reports that are at least `ttl` old.
    pub fn expire(&mut self, now: Moment, ttl: Duration) {
        self.hosts.retain(|_, report| now.since(report.at) < ttl);
    }

    /// Counts the reports that are younger than `ttl`.
    pub fn tally(&self, now: Moment, ttl: Duration) -> Tally {
        let mut tally = Tally::default();
        for report in self.hosts.values() {
            if now.since(report.at) < ttl {
                tally.add(report.view, report.ownership);
            }
        }
        tally
    }

    /// The digests last received, by host.
    pub fn piggybacks(&self) -> impl Iterator<Item = (&HostId, Piggyback)> {
        self.hosts
            .iter()
            .map(|(host, report)| (host, report.piggyback))
    }
}
