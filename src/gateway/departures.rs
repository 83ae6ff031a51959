//! Endpoints that have announced in an answer that they are shutting down.
//!
//! A notice holds until the endpoint restarts, even if the list of endpoints
//! says otherwise: the list may be stale or out of reach.

use std::collections::HashMap;

use super::directory::Endpoint;
use crate::units::Moment;

/// Maximum number of notices, the oldest of which are dropped. An endpoint
/// exits within seconds after its notice.
const MAX_NOTICES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Notice {
    /// Start time of the endpoint in Unix milliseconds; 0 if unknown.
    started_ms: u64,
    received_at: Moment,
}

/// Notices of endpoints that are shutting down, by endpoint id.
#[derive(Debug, Default)]
pub struct Departures {
    notices: HashMap<Box<str>, Notice>,
}

impl Departures {
    /// Records a notice; `false` if there already is one for this process of
    /// the endpoint.
    pub fn record(&mut self, endpoint: &Endpoint, now: Moment) -> bool {
        if self.has_left(endpoint) {
            return false;
        }
        if self.notices.len() >= MAX_NOTICES {
            self.drop_oldest();
        }
        let notice = Notice {
            started_ms: endpoint.started_ms,
            received_at: now,
        };
        self.notices.insert(endpoint.id.clone(), notice);
        true
    }

    /// Whether this process of the endpoint has given notice.
    pub fn has_left(&self, endpoint: &Endpoint) -> bool {
        self.notice(endpoint).is_some()
    }

    /// Whether the endpoint gave notice before `received`, the time at which a
    /// call was received.
    pub fn has_left_before(&self, endpoint: &Endpoint, received: Moment) -> bool {
        self.notice(endpoint)
            .is_some_and(|notice| notice.received_at < received)
    }

    fn notice(&self, endpoint: &Endpoint) -> Option<&Notice> {
        let notice = self.notices.get(&endpoint.id)?;
        // Only a later start shows another process: an outdated entry has an
        // earlier one, and some writers omit it.
        let is_restarted = notice.started_ms > 0 && endpoint.started_ms > notice.started_ms;
        (!is_restarted).then_some(notice)
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .notices
            .iter()
            .min_by_key(|(_, notice)| notice.received_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.notices.remove(&id);
        }
    }
}
