//! Exports the counters of the components of a host as metrics.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;

use super::context::Cx;
use super::distribution::driver::Counters as DistributionCounters;
use super::endpoints::Counters as EndpointCounters;
use super::membership::Counters as MembershipCounters;
use super::placing::counters::PlacingCounters;
use super::rates::counters::RateCounters;
use crate::connection::platform::Platform;
use crate::version::journal::JournalCounters;

/// Value of a counter at the time of an export.
struct Sample {
    name: &'static str,
    help: &'static str,
    value: u64,
}

const fn sample(name: &'static str, help: &'static str, value: u64) -> Sample {
    Sample { name, help, value }
}

/// Collects the counters of all components at each export of the metrics.
pub struct ComponentCounters<P: Platform> {
    cx: Cx<P>,
    distribution: Arc<DistributionCounters>,
}

impl<P: Platform> ComponentCounters<P> {
    /// Creates a collector for the components of a host; `distribution` holds
    /// the counters of the configuration distribution.
    pub const fn new(cx: Cx<P>, distribution: Arc<DistributionCounters>) -> Self {
        Self { cx, distribution }
    }
}

impl<P: Platform> fmt::Debug for ComponentCounters<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ComponentCounters").finish_non_exhaustive()
    }
}

impl<P: Platform> Collector for ComponentCounters<P> {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let mut samples = Vec::new();
        samples.extend(membership_samples(self.cx.membership.counters()));
        samples.extend(journal_samples(self.cx.journals.counters()));
        samples.extend(rate_samples(&self.cx.rates.counters()));
        samples.extend(distribution_samples(&self.distribution));
        samples.extend(placing_samples(self.cx.placing.counters()));
        samples.extend(endpoint_samples(&self.cx.endpoints.counters));
        for Sample { name, help, value } in samples {
            let counter = ConstCounter::new(value);
            let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

fn load_counter(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn membership_samples(c: &MembershipCounters) -> [Sample; 12] {
    [
        sample(
            "heartbeats_sent",
            "Heartbeats sent to other hosts",
            load_counter(&c.heartbeats_sent),
        ),
        sample(
            "heartbeats_unanswered",
            "Heartbeats without an answer",
            load_counter(&c.heartbeats_unanswered),
        ),
        sample(
            "heartbeats_received",
            "Heartbeats of other hosts",
            load_counter(&c.heartbeats_received),
        ),
        sample(
            "table_reads",
            "Reads of a table",
            load_counter(&c.table_reads),
        ),
        sample(
            "table_writes",
            "Conditional writes of a table",
            load_counter(&c.table_writes),
        ),
        sample(
            "table_conflicts",
            "Table writes that lost to another writer",
            load_counter(&c.table_conflicts),
        ),
        sample(
            "table_lists",
            "Lists of all tables",
            load_counter(&c.table_lists),
        ),
        sample(
            "table_failures",
            "Table calls that the platform did not answer",
            load_counter(&c.platform_failures),
        ),
        sample(
            "adoptions",
            "Tables of other data centres adopted",
            load_counter(&c.adoptions),
        ),
        sample(
            "partitions_gained",
            "Partitions gained",
            load_counter(&c.partitions_gained),
        ),
        sample(
            "partitions_lost",
            "Partitions lost",
            load_counter(&c.partitions_lost),
        ),
        sample(
            "leases_lapsed",
            "Times that this host's lease ran out",
            load_counter(&c.leases_lapsed),
        ),
    ]
}

fn journal_samples(c: &JournalCounters) -> [Sample; 13] {
    [
        sample("journal_writes", "Journal writes started", c.writes.get()),
        sample(
            "journal_written_bytes",
            "Bytes of journal writes started",
            c.written_bytes.get(),
        ),
        sample(
            "journal_settling_reads",
            "Reads to learn how a write ended",
            c.settling_reads.get(),
        ),
        sample(
            "journal_failures",
            "Journal calls that the platform did not answer",
            c.failures.get(),
        ),
        sample(
            "journal_commit_waits",
            "Requests that waited for a journal write",
            c.commit_waits.get(),
        ),
        sample(
            "journal_intents",
            "Once-only calls started",
            c.intents.get(),
        ),
        sample(
            "journal_replays",
            "Once-only calls answered from the journal",
            c.replays.get(),
        ),
        sample(
            "journal_refused_unavailable",
            "Calls refused since the journal cannot be written",
            c.refused_unavailable.get(),
        ),
        sample(
            "journal_refused_full",
            "Calls refused since the journal is full",
            c.refused_full.get(),
        ),
        sample(
            "journal_refused_budget",
            "Calls refused since a budget is spent",
            c.refused_budget.get(),
        ),
        sample(
            "journal_refused_order",
            "Calls refused for their ordinal",
            c.refused_order.get(),
        ),
        sample(
            "journal_overruns",
            "Calls that cost more than their worst case",
            c.overruns.get(),
        ),
        sample(
            "journal_deposed",
            "Partitions lost to a higher epoch",
            c.deposed.get(),
        ),
    ]
}

fn rate_samples(c: &RateCounters) -> [Sample; 11] {
    [
        sample(
            "rate_admitted",
            "Calls admitted by the limiter",
            c.admitted.get(),
        ),
        sample(
            "rate_refused",
            "Calls refused by the limiter",
            c.refused.get(),
        ),
        sample(
            "rate_waited",
            "Calls that waited for another host's tokens",
            c.waited.get(),
        ),
        sample(
            "rate_prefetches",
            "Requests for tokens ahead of demand",
            c.prefetches.get(),
        ),
        sample(
            "rate_borrows",
            "Requests for tokens that calls waited for",
            c.borrows.get(),
        ),
        sample(
            "rate_returns",
            "Requests that gave tokens back",
            c.returns.get(),
        ),
        sample(
            "rate_unanswered",
            "Token requests without an answer",
            c.unanswered.get(),
        ),
        sample(
            "rate_answered",
            "Token requests of other hosts answered",
            c.answered.get(),
        ),
        sample(
            "rate_granted_micros",
            "Millionths of tokens granted to other hosts",
            c.granted_micros.get(),
        ),
        sample(
            "rate_expired_micros",
            "Millionths of granted tokens that expired here",
            c.expired_micros.get(),
        ),
        sample(
            "rate_unreported_micros",
            "Millionths of tokens granted and not accounted for",
            c.unreported_micros.get(),
        ),
    ]
}

fn distribution_samples(c: &DistributionCounters) -> [Sample; 8] {
    [
        sample(
            "configuration_exchanges",
            "Digests compared with another host",
            load_counter(&c.exchanges),
        ),
        sample(
            "configuration_peer_failures",
            "Exchanges without an answer",
            load_counter(&c.peer_failures),
        ),
        sample(
            "configuration_pulls",
            "Exchanges that found a difference",
            load_counter(&c.pulls),
        ),
        sample(
            "configuration_pushes",
            "Changes handed to another host",
            load_counter(&c.pushes),
        ),
        sample(
            "configuration_lists",
            "Lists read from the platform",
            load_counter(&c.lists),
        ),
        sample(
            "configuration_watches",
            "Watches answered by the platform",
            load_counter(&c.watches),
        ),
        sample(
            "configuration_platform_failures",
            "Configuration calls that the platform did not answer",
            load_counter(&c.platform_failures),
        ),
        sample(
            "configuration_save_failures",
            "Saves to the data folder that failed",
            load_counter(&c.save_failures),
        ),
    ]
}

fn placing_samples(c: &PlacingCounters) -> [Sample; 15] {
    [
        sample(
            "placing_immediate",
            "Calls placed at once",
            c.immediate.get(),
        ),
        sample(
            "placing_waited",
            "Calls placed after a wait",
            c.waited.get(),
        ),
        sample(
            "placing_refused_full",
            "Calls refused by a full queue",
            c.refused_full.get(),
        ),
        sample(
            "placing_refused_deadline",
            "Calls refused since they would start too late",
            c.refused_deadline.get(),
        ),
        sample(
            "placing_expired",
            "Calls whose deadline passed while they waited",
            c.expired.get(),
        ),
        sample(
            "placing_displaced",
            "Calls removed from a full queue for another customer",
            c.displaced.get(),
        ),
        sample(
            "placing_left",
            "Waiting calls whose caller went away",
            c.cancelled.get(),
        ),
        sample(
            "placing_prefix_held",
            "Calls placed where their prefix is held",
            c.prefix_held.get(),
        ),
        sample(
            "placing_prefix_moved",
            "Calls placed where their prefix is to be moved",
            c.prefix_moved.get(),
        ),
        sample(
            "placing_prefix_cold",
            "Calls placed without a prefix",
            c.prefix_cold.get(),
        ),
        sample(
            "placing_tokens",
            "Cost of ended calls, in tokens",
            c.tokens.get(),
        ),
        sample(
            "placing_ejected",
            "Endpoints ejected for their failures",
            c.ejected.get(),
        ),
        sample(
            "placing_restored",
            "Ejected endpoints that answered again",
            c.restored.get(),
        ),
        sample(
            "placing_load_reports",
            "Load reports taken up",
            c.load_reports.get(),
        ),
        sample(
            "placing_load_failures",
            "Load reports that did not come",
            c.load_failures.get(),
        ),
    ]
}

fn endpoint_samples(c: &EndpointCounters) -> [Sample; 10] {
    [
        sample(
            "endpoint_lists_read",
            "Reads of the platform's list of endpoint hosts",
            load_counter(&c.lists_read),
        ),
        sample(
            "endpoint_lists_pulled",
            "Lists of endpoint hosts taken over from another host",
            load_counter(&c.lists_pulled),
        ),
        sample(
            "endpoint_list_failures",
            "Failed reads of the list of endpoint hosts",
            load_counter(&c.list_failures),
        ),
        sample(
            "engine_reviews",
            "Reviews of an engine's memory",
            load_counter(&c.reviews),
        ),
        sample(
            "engine_review_failures",
            "Reviews without a list from the engine",
            load_counter(&c.review_failures),
        ),
        sample(
            "engine_caches_unknown",
            "Caches kept because their home could not be asked",
            load_counter(&c.caches_unknown),
        ),
        sample(
            "engine_owner_releases",
            "Release orders by owners of programs",
            load_counter(&c.owner_releases),
        ),
        sample(
            "engine_steward_releases",
            "Release orders by stewards of engines",
            load_counter(&c.reviewer_releases),
        ),
        sample(
            "engine_release_failures",
            "Release orders refused or not answered",
            load_counter(&c.release_failures),
        ),
        sample(
            "engine_uncached_dispatches",
            "Calls sent without a cache that is being released",
            load_counter(&c.uncached_dispatches),
        ),
    ]
}
