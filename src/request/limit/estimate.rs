//! Estimates of the tokens that other hosts can grant.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::HostId;
use crate::request::limit::amount::Amount;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::message::GrantReply;
use crate::units::Moment;

/// Time for which a host that gave no answer, or refills nothing, is not asked
/// again.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Estimate {
    Answered { at: Moment, reply: GrantReply },
    Unreachable { since: Moment },
}

/// Estimates by host.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    hosts: BTreeMap<HostId, Estimate>,
}

impl Estimates {
    /// Forgets everything, when the hosts have changed.
    pub fn clear(&mut self) {
        self.hosts.clear();
    }

    /// Takes note of an answer.
    pub fn answered(&mut self, at: Moment, host: &HostId, reply: GrantReply) {
        let estimate = Estimate::Answered { at, reply };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Takes note that a host gave no answer.
    pub fn unreachable(&mut self, since: Moment, host: &HostId) {
        let estimate = Estimate::Unreachable { since };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Tokens that a host probably has; `assumed` is its allotment if nothing
    /// is known of it.
    pub fn level(&self, now: Moment, host: &HostId, assumed: Allotment) -> Amount {
        match self.known(now, host) {
            None => assumed.capacity,
            Some(Estimate::Answered { at, reply }) => {
                let age = now.since(*at).as_secs_f64();
                let refilled = Amount::from_tokens(reply.refill.tokens() * age);
                (reply.level + refilled).min(reply.capacity)
            }
            Some(Estimate::Unreachable { .. }) => Amount::ZERO,
        }
    }

    /// Refill a second that a host probably has.
    pub fn refill(&self, now: Moment, host: &HostId, assumed: Allotment) -> Amount {
        match self.known(now, host) {
            None => assumed.refill,
            Some(Estimate::Answered { reply, .. }) => reply.refill,
            Some(Estimate::Unreachable { .. }) => Amount::ZERO,
        }
    }

    fn known(&self, now: Moment, host: &HostId) -> Option<&Estimate> {
        let estimate = self.hosts.get(host)?;
        let fresh = |at: Moment| now.since(at) < ASK_AGAIN_AFTER;
        let known = match estimate {
            Estimate::Answered { at, reply } => reply.refill > Amount::ZERO || fresh(*at),
            Estimate::Unreachable { since } => fresh(*since),
        };
        known.then_some(estimate)
    }
}
