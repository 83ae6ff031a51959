//! Review of one engine's memory by its steward.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::CacheHandle;
use super::ReleaseOrder;
use super::Verdict;
use crate::units::Moment;

/// Times that a cache must be seen unused before its grace begins.
const SIGHTINGS: u32 = 2;

/// A cache that its home said is not in use.
#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    sightings: u32,
    confirmed_at: Option<Moment>,
}

impl Suspect {
    fn seen(&mut self, now: Moment) {
        self.sightings = self.sightings.saturating_add(1);
        if self.sightings >= SIGHTINGS {
            self.confirmed_at.get_or_insert(now);
        }
    }

    fn is_due(&self, now: Moment, grace: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed| now.since(confirmed) >= grace)
    }
}

/// What a steward remembers of one engine.
///
/// A cache is released only after its home said twice that it is unused, a
/// grace has passed, and the home says so once more just before the order.
#[derive(Clone, Debug, Default)]
pub struct Review {
    suspects: BTreeMap<CacheHandle, Suspect>,
}

impl Review {
    /// Takes the engine's list; suspects that it no longer holds are forgotten.
    pub fn listed(&mut self, held: &BTreeSet<CacheHandle>) {
        self.suspects.retain(|handle, _| held.contains(handle));
    }

    /// Takes the verdict of a cache's home on a listed cache.
    pub fn judged(&mut self, now: Moment, handle: &CacheHandle, verdict: Verdict) {
        match verdict {
            Verdict::Gone(_) => self.suspects.entry(handle.clone()).or_default().seen(now),
            Verdict::InUse => {
                self.suspects.remove(handle);
            }
            // The count starts again, so that both sightings lie in one
            // stretch in which the home could be asked.
            Verdict::Unknown => {
                self.suspects.remove(handle);
            }
        }
    }

    /// Caches whose grace has passed; their homes must be asked once more.
    pub fn due(&self, now: Moment, grace: Duration) -> BTreeSet<CacheHandle> {
        let due = self.suspects.iter().filter(|(_, s)| s.is_due(now, grace));
        due.map(|(handle, _)| handle.clone()).collect()
    }

    /// Takes the last verdict on a due cache and gives the order, if it may be
    /// released.
    ///
    /// The suspect is kept until the engine's list shows it released, so that
    /// a lost order is repeated in the next round.
    pub fn confirm(
        &mut self,
        now: Moment,
        grace: Duration,
        handle: &CacheHandle,
        verdict: Verdict,
    ) -> Option<ReleaseOrder> {
        self.judged(now, handle, verdict);
        let Verdict::Gone(fence) = verdict else {
            return None;
        };
        let suspect = self.suspects.get(handle)?;
        suspect.is_due(now, grace).then(|| ReleaseOrder {
            handle: handle.clone(),
            fence,
        })
    }
}
