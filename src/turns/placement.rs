//! Which archive hosts hold a new record, and in which order they are asked for
//! one.

use std::cmp::Reverse;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use crate::configs::gateway::FaultTolerance;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::lists::Entries;
use crate::lists::archives::ArchiveEntry;
use crate::lists::archives::Archives;

/// An archive host of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArchiveHost {
    /// Name of the host.
    pub name: HostId,
    /// What the host says about itself.
    pub entry: ArchiveEntry,
    /// Hash of the name.
    hash: u64,
    /// Hash of the data centre's name.
    place: u64,
}

impl ArchiveHost {
    /// Creates a host from its entry.
    pub fn new(name: HostId, entry: ArchiveEntry) -> Self {
        Self {
            hash: hash_of(name.as_str()),
            place: hash_of(entry.data_centre.as_str()),
            name,
            entry,
        }
    }

    /// Whether this is the same process at the same address.
    pub fn is_same_process(&self, other: &Self) -> bool {
        let (own, other_entry) = (&self.entry, &other.entry);
        self.name == other.name
            && own.address == other_entry.address
            && own.incarnation == other_entry.incarnation
    }

    /// Data centre in which the host is located.
    pub const fn data_centre(&self) -> &DataCentre {
        &self.entry.data_centre
    }
}

/// Returns the hosts of a list. Entries whose names are no host's are left out.
pub fn hosts_of(entries: &Entries<Archives>) -> Arc<[ArchiveHost]> {
    let hosts = entries.iter().filter_map(|(name, entry)| {
        let name = name.parse().ok()?;
        Some(ArchiveHost::new(name, entry.clone()))
    });
    hosts.collect()
}

/// Number of hosts and data centres that must have a record before it is
/// acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of data centres in which they are.
    pub data_centres: usize,
}

impl From<FaultTolerance> for Demand {
    fn from(tolerated: FaultTolerance) -> Self {
        let data_centres = tolerated.data_centres + 1;
        Self {
            hosts: (tolerated.hosts + 1).max(data_centres),
            data_centres,
        }
    }
}

impl Demand {
    /// Whether these hosts are enough.
    pub fn is_met(self, hosts: &[ArchiveHost], chosen: &[usize]) -> bool {
        chosen.len() >= self.hosts && count_data_centres(hosts, chosen) >= self.data_centres
    }

    /// Adds hosts in the given order until there are enough; `false` if there
    /// are not.
    pub fn complete(self, hosts: &[ArchiveHost], order: &[usize], chosen: &mut Vec<usize>) -> bool {
        while !self.is_met(hosts, chosen) {
            let open = self.hosts.saturating_sub(chosen.len());
            let present = count_data_centres(hosts, chosen);
            let needs_other = self.data_centres.saturating_sub(present) >= open;
            let is_suitable = |index: &&usize| {
                let is_other = || chosen.iter().all(|c| !is_same_place(hosts, *c, **index));
                !chosen.contains(*index) && (!needs_other || is_other())
            };
            let Some(next) = order.iter().find(is_suitable) else {
                return false;
            };
            chosen.push(*next);
        }
        true
    }
}

fn is_same_place(hosts: &[ArchiveHost], a: usize, b: usize) -> bool {
    hosts[a].place == hosts[b].place
}

fn count_data_centres(hosts: &[ArchiveHost], chosen: &[usize]) -> usize {
    let is_first = |position: usize| {
        let before = &chosen[..position];
        let mut before = before.iter();
        !before.any(|b| is_same_place(hosts, *b, chosen[position]))
    };
    (0..chosen.len()).filter(|p| is_first(*p)).count()
}

/// Ranks the hosts for a program by rendezvous hash. The best of each data centre
/// come first, the one of the own data centre before the others; then the second
/// of each, and so on.
///
/// All gateways agree on the order but for the place of their own data centre, so
/// that a program's records are found at the same hosts from anywhere.
pub fn rank(hosts: &[ArchiveHost], program: &str, own: &DataCentre) -> Vec<usize> {
    let key = hash_of(program);
    let mut order: Vec<usize> = (0..hosts.len()).collect();
    order.sort_by_cached_key(|index| Reverse(mix(key ^ hosts[*index].hash)));
    let place_in_data_centre = |position: usize, index: usize| {
        let before = &order[..position];
        let same = before.iter().filter(|b| is_same_place(hosts, **b, index));
        same.count()
    };
    let mut ranked: Vec<(usize, bool, usize)> = order
        .iter()
        .enumerate()
        .map(|(position, index)| {
            let is_remote = hosts[*index].data_centre() != own;
            (place_in_data_centre(position, *index), is_remote, *index)
        })
        .collect();
    // The sort is stable, so that hosts of equal places stay in the order of hashes.
    ranked.sort_by_key(|(place, is_remote, _)| (*place, *is_remote));
    ranked.into_iter().map(|(_, _, index)| index).collect()
}

fn hash_of(name: &str) -> u64 {
    let digest = Sha256::digest(name);
    let first: [u8; 8] = digest[..8].try_into().expect("a digest has 32 bytes");
    u64::from_be_bytes(first)
}

/// Mixes the bits of a number (the final step of splitmix64).
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
