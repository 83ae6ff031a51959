//! Hosts that can be asked for tokens of a customer.

use crate::configs::limit::LimitConfig;
use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::request::limit::allotments::Allotments;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::view::View;
use crate::units::Moment;
use crate::version::objects::Customer;

/// Hosts considered for one customer; bounds the work on a miss.
const MAX_CANDIDATES: usize = 64;

/// A host that may have tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: HostId,
    /// True if it owns the bucket of this host's data centre.
    pub local_owner: bool,
    /// What it has under a live lease, if nothing else is known.
    pub with_lease: Allotment,
    /// What it has without a lease, if nothing else is known.
    pub without_lease: Allotment,
}

impl Candidate {
    /// What it has if nothing else is known: its lease is taken to be live if
    /// that of this host is.
    pub fn assumed_allotment(&self, now: Moment, view: &View) -> Allotment {
        let has_lease = view.lease_until.is_some_and(|until| now < until);
        if has_lease {
            self.with_lease
        } else {
            self.without_lease
        }
    }
}

/// Lists the owner here, the owners elsewhere, hosts with a floor here and
/// hosts with a floor elsewhere, in this order.
pub fn list_candidates(
    customer: &CustomerId,
    limits: &Customer,
    view: &View,
    cfg: &LimitConfig,
) -> Vec<Candidate> {
    let mut ranked = Vec::new();
    for data_centre in view.members.keys() {
        let here = *data_centre == view.data_centre;
        let allotments = Allotments::divide(limits, data_centre, view, cfg);
        let pooled = allotments.with_unused(view.used_slots(data_centre));
        let owner = view.owner(customer, data_centre).map(|owner| &owner.host);
        for member in view.other_live_members(data_centre) {
            let owns = owner == Some(&member.host);
            let mut candidate = Candidate {
                host: member.host.clone(),
                local_owner: owns && here,
                with_lease: Allotment::default(),
                without_lease: Allotment::default(),
            };
            if member.slot.is_some() {
                candidate.without_lease = allotments.floor;
            }
            if owns {
                candidate.with_lease = pooled.main;
            }
            ranked.push((!(owns && here), !owns, !here, candidate));
        }
    }
    ranked.sort_by_key(|(local_owner, owner, here, _)| (*local_owner, *owner, *here));
    ranked.truncate(MAX_CANDIDATES);
    ranked
        .into_iter()
        .map(|(_, _, _, candidate)| candidate)
        .collect()
}
