//! Membership as seen by the limiter: hosts, leases and bucket owners.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::CustomerId;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::request::limit::floor::UnusedFloors;
use crate::units::Moment;

/// A host listed by membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the host.
    pub host: HostId,
    /// Address at which the host listens for peers.
    pub address: SocketAddr,
    /// Whether the host can own buckets. False if its lease is reported as
    /// lapsed or the host is draining.
    pub alive: bool,
    /// Floor slot of the host, kept as long as the host may still use it; `None`
    /// if it has no floor.
    pub slot: Option<u16>,
}

/// Permission to use a floor without a live lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FloorLease {
    /// Slot number, unique within the data centre at any time.
    pub slot: u16,
    /// Start of use. By then every owner that refilled the slot's part of the
    /// rate in its main bucket has learned of the slot or lost its lease, and
    /// every lease of an earlier process of this host has lapsed.
    pub from: Moment,
    /// End of use. The slot is assigned to another host only afterwards.
    pub until: Moment,
}

/// Hosts and leases as one host currently sees them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// Name of this host.
    pub host: HostId,
    /// Data centre of this host.
    pub data_centre: DataCentre,
    /// Version of the set of live hosts of this data centre. Incremented by one
    /// with every change of the set, including the restart of a host.
    pub epoch: Epoch,
    /// Hosts of every configured data centre. Data centres without hosts have an
    /// empty entry.
    pub members: BTreeMap<DataCentre, Vec<Member>>,
    /// End of this host's lease; `None` if it has none.
    pub lease_until: Option<Moment>,
    /// Time by which the leases of all hosts that use an older epoch have
    /// lapsed.
    pub settled_at: Moment,
    /// Floor of this host, used only without a live lease; `None` if it has no
    /// slot.
    pub floor: Option<FloorLease>,
    /// Floors of this data centre that are guaranteed to be unused. Filled in by
    /// the driver of the limiter; empty in views from membership.
    pub unused_floors: UnusedFloors,
}

impl View {
    /// Returns the owner of a customer's bucket in a data centre, chosen among
    /// the live hosts by rendezvous hashing. `None` if there is no live host.
    pub fn owner(&self, customer: &CustomerId, data_centre: &DataCentre) -> Option<&Member> {
        let members = self.members.get(data_centre)?;
        let alive = members.iter().filter(|member| member.alive);
        alive.max_by_key(|member| weight(customer, &member.host))
    }

    /// Whether this host owns the customer's bucket in its data centre.
    pub fn owns(&self, customer: &CustomerId) -> bool {
        let owner = self.owner(customer, &self.data_centre);
        owner.is_some_and(|member| member.host == self.host)
    }

    /// Number of floor slots in use in a data centre.
    pub fn used_slots(&self, data_centre: &DataCentre) -> usize {
        let members = self.members.get(data_centre).into_iter().flatten();
        members.filter(|member| member.slot.is_some()).count()
    }

    /// Live hosts of a data centre, without this host.
    pub fn other_live_members(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Member> {
        let members = self.members.get(data_centre).into_iter().flatten();
        members.filter(|member| member.alive && member.host != self.host)
    }

    /// For each floor of this data centre that is unused at `at`, returns the
    /// time until which it stays unused.
    pub fn unused_floor_ends(&self, at: Moment) -> impl Iterator<Item = Moment> {
        let members = self.members.get(&self.data_centre).into_iter().flatten();
        let slots = members.filter(|member| member.slot.is_some());
        slots.filter_map(move |member| self.unused_floors.unused_until(&member.host, at))
    }

    /// Whether both views have the same hosts and differ in leases at most.
    pub fn has_same_hosts(&self, other: &Self) -> bool {
        self.epoch == other.epoch && self.members == other.members
    }

    /// Returns the peer address of a host; `None` if the host is not listed.
    pub fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let mut all = self.members.values().flatten();
        let member = all.find(|member| member.host == *host)?;
        Some(member.address)
    }
}

/// Rendezvous hashing weight of a host for a customer (FNV-1a with a final mix).
///
/// All hosts and builds must compute the same weight to agree on the owner.
fn weight(customer: &CustomerId, host: &HostId) -> u64 {
    let customer = customer.as_str().bytes();
    let bytes = customer.chain([0]).chain(host.as_str().bytes());
    mix(bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    }))
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Mixes the bits of a hash over the whole word (SplitMix64 finalizer).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
