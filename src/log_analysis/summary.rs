//! Sums up the event logs of many hosts over time, in bounded memory.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use hdrhistogram::Histogram;
use serde::Deserialize;

use super::frequent::FrequentTexts;

/// Width of a period at first, in milliseconds. It doubles as the logs cover more
/// time.
const FIRST_WIDTH_MS: u64 = 1000;
/// Maximum number of periods.
const MAX_PERIODS: usize = 40;
/// Maximum numbers of hosts, data centres and outcomes that are told apart. Malformed
/// names would otherwise take memory without bound.
const MAX_HOSTS: usize = 10_000;
const MAX_PLACES: usize = 64;
const MAX_OUTCOMES: usize = 32;
/// Name of what is not told apart.
const OTHERS: &str = "others";
/// Data centre of hosts whose `started` line is not in the logs.
const UNKNOWN_PLACE: &str = "unknown";
/// Longest time that is told from longer ones, in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;
/// Significant digits of times.
const TIME_DIGITS: u8 = 2;

/// Line of a log with the fields that are summed up.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    event: Cow<'a, str>,
    at_ms: Option<u64>,
    host: Option<Cow<'a, str>>,
    data_centre: Option<Cow<'a, str>>,
    outcome: Option<Cow<'a, str>>,
    why: Option<Cow<'a, str>>,
    reason: Option<Cow<'a, str>>,
    is_evacuated: Option<bool>,
    spent_ms: Option<u64>,
    first_ms: Option<u64>,
    /// Lines that a host has dropped.
    lines: Option<u64>,
}

/// Kind of a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TimeKind {
    /// From a request to its answer, without streams.
    Answer,
    /// From a request to the first event of its stream.
    FirstEvent,
    /// From a request to the end of its complete stream.
    Stream,
    /// From a request to its refusal.
    Refusal,
}

/// Times of one kind, in milliseconds.
#[derive(Clone, Debug)]
pub struct Times(pub Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, MAX_TIME_MS, TIME_DIGITS);
        Self(times.expect("the bounds are valid"))
    }
}

/// What happened in a data centre in one period.
#[derive(Clone, Debug, Default)]
pub struct PlacePeriod {
    /// Hosts that lost the store less those that reached it again.
    pub store_losses: i64,
    /// Numbers of lines that tell of changes.
    pub changes: BTreeMap<&'static str, u64>,
}

/// What happened in one period.
#[derive(Clone, Debug, Default)]
pub struct Period {
    /// Ends of requests by outcome.
    pub ends: BTreeMap<String, u64>,
    /// Times of requests that ended.
    pub times: BTreeMap<TimeKind, Times>,
    /// By data centre.
    pub places: BTreeMap<String, PlacePeriod>,
}

#[derive(Clone, Debug)]
struct HostState {
    place: String,
    /// Data centre in which it counts as having lost the store.
    lost_in: Option<String>,
}

/// Summary of logs.
#[derive(Clone, Debug)]
pub struct Summary {
    width_ms: u64,
    periods: BTreeMap<u64, Period>,
    hosts: HashMap<String, HostState>,
    places: BTreeSet<String>,
    outcomes: BTreeSet<String>,
    details: FrequentTexts,
    dropped: u64,
}

impl Default for Summary {
    fn default() -> Self {
        Self {
            width_ms: FIRST_WIDTH_MS,
            periods: BTreeMap::new(),
            hosts: HashMap::new(),
            places: BTreeSet::new(),
            outcomes: BTreeSet::new(),
            details: FrequentTexts::default(),
            dropped: 0,
        }
    }
}

