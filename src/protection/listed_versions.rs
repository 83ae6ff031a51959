//! Software versions that endpoints were listed with.
//!
//! The events of two versions do not fit together, so a stream whose version is
//! not known may go on only if its service has had no other. A list shows that
//! only to a host that has followed it without a gap for as long as a caller may
//! hold a part of a stream: a version may have come and gone in a gap. Whether
//! the list is up to date is not decided here.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Version;
use crate::units::Moment;

/// Time for which a version of which no endpoint is listed any more is
/// remembered: callers may hold parts of its streams until their deadlines.
pub const VERSION_MEMORY: Duration = Duration::from_secs(60);

/// A service and a version of its endpoints' software.
type ServiceVersion = (Arc<str>, Arc<str>);

/// Part of the list's history without a gap.
#[derive(Clone, Copy, Debug)]
struct Coverage {
    /// Store version at which it begins.
    from: Version,
    /// When it begins; the clock's origin if the deployment was new then.
    since: Moment,
}

/// What one host tells another about versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedVersions {
    /// Store version from which the sender has followed the list.
    pub from: Version,
    /// Store version up to which it has.
    pub upto: Version,
    /// Time in milliseconds since the first of them; the maximum if the
    /// deployment was new then.
    pub covered_ms: u64,
    /// Versions that were listed of late.
    pub versions: Vec<SharedVersion>,
}

/// A version of a service's endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedVersion {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the software.
    pub version: Arc<str>,
    /// Time in milliseconds since it was last listed.
    pub age_ms: u64,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Versions that were listed of late, by service.
#[derive(Clone, Debug, Default)]
pub struct ListedVersions {
    last_listed: HashMap<ServiceVersion, Moment>,
    coverage: Option<Coverage>,
}

impl ListedVersions {
    /// Begins the history anew with a list of store version `from`, since
    /// changes before may have been missed.
    pub fn begin(&mut self, from: Version, now: Moment) {
        self.coverage = Some(Coverage { from, since: now });
    }

    /// Begins the history of a new deployment, in which nothing came before.
    pub fn begin_new_deployment(&mut self, from: Version) {
        let since = Moment::default();
        self.coverage = Some(Coverage { from, since });
    }

    /// Forgets how far the history goes back.
    pub fn lose_coverage(&mut self) {
        self.coverage = None;
    }

    /// Records that endpoints of a service are or were listed with a version.
    pub fn record(&mut self, service: &Arc<str>, version: &Arc<str>, at: Moment) {
        let key = (Arc::clone(service), Arc::clone(version));
        let last = self.last_listed.entry(key).or_insert(at);
        *last = at.max(*last);
    }

    /// Forgets versions that no caller holds streams of any more.
    pub fn forget(&mut self, now: Moment) {
        self.last_listed
            .retain(|_, listed| now.since(*listed) < VERSION_MEMORY);
    }

    /// Whether no version of the last [`VERSION_MEMORY`] can have been missed.
    pub fn is_complete(&self, now: Moment) -> bool {
        self.coverage.is_some_and(|coverage| {
            let is_new = coverage.since == Moment::default();
            is_new || now.since(coverage.since) >= VERSION_MEMORY
        })
    }

    /// Returns the only version that a service had within [`VERSION_MEMORY`];
    /// `None` if there were others or some may have been missed.
    pub fn sole(&self, service: &str, now: Moment) -> Option<&Arc<str>> {
        if !self.is_complete(now) {
            return None;
        }
        let recent = self.last_listed.iter().filter(|((name, _), listed)| {
            **name == *service && now.since(**listed) < VERSION_MEMORY
        });
        let mut versions = recent.map(|((_, version), _)| version);
        let sole = versions.next()?;
        versions.next().is_none().then_some(sole)
    }

    /// Returns what to tell another host; `upto` is the store version up to which
    /// the list is known here.
    pub fn export(&self, upto: Version, now: Moment) -> Option<SharedVersions> {
        let coverage = self.coverage?;
        let recent = self
            .last_listed
            .iter()
            .filter(|(_, listed)| now.since(**listed) < VERSION_MEMORY);
        let versions = recent.map(|((service, version), listed)| SharedVersion {
            service: Arc::clone(service),
            version: Arc::clone(version),
            age_ms: millis(now.since(*listed)),
        });
        Some(SharedVersions {
            from: coverage.from,
            upto,
            covered_ms: match coverage.since == Moment::default() {
                true => u64::MAX,
                false => millis(now.since(coverage.since)),
            },
            versions: versions.collect(),
        })
    }

    /// Adds what another host tells. `own_upto` is the store version up to which
    /// the list was known here; the two histories are joined if they leave no gap
    /// between them, and the later one counts otherwise.
    pub fn import(&mut self, shared: &SharedVersions, own_upto: Option<Version>, now: Moment) {
        for told in &shared.versions {
            let at = now.minus(Duration::from_millis(told.age_ms));
            self.record(&told.service, &told.version, at);
        }
        let told = Coverage {
            from: shared.from,
            since: now.minus(Duration::from_millis(shared.covered_ms)),
        };
        let is_later = own_upto.is_none_or(|own| shared.upto > own);
        self.coverage = match self.coverage {
            Some(own) => {
                let touches = own_upto.is_some_and(|upto| told.from <= upto);
                let is_joined = touches && own.from <= shared.upto;
                match (is_joined, is_later) {
                    (true, _) => Some(Coverage {
                        from: own.from.min(told.from),
                        since: own.since.min(told.since),
                    }),
                    (false, true) => Some(told),
                    (false, false) => Some(own),
                }
            }
            None if is_later || Some(shared.upto) == own_upto => Some(told),
            None => None,
        };
    }
}
