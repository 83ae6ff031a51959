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
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Estimate {
    Replied { at: Moment, reply: GrantReply },
    Failed { since: Moment },
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
    pub fn record_reply(&mut self, at: Moment, host: &HostId, reply: GrantReply) {
        let estimate = Estimate::Replied { at, reply };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Takes note that a host gave no answer.
    pub fn record_failure(&mut self, since: Moment, host: &HostId) {
        let estimate = Estimate::Failed { since };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Tokens that a host probably has; `assumed` is its allotment if nothing
    /// is known of it.
    pub fn level(&self, now: Moment, host: &HostId, assumed: Allotment) -> Amount {
        match self.usable(now, host) {
            None => assumed.capacity,
            Some(Estimate::Replied { at, reply }) => {
                let age = now.since(*at).as_secs_f64();
                let refilled = Amount::from_tokens(reply.refill.tokens() * age);
                (reply.level + refilled).min(reply.capacity)
            }
            Some(Estimate::Failed { .. }) => Amount::ZERO,
        }
    }

    /// Refill a second that a host probably has.
    pub fn refill(&self, now: Moment, host: &HostId, assumed: Allotment) -> Amount {
        match self.usable(now, host) {
            None => assumed.refill,
            Some(Estimate::Replied { reply, .. }) => reply.refill,
            Some(Estimate::Failed { .. }) => Amount::ZERO,
        }
    }

    fn usable(&self, now: Moment, host: &HostId) -> Option<&Estimate> {
        let estimate = self.hosts.get(host)?;
        let fresh = |at: Moment| now.since(at) < RETRY_INTERVAL;
        let usable = match estimate {
            Estimate::Replied { at, reply } => reply.refill > Amount::ZERO || fresh(*at),
            Estimate::Failed { since } => fresh(*since),
        };
        usable.then_some(estimate)
    }
}
