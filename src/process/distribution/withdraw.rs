//! Withdrawal of a key: everywhere at once, then recorded at the platform.

use futures_lite::future;
use serde::Deserialize;
use serde::Serialize;

use super::Distribution;
use super::Hosts;
use super::proposal::Base;
use super::proposal::Proposal;
use super::submit::Submitted;
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

/// Attempts to record a withdrawal against other writers.
const RECORD_ATTEMPTS: u32 = 8;

/// Whether the platform holds a withdrawal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Recorded {
    /// At this version of the key set.
    At(Version),
    /// Not yet; it is offered again until it is.
    NotYet(String),
}

/// What a withdrawal reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// Hosts at which the key no longer works, this one among them.
    pub reached: Vec<HostId>,
    /// Hosts that did not answer; they learn it from the others.
    pub missed: Vec<HostId>,
    /// Whether the platform holds it.
    pub recorded: Recorded,
}

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Withdraws a key here, then at every host that can be reached and at the
    /// platform, neither of which waits for the other.
    pub async fn withdraw(&self, key: &KeyRef, stamp: Stamp) -> Withdrawal {
        let tombstone = Tombstone {
            key: key.clone(),
            stamp: Some(stamp),
        };
        let bundle = Bundle {
            items: Vec::new(),
            tombstones: vec![tombstone.clone()],
        };
        self.apply_durably(bundle.clone()).await;
        let spreading = self.spread(&bundle, self.hosts.others());
        let (reach, recorded) = future::zip(spreading, self.record(&tombstone)).await;
        let own = self.hosts.own().id.clone();
        let reached = reach.reached.into_iter().map(|(host, _)| host.id);
        Withdrawal {
            reached: std::iter::once(own).chain(reached).collect(),
            missed: reach.missed.into_iter().map(|host| host.id).collect(),
            recorded,
        }
    }

    /// Records every withdrawal that the platform does not hold yet.
    pub(super) async fn record_all(&self) {
        let waiting: Vec<Tombstone> = self
            .configuration
            .read(|catalogue| catalogue.unrecorded_withdrawals().cloned().collect());
        for tombstone in waiting {
            let key = &tombstone.key;
            if let Recorded::At(version) = self.record(&tombstone).await {
                log::info!(
                    "withdrawal recorded customer={} key={} version={version}",
                    key.customer,
                    key.key
                );
            }
        }
    }

    /// Records one withdrawal; a lost race is repeated on the new version.
    async fn record(&self, tombstone: &Tombstone) -> Recorded {
        let id = ObjectId::new(Kind::Keys, tombstone.key.customer.as_str());
        for _attempt in 0..RECORD_ATTEMPTS {
            let base = match self.read_base::<KeySet>(&id).await {
                Ok(base) => base,
                Err(e) => return Recorded::NotYet(e.to_string()),
            };
            let proposal = match withdrawn_in(&id, base, tombstone) {
                Recording::Holds(version) => return Recorded::At(version),
                Recording::NoKey => return Recorded::NotYet("no such key is recorded".to_owned()),
                Recording::Write(proposal) => proposal,
            };
            match self.commit(&proposal).await {
                Submitted::Accepted(item) => return Recorded::At(item.version),
                Submitted::Conflict(_) => {}
                Submitted::NotRun(e) => return Recorded::NotYet(e.to_string()),
                Submitted::Unknown => {
                    return Recorded::NotYet(PlatformError::UnknownOutcome.to_string());
                }
            }
        }
        Recorded::NotYet("other writers kept changing the key set".to_owned())
    }
}

/// What recording a withdrawal takes.
#[derive(Clone, Debug, PartialEq)]
pub enum Recording {
    /// The key set shows it already.
    Holds(Version),
    /// The key set lacks the key.
    NoKey,
    /// This write.
    Write(Proposal),
}

/// Decides how to record a withdrawal in a key set.
pub fn withdrawn_in(id: &ObjectId, base: Base<KeySet>, tombstone: &Tombstone) -> Recording {
    let Some((version, mut set)) = base.version.zip(base.record.value.clone()) else {
        return Recording::NoKey;
    };
    let Some(key) = set.keys.get_mut(&tombstone.key.key) else {
        return Recording::NoKey;
    };
    if key.withdrawn {
        return Recording::Holds(version);
    }
    let Some(stamp) = &tombstone.stamp else {
        return Recording::NoKey;
    };
    key.withdrawn = true;
    let proposal = Proposal::new(id.clone(), base, Some(set), stamp, Nonce::random());
    Recording::Write(proposal)
}
