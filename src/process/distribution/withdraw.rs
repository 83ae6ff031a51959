//! Withdraws a key at all hosts and records the withdrawal at the platform.

use futures_lite::future;
use serde::Deserialize;
use serde::Serialize;

use super::Distribution;
use super::Hosts;
use super::proposal::Base;
use super::proposal::Proposal;
use super::submit::SubmitOutcome;
use crate::connection::peer::Peers;
use crate::connection::platform::Nonce;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::ids::HostId;
use crate::ids::Version;
use crate::version::catalogue::Bundle;
use crate::version::catalogue::ObjectId;
use crate::version::catalogue::Tombstone;
use crate::version::objects::KeyRef;
use crate::version::objects::KeySet;
use crate::version::objects::Kind;
use crate::version::objects::Stamp;

/// Attempts to record a withdrawal while other writers change the key set.
const RECORD_ATTEMPTS: u32 = 8;

/// Whether the platform has recorded a withdrawal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Recorded {
    /// Recorded by this version of the key set.
    At(Version),
    /// Not recorded yet, with the reason; watching hosts retry periodically.
    NotYet(String),
}

/// Result of withdrawing a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// Hosts at which the key no longer works, including this one.
    pub reached: Vec<HostId>,
    /// Hosts that did not answer; they receive the withdrawal from other hosts.
    pub missed: Vec<HostId>,
    /// Whether the platform has recorded the withdrawal.
    pub recorded: Recorded,
}

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Withdraws a key at this host, then concurrently at all live hosts and at
    /// the platform.
    pub async fn withdraw(&self, key: &KeyRef, stamp: Stamp) -> Withdrawal {
        let tombstone = Tombstone {
            key: key.clone(),
            stamp: Some(stamp),
        };
        let bundle = Bundle {
            items: Vec::new(),
            tombstones: vec![tombstone.clone()],
        };
        self.apply_and_persist(bundle.clone()).await;
        let push = self.push_to_hosts(&bundle, self.hosts.live_peers());
        let (outcome, recorded) = future::zip(push, self.record_withdrawal(&tombstone)).await;
        let own = self.hosts.own_address().id.clone();
        let reached = outcome.answered.into_iter().map(|(host, _)| host.id);
        Withdrawal {
            reached: std::iter::once(own).chain(reached).collect(),
            missed: outcome.failed.into_iter().map(|host| host.id).collect(),
            recorded,
        }
    }

    /// Records all withdrawals that the platform does not hold yet.
    pub(super) async fn record_withdrawals(&self) {
        let unrecorded: Vec<Tombstone> = self
            .configuration
            .read(|catalogue| catalogue.unrecorded_withdrawals().cloned().collect());
        for tombstone in unrecorded {
            let key = &tombstone.key;
            if let Recorded::At(version) = self.record_withdrawal(&tombstone).await {
                log::info!(
                    "key withdrawal recorded at the platform customer={} key={} version={version}",
                    key.customer,
                    key.key
                );
            }
        }
    }

    /// Records one withdrawal; a conflict is retried on the new version.
    async fn record_withdrawal(&self, tombstone: &Tombstone) -> Recorded {
        let id = ObjectId::new(Kind::Keys, tombstone.key.customer.as_str());
        for _attempt in 0..RECORD_ATTEMPTS {
            let base = match self.read_base::<KeySet>(&id).await {
                Ok(base) => base,
                Err(e) => return Recorded::NotYet(e.to_string()),
            };
            let proposal = match plan_record(&id, base, tombstone) {
                RecordPlan::AlreadyRecorded(version) => return Recorded::At(version),
                RecordPlan::NoKey => return Recorded::NotYet("no such key is recorded".to_owned()),
                RecordPlan::Write(proposal) => proposal,
            };
            match self.commit(&proposal).await {
                SubmitOutcome::Accepted(item) => return Recorded::At(item.version),
                SubmitOutcome::Conflict(_) => {}
                SubmitOutcome::NotRun(e) => return Recorded::NotYet(e.to_string()),
                SubmitOutcome::Unknown => {
                    return Recorded::NotYet(PlatformError::UnknownOutcome.to_string());
                }
            }
        }
        Recorded::NotYet("other writers kept changing the key set".to_owned())
    }
}

/// What is needed to record a withdrawal.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordPlan {
    /// Nothing: this version of the key set already records it.
    AlreadyRecorded(Version),
    /// Impossible: the key set is missing or does not contain the key, or the
    /// withdrawal has no stamp.
    NoKey,
    /// This change of the key set has to be written.
    Write(Proposal),
}

/// Decides how to record a withdrawal in a key set.
pub fn plan_record(id: &ObjectId, base: Base<KeySet>, tombstone: &Tombstone) -> RecordPlan {
    let Some((version, mut set)) = base.version.zip(base.record.value.clone()) else {
        return RecordPlan::NoKey;
    };
    let Some(key) = set.keys.get_mut(&tombstone.key.key) else {
        return RecordPlan::NoKey;
    };
    if key.withdrawn {
        return RecordPlan::AlreadyRecorded(version);
    }
    let Some(stamp) = &tombstone.stamp else {
        return RecordPlan::NoKey;
    };
    key.withdrawn = true;
    let proposal = Proposal::new(id.clone(), base, Some(set), stamp, Nonce::random());
    RecordPlan::Write(proposal)
}
