//! Result of a load run, and the comparison of two results.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::balance::calls::PromptSize;

/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest latency that a histogram resolves: one hour.
const MAX_MICROS: u64 = 3_600_000_000;

/// Histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are allowed"))
    }
}

impl Latencies {
    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the count, percentiles and maximum.
    pub fn summary(&self) -> Summary {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / 1000.0;
        Summary {
            count: self.0.len(),
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: self.0.max() as f64 / 1000.0,
        }
    }
}

/// Summary of latencies, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// Number of recorded latencies.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

/// Result of a load run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadResult {
    /// Seed of the trace.
    pub seed: u64,
    /// Programs that arrived.
    pub programs: u64,
    /// Programs that finished without a failed call.
    pub finished: u64,
    /// Latencies of finished programs, counted from the arrival times of the
    /// trace, so that a late start counts as latency.
    pub program: Summary,
    /// Latencies of answered calls, retries included.
    pub call: Summary,
    /// Latencies of finished programs by index of the customer.
    pub customers: BTreeMap<usize, Summary>,
    /// Number of refused attempts by reason and outcome, such as
    /// `Overloaded not-run`; by HTTP status if the body gives no reason.
    pub refusals: BTreeMap<String, u64>,
    /// Number of attempts without a complete answer.
    pub broken: u64,
    /// Times to the first event of answered streams by the size of the prompt,
    /// `short` or `long`, retries included.
    #[serde(default)]
    pub first_event_ms: BTreeMap<String, Summary>,
    /// Number of streamed calls by the size of the prompt whose first event came
    /// after the target of the plan, or never.
    #[serde(default)]
    pub calls_late: BTreeMap<String, u64>,
}

impl LoadResult {
    fn first_event_p95(&self, size: PromptSize) -> f64 {
        let summary = self.first_event_ms.get(size.as_str());
        summary.map_or(0.0, |summary| summary.p95_ms)
    }

    fn late(&self, size: PromptSize) -> f64 {
        let late = self.calls_late.get(size.as_str());
        late.copied().unwrap_or_default() as f64
    }
}

type Metric = (&'static str, fn(&LoadResult) -> f64);

/// Metrics that a comparison shows, with the labels of their rows.
const METRICS: [Metric; 15] = [
    ("programs", |r| r.programs as f64),
    ("finished", |r| r.finished as f64),
    ("program p50 ms", |r| r.program.p50_ms),
    ("program p95 ms", |r| r.program.p95_ms),
    ("program p99 ms", |r| r.program.p99_ms),
    ("call p50 ms", |r| r.call.p50_ms),
    ("call p95 ms", |r| r.call.p95_ms),
    ("call p99 ms", |r| r.call.p99_ms),
    ("worst customer p95 ms", max_customer_p95),
    ("refused attempts", |r| {
        r.refusals.values().sum::<u64>() as f64
    }),
    ("broken attempts", |r| r.broken as f64),
    ("short first p95 ms", |r| {
        r.first_event_p95(PromptSize::Short)
    }),
    ("long first p95 ms", |r| r.first_event_p95(PromptSize::Long)),
    ("short late", |r| r.late(PromptSize::Short)),
    ("long late", |r| r.late(PromptSize::Long)),
];

fn max_customer_p95(result: &LoadResult) -> f64 {
    let p95 = result.customers.values().map(|summary| summary.p95_ms);
    p95.fold(0.0, f64::max)
}

/// Formats a table of two results with their ratio.
pub fn compare(before: &LoadResult, after: &LoadResult) -> String {
    let mut text = format!("{:<24}{:>12}{:>12}{:>9}\n", "", "before", "after", "ratio");
    for (name, metric) in METRICS {
        let (a, b) = (metric(before), metric(after));
        let ratio = if a == 0.0 {
            "-".to_owned()
        } else {
            format!("{:.2}", b / a)
        };
        writeln!(text, "{name:<24}{a:>12.1}{b:>12.1}{ratio:>9}")
            .expect("writing to a string never fails");
    }
    text
}
