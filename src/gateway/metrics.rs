//! Counters and latency histograms of a gateway.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use chicoryarch_net::connections::LimitCounts;
use parking_lot::Mutex;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use super::refusal::Refusal;
use crate::balance::calls::PromptSize;
use crate::connection::platform::counters::CallKind;
use crate::connection::platform::counters::PlatformCounters;
use crate::door::metrics::ClientLimits;
use crate::turns::TurnMetrics;

/// Upper bound of a histogram's first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Ratio of the upper bounds of adjacent buckets.
const BUCKET_GROWTH: f64 = 2.0;
/// Number of buckets of a histogram.
const BUCKETS: u16 = 15;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct SizeLabels {
    prompt: &'static str,
}

/// Collector that reads the counters of store calls on each scrape.
#[derive(Debug)]
struct StoreCalls(Arc<PlatformCounters>);

impl Collector for StoreCalls {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let help = "Calls to the platform's store by kind";
        let mut family =
            encoder.encode_descriptor("store_calls", help, None, MetricType::Counter)?;
        for kind in CallKind::ALL {
            let label = [("kind", kind.as_str())];
            let count = ConstCounter::new(self.0.requests(kind));
            count.encode(family.encode_family(&label)?)?;
        }
        Ok(())
    }
}

/// Metrics of one gateway, served as a Prometheus page.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Mutex<Registry>,
    outcomes: Family<OutcomeLabels, Counter>,
    /// Attempts at endpoints after the first attempt of a request.
    pub retries: Counter,
    /// Streams that were resumed after a break.
    pub resumed: Counter,
    /// Rate tokens borrowed from other hosts.
    pub borrowed: Counter,
    /// Budget grants taken from the store.
    pub grants: Counter,
    /// Endpoints that gave notice of their shutdown in an answer.
    pub departures: Counter,
    /// Changes of the limits that endpoints announce.
    pub limit_changes: Counter,
    /// Calls that were denied a token of an endpoint's limit.
    pub limit_denials: Counter,
    /// Calls that passed over a cold endpoint without room.
    pub cold_passed_over: Counter,
    /// Calls that passed over an endpoint outside the regions in which they must
    /// stay.
    pub homes_passed_over: Counter,
    /// Connections lost to endpoints that had ended.
    pub crashes: Counter,
    /// Requests refused since endpoints have ended under them.
    pub barred: Counter,
    /// Times at which this host was found to be cut off from a service.
    pub paths_lost: Counter,
    /// Attempts that were sent through another host.
    pub hops: Counter,
    /// Other hosts' calls that this host was asked to forward.
    pub forwarded: Counter,
    /// Exchanges of state with another host that failed.
    pub failed_exchanges: Counter,
    /// Turns that callers continue by their ids.
    pub turns: TurnMetrics,
    evacuated_data_centres: Gauge,
    diverting_callers: Gauge,
    /// Calls refused since the memory of all usable engines may not hold them.
    pub memory_refusals: Counter,
    refused_programs: Family<ReasonLabels, Counter>,
    /// Engines' reports that were sent to other hosts.
    pub reports_sent: Counter,
    /// Engines' reports of other hosts that were later than those known here.
    pub reports_learnt: Counter,
    /// Times at which clients reached limits.
    pub client_limits: LimitCounts,
    configuration_version: Gauge<f64, AtomicU64>,
    configuration_age: Gauge<f64, AtomicU64>,
    duration: Histogram,
    first_event: Family<SizeLabels, Histogram, fn() -> Histogram>,
    calls_late: Family<SizeLabels, Counter>,
}

/// Creates a histogram of times.
fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_GROWTH,
        BUCKETS,
    ))
}

