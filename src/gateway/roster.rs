//! Hosts of the scheduler, each with its own object in the platform's store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use super::quota::Share;
use super::routes::Rate;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Version;
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
struct HostState {
    entry: HostEntry,
    /// Hash of its name.
    hash: u64,
    /// Since when it has not answered this host.
    unresponsive_since: Option<Moment>,
    /// Set while it is passed over because it did not answer.
    suspect_until: Option<Moment>,
}

impl HostState {
    fn is_responsive(&self, now: Moment) -> bool {
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
pub fn rendezvous_host<'a>(
    hosts: impl Iterator<Item = &'a HostId>,
    key: u64,
) -> Option<&'a HostId> {
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

/// Fewest tokens of a burst that a host which refills a rate should hold.
const MIN_HELD_TOKENS: f64 = 8.0;

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range first"
)]
fn target_holders(rate: Rate) -> usize {
    (rate.burst / MIN_HELD_TOKENS).clamp(1.0, f64::from(u16::MAX)) as usize
}

/// Time for which a host that did not answer is passed over.
const SUSPECT_DURATION: Duration = Duration::from_secs(1);

/// All hosts that take callers, this one included.
#[derive(Debug)]
pub struct Roster {
    own: HostId,
    hosts: BTreeMap<HostId, HostState>,
    /// Version of the store up to which entries are state; `None` before any.
    version: Option<Version>,
    /// Version at which this host's entry was written.
    own_version: Option<Version>,
    /// From when this host may refill a share.
    share_start: Option<Moment>,
}

impl Roster {
    /// A roster that knows only its own host.
    pub const fn new(own: HostId) -> Self {
        Self {
            own,
            hosts: BTreeMap::new(),
            version: None,
            own_version: None,
            share_start: None,
        }
    }

    /// Takes up a host's entry.
    pub fn put(&mut self, host: HostId, entry: HostEntry) {
        match self.hosts.get_mut(&host) {
            Some(state) if state.entry.incarnation > entry.incarnation => (),
            Some(state) if state.entry == entry => (),
            _ => {
                let state = HostState {
                    entry,
                    hash: super::hash_of(host.as_str()),
                    unresponsive_since: None,
                    suspect_until: None,
                };
                self.hosts.insert(host, state);
            }
        }
    }

    /// Takes up that this host's entry was written at a version.
    pub fn set_own_entry(&mut self, entry: HostEntry, at: Version) {
        self.own_version = Some(at);
        self.put(self.own.clone(), entry);
    }

    /// Replaces the whole listing, as of a version of the store, unless what is
    /// state is as new. True if this host's own entry is found to be gone; it
    /// stays in the roster.
    pub fn replace(&mut self, version: Version, listed: Vec<(HostId, HostEntry)>) -> bool {
        if self.version >= Some(version) {
            return false;
        }
        self.version = Some(version);
        let names: BTreeSet<HostId> = listed.iter().map(|(host, _)| host.clone()).collect();
        let own = &self.own;
        self.hosts
            .retain(|host, _| host == own || names.contains(host));
        let is_own_missing =
            !names.contains(own) && self.own_version.is_some_and(|at| at <= version);
        if is_own_missing {
            self.own_version = None;
        }
        for (host, entry) in listed {
            self.put(host, entry);
        }
        is_own_missing
    }

    /// Version of the store up to which entries are state.
    pub const fn version(&self) -> Option<Version> {
        self.version
    }

    /// Notes that all changes up to a version were taken up.
    pub fn advance_version(&mut self, version: Version) {
        self.version = self.version.max(Some(version));
    }

    /// Takes up that a host's entry is gone.
    pub fn remove(&mut self, host: &HostId) {
        if *host != self.own {
            self.hosts.remove(host);
        }
    }

