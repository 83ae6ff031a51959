//! Metrics of the request path, exported in the OpenMetrics text format.
//!
//! Other components keep plain atomic counters and export them through a
//! collector that is passed to [`Metrics::register`].

use std::time::Duration;

use parking_lot::Mutex;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::request::outcome::Refusal;

/// Prefix of every metric name.
const PREFIX: &str = "chicoryarch";

/// Upper bound of the first bucket of a stage histogram.
const FIRST_BUCKET_SECONDS: f64 = 0.000_05;
/// Ratio of the upper bounds of consecutive buckets.
const BUCKET_GROWTH: f64 = 2.0;
/// Number of buckets of a stage histogram.
const BUCKETS: u16 = 22;

/// Stages of a call that are timed.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Waiting for the rate limiter.
    Rate,
    /// Forwarded to another host, until its response head.
    Forward,
    /// Waiting for earlier calls of the program and for the journal.
    Journal,
    /// Queued for a slot at an endpoint.
    Queue,
    /// Sent to an endpoint, until its response head.
    Endpoint,
    /// From receipt of the call to the end of its answer.
    Whole,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StageLabels {
    stage: Stage,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RefusalLabels {
    reason: String,
    outcome: &'static str,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_GROWTH,
        BUCKETS,
    ))
}

/// Metrics of the request path of a host.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    answers: Counter,
    broken_answers: Counter,
    cancelled: Counter,
    retries: Counter,
    in_flight: Gauge,
    refusals: Family<RefusalLabels, Counter>,
    stages: Family<StageLabels, Histogram>,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix(PREFIX)),
            answers: Counter::default(),
            broken_answers: Counter::default(),
            cancelled: Counter::default(),
            retries: Counter::default(),
            in_flight: Gauge::default(),
            refusals: Family::default(),
            stages: Family::new_with_constructor(histogram),
        };
        metrics.register_own();
        metrics
    }
}

impl Metrics {
    fn register_own(&self) {
        let mut registry = self.registry.lock();
        let r = &mut *registry;
        r.register("answers", "Calls answered to the end", self.answers.clone());
        r.register(
            "broken_answers",
            "Answers that an endpoint broke off",
            self.broken_answers.clone(),
        );
        r.register(
            "cancelled",
            "Calls whose caller went away before the end",
            self.cancelled.clone(),
        );
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register(
            "calls_in_flight",
            "Calls at this host's endpoints",
            self.in_flight.clone(),
        );
        r.register(
            "refusals",
            "Refused calls by reason and outcome",
            self.refusals.clone(),
        );
        r.register_with_unit(
            "stage",
            "Time in each stage of a call",
            Unit::Seconds,
            self.stages.clone(),
        );
    }

    /// Adds the metrics of another component to the export.
    pub fn register(&self, collector: impl Collector) {
        self.registry.lock().register_collector(Box::new(collector));
    }

    /// Counts a refused call by reason and outcome.
    pub fn record_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            reason: format!("{:?}", refusal.reason),
            outcome: refusal.ran.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a completed answer and records its duration from the receipt of
    /// the call.
    pub fn record_answer(&self, duration: Duration) {
        self.answers.inc();
        self.observe(Stage::Whole, duration);
    }

    /// Counts an answer that its endpoint ended early.
    pub fn record_broken_answer(&self) {
        self.broken_answers.inc();
    }

    /// Counts a call whose caller disconnected before the end of its answer.
    pub fn record_cancel(&self) {
        self.cancelled.inc();
    }

    /// Counts an attempt after the first.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Counts a call as in flight until the guard is dropped.
    pub fn track_in_flight(&self) -> InFlight {
        self.in_flight.inc();
        InFlight(self.in_flight.clone())
    }

    /// Records the time that a call spent in a stage.
    pub fn observe(&self, stage: Stage, spent: Duration) {
        let histogram = self.stages.get_or_create(&StageLabels { stage });
        histogram.observe(spent.as_secs_f64());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry.lock()).expect("writing to a string is infallible");
        text
    }
}

/// Guard that counts one call as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Gauge);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}
