//! The scheduler's hosts and their state. Each host has an object of its own in
//! the platform's store.

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
use crate::protection::cold::HostOrder;
use crate::protection::cold::HostRank;
use crate::units::Moment;

/// Object kind of the hosts' entries.
pub const KIND: &str = "chicoryarch-hosts";

/// Entry that a host writes about itself at its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Address at which the host listens for other hosts.
    pub peers: SocketAddr,
    /// Data centre in which the host is located.
    pub data_centre: DataCentre,
    /// Identifies the start of its process; a later start has a higher value.
    pub incarnation: Incarnation,
    /// Whether this is the first process of the host since the system was set
    /// up.
    pub is_founder: bool,
    /// Whether it divides the tokens that founders hold; hosts of earlier releases
    /// do not.
    #[serde(default)]
    pub divides_tokens: bool,
    /// Whether the process has ended and passed its parts of extra turns on to the
    /// host's next one.
    #[serde(default)]
    pub passes_on: bool,
}

/// Object kind of the list of founders.
pub const FOUNDERS_KIND: &str = "chicoryarch-founders";
/// Object name of the list of founders.
pub const FOUNDERS_NAME: &str = "first";

/// Hosts of the system's first start. The list is agreed once and never
/// changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Founders {
    /// Host names.
    pub hosts: Vec<HostId>,
    /// Their data centres; empty if some of them are of an earlier release, which
    /// does not divide tokens among them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub data_centres: BTreeMap<HostId, DataCentre>,
}

/// Maximum number of hosts that hold parts of a program's tokens beside its first
/// home. A part of the extra turn must be enough to begin one.
const MAX_PARTS: usize = 3;

/// Hosts whose first processes may issue a program's tokens without a record.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartHolders {
    /// Holder of the allowance, except for the parts of `remote`.
    pub home: Option<HostId>,
    /// Hosts of other data centres, one each, that hold equal parts of the
    /// allowance and of the extra turn. If there are none, the home holds all.
    pub remote: Vec<HostId>,
}

impl PartHolders {
    /// Number of equal parts of the extra turn.
    pub fn extra_parts(&self) -> u64 {
        self.remote_count().max(1)
    }

    /// Number of hosts in other data centres.
    pub fn remote_count(&self) -> u64 {
        u64::try_from(self.remote.len()).unwrap_or(u64::MAX)
    }

    /// Whether a host may issue a part of the extra turn.
    pub fn holds_extra(&self, host: &HostId) -> bool {
        match self.remote.is_empty() {
            true => self.home.as_ref() == Some(host),
            false => self.remote.contains(host),
        }
    }
}

impl Founders {
    /// Returns the hosts that hold parts of the tokens of the program with this
    /// key: the first by rendezvous hash, and the first of each of a few other
    /// data centres, since any of them may be isolated.
    pub fn part_holders(&self, key: u64) -> PartHolders {
        let mut ranked: Vec<&HostId> = self.hosts.iter().collect();
        ranked.sort_by_key(|host| std::cmp::Reverse(mix(super::hash_of(host.as_str()) ^ key)));
        let Some(home) = ranked.first() else {
            return PartHolders::default();
        };
        let mut served = vec![self.data_centres.get(home)];
        let mut remote = Vec::new();
        for host in &ranked {
            let data_centre = self.data_centres.get(host);
            let is_new = data_centre.is_some() && !served.contains(&data_centre);
            if is_new && remote.len() < MAX_PARTS {
                served.push(data_centre);
                remote.push(HostId::clone(host));
            }
        }
        PartHolders {
            home: Some(HostId::clone(home)),
            remote,
        }
    }
}

/// State of a host as seen from this one.
#[derive(Clone, Debug)]
struct HostState {
    entry: HostEntry,
    /// Hash of the host's name.
    hash: u64,
    /// Time of its first failure to respond since it last did; `None` while it
    /// responds.
    unresponsive_since: Option<Moment>,
    /// The host is not used before this time, since it did not respond. `None`
    /// if it is not suspected.
    suspect_until: Option<Moment>,
}

