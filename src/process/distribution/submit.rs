//! Writes a proposal and settles a lost answer.

use std::time::Duration;

use async_io::Timer;

use super::proposal::Proposal;
use super::proposal::WriteStatus;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::version::catalogue::Item;
use crate::version::objects::Change;

/// Attempts to settle a lost answer.
const SETTLE_ATTEMPTS: u32 = 4;

/// Pause before an attempt to settle a lost answer.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// It took effect; the object is now at this item.
    Accepted(Item),
    /// Another change was made first.
    Conflict(Option<Change>),
    /// It did not and will not take effect.
    NotRun(PlatformError),
    /// It may have taken effect.
    Unknown,
}

/// Writes a proposal.
///
/// After a lost answer the object is read back. A repeated write carries the
/// same nonce and the same condition, so at most one of them takes effect.
pub async fn submit(platform: &impl Platform, proposal: &Proposal) -> SubmitOutcome {
    match write(platform, proposal).await {
        Ok(Written::Done(version)) => SubmitOutcome::Accepted(proposal.item(version)),
        Ok(Written::Conflict) => resolve_conflict(platform, proposal).await,
        Err(PlatformError::UnknownOutcome) => settle_lost_answer(platform, proposal).await,
        Err(e) => SubmitOutcome::NotRun(e),
    }
}

async fn write(platform: &impl Platform, proposal: &Proposal) -> Result<Written, PlatformError> {
    let kind = proposal.id.kind.as_str();
    platform
        .write(
            kind,
            &proposal.id.name,
            proposal.expect(),
            proposal.writer,
            proposal.encode(),
        )
        .await
}

async fn read_back(
    platform: &impl Platform,
    proposal: &Proposal,
) -> Result<WriteStatus, PlatformError> {
    let found = platform
        .read(proposal.id.kind.as_str(), &proposal.id.name)
        .await?;
    Ok(proposal.write_status(found.as_ref()))
}

/// The first write was refused, so the change has not run whatever is read.
async fn resolve_conflict(platform: &impl Platform, proposal: &Proposal) -> SubmitOutcome {
    match read_back(platform, proposal).await {
        Ok(WriteStatus::Accepted(item)) => SubmitOutcome::Accepted(item),
        Ok(WriteStatus::Conflict(by)) => SubmitOutcome::Conflict(by),
        Ok(WriteStatus::Pending | WriteStatus::Unknown) | Err(_) => SubmitOutcome::Conflict(None),
    }
}

async fn settle_lost_answer(platform: &impl Platform, proposal: &Proposal) -> SubmitOutcome {
    for _attempt in 0..SETTLE_ATTEMPTS {
        Timer::after(SETTLE_PAUSE).await;
        match read_back(platform, proposal).await {
            Ok(WriteStatus::Accepted(item)) => return SubmitOutcome::Accepted(item),
            Ok(WriteStatus::Conflict(by)) => return SubmitOutcome::Conflict(by),
            Ok(WriteStatus::Unknown) => return SubmitOutcome::Unknown,
            // The condition still holds: the write is repeated as it was.
            Ok(WriteStatus::Pending) => {
                if let Ok(Written::Done(version)) = write(platform, proposal).await {
                    return SubmitOutcome::Accepted(proposal.item(version));
                }
            }
            Err(_) => {}
        }
    }
    SubmitOutcome::Unknown
}
