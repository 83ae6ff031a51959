//! Exports how often clients reached limits.

use std::fmt;

use chicoryarch_net::connections::Limit;
use chicoryarch_net::connections::LimitCounts;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;

/// Collector that reads how often clients reached limits on each scrape.
#[derive(Debug)]
pub struct ClientLimits(pub LimitCounts);

impl Collector for ClientLimits {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let help = "Times at which clients reached a limit, by limit";
        let mut family =
            encoder.encode_descriptor("client_limits", help, None, MetricType::Counter)?;
        for limit in Limit::ALL {
            let label = [("limit", limit.as_str())];
            let count = ConstCounter::new(self.0.get(limit));
            count.encode(family.encode_family(&label)?)?;
        }
        Ok(())
    }
}
