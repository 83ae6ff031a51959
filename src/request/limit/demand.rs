//! Recent call rate of a customer at one host.

use std::time::Duration;

use crate::request::limit::amount::Amount;
use crate::units::Moment;

/// Time constant of the exponential decay.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Exponentially decaying count of calls, from which the rate is derived.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    count: f64,
    updated_at: Moment,
}

impl Demand {
    /// Records a call.
    pub fn record(&mut self, now: Moment) {
        self.count = self.decayed_count(now) + 1.0;
        self.updated_at = now;
    }

    /// Tokens that calls will need within `span` at the recent rate.
    pub fn expected_within(&self, now: Moment, span: Duration) -> Amount {
        let rate = self.decayed_count(now) / TIME_CONSTANT.as_secs_f64();
        Amount::from_tokens(rate * span.as_secs_f64())
    }

    fn decayed_count(&self, now: Moment) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.count * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
