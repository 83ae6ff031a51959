//! Repeats chosen by their gain in success, within quotas.
//!
//! The allotment is that of `optimize` in QuoCast (Allani, Garbinato,
//! Malekpour, Pedone): a sender's quota is given, one attempt at a time, to
//! where the probability of success gains most. Here the sender's quota is
//! the retry budget; a repeat is granted while its gain is not below what the
//! last interval's repeats gained on average.

/// Weight of the newest call in an endpoint's failure rate.
const SMOOTHING: f64 = 0.05;
/// Repeats that all endpoints together accept in each interval.
const REPEATS: u32 = 12;

/// Quotas of endpoints and the failure rates they show.
#[derive(Debug)]
pub(crate) struct ReceiverQuota {
    failures: Vec<f64>,
    left: u32,
    gained: f64,
    granted: u32,
    threshold: f64,
}

impl ReceiverQuota {
    /// Full quotas for a number of endpoints.
    pub(crate) fn new(endpoints: usize) -> Self {
        Self {
            failures: vec![0.0; endpoints],
            left: REPEATS,
            gained: 0.0,
            granted: 0,
            threshold: 0.0,
        }
    }

    /// Records the end of a call.
    pub(crate) fn ended(&mut self, endpoint: usize, failed: bool) {
        let rate = &mut self.failures[endpoint];
        *rate += SMOOTHING * (f64::from(u8::from(failed)) - *rate);
    }

    /// Decides whether one more attempt after `attempts` is worth its place.
    pub(crate) fn permit(&mut self, attempts: u32) -> bool {
        let mean = self.failures.iter().sum::<f64>() / self.failures.len() as f64;
        let gain = (1.0 - mean) * mean.powi(attempts as i32 - 1);
        if self.left == 0 || gain < self.threshold {
            return false;
        }
        self.left -= 1;
        self.gained += gain;
        self.granted += 1;
        true
    }

    /// Begins the next interval.
    pub(crate) fn tick(&mut self) {
        let average = self.gained / f64::from(self.granted.max(1));
        let scarce = self.left == 0;
        self.threshold = if scarce { average } else { 0.0 };
        self.left = REPEATS;
        self.gained = 0.0;
        self.granted = 0;
    }
}
