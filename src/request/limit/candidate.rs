//! Hosts that can be asked for tokens of a customer.

use crate::configs::limit::LimitConfig;
use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::terms::Allotments;
use crate::request::limit::view::View;
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
    /// What it has if nothing else is known.
    pub assumed: Allotment,
}

/// Lists the owner here, the owners elsewhere, hosts with a floor here and
/// hosts with a floor elsewhere, in this order.
pub fn candidates(
    customer: &CustomerId,
    terms: &Customer,
    view: &View,
    cfg: &LimitConfig,
) -> Vec<Candidate> {
    let mut ranked = Vec::new();
    for data_centre in view.members.keys() {
        let here = *data_centre == view.data_centre;
        let allotments = Allotments::divide(terms, data_centre, view, cfg);
        let owner = view.owner(customer, data_centre).map(|owner| &owner.host);
        for member in view.live_others(data_centre) {
            let owns = owner == Some(&member.host);
            let mut assumed = Allotment::default();
            if member.slot.is_some() {
                assumed = assumed.plus(allotments.floor);
            }
            if owns {
                assumed = assumed.plus(allotments.main);
            }
            let candidate = Candidate {
                host: member.host.clone(),
                local_owner: owns && here,
                assumed,
            };
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
