//! What membership tells the limiter: hosts, leases and bucket owners.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::CustomerId;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::request::limit::floor::UnusedFloors;
use crate::units::Moment;

/// A host as membership knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name.
    pub host: HostId,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// True if it can own buckets: its lease is not known to have lapsed.
    pub alive: bool,
    /// Its floor slot, kept while the host may still use it.
    pub slot: Option<u16>,
}

/// Permission to use a floor without a live lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FloorLease {
    /// Slot; no two hosts of a data centre have the same at the same time.
    pub slot: u16,
    /// First moment of use, after every owner that refilled the slot's part
    /// itself has heard of the slot or lapsed, and after every lease of an
    /// earlier process of this host has lapsed.
    pub from: Moment,
    /// End of use; the slot is given to another host only later.
    pub until: Moment,
}

/// Hosts and leases, as one host knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// This host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Number of the set of live hosts of this data centre; grows by one with
    /// every change of the set, a restart of a host included.
    pub epoch: Epoch,
    /// Hosts of every configured data centre; one without hosts is listed too.
    pub members: BTreeMap<DataCentre, Vec<Member>>,
    /// End of this host's lease; absent if it has none.
    pub lease_until: Option<Moment>,
    /// Moment by which every host that acts on an older epoch has lapsed.
    pub settled_at: Moment,
    /// This host's floor, if it has a slot; used only without a live lease.
    pub floor: Option<FloorLease>,
    /// Floors of this data centre that are certainly unused. Filled in by the
    /// limiter's driver; membership leaves it empty.
    pub unused_floors: UnusedFloors,
}

impl View {
    /// Owner of a customer's bucket in a data centre, by rendezvous hashing.
    pub fn owner(&self, customer: &CustomerId, data_centre: &DataCentre) -> Option<&Member> {
        let members = self.members.get(data_centre)?;
        let alive = members.iter().filter(|member| member.alive);
        alive.max_by_key(|member| weight(customer, &member.host))
    }

    /// True if this host owns the customer's bucket in its data centre.
    pub fn owns(&self, customer: &CustomerId) -> bool {
        let owner = self.owner(customer, &self.data_centre);
        owner.is_some_and(|member| member.host == self.host)
    }

    /// Floor slots in use in a data centre.
    pub fn used_slots(&self, data_centre: &DataCentre) -> usize {
        let members = self.members.get(data_centre).into_iter().flatten();
        members.filter(|member| member.slot.is_some()).count()
    }

    /// Live hosts of a data centre other than this one.
    pub fn other_live_members(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Member> {
        let members = self.members.get(data_centre).into_iter().flatten();
        members.filter(|member| member.alive && member.host != self.host)
    }

    /// Ends of the periods, one a floor, in which floors of this data centre
    /// are unused at a moment.
    pub fn unused_floor_ends(&self, at: Moment) -> impl Iterator<Item = Moment> {
        let members = self.members.get(&self.data_centre).into_iter().flatten();
        let slots = members.filter(|member| member.slot.is_some());
        slots.filter_map(move |member| self.unused_floors.unused_until(&member.host, at))
    }

    /// True if the two views differ only in their leases.
    pub fn has_same_hosts(&self, other: &Self) -> bool {
        self.epoch == other.epoch && self.members == other.members
    }

    /// Address of a host.
    pub fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let mut all = self.members.values().flatten();
        let member = all.find(|member| member.host == *host)?;
        Some(member.address)
    }
}

/// Weight of a host for a customer; equal on every host and every build.
fn weight(customer: &CustomerId, host: &HostId) -> u64 {
    let customer = customer.as_str().bytes();
    let bytes = customer.chain([0]).chain(host.as_str().bytes());
    mix(bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    }))
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Spreads the bits of a hash over the whole word (the SplitMix64 finaliser).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