impl GatewayMetrics {
    /// Creates the metrics of a gateway, including the counters of its store
    /// client.
    pub fn new(store: &Arc<PlatformCounters>) -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("chicoryarch_gateway")),
            outcomes: Family::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            borrowed: Counter::default(),
            grants: Counter::default(),
            departures: Counter::default(),
            limit_changes: Counter::default(),
            limit_denials: Counter::default(),
            cold_passed_over: Counter::default(),
            homes_passed_over: Counter::default(),
            crashes: Counter::default(),
            barred: Counter::default(),
            paths_lost: Counter::default(),
            hops: Counter::default(),
            forwarded: Counter::default(),
            failed_exchanges: Counter::default(),
            turns: TurnMetrics::default(),
            evacuated_data_centres: Gauge::default(),
            diverting_callers: Gauge::default(),
            memory_refusals: Counter::default(),
            refused_programs: Family::default(),
            reports_sent: Counter::default(),
            reports_learnt: Counter::default(),
            client_limits: LimitCounts::default(),
            configuration_version: Gauge::default(),
            configuration_age: Gauge::default(),
            duration: time_histogram(),
            first_event: Family::new_with_constructor(time_histogram),
            calls_late: Family::default(),
        };
        metrics.register(StoreCalls(Arc::clone(store)));
        metrics
    }

    fn register(&self, store: StoreCalls) {
        let mut r = self.registry.lock();
        r.register_collector(Box::new(store));
        r.register_collector(Box::new(ClientLimits(self.client_limits.clone())));
        r.register(
            "requests",
            "Ended requests by outcome",
            self.outcomes.clone(),
        );
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register(
            "resumed",
            "Streams that went on after a break",
            self.resumed.clone(),
        );
        r.register(
            "borrowed",
            "Rate tokens that other hosts gave",
            self.borrowed.clone(),
        );
        r.register(
            "grants",
            "Budget grants taken from the store",
            self.grants.clone(),
        );
        r.register(
            "departures",
            "Endpoints that announced their shutdown in an answer",
            self.departures.clone(),
        );
        r.register(
            "limit_changes",
            "Changes of the limits that endpoints announce in answers",
            self.limit_changes.clone(),
        );
        r.register(
            "limit_denials",
            "Calls that passed over an endpoint that was at its limit",
            self.limit_denials.clone(),
        );
        r.register(
            "cold_passed_over",
            "Calls that passed over a cold endpoint that had no room",
            self.cold_passed_over.clone(),
        );
        r.register(
            "homes_passed_over",
            "Calls that passed over an endpoint outside the regions in which they must stay",
            self.homes_passed_over.clone(),
        );
        r.register(
            "crashes",
            "Calls under which an endpoint ended before it made any of the answer",
            self.crashes.clone(),
        );
        r.register(
            "barred",
            "Calls refused since several endpoints have ended under the request",
            self.barred.clone(),
        );
        r.register(
            "paths_lost",
            "Times at which the host was found to be cut off from all endpoints of a service",
            self.paths_lost.clone(),
        );
        r.register(
            "hops",
            "Attempts that were sent through another host",
            self.hops.clone(),
        );
        r.register(
            "forwarded",
            "Calls of other hosts that the host was asked to forward",
            self.forwarded.clone(),
        );
        r.register(
            "failed_exchanges",
            "Exchanges of state with another host that failed",
            self.failed_exchanges.clone(),
        );
        self.turns.register(&mut r);
        r.register(
            "diverting_callers",
            "1 while callers are better served by other hosts",
            self.diverting_callers.clone(),
        );
        r.register(
            "evacuated_data_centres",
            "Data centres whose endpoints get no calls",
            self.evacuated_data_centres.clone(),
        );
        r.register(
            "memory_refusals",
            "Calls refused since the memory of all usable engines may not hold them",
            self.memory_refusals.clone(),
        );
        r.register(
            "refused_programs",
            "Programs that were not begun while all engines were full, by reason",
            self.refused_programs.clone(),
        );
        r.register(
            "reports_sent",
            "Engines' load reports sent to other hosts of the data centre",
            self.reports_sent.clone(),
        );
        r.register(
            "reports_learnt",
            "Engines' load reports of other hosts that were later than those known",
            self.reports_learnt.clone(),
        );
        r.register(
            "configuration_version",
            "Version of the configuration in force; 0 before the first",
            self.configuration_version.clone(),
        );
        r.register_with_unit(
            "configuration_age",
            "Time since the configuration in force was known to be the newest",
            Unit::Seconds,
            self.configuration_age.clone(),
        );
        r.register_with_unit(
            "request",
            "Time from receipt to the end of the answer",
            Unit::Seconds,
            self.duration.clone(),
        );
        r.register_with_unit(
            "first_event",
            "Time from receipt to the first event of a stream, by the size of the prompt",
            Unit::Seconds,
            self.first_event.clone(),
        );
        r.register(
            "calls_late",
            "Streams whose first event missed the route's objective, by the size of the prompt",
            self.calls_late.clone(),
        );
    }

    /// Sets the version of the configuration in force and the age of its last
    /// confirmation; `None` is shown as not a number.
    #[allow(clippy::cast_precision_loss, reason = "versions are small")]
    pub fn set_configuration(&self, version: u64, age: Option<Duration>) {
        self.configuration_version.set(version as f64);
        let seconds = age.map_or(f64::NAN, |age| age.as_secs_f64());
        self.configuration_age.set(seconds);
    }

    /// Sets whether callers are better served by other hosts.
    pub fn set_diverting(&self, is_diverting: bool) {
        self.diverting_callers.set(is_diverting.into());
    }

    /// Sets the number of evacuated data centres.
    pub fn set_evacuated(&self, data_centres: usize) {
        let count = i64::try_from(data_centres).unwrap_or(i64::MAX);
        self.evacuated_data_centres.set(count);
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, refusal: &Refusal) {
        self.count(refusal.outcome.as_str());
    }

    /// Counts the outcome of a request at an endpoint, with the time since its
    /// receipt. For a stream, each break and each failed attempt to resume it
    /// count as well.
    pub fn record_request(&self, outcome: &'static str, duration: Duration) {
        self.count(outcome);
        self.duration.observe(duration.as_secs_f64());
    }

    /// Counts a program that was not begun.
    pub fn count_refused_program(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.refused_programs.get_or_create(&labels).inc();
    }

    /// Records the time to the first event of a stream, and whether it is longer
    /// than the objective.
    pub fn record_first_event(&self, size: PromptSize, time: Duration, objective: Duration) {
        let labels = SizeLabels {
            prompt: size.as_str(),
        };
        let histogram = self.first_event.get_or_create(&labels);
        histogram.observe(time.as_secs_f64());
        drop(histogram);
        // The counter exists from the first call on, so that its rate is known.
        let late = self.calls_late.get_or_create(&labels);
        late.inc_by(u64::from(time > objective));
    }

    /// Counts a stream whose time passed before its first event.
    pub fn count_no_first_event(&self, size: PromptSize) {
        let labels = SizeLabels {
            prompt: size.as_str(),
        };
        self.calls_late.get_or_create(&labels).inc();
    }

    fn count(&self, outcome: &'static str) {
        let labels = OutcomeLabels { outcome };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Renders all metrics as OpenMetrics text.
    ///
    /// # Panics
    ///
    /// Never: writing to a string does not fail.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry.lock()).expect("writing to a string does not fail");
        text
    }
}
