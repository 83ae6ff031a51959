//! What every host must agree on: the data centres and their partitions.
//!
//! Every host must place the same idempotency key in the same partition, or a
//! call could run twice, and must divide a customer's rate among the same data
//! centres, or it could be exceeded. The layout is therefore one platform
//! object that is created once and then never changes.

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

/// Kind of the layout object.
pub const LAYOUT_KIND: &str = "layout";
/// Name of the layout object.
pub const LAYOUT_NAME: &str = "keys";

/// Pause before the layout is read again after a failure.
const RETRY: Duration = Duration::from_millis(500);

/// Data centres and partitions over which idempotency keys are spread.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// Data centres that hold keys.
    pub data_centres: Vec<DataCentre>,
    /// Partitions in each of them.
    pub partitions: u16,
}

/// The layout once it has been read.
#[derive(Clone, Debug, Default)]
pub struct SharedLayout(Arc<OnceLock<Layout>>);

impl SharedLayout {
    /// The partition that holds a key, once the layout is known.
    pub fn home(&self, customer: &CustomerId, key: &str) -> Option<PartitionId> {
        let layout = self.0.get()?;
        partition_of_key(customer, key, &layout.data_centres, layout.partitions)
    }

    /// The data centres of the deployment, once the layout is known.
    pub fn data_centres(&self) -> Option<Vec<DataCentre>> {
        self.0.get().map(|layout| layout.data_centres.clone())
    }

    /// Reads the layout, or creates it from this host's settings; tries until
    /// the platform answers.
    pub async fn load<P: Platform>(&self, platform: &P, wanted: &Layout) {
        loop {
            match agree(platform, wanted).await {
                Ok(layout) => {
                    if layout != *wanted {
                        log::warn!("the layout of keys differs from this host's settings");
                    }
                    self.0.get_or_init(|| layout);
                    return;
                }
                Err(e) => log::debug!("the layout of keys cannot be read yet: {e}"),
            }
            Timer::after(RETRY).await;
        }
    }
}

async fn agree<P: Platform>(platform: &P, wanted: &Layout) -> platform::Result<Layout> {
    let read = || platform::read_value::<Layout>(platform, LAYOUT_KIND, LAYOUT_NAME);
    if let Some((_, layout)) = read().await? {
        return Ok(layout);
    }
    platform::write_value(platform, LAYOUT_KIND, LAYOUT_NAME, Expect::Absent, wanted).await?;
    // Another host may have been first; what is stored counts.
    let stored = read().await?;
    stored.map(|(_, layout)| layout).ok_or_else(|| {
        platform::PlatformError::Unavailable("the layout of keys was not stored".to_owned())
    })
}
