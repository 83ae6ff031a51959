//! Load reports of engines: how much a report is believed as it ages and as
//! calls are placed since.
//!
//! Many hosts hear that an engine is idle or fast at about the same time. If all
//! believed it fully, they would all send their next calls there. A host so
//! claims only its own share of the calls that make up for the advantage; beyond
//! that it assumes that the others have placed the rest.

use std::collections::HashMap;
use std::time::Duration;

use super::shared::EngineLoad;
use crate::units::Moment;

/// Bounds of a reported slowness that is taken over.
const SLOWNESS_BOUNDS: [f64; 2] = [0.1, 20.0];

/// Least length of a call, as a multiple of the persistence of slowness.
const MIN_CALL: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Moment,
    load: EngineLoad,
    slowness: f64,
    /// Calls that this host has placed since.
    placed: u32,
    /// When this host placed the last of them.
    placed_at: Moment,
    /// Random part of a call, from 0 to 1, by which hosts differ in the share
    /// that they claim.
    claimed: f64,
}

/// Latest reports of a service's engines.
#[derive(Debug)]
pub struct Reports {
    fade: Duration,
    persistence: Duration,
    heard: HashMap<Box<str>, Heard>,
    latest: Option<Moment>,
}

impl Reports {
    /// Creates an empty set. `fade` is the age at which a report says nothing,
    /// `persistence` the time constant of changes of the slowness.
    pub fn new(fade: Duration, persistence: Duration) -> Self {
        Self {
            fade,
            persistence,
            heard: HashMap::new(),
            latest: None,
        }
    }

    /// Records a report that an engine made at `at`, unless a later one is known.
    /// `claimed` is a random number in `0..1`.
    pub fn record(&mut self, engine: &str, load: EngineLoad, claimed: f64, at: Moment) {
        let before = self.heard.get(engine);
        if before.is_some_and(|last| last.at > at) {
            return;
        }
        self.latest = self.latest.max(Some(at));
        let [least, most] = SLOWNESS_BOUNDS;
        // A report that another host has heard may be older than the last calls.
        let later = before.filter(|last| last.placed_at > at);
        let heard = Heard {
            at,
            load,
            slowness: load.slowness.unwrap_or(1.0).clamp(least, most),
            placed: later.map_or(0, |last| last.placed),
            placed_at: later.map_or(at, |last| last.placed_at),
            claimed,
        };
        match self.heard.get_mut(engine) {
            Some(last) => *last = heard,
            None => {
                self.heard.insert(engine.into(), heard);
            }
        }
    }

    /// Counts a call of this host since the engine's last report.
    pub fn count_placed(&mut self, engine: &str, now: Moment) {
        if let Some(heard) = self.heard.get_mut(engine) {
            heard.placed = heard.placed.saturating_add(1);
            heard.placed_at = now;
        }
    }

    /// When the latest known report of an engine was made; `None` without one.
    pub fn heard_at(&self, engine: &str) -> Option<Moment> {
        self.heard.get(engine).map(|heard| heard.at)
    }

    /// Calls that this host has placed at an engine since its latest report.
    pub fn placed(&self, engine: &str) -> u32 {
        self.heard.get(engine).map_or(0, |heard| heard.placed)
    }

    /// Returns the reports that have not faded, with their ages.
    pub fn recent(&self, now: Moment) -> impl Iterator<Item = (&str, EngineLoad, Duration)> {
        let aged = self.heard.iter().map(move |(engine, heard)| {
            let age = now.since(heard.at);
            (&**engine, heard.load, age)
        });
        aged.filter(|(_, _, age)| *age < self.fade)
    }

    /// Forgets engines that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.heard.retain(|engine, _| is_listed(engine));
    }

    /// Time since the latest report of any engine; `None` before the first.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.latest.map(|latest| now.since(latest))
    }

    /// Calls that each host is expected to place at an engine on its last report:
    /// as many as this one, and one with a chance that differs by host. 0 if the
    /// report is too old to attract any.
    pub fn claims(&self, engine: &str, now: Moment) -> f64 {
        let heard = self.heard.get(engine);
        heard
            .filter(|heard| self.freshness(heard, now) > 0.0)
            .map_or(0.0, |heard| f64::from(heard.placed) + heard.claimed)
    }

    /// Expected mean slowness of an engine over a call of `call_ms`. A report
    /// fades to 1 with its age, and with the length of the call, in which the
    /// slowness changes.
    pub fn slowness(&self, engine: &str, call_ms: f64, now: Moment) -> f64 {
        let Some(heard) = self.heard.get(engine) else {
            return 1.0;
        };
        let persistence_ms = super::millis(self.persistence);
        let age = super::millis(now.since(heard.at)) / persistence_ms;
        let call = (call_ms / persistence_ms).max(MIN_CALL);
        let held = (1.0 - (-call).exp()) / call;
        let weight = (-age).exp().min(self.freshness(heard, now)) * held;
        1.0 + (heard.slowness - 1.0) * weight
    }

    fn freshness(&self, heard: &Heard, now: Moment) -> f64 {
        let age = now.since(heard.at).as_secs_f64() / self.fade.as_secs_f64();
        (1.0 - age).max(0.0)
    }
}