impl HostState {
    fn peer(&self, host: &HostId) -> Peer {
        Peer {
            host: host.clone(),
            address: self.entry.peers,
        }
    }

    fn order<'a>(&self, host: &'a HostId, key: u64, data_centre: &str) -> HostOrder<'a> {
        HostOrder {
            is_near: self.entry.data_centre.as_str() == data_centre,
            hash: mix(self.hash ^ key),
            name: host.as_str(),
        }
    }

    fn is_responsive(&self, now: Moment) -> bool {
        self.suspect_until.is_none_or(|until| until <= now)
    }
}

/// Another host, to which calls can be sent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Host name.
    pub host: HostId,
    /// Address at which the host listens for other hosts.
    pub address: SocketAddr,
}

/// Mixes the bits of a number, as the finalizer of SplitMix64 does.
const fn mix(mut bits: u64) -> u64 {
    bits ^= bits >> 30;
    bits = bits.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits ^= bits >> 27;
    bits = bits.wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Location of the state that belongs to a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Home {
    /// Another host.
    Other(Peer),
    /// This host.
    Own,
}

/// Number of hosts that keep a copy of some state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeeperCount {
    /// Hosts of this host's data centre, as far as it has others.
    pub local: usize,
    /// Further hosts of any data centre, which also replace missing local ones.
    pub any: usize,
}

/// Minimum part of a burst, in tokens, that each host refilling a rate should
/// hold.
const MIN_HELD_TOKENS: f64 = 8.0;

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range first"
)]
fn target_holders(rate: Rate) -> usize {
    (rate.burst / MIN_HELD_TOKENS).clamp(1.0, f64::from(u16::MAX)) as usize
}

/// Fraction of the choices of a random host that prefer the own data centre.
const LOCAL_SHARE: f64 = 0.75;
/// Time for which a host that did not respond is not used.
const SUSPECT_DURATION: Duration = Duration::from_secs(1);

/// All hosts that serve callers, including this one.
#[derive(Debug)]
pub struct Roster {
    own: HostId,
    hosts: BTreeMap<HostId, HostState>,
    /// Store version up to which changes are applied; `None` before the first
    /// listing.
    version: Option<Version>,
    /// Store version of this host's entry; `None` if it is not written or was
    /// found to be missing.
    own_version: Option<Version>,
    /// Time from which this host may refill a share of the rates.
    share_start: Option<Moment>,
    /// Number of changes of the hosts.
    revision: u64,
}

impl Roster {
    /// Creates a roster without entries for a host.
    pub const fn new(own: HostId) -> Self {
        Self {
            own,
            hosts: BTreeMap::new(),
            version: None,
            own_version: None,
            share_start: None,
            revision: 0,
        }
    }

