//! Periodic polling of the load of endpoints.

use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use futures_lite::future;
use http::Request;
use http::header;
use serde::Deserialize;

use super::Placing;
use crate::connection::headers;
use crate::process::timers::Timers;
use crate::request::place::LoadReport;
use crate::units::Moment;
use crate::version::catalogue::ConfiguredEndpoint;
use crate::version::objects::Endpoint;

/// URL path of an endpoint's load report.
const LOAD_PATH: &str = "/load";
/// Maximum size of a load report.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Endpoints without calls of this host for longer than this are not polled.
const ACTIVE_WITHIN: Duration = Duration::from_secs(10);

/// Source of load reports.
pub trait LoadSource: Clone + Send + Sync + 'static {
    /// Fetches the current report of an endpoint; `None` if the endpoint does
    /// not return a valid one within `timeout`.
    fn fetch_load(
        &self,
        endpoint: &Endpoint,
        timeout: Duration,
    ) -> impl Future<Output = Option<LoadReport>> + Send;
}

#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    queued: u32,
}

impl LoadSource for Client {
    async fn fetch_load(&self, endpoint: &Endpoint, timeout: Duration) -> Option<LoadReport> {
        let to = endpoint.address;
        let req = Request::get(LOAD_PATH)
            .header(header::HOST, headers::value(to))
            .body(Body::empty());
        let response = self.send(to, req.ok()?, timeout).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = async {
            let body = Body::collect(response.into_body(), MAX_REPORT_BYTES).await;
            body.ok()
        };
        let expiry = async {
            Timer::after(timeout).await;
            None
        };
        let body = future::or(body, expiry).await?;
        let LoadResponse { running, queued } = serde_json::from_slice(&body).ok()?;
        Some(LoadReport { running, queued })
    }
}

impl Placing {
    /// Polls the load of endpoints at the configured interval until the timers
    /// stop; returns at once if the interval is 0.
    ///
    /// `endpoints` lists the endpoints that provide load reports. Only those
    /// with recent calls of this host are polled.
    pub async fn run_load_polling(
        self,
        source: impl LoadSource,
        endpoints: impl Fn() -> Vec<ConfiguredEndpoint>,
        timers: &Timers,
    ) {
        let interval = self.shared.place.load_interval;
        if interval.is_zero() {
            return;
        }
        let ticks = timers.subscribe(interval).await;
        while ticks.recv().await.is_ok() {
            for configured in endpoints() {
                if self.is_recently_active(&configured) {
                    let polling = self.clone().poll_load(source.clone(), configured);
                    self.shared.spawner.detach(polling);
                }
            }
        }
    }

    fn is_recently_active(&self, configured: &ConfiguredEndpoint) -> bool {
        let occupancies = self.shared.occupancies.lock();
        let occupancy = occupancies.get(&configured.id);
        occupancy.is_some_and(|o| o.is_used_within(Moment::now(), ACTIVE_WITHIN))
    }

    async fn poll_load(self, source: impl LoadSource, configured: ConfiguredEndpoint) {
        let timeout = self.shared.place.load_interval;
        let ConfiguredEndpoint { id, endpoint } = &configured;
        let Some(report) = source.fetch_load(endpoint, timeout).await else {
            self.shared.counters.load_failures.add(1);
            return;
        };
        self.shared.counters.load_reports.add(1);
        self.occupancy(id).record_report(Moment::now(), report);
        for service in &endpoint.services {
            if let Some(shard) = self.find_shard(service) {
                shard.step(&self);
            }
        }
    }
}
