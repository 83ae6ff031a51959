//! Tokens for the requests that endpoints with an announced limit take.
//!
//! The tokens of one endpoint are made in one place, its bucket, and handed
//! out one request at a time: equal shares of the hosts would strand most of a
//! small limit, and a token in hand at each of many hosts would exceed it.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::announced_limit::AnnouncedLimit;
use super::announced_limit::LimitNotice;
use crate::units::Moment;

/// Tokens that a bucket holds at most, as the time in which the limit makes
/// them. It always holds one.
const BURST: Duration = Duration::from_millis(500);
/// Lowest rate at which tokens are made. Without an occasional request, the end
/// of a limit of nearly zero would never be noticed.
const MIN_PER_S: f64 = 0.1;
/// Part of a bucket above one token that is kept for programs that have begun.
const STARTED_RESERVE: f64 = 0.5;
/// Shortest and longest time that a denied host is told to wait.
const MIN_WAIT: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time without draws after which a bucket is dropped. A new one starts empty.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Number of buckets above which idle ones are dropped.
const MANY_BUCKETS: usize = 256;

/// One process of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct EndpointProcess {
    /// Id of the endpoint.
    pub id: Box<str>,
    /// Its start time in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

/// A limit and when the endpoint last confirmed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// Requests a second that the endpoint takes from all hosts together.
    pub per_s: f64,
    /// When the endpoint answered so.
    pub answered_at: Moment,
}

/// Result of drawing a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Draw {
    /// One request may be sent now.
    Granted,
    /// None may be sent.
    Denied {
        /// Time after which this host may be granted one.
        wait: Duration,
    },
}

#[derive(Debug)]
struct Bucket {
    limit: AnnouncedLimit,
    tokens: f64,
    drawn_at: Moment,
    /// Time up to which the tokens to come have been promised to denied hosts.
    promised_until: Moment,
}

impl Bucket {
    const fn new(now: Moment) -> Self {
        Self {
            limit: AnnouncedLimit::NONE,
            tokens: 0.0,
            drawn_at: now,
            promised_until: now,
        }
    }

    fn draw(&mut self, share: f64, is_first_turn: bool, now: Moment) -> Draw {
        let per_s = self.limit.per_s().unwrap_or_default().max(MIN_PER_S) * share;
        let capacity = (per_s * BURST.as_secs_f64()).max(1.0);
        let made = per_s * now.since(self.drawn_at).as_secs_f64();
        self.tokens = (self.tokens + made).min(capacity);
        self.drawn_at = now;
        let needed = match is_first_turn {
            true => (capacity - 1.0).mul_add(STARTED_RESERVE, 1.0),
            false => 1.0,
        };
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Draw::Granted;
        }
        // Denied hosts are told to come one after the other, so that their
        // number does not decide how often they ask.
        let seconds = |tokens: f64| {
            let span = Duration::try_from_secs_f64(tokens / per_s);
            span.unwrap_or(MAX_WAIT).min(MAX_WAIT)
        };
        let next = now + seconds(needed - self.tokens);
        self.promised_until = next.max(self.promised_until + seconds(1.0));
        let wait = now.until(self.promised_until).clamp(MIN_WAIT, MAX_WAIT);
        self.promised_until = now + wait;
        Draw::Denied { wait }
    }
}

/// Buckets of the endpoints that this host makes tokens for.
#[derive(Debug, Default)]
pub struct LimitBuckets(HashMap<EndpointProcess, Bucket>);

impl LimitBuckets {
    /// Draws a token for a request to an endpoint.
    ///
    /// `limit` is what the drawing host knows; the bucket keeps to the newest.
    /// `share` is the part of the limit that this host may hand out, above 0 up
    /// to 1. The first turn of a program leaves tokens for those that have
    /// begun.
    pub fn draw(
        &mut self,
        endpoint: EndpointProcess,
        limit: KnownLimit,
        share: f64,
        is_first_turn: bool,
        now: Moment,
    ) -> Draw {
        if self.0.len() >= MANY_BUCKETS {
            self.0
                .retain(|_, bucket| now.since(bucket.drawn_at) < IDLE_TIME);
        }
        let bucket = self.0.entry(endpoint).or_insert_with(|| Bucket::new(now));
        let notice = LimitNotice::PerSecond(limit.per_s);
        // The bucket fills at the newest limit, whichever host told it.
        let _changed = bucket.limit.record(notice, limit.answered_at);
        bucket.draw(share, is_first_turn, now)
    }
}
