//! Which archive hosts are lost, and which take the records of others. It does no
//! I/O, and the time is an argument.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::units::Moment;

/// What is known of a listed archive host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Data centre in which it is located.
    pub data_centre: DataCentre,
    /// Whether it is being emptied.
    pub is_draining: bool,
}

/// Listed archive hosts by name.
pub type ListedHosts = BTreeMap<HostId, ListedHost>;

/// Contact with a listed host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Contact {
    /// The last answer, or when the host was first listed.
    answered: Moment,
    is_draining: bool,
}

/// Contact with the other archive hosts.
#[derive(Clone, Debug)]
pub struct Contacts {
    /// Silence after which a host counts as lost.
    silence: Duration,
    hosts: BTreeMap<HostId, Contact>,
    /// Hosts that left the list after they had been emptied.
    emptied: BTreeSet<HostId>,
}

impl Contacts {
    /// Creates the contact of a host that takes others for lost after `silence`.
    pub const fn new(silence: Duration) -> Self {
        Self {
            silence,
            hosts: BTreeMap::new(),
            emptied: BTreeSet::new(),
        }
    }

    /// Takes over the list of the other archive hosts.
    pub fn set_listed(&mut self, listed: &ListedHosts, now: Moment) {
        let emptied = &mut self.emptied;
        self.hosts.retain(|host, contact| {
            let is_listed = listed.contains_key(host);
            // An emptied host removes its entry itself.
            if !is_listed && contact.is_draining {
                emptied.insert(host.clone());
            }
            is_listed
        });
        for (host, entry) in listed {
            self.emptied.remove(host);
            let contact = self.hosts.entry(host.clone()).or_insert(Contact {
                answered: now,
                is_draining: false,
            });
            contact.is_draining = entry.is_draining;
        }
    }

    /// Notes that a host has answered.
    pub fn set_answered(&mut self, host: &HostId, now: Moment) {
        if let Some(contact) = self.hosts.get_mut(host) {
            contact.answered = now;
        }
    }

    /// Listed hosts that have not answered for so long that they count as lost.
    pub fn silent(&self, now: Moment) -> BTreeSet<HostId> {
        self.silent_for(self.silence, now)
    }

    /// Listed hosts that have not answered for `span`. There are none if fewer
    /// than half of the others have answered lately: this host is the one that is
    /// cut off then.
    pub fn silent_for(&self, span: Duration, now: Moment) -> BTreeSet<HostId> {
        let is_silent = |contact: &Contact, span: Duration| now.since(contact.answered) >= span;
        let silent = self.hosts.values().filter(|c| is_silent(c, self.silence));
        if silent.count() * 2 > self.hosts.len() {
            return BTreeSet::new();
        }
        let hosts = self.hosts.iter();
        let silent = hosts.filter(|(_, contact)| is_silent(contact, span));
        silent.map(|(host, _)| host.clone()).collect()
    }

    /// Whether a holder is lost: it is silent, or it is not listed any more
    /// although it has not been emptied.
    pub fn is_lost(&self, host: &HostId, silent: &BTreeSet<HostId>) -> bool {
        match self.hosts.contains_key(host) {
            true => silent.contains(host),
            false => !self.emptied.contains(host),
        }
    }
}

/// Returns a hash of a pair of names that is equal on every host.
fn weight(key: &str, host: &HostId) -> u64 {
    let digest = Sha256::new()
        .chain_update(key)
        .chain_update([0])
        .chain_update(host.as_str())
        .finalize();
    let first: [u8; 8] = digest[..8].try_into().expect("a digest has 32 bytes");
    u64::from_be_bytes(first)
}

/// Whether `own` is the first of `hosts` by rendezvous hash of a key.
pub fn is_first<'a>(own: &HostId, key: &str, hosts: impl Iterator<Item = &'a HostId>) -> bool {
    let own_weight = (weight(key, own), own);
    hosts
        .filter(|host| *host != own)
        .all(|host| (weight(key, host), host) < own_weight)
}

/// Returns the hosts that can take a record from a holder, the best first: those
/// of data centres without a holder come first, then those by rendezvous hash of
/// the key. `holders` are the hosts that hold the record or have left.
pub fn takers(
    key: &str,
    holders: &[HostId],
    listed: &ListedHosts,
    unusable: impl Fn(&HostId) -> bool,
) -> Vec<HostId> {
    let held: BTreeSet<&DataCentre> = holders
        .iter()
        .filter(|host| !unusable(host))
        .filter_map(|host| listed.get(host))
        .filter(|host| !host.is_draining)
        .map(|host| &host.data_centre)
        .collect();
    let can_take = |(host, entry): &(&HostId, &ListedHost)| {
        !entry.is_draining && !holders.contains(host) && !unusable(host)
    };
    let mut takers: Vec<(&HostId, &ListedHost)> = listed.iter().filter(can_take).collect();
    takers.sort_by_cached_key(|(host, entry)| {
        let is_held = held.contains(&entry.data_centre);
        (is_held, Reverse(weight(key, host)))
    });
    takers.into_iter().map(|(host, _)| host.clone()).collect()
}