impl Summary {
    /// Adds a line; the lines of a host are added in their order. Returns `false` if
    /// it cannot be decoded.
    pub fn add(&mut self, json: &str) -> bool {
        let Ok(line) = serde_json::from_str::<Line<'_>>(json) else {
            return false;
        };
        if line.event == "lines-dropped" {
            self.dropped += line.lines.unwrap_or_default();
            return true;
        }
        let Some(at_ms) = line.at_ms else {
            return false;
        };
        self.add_end(&line, at_ms);
        self.add_state(&line, at_ms);
        true
    }

    /// Width of a period, in milliseconds.
    pub fn width_ms(&self) -> u64 {
        self.width_ms
    }

    /// Returns the periods with anything to tell, with their begin in Unix
    /// milliseconds.
    pub fn periods(&self) -> impl Iterator<Item = (u64, &Period)> {
        let periods = self.periods.iter();
        periods.map(|(number, period)| (number.saturating_mul(self.width_ms), period))
    }

    /// Returns the times of all requests by kind.
    pub fn times(&self) -> BTreeMap<TimeKind, Times> {
        let mut sum = BTreeMap::new();
        for period in self.periods.values() {
            add_times(&mut sum, &period.times);
        }
        sum
    }

    /// Returns the number of hosts of each data centre.
    pub fn hosts(&self) -> BTreeMap<&str, usize> {
        let mut hosts = BTreeMap::new();
        for host in self.hosts.values() {
            *hosts.entry(&*host.place).or_default() += 1;
        }
        hosts
    }

    /// Details of refusals.
    pub fn details(&self) -> &FrequentTexts {
        &self.details
    }

    /// Lines that hosts have dropped, as they say.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Counts the end of a request, and of an engine's part of a stream.
    fn add_end(&mut self, line: &Line<'_>, at_ms: u64) {
        let outcome = line.outcome.as_deref().unwrap_or_default();
        let (end, kind) = match &*line.event {
            "answered" => ("answered".to_owned(), Some(TimeKind::Answer)),
            "refused" => {
                self.details.add(line.why.as_deref().unwrap_or_default());
                (format!("refused {outcome}"), Some(TimeKind::Refusal))
            }
            "stream-ended" => {
                let kind = (outcome == "whole").then_some(TimeKind::Stream);
                (format!("stream {outcome}"), kind)
            }
            _ => return,
        };
        let end = told_apart(&mut self.outcomes, &end, MAX_OUTCOMES);
        let period = self.period(at_ms);
        *period.ends.entry(end).or_default() += 1;
        let mut record = |kind, ms| {
            let times = period.times.entry(kind).or_default();
            times.0.saturating_record(ms);
        };
        if let Some((kind, ms)) = kind.zip(line.spent_ms) {
            record(kind, ms);
        }
        if let (Some(TimeKind::Stream), Some(ms)) = (kind, line.first_ms) {
            record(TimeKind::FirstEvent, ms);
        }
    }

    /// Counts a change of the state of a host, its data centre or the store.
    fn add_state(&mut self, line: &Line<'_>, at_ms: u64) {
        let name = line.host.as_deref().unwrap_or_default();
        if !self.hosts.contains_key(name) {
            if name.is_empty() || self.hosts.len() >= MAX_HOSTS {
                return;
            }
            let state = HostState {
                place: UNKNOWN_PLACE.to_owned(),
                lost_in: None,
            };
            self.hosts.insert(name.to_owned(), state);
        }
        let host = self.hosts.get_mut(name).expect("the host was added");
        if let ("started" | "host-entered", Some(place)) = (&*line.event, &line.data_centre) {
            host.place = told_apart(&mut self.places, place, MAX_PLACES);
        }
        let mut place = host.place.clone();
        let mut losses = 0;
        let mut loss_place = None;
        match &*line.event {
            "store-lost" if host.lost_in.is_none() => {
                host.lost_in = Some(place.clone());
                losses = 1;
            }
            "store-reached" | "started" | "stopped" => {
                loss_place = host.lost_in.take();
                losses = -i64::from(loss_place.is_some());
            }
            _ => (),
        }
        if losses != 0 {
            let counted_in = loss_place.unwrap_or_else(|| place.clone());
            self.place(at_ms, counted_in).store_losses += losses;
        }
        let Some(change) = change_of(line) else {
            return;
        };
        if line.event == "evacuation" {
            let evacuated = line.data_centre.as_deref().unwrap_or_default();
            place = told_apart(&mut self.places, evacuated, MAX_PLACES);
        }
        *self.place(at_ms, place).changes.entry(change).or_default() += 1;
    }

    fn place(&mut self, at_ms: u64, place: String) -> &mut PlacePeriod {
        self.period(at_ms).places.entry(place).or_default()
    }

    /// Returns the period of a time, after neighbours are joined if it would be one
    /// too many.
    fn period(&mut self, at_ms: u64) -> &mut Period {
        while self.periods.len() >= MAX_PERIODS
            && !self.periods.contains_key(&(at_ms / self.width_ms))
        {
            self.width_ms *= 2;
            for (number, period) in std::mem::take(&mut self.periods) {
                self.periods.entry(number / 2).or_default().add(period);
            }
        }
        self.periods.entry(at_ms / self.width_ms).or_default()
    }
}

impl Period {
    /// Adds a later period.
    fn add(&mut self, other: Self) {
        for (end, count) in other.ends {
            *self.ends.entry(end).or_default() += count;
        }
        add_times(&mut self.times, &other.times);
        for (name, place) in other.places {
            let sum = self.places.entry(name).or_default();
            sum.store_losses += place.store_losses;
            for (change, count) in place.changes {
                *sum.changes.entry(change).or_default() += count;
            }
        }
    }
}

fn add_times(sum: &mut BTreeMap<TimeKind, Times>, times: &BTreeMap<TimeKind, Times>) {
    for (kind, times) in times {
        let sum = sum.entry(*kind).or_default();
        sum.0.add(&times.0).expect("all times have the same bounds");
    }
}

/// Returns a name, or that of all others if there are too many.
fn told_apart(names: &mut BTreeSet<String>, name: &str, limit: usize) -> String {
    if names.contains(name) {
        return name.to_owned();
    }
    if names.len() >= limit {
        return OTHERS.to_owned();
    }
    names.insert(name.to_owned());
    name.to_owned()
}

/// Returns what a line says about the state of its host.
fn change_of(line: &Line<'_>) -> Option<&'static str> {
    Some(match &*line.event {
        "callers-diverted" if line.reason.is_some() => "callers diverted",
        "callers-diverted" => "callers no longer diverted",
        "capacity-insufficient" => "capacity insufficient",
        "configuration-behind" => "configuration behind",
        "endpoint-crashed" => "endpoint crashed",
        "evacuation" if line.is_evacuated == Some(true) => "evacuation begun",
        "evacuation" => "evacuation ended",
        "isolated-draw" => "isolated draw",
        "paths-lost" => "paths lost",
        "paths-regained" => "paths regained",
        "started" => "started",
        "stopped" => "stopped",
        "store-lost" => "store lost",
        "store-reached" => "store reached",
        "turn-not-stored" => "turn not stored",
        _ => return None,
    })
}
