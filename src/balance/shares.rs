//! Shares of customers in the first turns that this host has admitted.

use std::collections::HashMap;
use std::time::Duration;

use crate::units::Moment;

/// Number of customers above which those that have been idle for long are
/// forgotten.
const MAX_CUSTOMERS: usize = 1024;
/// Time constants of the decay after which an idle customer is forgotten.
const IDLE_DECAYS: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Customer {
    /// Admitted tokens, decayed up to `at`.
    tokens: f64,
    at: Moment,
    refused_at: Option<Moment>,
}

impl Customer {
    fn tokens(&self, decay: Duration, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / decay.as_secs_f64();
        self.tokens * (-age).exp()
    }
}

/// Recently admitted tokens by customer.
#[derive(Debug, Default)]
pub struct Shares(HashMap<Box<str>, Customer>);

impl Shares {
    /// Adds the tokens of an admitted turn to its customer's.
    pub fn record_admitted(&mut self, name: &str, tokens: f64, decay: Duration, now: Moment) {
        let customer = self.entry(name, decay, now);
        customer.tokens = customer.tokens(decay, now) + tokens;
        customer.at = now;
        customer.refused_at = None;
    }

    /// Records that a turn of a customer was refused, so that it waits.
    pub fn record_refused(&mut self, name: &str, decay: Duration, now: Moment) {
        let customer = self.entry(name, decay, now);
        customer.tokens = customer.tokens(decay, now);
        customer.at = now;
        customer.refused_at = Some(now);
    }

    /// Whether a customer has had more than its equal share of the admitted tokens while another, which has had less than its share, was
    /// refused within `window`.
    #[allow(clippy::cast_precision_loss, reason = "customers are few")]
    pub fn is_over(&self, name: &str, decay: Duration, window: Duration, now: Moment) -> bool {
        let Some(own) = self.0.get(name) else {
            return false;
        };
        let active = |customer: &&Customer| now.since(customer.at) < decay;
        let total: f64 = self.0.values().map(|c| c.tokens(decay, now)).sum();
        let share = total / self.0.values().filter(active).count().max(1) as f64;
        if own.tokens(decay, now) <= share {
            return false;
        }
        self.0.iter().any(|(other, customer)| {
            let waits = customer.refused_at.is_some_and(|at| now.since(at) < window);
            **other != *name && waits && customer.tokens(decay, now) < share
        })
    }

    fn entry(&mut self, name: &str, decay: Duration, now: Moment) -> &mut Customer {
        if self.0.len() >= MAX_CUSTOMERS && !self.0.contains_key(name) {
            self.0
                .retain(|_, customer| now.since(customer.at) < decay * IDLE_DECAYS);
        }
        self.0.entry(name.into()).or_default()
    }
}
