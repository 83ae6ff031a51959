//! Which hosts get a copy of a record, from the hosts that are known to have it. It
//! does no I/O.
//!
//! The list of holders in a record says where it was to be stored. Hosts may have
//! failed, left or lost their disks since, so that the answers of the hosts
//! themselves count here.

use std::collections::BTreeSet;

use super::holders;
use super::holders::ListedHosts;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::turns::placement::Demand;

/// What is done about a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Enough hosts have it.
    Enough,
    /// These hosts get it from this one.
    Send(Vec<HostId>),
    /// Another holder sends it, or no host can take it now.
    Wait,
}

/// A record, and which hosts have it.
#[derive(Clone, Copy, Debug)]
pub struct Copies<'a> {
    /// Id of the first turn of its chain.
    pub root: &'a str,
    /// Other hosts that have it.
    pub held: &'a [HostId],
    /// Hosts that have or get the turn before.
    pub preferred: &'a [HostId],
}

/// What a host that holds records knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Its name.
    pub own: &'a HostId,
    /// Whether it is being emptied, so that its own copies do not count.
    pub is_draining: bool,
    /// Number of hosts that must have a record.
    pub demand: Demand,
    /// Listed hosts that may hold the record, including this one.
    pub listed: &'a ListedHosts,
    /// Hosts that are lost.
    pub lost: &'a BTreeSet<HostId>,
    /// Hosts that cannot take a record now.
    pub failed: &'a BTreeSet<HostId>,
}

impl View<'_> {
    /// Decides about a record.
    pub fn next(&self, copies: Copies<'_>) -> Step {
        let holders = self.holders(copies.held);
        let Some(_) = self.takers(copies.root, &holders) else {
            return Step::Enough;
        };
        if !self.is_draining && holders.iter().min() != Some(self.own) {
            return Step::Wait;
        }
        let targets = self.targets(copies, holders.clone());
        if !targets.is_empty() {
            return Step::Send(targets);
        }
        match self.is_draining && self.is_everywhere(&holders) {
            true => Step::Enough,
            false => Step::Wait,
        }
    }

    /// Returns the hosts that get a record, until enough have it.
    fn targets(&self, copies: Copies<'_>, mut holders: Vec<HostId>) -> Vec<HostId> {
        let mut targets = Vec::new();
        while let Some(takers) = self.takers(copies.root, &holders) {
            let has_previous = |host: &&HostId| copies.preferred.contains(host);
            let best = takers.iter().find(has_previous).or(takers.first());
            let Some(target) = best else {
                break;
            };
            holders.push(target.clone());
            targets.push(target.clone());
        }
        targets
    }

    /// Returns the hosts that can take a further copy, the best first; `None` if no
    /// further one is needed.
    fn takers(&self, root: &str, holders: &[HostId]) -> Option<Vec<HostId>> {
        let places = self.places(|host| holders.contains(host));
        let usable = self.places(|host| {
            let is_gone = self.is_draining && self.lost.contains(host);
            !(is_gone || self.listed[host].is_draining)
        });
        let open_places = self.demand.data_centres.min(usable.len());
        let open_places = open_places.saturating_sub(places.len());
        let open_hosts = self.demand.hosts.saturating_sub(holders.len());
        if open_places == 0 && open_hosts == 0 {
            return None;
        }
        let is_unusable = |host: &HostId| {
            host == self.own || self.lost.contains(host) || self.failed.contains(host)
        };
        let mut takers = holders::takers(root, holders, self.listed, is_unusable);
        if open_places >= open_hosts {
            let is_elsewhere = |host: &HostId| !places.contains(&self.listed[host].data_centre);
            if open_hosts == 0 || takers.iter().any(is_elsewhere) {
                takers.retain(is_elsewhere);
            }
        }
        Some(takers)
    }

    /// Holders that count. What hosts hold that are being emptied, they send to
    /// others by themselves; another host that is emptied must not rely on it.
    fn holders(&self, held: &[HostId]) -> Vec<HostId> {
        let stays = |host: &HostId| {
            let listed = self.listed.get(host);
            !self.is_draining || listed.is_some_and(|listed| !listed.is_draining)
        };
        let held = held.iter().filter(|host| *host != self.own && stays(host));
        let own = (!self.is_draining).then_some(self.own);
        held.chain(own).cloned().collect()
    }

    fn places(&self, is_counted: impl Fn(&HostId) -> bool) -> BTreeSet<&DataCentre> {
        let hosts = self.listed.iter().filter(|(host, _)| is_counted(host));
        hosts.map(|(_, listed)| &listed.data_centre).collect()
    }

    /// Whether all other hosts that can hold a record have it, and there are some.
    fn is_everywhere(&self, holders: &[HostId]) -> bool {
        let mut others = self.listed.iter().filter(|(host, listed)| {
            *host != self.own && !listed.is_draining && !self.lost.contains(*host)
        });
        !holders.is_empty() && others.all(|(host, _)| holders.contains(host))
    }
}
