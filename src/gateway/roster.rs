//! Hosts of the scheduler, each with its own object in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::quota::Share;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::units::Moment;

/// Kind of the hosts' objects.
pub const KIND: &str = "chicoryarch-hosts";

/// What a host writes about itself at its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Where it listens for other hosts.
    pub peers: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Start of its process.
    pub incarnation: Incarnation,
}

/// A host as this one knows it.
#[derive(Clone, Debug)]
struct Known {
    entry: HostEntry,
    /// When this host last had an answer or a message from it.
    heard: Moment,
}

/// All hosts that take callers, this one included.
#[derive(Debug)]
pub struct Roster {
    own: HostId,
    hosts: BTreeMap<HostId, Known>,
    /// From when this host may refill a share.
    share_from: Option<Moment>,
}

impl Roster {
    /// A roster that knows only its own host.
    pub const fn new(own: HostId) -> Self {
        Self {
            own,
            hosts: BTreeMap::new(),
            share_from: None,
        }
    }

    /// Takes up a host's entry.
    pub fn put(&mut self, host: HostId, entry: HostEntry, now: Moment) {
        match self.hosts.get_mut(&host) {
            Some(known) if known.entry.incarnation > entry.incarnation => (),
            Some(known) if known.entry == entry => (),
            _ => {
                self.hosts.insert(host, Known { entry, heard: now });
            }
        }
    }

    /// Takes up that a host's entry is gone.
    pub fn remove(&mut self, host: &HostId) {
        if *host != self.own {
            self.hosts.remove(host);
        }
    }

    /// Notes a sign of life of a host.
    pub fn heard(&mut self, host: &HostId, now: Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.heard = now;
        }
    }

    /// Lets this host refill its share from a moment on, when all other hosts
    /// have made room for it.
    pub fn share_from(&mut self, at: Moment) {
        self.share_from.get_or_insert(at);
    }

    /// Part of every rate that this host refills.
    pub fn share(&self, now: Moment) -> Share {
        if self.share_from.is_none_or(|at| now < at) {
            return Share(0.0);
        }
        let hosts = u32::try_from(self.hosts.len().max(1)).unwrap_or(u32::MAX);
        Share(1.0 / f64::from(hosts))
    }

    /// Other hosts, with the time since each was heard of.
    pub fn others(&self, now: Moment) -> Vec<(HostId, SocketAddr, Duration)> {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.own);
        others
            .map(|(host, known)| (host.clone(), known.entry.peers, now.since(known.heard)))
            .collect()
    }

    /// All entries, to be told to other hosts.
    pub fn entries(&self) -> Vec<(HostId, HostEntry)> {
        self.hosts
            .iter()
            .map(|(host, known)| (host.clone(), known.entry.clone()))
            .collect()
    }

    /// Number of hosts known.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// True if not even this host is listed.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
