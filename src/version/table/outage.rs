//! Agreement among a table's hosts that the platform is out.
//!
//! Each heartbeat says whether its sender reaches the platform, and each reply
//! carries the count. A host therefore learns what the others of its table see
//! without any further message.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::message::Heartbeat;
use super::message::Piggyback;
use crate::ids::HostId;
use crate::ids::Version;
use crate::units::Moment;

/// What a host knows about its own reach of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformView {
    /// It has not called the platform lately.
    #[default]
    Unknown,
    /// Its last call was answered.
    Reachable,
    /// Its last call failed.
    Out,
}

/// How many hosts reach the platform and how many do not.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Tally {
    /// Hosts whose last platform call failed.
    pub out: u32,
    /// Hosts whose last platform call was answered.
    pub reachable: u32,
    /// Newest ownership part of the table known to any of them.
    pub ownership: Version,
}

impl Tally {
    /// Counts one more host.
    pub fn add(&mut self, view: PlatformView, ownership: Version) {
        match view {
            PlatformView::Unknown => {}
            PlatformView::Reachable => self.reachable += 1,
            PlatformView::Out => self.out += 1,
        }
        self.ownership = self.ownership.max(ownership);
    }

    /// True if nobody reaches the platform, at least half of the live hosts
    /// agree, and none knows a newer table.
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

/// The last heartbeat heard from each host.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    hosts: BTreeMap<HostId, Report>,
}

impl Reports {
    /// Notes a heartbeat.
    pub fn record(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let report = Report {
            at: now,
            view: heartbeat.platform,
            ownership: heartbeat.ownership,
            piggyback: heartbeat.piggyback,
        };
        self.hosts.insert(heartbeat.host.clone(), report);
    }

    /// Drops what is older than a lease.
    pub fn expire(&mut self, now: Moment, ttl: Duration) {
        self.hosts.retain(|_, report| now.since(report.at) < ttl);
    }

    /// Counts the reports that are younger than a lease.
    pub fn tally(&self, now: Moment, ttl: Duration) -> Tally {
        let mut tally = Tally::default();
        for report in self.hosts.values() {
            if now.since(report.at) < ttl {
                tally.add(report.view, report.ownership);
            }
        }
        tally
    }

    /// The digests last heard, by host.
    pub fn piggybacks(&self) -> impl Iterator<Item = (&HostId, Piggyback)> {
        self.hosts
            .iter()
            .map(|(host, report)| (host, report.piggyback))
    }
}
