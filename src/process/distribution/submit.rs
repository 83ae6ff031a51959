//! Writes a proposal to the platform and settles its outcome if the answer is
//! lost.

use std::time::Duration;

use async_io::Timer;

use super::proposal::Proposal;
use super::proposal::WriteStatus;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::version::catalogue::Item;
use crate::version::objects::Change;

/// Reads after a lost answer before the outcome is reported as unknown.
const SETTLE_ATTEMPTS: u32 = 4;

/// Pause before each read after a lost answer.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Outcome of submitting a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The write took effect; this is the object's current item.
    Accepted(Item),
    /// Another change was made first; `None` if it is not known which.
    Conflict(Option<Change>),
    /// The write did not and will not take effect.
    NotRun(PlatformError),
    /// The write may have taken effect.
    Unknown,
}

/// Writes a proposal to the platform.
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
            proposal.write_condition(),
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

/// Reads which change was made first. The write was refused, so the outcome is
/// a conflict even if the read is inconclusive.
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
            // The condition still holds, so the same write is repeated.
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
