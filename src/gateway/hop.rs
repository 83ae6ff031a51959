//! Sends calls to endpoints through other hosts, while this host is cut off
//! from their service.
//!
//! Everything but the way to the endpoint stays as it is: this host has
//! authorized the call, holds its reservations and chooses the endpoint.

use std::sync::Arc;
use std::time::Duration;

use chicoryarch_net::Body;
use chicoryarch_net::client::ClientError;
use chicoryarch_net::client::Reuse;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use parking_lot::Mutex;

use super::context::Gateway;
use super::directory::Endpoint;
use super::roster::Peer;
use crate::connection::hop;
use crate::connection::hop::Hop;
use crate::connection::hop::HopOutcome;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::protection::helpers::Helpers;
use crate::protection::homes::HomeRule;
use crate::units::Moment;

/// Number of hosts that are asked to forward one attempt.
const MAX_HOSTS: usize = 12;
/// Time for which a host is not asked after it could not help.
const AVOIDED: Duration = Duration::from_secs(1);
/// The same for a host that is shutting down or forwards no calls.
const AVOIDED_LONG: Duration = Duration::from_secs(5);

/// Part of an attempt's time within which the other host must have reported
/// that there is no answer.
const REPORT_TIME: Duration = Duration::from_millis(10);

/// A call that goes through another host; counts there until it is dropped.
#[derive(Debug)]
pub struct OpenHop {
    helpers: Arc<Mutex<Helpers>>,
    /// The other host.
    pub host: HostId,
}

impl OpenHop {
    fn new(helpers: &Arc<Mutex<Helpers>>, host: &HostId) -> Self {
        helpers.lock().begin(host);
        Self {
            helpers: Arc::clone(helpers),
            host: host.clone(),
        }
    }
}

impl Drop for OpenHop {
    fn drop(&mut self) {
        self.helpers.lock().end(&self.host);
    }
}

/// Result of an attempt through another host, up to the head of the answer.
#[derive(Debug)]
pub enum HopResult {
    /// The endpoint answered.
    Answered(Box<Response<Incoming>>, OpenHop),
    /// The connection to the other host was lost, or its path to the endpoint.
    /// The call may have run.
    LostOnWay(String),
    /// The other host lost its connection to the endpoint. The call may have
    /// run.
    EndpointLost,
    /// No host took the call. Not run.
    NotTaken,
    /// Nothing could be sent to the endpoint. Not run.
    NotSent,
    /// No answer arrived in time. The call may have run.
    TimedOut,
}

/// What an attempt through another host needs to know of the call.
#[derive(Clone, Copy, Debug)]
pub struct HopAttempt<'a> {
    /// Endpoint that runs the call.
    pub endpoint: &'a Endpoint,
    /// When the attempt must have been answered.
    pub deadline: Moment,
    /// Maximum idle time of the connections that are used; `None` for any.
    pub max_idle: Option<Duration>,
    /// Whether the call may run again.
    pub is_repeatable: bool,
    /// Where the body may be sent; `None` for anywhere.
    pub homes: Option<HomeRule<'a>>,
}

/// Chooses a host that may reach an endpoint; `None` if there is none. With homes,
/// it is a host that may have the body of the call.
pub fn choose_host<P>(
    cx: &Gateway<P>,
    endpoint: &Endpoint,
    homes: Option<HomeRule<'_>>,
) -> Option<Peer> {
    let now = Moment::now();
    let helpers = cx.helpers.lock();
    cx.roster.lock().cheapest(now, |host, data_centre| {
        if homes.is_some_and(|homes| !homes.may_receive(data_centre.as_str())) {
            return None;
        }
        let is_near = data_centre.as_str() == &*endpoint.data_centre;
        helpers.cost(host, &endpoint.service, is_near, rand::random(), now)
    })
}

/// Sends a call through one other host, the next if one does not take it.
/// `build` returns the request for the endpoint.
pub async fn send<P: Platform>(
    cx: &Gateway<P>,
    attempt: HopAttempt<'_>,
    build: impl Fn() -> Option<Request<Body>>,
) -> HopResult {
    for _ in 0..MAX_HOSTS {
        let now = Moment::now();
        let time_left = now.until(attempt.deadline);
        let host = choose_host(cx, attempt.endpoint, attempt.homes);
        let Some(peer) = host.filter(|_| !time_left.is_zero()) else {
            return HopResult::NotTaken;
        };
        let hop = Hop {
            from: cx.cfg.place.host.clone(),
            endpoint: attempt.endpoint.id.clone(),
            time_left: time_left.saturating_sub(REPORT_TIME),
            max_idle: attempt.max_idle,
            is_repeatable: attempt.is_repeatable,
        };
        let Some(req) = build().and_then(|req| hop::wrap(req, &hop).ok()) else {
            return HopResult::NotSent;
        };
        let open = OpenHop::new(&cx.helpers, &peer.host);
        cx.metrics.hops.inc();
        // Other hosts answer each request once.
        let reuse = Reuse {
            max_idle: attempt.max_idle.unwrap_or(Duration::MAX),
            ..Reuse::default()
        };
        let sent = cx.client.send_reusing(peer.address, req, time_left, reuse);
        let mut response = match sent.await {
            Ok(response) => response,
            Err(e) => {
                avoid(cx, &peer.host, AVOIDED);
                match e {
                    e if e.is_not_sent() => continue,
                    ClientError::Timeout(_) => return HopResult::TimedOut,
                    e => return HopResult::LostOnWay(format!("through {}: {e}", peer.host)),
                }
            }
        };
        match hop::take_outcome(response.headers_mut()) {
            Some(HopOutcome::Answered) => return HopResult::Answered(Box::new(response), open),
            Some(HopOutcome::Lost) => return HopResult::EndpointLost,
            Some(HopOutcome::PathLost) => {
                let why = format!("{} was cut off from the service", peer.host);
                return HopResult::LostOnWay(why);
            }
            Some(HopOutcome::NotSent | HopOutcome::OutOfTime) => return HopResult::NotSent,
            Some(HopOutcome::TimedOut) => return HopResult::TimedOut,
            Some(HopOutcome::Busy | HopOutcome::NoPath | HopOutcome::UnknownEndpoint) => {
                let service = &attempt.endpoint.service;
                let mut helpers = cx.helpers.lock();
                helpers.avoid(&peer.host, service, now + AVOIDED, now);
            }
            Some(HopOutcome::Draining) => avoid(cx, &peer.host, AVOIDED_LONG),
            // A host of an earlier release knows no such path.
            None => avoid(cx, &peer.host, AVOIDED_LONG),
        }
    }
    HopResult::NotTaken
}

fn avoid<P>(cx: &Gateway<P>, host: &HostId, time: Duration) {
    let now = Moment::now();
    cx.helpers.lock().avoid_host(host, now + time, now);
}