    /// Adds or updates a host's entry, unless the present one has a newer
    /// incarnation.
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
                self.revision += 1;
            }
        }
    }

    /// Records this host's entry and the store version at which it was written.
    pub fn set_own_entry(&mut self, entry: HostEntry, at: Version) {
        self.own_version = Some(at);
        self.put(self.own.clone(), entry);
    }

    /// Replaces all entries by a listing of the given store version, unless the
    /// present ones are as recent. Returns `true` if this host's own entry is
    /// missing from the store; it stays in the roster.
    pub fn replace(&mut self, version: Version, listed: Vec<(HostId, HostEntry)>) -> bool {
        if self.version >= Some(version) {
            return false;
        }
        self.version = Some(version);
        let names: BTreeSet<HostId> = listed.iter().map(|(host, _)| host.clone()).collect();
        let own = &self.own;
        let before = self.hosts.len();
        self.hosts
            .retain(|host, _| host == own || names.contains(host));
        if self.hosts.len() < before {
            self.revision += 1;
        }
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

    /// Store version up to which changes are applied; `None` before the first
    /// listing.
    pub const fn version(&self) -> Option<Version> {
        self.version
    }

    /// Records that all changes up to a store version are applied.
    pub fn advance_version(&mut self, version: Version) {
        self.version = self.version.max(Some(version));
    }

    /// Removes a host whose entry was removed from the store; this host always
    /// stays.
    pub fn remove(&mut self, host: &HostId) {
        if *host != self.own && self.hosts.remove(host).is_some() {
            self.revision += 1;
        }
    }

    /// Records that a host responded.
    pub fn mark_responsive(&mut self, host: &HostId) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.suspect_until = None;
            state.unresponsive_since = None;
        }
    }

    /// Whether a host is listed in a data centre.
    pub fn has_data_centre(&self, name: &str) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|state| state.entry.data_centre.as_str() == name)
    }

    /// Returns the first listed data centre by name, on which all hosts with the
    /// same list agree.
    pub fn first_data_centre(&self) -> Option<&DataCentre> {
        self.hosts.values().map(|s| &s.entry.data_centre).min()
    }

    /// Whether a host is listed in a data centre other than `own`.
    pub fn is_remote(&self, host: &HostId, own: &DataCentre) -> bool {
        let state = self.hosts.get(host);
        state.is_some_and(|state| state.entry.data_centre != *own)
    }

    /// Whether a host is listed in a data centre.
    pub fn is_in(&self, host: &HostId, data_centre: &DataCentre) -> bool {
        let state = self.hosts.get(host);
        state.is_some_and(|state| state.entry.data_centre == *data_centre)
    }

    /// Excludes a host for a while, since it did not respond.
    pub fn mark_suspect(&mut self, host: &HostId, now: Moment) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.suspect_until = Some(now + SUSPECT_DURATION);
            state.unresponsive_since.get_or_insert(now);
        }
    }

    /// Returns the home of a key among the responsive hosts.
    pub fn home(&self, key: u64, now: Moment) -> Home {
        self.home_among(key, |host, state| {
            *host == self.own || state.is_responsive(now)
        })
    }

    /// Returns the home of a key once this host has left.
    pub fn successor_home(&self, key: u64, now: Moment) -> Home {
        self.home_among(key, |host, state| {
            *host != self.own && state.is_responsive(now)
        })
    }

    /// Whether this host is the home of a key even when all listed hosts
    /// respond.
    pub fn is_preferred_home(&self, key: u64) -> bool {
        self.home_among(key, |_, _| true) == Home::Own
    }

    /// Returns the home of a key among the responsive hosts of a data centre
    /// or, if there are none, among all responsive hosts.
    pub fn home_near(&self, key: u64, data_centre: &str, now: Moment) -> Home {
        let is_usable =
            |host: &HostId, state: &HostState| *host == self.own || state.is_responsive(now);
        let is_near = |host: &HostId, state: &HostState| {
            state.entry.data_centre.as_str() == data_centre && is_usable(host, state)
        };
        let mut hosts = self.hosts.iter();
        match hosts.any(|(host, state)| is_near(host, state)) {
            true => self.home_among(key, is_near),
            false => self.home_among(key, is_usable),
        }
    }

    /// Returns the listed hosts that are home of a key near a data centre before
    /// this one, without those that have not responded to it for `gone_after`.
    pub fn homes_before(
        &self,
        key: u64,
        data_centre: &str,
        gone_after: Duration,
        now: Moment,
    ) -> Vec<Peer> {
        let order = |state: &HostState| {
            let is_near = state.entry.data_centre.as_str() == data_centre;
            (is_near, mix(state.hash ^ key))
        };
        let Some(own) = self.hosts.get(&self.own).map(order) else {
            return Vec::new();
        };
        let is_gone = |state: &HostState| {
            let since = state.unresponsive_since;
            since.is_some_and(|since| now.since(since) >= gone_after)
        };
        let before = self.hosts.iter();
        before
            .filter(|(_, state)| order(state) > own && !is_gone(state))
            .map(|(host, state)| state.peer(host))
            .collect()
    }

    /// Returns the part of the listed hosts that respond, this one included; 1
    /// if none is listed. What the hosts share divides by it while they are
    /// cut off from each other: each side counts its own.
    pub fn responsive_share(&self) -> f64 {
        let responds = |(host, state): &(&HostId, &HostState)| {
            **host == self.own || state.unresponsive_since.is_none()
        };
        let responsive = self.hosts.iter().filter(responds).count();
        let count = |n: usize| f64::from(u32::try_from(n.max(1)).unwrap_or(u32::MAX));
        count(responsive) / count(self.hosts.len())
    }

    fn home_among(&self, key: u64, is_usable: impl Fn(&HostId, &HostState) -> bool) -> Home {
        let usable = self
            .hosts
            .iter()
            .filter(|(host, state)| is_usable(host, state));
        let home = usable.max_by_key(|(_, state)| mix(state.hash ^ key));
        match home.filter(|(host, _)| **host != self.own) {
            Some((host, state)) => Home::Other(state.peer(host)),
            None => Home::Own,
        }
    }

    /// Returns the responsive hosts, without this one, that keep the state of a
    /// key: the first ones of data centre `local` by rendezvous hash, then the
    /// first of all others.
    pub fn keepers(
        &self,
        key: u64,
        local: &DataCentre,
        count: KeeperCount,
        now: Moment,
    ) -> Vec<Peer> {
        let mut ranked: Vec<_> = self
            .hosts
            .iter()
            .filter(|(host, state)| **host != self.own && state.is_responsive(now))
            .map(|(host, state)| (mix(state.hash ^ key), host, state))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
        let mut chosen = Vec::new();
        let mut others = Vec::new();
        for (_, host, state) in ranked {
            let is_local = state.entry.data_centre == *local;
            if is_local && chosen.len() < count.local {
                chosen.push(state.peer(host));
            } else {
                others.push(state.peer(host));
            }
        }
        chosen.extend(others);
        chosen.truncate(count.local + count.any);
        chosen
    }

    /// Returns the scouts of a data centre: the responsive hosts that watch the
    /// store on behalf of the others.
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
        let peers = ranked.into_iter().map(|(_, host, state)| state.peer(host));
        peers.collect()
    }

    /// Returns the hosts whose process is their first.
    pub fn founders(&self) -> Founders {
        let founders = self
            .hosts
            .iter()
            .filter(|(_, state)| state.entry.is_founder);
        let founders: Vec<_> = founders.collect();
        let all_divide = founders.iter().all(|(_, state)| state.entry.divides_tokens);
        let data_centres = founders
            .iter()
            .filter(|_| all_divide)
            .map(|(host, state)| (HostId::clone(host), state.entry.data_centre.clone()));
        Founders {
            data_centres: data_centres.collect(),
            hosts: founders
                .iter()
                .map(|(host, _)| HostId::clone(host))
                .collect(),
        }
    }

    /// Sets the time from which this host refills its share, when all other
    /// hosts have reduced theirs. Only the first call has an effect.
    pub fn start_share_at(&mut self, at: Moment) {
        self.share_start.get_or_insert(at);
    }

    /// Returns the number that [`Roster::own_rank`] changes with. `None` until this
    /// host may use its shares: it is not listed, or the others do not yet expect
    /// it.
    pub fn rank_revision(&self, now: Moment) -> Option<u64> {
        let has_begun = self.share_start.is_some_and(|at| at <= now);
        (has_begun && self.hosts.contains_key(&self.own)).then_some(self.revision)
    }

    /// Returns this host's rank for a key among all listed hosts, whether or not
    /// they respond: those of a data centre first, each part by rendezvous hash.
    /// `None` if this host is not listed.
    ///
    /// Callers keep the result for as long as [`Roster::rank_revision`] is the
    /// same, since it looks at every host.
    pub fn own_rank(&self, key: u64, data_centre: &str) -> Option<HostRank> {
        let (own, own_state) = self.hosts.get_key_value(&self.own)?;
        let own = own_state.order(own, key, data_centre);
        let all = self.hosts.iter();
        let all = all.map(|(host, state)| state.order(host, key, data_centre));
        Some(HostRank::among(own, all))
    }

    /// Returns the fraction of a customer's rate that this host refills.
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

    /// Returns the hosts that refill a customer's rate: few enough that each
    /// holds a useful number of tokens, but at least one in each data centre,
    /// since any may be isolated.
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

    /// Returns the hosts that may lend tokens of a customer's rate, in random
    /// order, with responsive hosts first, and among them those of data centre
    /// `local`.
    pub fn lenders(&self, customer: u64, rate: Rate, local: &DataCentre, now: Moment) -> Vec<Peer> {
        let holders = self.holders(customer, rate);
        let mut lenders = self.other_hosts(now);
        lenders.retain(|peer| holders.contains(&&peer.host));
        lenders.sort_by_key(|peer| {
            let state = self.hosts.get(&peer.host);
            let is_suspect = state.is_none_or(|state| !state.is_responsive(now));
            let is_remote = state.is_none_or(|state| state.entry.data_centre != *local);
            (is_suspect, is_remote)
        });
        lenders
    }

    /// Returns the hosts to remove: unresponsive for at least `max_silence`,
    /// with this host responsible for them.
    pub fn expired_hosts(&self, max_silence: Duration, now: Moment) -> Vec<HostId> {
        let is_expired = |state: &HostState| {
            let silence = state.unresponsive_since.map(|since| now.since(since));
            silence.is_some_and(|silence| silence >= max_silence)
        };
        let expired = self.hosts.iter().filter(|(host, state)| {
            is_expired(state) && self.home(state.hash, now) == Home::Own && **host != self.own
        });
        expired.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the unresponsive hosts, which are probed to detect their return.
    pub fn unresponsive_hosts(&self) -> Vec<Peer> {
        let unresponsive = self
            .hosts
            .iter()
            .filter(|(_, state)| state.unresponsive_since.is_some());
        unresponsive.map(|(host, state)| state.peer(host)).collect()
    }

    /// Returns the other hosts in random order, with responsive hosts first.
    pub fn other_hosts(&self, now: Moment) -> Vec<Peer> {
        let others = self.hosts.iter().filter(|(host, _)| **host != self.own);
        let mut others: Vec<_> = others
            .map(|(host, state)| {
                let is_suspect = !state.is_responsive(now);
                (is_suspect, state.peer(host))
            })
            .collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|(is_suspect, _)| *is_suspect);
        others.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the other responsive host of the least cost, among those that
    /// have one.
    pub fn cheapest(
        &self,
        now: Moment,
        cost: impl Fn(&HostId, &DataCentre) -> Option<f64>,
    ) -> Option<Peer> {
        let others = self
            .hosts
            .iter()
            .filter(|(host, state)| **host != self.own && state.is_responsive(now));
        let costs = others
            .filter_map(|(host, state)| Some((cost(host, &state.entry.data_centre)?, host, state)));
        let (_, host, state) = costs.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
        Some(state.peer(host))
    }

    /// Returns a host by name, if it responds.
    pub fn responsive_peer(&self, host: &HostId, now: Moment) -> Option<Peer> {
        let state = self.hosts.get(host);
        Some(state.filter(|state| state.is_responsive(now))?.peer(host))
    }

    /// Returns a host by name.
    pub fn peer(&self, host: &HostId) -> Option<Peer> {
        Some(self.hosts.get(host)?.peer(host))
    }

    /// Returns another responsive host at random, mostly of data centre `local`.
    pub fn random_host(&self, local: &DataCentre, now: Moment) -> Option<Peer> {
        let is_local_preferred = rand::random_bool(LOCAL_SHARE);
        let responsive = self
            .hosts
            .iter()
            .filter(|(host, state)| **host != self.own && state.is_responsive(now));
        let chosen = responsive.max_by_key(|(_, state)| {
            let is_preferred = is_local_preferred && state.entry.data_centre == *local;
            (is_preferred, rand::random::<u64>())
        });
        chosen.map(|(host, state)| state.peer(host))
    }

    /// Returns all entries, to send them to other hosts.
    pub fn entries(&self) -> Vec<(HostId, HostEntry)> {
        self.hosts
            .iter()
            .map(|(host, state)| (host.clone(), state.entry.clone()))
            .collect()
    }

    /// Number of hosts, including this one if it is listed.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there are no entries, not even this host's own.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
