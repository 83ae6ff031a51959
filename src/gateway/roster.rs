//! Hosts of the scheduler, each with its own object in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
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
    /// True if the process is the host's first since the system began.
    pub is_founder: bool,
}

/// Kind of the object that names the hosts of the system's first start.
pub const FOUNDERS_KIND: &str = "chicoryarch-founders";
/// Name of that object.
pub const FOUNDERS_NAME: &str = "first";

/// The hosts of the system's first start, agreed once and for all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Founders {
    /// Their names.
    pub hosts: Vec<HostId>,
}

/// A host as this one knows it.
#[derive(Clone, Debug)]
struct Known {
    entry: HostEntry,
    /// Set while it is passed over because it did not answer.
    suspect_until: Option<Moment>,
}

impl Known {
    fn answers(&self, now: Moment) -> bool {
        self.suspect_until.is_none_or(|until| until <= now)
    }
}

/// Another host that can be called.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name.
    pub host: HostId,
    /// Where it listens for other hosts.
    pub address: SocketAddr,
}

/// The host that stands highest for a key; every host finds the same one.
pub fn highest<'a>(hosts: impl Iterator<Item = &'a HostId>, key: u64) -> Option<&'a HostId> {
    hosts.max_by_key(|host| mix(super::hash_of(host.as_str()) ^ key))
}

/// Spreads the bits of a number, as in the finalizer of SplitMix64.
const fn mix(mut bits: u64) -> u64 {
    bits ^= bits >> 30;
    bits = bits.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits ^= bits >> 27;
    bits = bits.wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Where what belongs to a key is held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Home {
    /// At another host.
    Other(Peer),
    /// At this host.
    Own,
}

/// Time for which a host that did not answer is passed over.
const SUSPICION: Duration = Duration::from_secs(1);

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
    pub fn put(&mut self, host: HostId, entry: HostEntry) {
        match self.hosts.get_mut(&host) {
            Some(known) if known.entry.incarnation > entry.incarnation => (),
            Some(known) if known.entry == entry => (),
            _ => {
                let known = Known {
                    entry,
                    suspect_until: None,
                };
                self.hosts.insert(host, known);
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
    pub fn heard(&mut self, host: &HostId) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.suspect_until = None;
        }
    }

    /// True if a host is known to stand in another data centre.
    pub fn is_elsewhere(&self, host: &HostId, own: &DataCentre) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.entry.data_centre != *own)
    }

    /// The host of this data centre that holds what belongs to a key while
    /// the data centre is cut off. It does not pass over hosts that are
    /// silent, so that there is only one.
    pub fn local_home(&self, key: u64, own: &DataCentre) -> Home {
        self.home_among(key, |_, known| known.entry.data_centre == *own)
    }

    /// Passes a host over for a while, since it did not answer.
    pub fn suspect(&mut self, host: &HostId, now: Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.suspect_until = Some(now + SUSPICION);
        }
    }

    /// The host that holds what belongs to a key, among those that answer.
    pub fn home(&self, key: u64, now: Moment) -> Home {
        self.home_among(key, |host, known| *host == self.own || known.answers(now))
    }

    /// The host that holds what belongs to a key once this host has ended.
    pub fn next_home(&self, key: u64, now: Moment) -> Home {
        self.home_among(key, |host, known| *host != self.own && known.answers(now))
    }

    /// True if this host is home even if every listed host answers.
    pub fn is_rightful_home(&self, key: u64) -> bool {
        self.home_among(key, |_, _| true) == Home::Own
    }

    fn home_among(&self, key: u64, is_usable: impl Fn(&HostId, &Known) -> bool) -> Home {
        let usable = self
            .hosts
            .iter()
            .filter(|(host, known)| is_usable(host, known));
        let home = highest(usable.map(|(host, _)| host), key);
        let other = home.filter(|host| **host != self.own);
        match other.and_then(|host| Some((host, self.hosts.get(host)?))) {
            Some((host, known)) => Home::Other(Peer {
                host: host.clone(),
                address: known.entry.peers,
            }),
            None => Home::Own,
        }
    }

    /// Hosts whose process is their first.
    pub fn founders(&self) -> Founders {
        let founders = self
            .hosts
            .iter()
            .filter(|(_, known)| known.entry.is_founder);
        Founders {
            hosts: founders.map(|(host, _)| host.clone()).collect(),
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

    /// Other hosts; those that answer come first.
    pub fn others(&self, now: Moment) -> Vec<Peer> {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.own);
        let mut others: Vec<_> = others
            .map(|(host, known)| {
                let is_suspect = !known.answers(now);
                let peer = Peer {
                    host: host.clone(),
                    address: known.entry.peers,
                };
                (is_suspect, peer)
            })
            .collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|(is_suspect, _)| *is_suspect);
        others.into_iter().map(|(_, peer)| peer).collect()
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
