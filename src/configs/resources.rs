//! Settings of the resources of the process.

use serde::Deserialize;
use serde::Serialize;

use super::Result;
use super::check_range;

/// Resources of the process, from which the limits on clients are derived.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourcesConfig {
    /// Memory of the process, in MiB.
    pub memory_mib: u64,
    /// Maximum number of open descriptors; `None` for the limit of the operating
    /// system.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_descriptors: Option<usize>,
}

impl Default for ResourcesConfig {
    fn default() -> Self {
        Self {
            // Takes 128 bodies of 4 MiB at once.
            memory_mib: 2048,
            max_descriptors: None,
        }
    }
}

impl ResourcesConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("memory_mib", self.memory_mib, MIN_MEMORY_MIB, 1 << 20)?;
        let descriptors = self.max_descriptors.unwrap_or(MIN_DESCRIPTORS);
        check_range("max_descriptors", descriptors, MIN_DESCRIPTORS, 1 << 20)
    }
}

/// With less, a body of 4 MiB of unknown length, which is copied once it is
/// complete, does not fit.
const MIN_MEMORY_MIB: u64 = 48;
/// With fewer, the connections of clients and those to endpoints do not fit.
const MIN_DESCRIPTORS: usize = 160;
