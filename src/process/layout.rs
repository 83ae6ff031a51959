//! The layout: data centres and partitions that all hosts agree on.
//!
//! Every host must map an idempotency key to the same partition, or a call
//! could run twice. Every host must also divide a customer's rate among the
//! same data centres, or the rate could be exceeded. The layout is therefore a
//! platform object that is created once and never changes.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use async_io::Timer;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::platform;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::ids::CustomerId;
use crate::ids::DataCentre;
use crate::version::journal::PartitionId;
use crate::version::journal::partition_of_key;

/// Object kind of the layout in the platform.
pub const LAYOUT_KIND: &str = "layout";
/// Name of the layout object in the platform.
pub const LAYOUT_NAME: &str = "keys";

/// Delay before a failed read of the layout is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Data centres and partitions among which idempotency keys are distributed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// Data centres whose partitions record idempotency keys.
    pub data_centres: Vec<DataCentre>,
    /// Number of partitions in each data centre.
    pub partitions: u16,
}

/// The layout, unset until it has been read; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SharedLayout(Arc<OnceLock<Layout>>);

impl SharedLayout {
    /// Partition that records an idempotency key; `None` until the layout has
    /// been read, or if the layout has no partitions.
    pub fn partition_of(&self, customer: &CustomerId, key: &str) -> Option<PartitionId> {
        let layout = self.0.get()?;
        partition_of_key(customer, key, &layout.data_centres, layout.partitions)
    }

    /// Data centres of the deployment; `None` until the layout has been read.
    pub fn data_centres(&self) -> Option<Vec<DataCentre>> {
        self.0.get().map(|layout| layout.data_centres.clone())
    }

    /// Reads the layout, or creates it as `wanted`; retries until the platform
    /// answers. Logs a warning if the stored layout differs from `wanted`.
    pub async fn load<P: Platform>(&self, platform: &P, wanted: &Layout) {
        loop {
            match read_or_create(platform, wanted).await {
                Ok(layout) => {
                    if layout != *wanted {
                        log::warn!("stored layout differs from the settings of this host");
                    }
                    self.0.get_or_init(|| layout);
                    return;
                }
                Err(e) => log::debug!("cannot read the layout, retrying: {e}"),
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    }
}

async fn read_or_create<P: Platform>(platform: &P, wanted: &Layout) -> platform::Result<Layout> {
    let read = || platform::read_value::<Layout>(platform, LAYOUT_KIND, LAYOUT_NAME);
    if let Some((_, layout)) = read().await? {
        return Ok(layout);
    }
    platform::write_value(platform, LAYOUT_KIND, LAYOUT_NAME, Expect::Absent, wanted).await?;
    // Another host may have created the object first; its layout applies.
    let stored = read().await?;
    stored.map(|(_, layout)| layout).ok_or_else(|| {
        platform::PlatformError::Unavailable(
            "the layout is missing after it was written".to_owned(),
        )
    })
}
