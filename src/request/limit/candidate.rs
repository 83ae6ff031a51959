//! Hosts from which a customer's tokens can be borrowed.

use crate::configs::limit::LimitConfig;
use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::request::limit::allotments::Allotments;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::view::View;
use crate::units::Moment;
use crate::version::objects::Customer;

/// Upper bound of the candidates per customer; limits the work of a call that
/// finds no local token.
const MAX_CANDIDATES: usize = 64;

/// A host that may have tokens to lend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the host.
    pub host: HostId,
    /// Whether the host owns the customer's bucket in the data centre of this
    /// host.
    pub local_owner: bool,
    /// Default estimate of its allotment while its lease is live.
    pub with_lease: Allotment,
    /// Default estimate of its allotment while it has no lease.
    pub without_lease: Allotment,
}

impl Candidate {
    /// Default estimate of its allotment. Its lease is assumed to be live if
    /// the lease of this host is.
    pub fn assumed_allotment(&self, now: Moment, view: &View) -> Allotment {
        let has_lease = view.lease_until.is_some_and(|until| now < until);
        if has_lease {
            self.with_lease
        } else {
            self.without_lease
        }
    }
}

/// Lists up to `MAX_CANDIDATES` hosts: first the owner in the local data
/// centre, then the owners in other data centres, other local hosts and other
/// remote hosts.
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
        let with_unused = allotments.with_unused(view.used_slots(data_centre));
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
                candidate.with_lease = with_unused.main;
            }
            ranked.push((!(owns && here), !owns, !here, candidate));
        }
    }
    // `false` sorts before `true`.
    ranked.sort_by_key(|(not_local_owner, not_owner, remote, _)| {
        (*not_local_owner, *not_owner, *remote)
    });
    ranked.truncate(MAX_CANDIDATES);
    ranked
        .into_iter()
        .map(|(_, _, _, candidate)| candidate)
        .collect()
}