    /// Notes a sign of life of a host.
    pub fn mark_responsive(&mut self, host: &HostId) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.suspect_until = None;
            state.unresponsive_since = None;
        }
    }

    /// True if a host is state to stand in another data centre.
    pub fn is_remote(&self, host: &HostId, own: &DataCentre) -> bool {
        let state = self.hosts.get(host);
        state.is_some_and(|state| state.entry.data_centre != *own)
    }

    /// The host of this data centre that holds what belongs to a key while
    /// the data centre is cut off. It does not pass over hosts that are
    /// silent, so that there is only one.
    pub fn local_home(&self, key: u64, own: &DataCentre) -> Home {
        self.home_among(key, |_, state| state.entry.data_centre == *own)
    }

    /// Passes a host over for a while, since it did not answer.
    pub fn mark_suspect(&mut self, host: &HostId, now: Moment) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.suspect_until = Some(now + SUSPECT_DURATION);
            state.unresponsive_since.get_or_insert(now);
        }
    }

    /// The host that holds what belongs to a key, among those that answer.
    pub fn home(&self, key: u64, now: Moment) -> Home {
        self.home_among(key, |host, state| {
            *host == self.own || state.is_responsive(now)
        })
    }

    /// The host that holds what belongs to a key once this host has ended.
    pub fn successor_home(&self, key: u64, now: Moment) -> Home {
        self.home_among(key, |host, state| {
            *host != self.own && state.is_responsive(now)
        })
    }

    /// True if this host is home even if every listed host answers.
    pub fn is_preferred_home(&self, key: u64) -> bool {
        self.home_among(key, |_, _| true) == Home::Own
    }

    fn home_among(&self, key: u64, is_usable: impl Fn(&HostId, &HostState) -> bool) -> Home {
        let usable = self
            .hosts
            .iter()
            .filter(|(host, state)| is_usable(host, state));
        let home = usable.max_by_key(|(_, state)| mix(state.hash ^ key));
        match home.filter(|(host, _)| **host != self.own) {
            Some((host, state)) => Home::Other(Peer {
                host: host.clone(),
                address: state.entry.peers,
            }),
            None => Home::Own,
        }
    }

    /// Hosts of a data centre that follow the store for the others, among
    /// those that answer.
    pub fn scouts(&self, own: &DataCentre, count: usize, now: Moment) -> Vec<Peer> {
        let mut ranked: Vec<_> = self
            .hosts
            .iter()
            .filter(|(host, state)| {
                let is_responsive = **host == self.own || state.is_responsive(now);
                state.entry.data_centre == *own && is_responsive
            })
            .map(|(host, state)| (mix(state.hash), host, state))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
        ranked.truncate(count);
        let peer = |(_, host, state): (u64, &HostId, &HostState)| Peer {
            host: host.clone(),
            address: state.entry.peers,
        };
        ranked.into_iter().map(peer).collect()
    }

    /// Hosts whose process is their first.
    pub fn founders(&self) -> Founders {
        let founders = self
            .hosts
            .iter()
            .filter(|(_, state)| state.entry.is_founder);
        Founders {
            hosts: founders.map(|(host, _)| host.clone()).collect(),
        }
    }

    /// Lets this host refill its share from a moment on, when all other hosts
    /// have made room for it.
    pub fn start_share_at(&mut self, at: Moment) {
        self.share_start.get_or_insert(at);
    }

    /// Part of a customer's rate that this host refills.
    pub fn share(&self, customer: u64, rate: Rate, now: Moment) -> Share {
        if self.share_start.is_none_or(|at| now < at) {
            return Share(0.0);
        }
        let holders = self.holders(customer, rate);
        if !holders.contains(&&self.own) {
            return Share(0.0);
        }
        Share(1.0 / f64::from(u32::try_from(holders.len()).unwrap_or(u32::MAX)))
    }

    /// Hosts that refill a customer's rate: enough tokens for each to be of
    /// use, and one at least in each data centre, which may be cut off.
    pub fn holders(&self, customer: u64, rate: Rate) -> Vec<&HostId> {
        let mut ranked: Vec<(u64, &HostId, &HostState)> = self
            .hosts
            .iter()
            .map(|(host, state)| (mix(state.hash ^ customer), host, state))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
        let wanted = target_holders(rate);
        let mut data_centres: Vec<&DataCentre> = Vec::new();
        let mut holders = Vec::new();
        let mut others = Vec::new();
        for (_, host, state) in ranked {
            if data_centres.contains(&&state.entry.data_centre) {
                others.push(host);
            } else {
                data_centres.push(&state.entry.data_centre);
                holders.push(host);
            }
        }
        let missing = wanted.saturating_sub(holders.len());
        holders.extend(others.into_iter().take(missing));
        holders
    }

    /// Hosts to ask for tokens of a customer's rate; those that answer come
    /// first.
    pub fn lenders(&self, customer: u64, rate: Rate, now: Moment) -> Vec<Peer> {
        let holders = self.holders(customer, rate);
        let mut lenders = self.other_hosts(now);
        lenders.retain(|peer| holders.contains(&&peer.host));
        lenders
    }

    /// Hosts that this one looks after and that have been silent for a while.
    pub fn expired_hosts(&self, max_silence: Duration, now: Moment) -> Vec<HostId> {
        let is_expired = |state: &HostState| {
            let silent = state.unresponsive_since.map(|since| now.since(since));
            silent.is_some_and(|silent| silent >= max_silence)
        };
        let expired = self.hosts.iter().filter(|(host, state)| {
            is_expired(state) && self.home(state.hash, now) == Home::Own && **host != self.own
        });
        expired.map(|(host, _)| host.clone()).collect()
    }

    /// Silent hosts, which are asked again to learn whether they are back.
    pub fn unresponsive_hosts(&self) -> Vec<Peer> {
        let silent = self
            .hosts
            .iter()
            .filter(|(_, state)| state.unresponsive_since.is_some());
        silent
            .map(|(host, state)| Peer {
                host: host.clone(),
                address: state.entry.peers,
            })
            .collect()
    }

    /// Other hosts; those that answer come first.
    pub fn other_hosts(&self, now: Moment) -> Vec<Peer> {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.own);
        let mut others: Vec<_> = others
            .map(|(host, state)| {
                let is_suspect = !state.is_responsive(now);
                let peer = Peer {
                    host: host.clone(),
                    address: state.entry.peers,
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
            .map(|(host, state)| (host.clone(), state.entry.clone()))
            .collect()
    }

    /// Number of hosts state.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// True if not even this host is listed.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
