//! Estimates of the tokens that other hosts can grant.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::HostId;
use crate::request::limit::amount::Amount;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::message::Answer;
use crate::units::Moment;

/// Time for which a host that gave no answer is not asked again.
const UNREACHABLE_FOR: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Estimate {
    Answered { at: Moment, answer: Answer },
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
    pub fn answered(&mut self, at: Moment, host: &HostId, answer: Answer) {
        let estimate = Estimate::Answered { at, answer };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Takes note that a host gave no answer.
    pub fn unreachable(&mut self, since: Moment, host: &HostId) {
        let estimate = Estimate::Unreachable { since };
        self.hosts.insert(host.clone(), estimate);
    }

    /// Tokens that a host probably has; `assumed` is its allotment if it has
    /// not been asked yet.
    pub fn level(&self, now: Moment, host: &HostId, assumed: Allotment) -> Amount {
        match self.hosts.get(host) {
            None => assumed.capacity,
            Some(Estimate::Answered { at, answer }) => {
                let age = now.since(*at).as_secs_f64();
                let refilled = Amount::from_tokens(answer.refill.tokens() * age);
                (answer.level + refilled).min(answer.capacity)
            }
            Some(Estimate::Unreachable { since }) => {
                if now.since(*since) < UNREACHABLE_FOR {
                    Amount::ZERO
                } else {
                    assumed.capacity
                }
            }
        }
    }

    /// Refill a second that a host probably has.
    pub fn refill(&self, host: &HostId, assumed: Allotment) -> Amount {
        match self.hosts.get(host) {
            None => assumed.refill,
            Some(Estimate::Answered { answer, .. }) => answer.refill,
            Some(Estimate::Unreachable { .. }) => Amount::ZERO,
        }
    }
}
