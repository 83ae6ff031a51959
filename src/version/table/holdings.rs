//! The partitions that a host holds in one table.

use std::collections::BTreeMap;

use super::effect::PartitionEvent;
use super::message::Release;
use super::rows::PartitionRow;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::Partition;

/// Lifecycle stage of a held partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The journal is being fenced.
    Activating,
    /// Calls are served.
    Active,
    /// No new calls are served; running calls are being completed.
    Releasing,
    /// No call is running; the next owner may start.
    Released,
}

/// One held partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Fencing token.
    pub epoch: Epoch,
    /// Lifecycle stage.
    pub stage: Stage,
}

/// The partitions that a host holds in one table.
#[derive(Clone, Debug)]
pub struct Holdings {
    data_centre: DataCentre,
    partitions: BTreeMap<Partition, Holding>,
}

impl Holdings {
    /// Creates an empty set for the table of a data centre.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            partitions: BTreeMap::new(),
        }
    }

    /// Whether no partition is held.
    pub fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }

    /// All held partitions, in order.
    pub fn iter(&self) -> impl Iterator<Item = (Partition, Holding)> {
        self.partitions.iter().map(|(p, holding)| (*p, *holding))
    }

    /// Whether calls of the partition are served.
    pub fn is_active(&self, partition: Partition) -> bool {
        let holding = self.partitions.get(&partition);
        holding.is_some_and(|holding| holding.stage == Stage::Active)
    }

    /// Marks a partition as active once its journal is fenced.
    pub fn mark_active(&mut self, partition: Partition, epoch: Epoch) {
        self.advance(partition, epoch, Stage::Activating, Stage::Active);
    }

    /// Marks a releasing partition as released once no call is running.
    pub fn mark_released(&mut self, partition: Partition, epoch: Epoch) {
        self.advance(partition, epoch, Stage::Releasing, Stage::Released);
    }

    fn advance(&mut self, partition: Partition, epoch: Epoch, from: Stage, to: Stage) {
        let Some(holding) = self.partitions.get_mut(&partition) else {
            return;
        };
        if holding.epoch == epoch && holding.stage == from {
            holding.stage = to;
        }
    }

    /// Released partitions, whose next owner may start.
    pub fn releases(&self) -> Vec<Release> {
        self.iter()
            .filter(|(_, holding)| holding.stage == Stage::Released)
            .map(|(partition, holding)| Release {
                partition,
                epoch: holding.epoch,
            })
            .collect()
    }

    /// Applies the partitions assigned to this host by a newer table.
    pub fn update<'a>(
        &mut self,
        own: impl Iterator<Item = (Partition, &'a PartitionRow)>,
    ) -> Vec<PartitionEvent> {
        let own: BTreeMap<_, _> = own.collect();
        let mut events = self.drop_absent(&own);
        for (partition, row) in own {
            events.extend(self.update_partition(partition, row));
        }
        events
    }

    fn drop_absent(&mut self, own: &BTreeMap<Partition, &PartitionRow>) -> Vec<PartitionEvent> {
        let mut lost = Vec::new();
        self.partitions.retain(|partition, holding| {
            let kept = own
                .get(partition)
                .is_some_and(|row| row.epoch == holding.epoch);
            if !kept && !is_announced(holding.stage) {
                lost.push((*partition, holding.epoch));
            }
            kept
        });
        lost.into_iter()
            .map(|(partition, epoch)| self.lost_event(partition, epoch, false))
            .collect()
    }

    fn update_partition(
        &mut self,
        partition: Partition,
        row: &PartitionRow,
    ) -> Option<PartitionEvent> {
        let epoch = row.epoch;
        let Some(holding) = self.partitions.get_mut(&partition) else {
            return self.gain(partition, row);
        };
        if !row.releasing || is_announced(holding.stage) {
            return None;
        }
        holding.stage = Stage::Releasing;
        Some(self.lost_event(partition, epoch, true))
    }

    fn gain(&mut self, partition: Partition, row: &PartitionRow) -> Option<PartitionEvent> {
        let epoch = row.epoch;
        // A partition that is released before it was served needs no hand-over.
        let stage = if row.releasing {
            Stage::Released
        } else {
            Stage::Activating
        };
        self.partitions.insert(partition, Holding { epoch, stage });
        (stage == Stage::Activating).then(|| PartitionEvent::Gained {
            data_centre: self.data_centre.clone(),
            partition,
            epoch,
        })
    }

    fn lost_event(&self, partition: Partition, epoch: Epoch, handover: bool) -> PartitionEvent {
        PartitionEvent::Lost {
            data_centre: self.data_centre.clone(),
            partition,
            epoch,
            handover,
        }
    }

    /// Drops all partitions.
    pub fn drop_all(&mut self) -> Vec<PartitionEvent> {
        self.drop_absent(&BTreeMap::new())
    }
}

/// Whether the `Lost` event of a holding in this stage has been sent.
fn is_announced(stage: Stage) -> bool {
    matches!(stage, Stage::Releasing | Stage::Released)
}
