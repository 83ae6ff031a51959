//! Estimates of the tokens that other hosts can lend.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::HostId;
use crate::request::limit::amount::Amount;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::message::GrantReply;
use crate::units::Moment;

/// Lifetime of an estimate based on a failed request, or on a reply that reports
/// no refill. Afterwards the default allotment of the host is assumed again, so
/// that tokens are requested from it again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Estimate {
    Replied { at: Moment, reply: GrantReply },
    Failed { since: Moment },
}

/// Estimates of one customer's tokens, by host.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    hosts: BTreeMap<HostId, Estimate>,
}

impl Estimates {
    /// Drops all estimates. Called when the candidate hosts have changed.
    pub fn clear(&mut self) {
        self.hosts.clear();
    }

    /// Records a host's reply to a token request.
    pub fn record_reply(&mut self, at: Moment, host: &HostId, reply: GrantReply) {
        let estimate = Estimate::Replied { at, reply };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Records that a token request to a host failed or timed out.
    pub fn record_failure(&mut self, since: Moment, host: &HostId) {
        let estimate = Estimate::Failed { since };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Estimated tokens at a host. Without a usable estimate this is the
    /// capacity of `assumed`.
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

    /// Estimated refill per second at a host. Without a usable estimate this is
    /// the refill of `assumed`.
    pub fn refill(&self, now: Moment, host: &HostId, assumed: Allotment) -> Amount {
        match self.usable(now, host) {
            None => assumed.refill,
            Some(Estimate::Replied { reply, .. }) => reply.refill,
            Some(Estimate::Failed { .. }) => Amount::ZERO,
        }
    }

    /// Returns the estimate of a host unless it is too old to rely on.
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
