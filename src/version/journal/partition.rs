//! Partition ids, and the choice of a partition for a call without a program.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::ids::CustomerId;
use crate::ids::DataCentre;
use crate::ids::Partition;
use crate::ids::ProgramId;

/// Id of a partition; its string form is the name of the journal's object.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartitionId {
    /// The data centre whose table assigns the owner.
    pub data_centre: DataCentre,
    /// Number of the partition within the data centre.
    pub partition: Partition,
}

impl PartitionId {
    /// The partition that holds a program.
    pub fn of(program: &ProgramId) -> Self {
        Self {
            data_centre: program.data_centre.clone(),
            partition: program.partition,
        }
    }
}

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.data_centre, self.partition)
    }
}

/// Selects the partition of a once-only call without a program.
///
/// Uses rendezvous hashing of the customer and the key: every host selects the
/// same partition from the same data centres, regardless of their order, and a
/// new data centre takes over only its own share of the keys. `None` if there
/// is no data centre or no partition.
pub fn partition_of_key(
    customer: &CustomerId,
    key: &str,
    data_centres: &[DataCentre],
    partitions: u16,
) -> Option<PartitionId> {
    let weight = |data_centre: &DataCentre| hash(&[data_centre.as_str(), customer.as_str(), key]);
    let data_centre = data_centres.iter().max_by_key(|dc| (weight(dc), *dc))?;
    let number = hash(&[customer.as_str(), key]).checked_rem(u64::from(partitions))?;
    Some(PartitionId {
        data_centre: data_centre.clone(),
        partition: Partition(u16::try_from(number).expect("a remainder is below its divisor")),
    })
}

fn hash(parts: &[&str]) -> u64 {
    let digest = sha256(parts.iter().map(|part| part.as_bytes()));
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// SHA-256 over parts, each prefixed by its length.
pub(super) fn sha256<'a>(parts: impl Iterator<Item = &'a [u8]>) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
