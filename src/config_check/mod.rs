//! Checks an operators' configuration before it is sent, without I/O.
//!
//! The checks see what hosts decode ([`ConfigurationParts`]), so that they speak of
//! the same routes, services and customers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::gateway::routes::ConfigurationParts;
use crate::gateway::routes::Route;
use crate::gateway::routes::RouteKind;

mod difference;
mod homes;

pub use difference::differences;
pub use homes::check_regions;

/// Lowest priority that engines tell from higher ones; they know ten ranks, and
/// the first three are reserved.
const MAX_PRIORITY: u8 = 6;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// What differs from the version in force.
    Difference,
    /// Has no effect, or not the one that it seems to have.
    Warning,
    /// Callers are refused, or hosts ignore the configuration.
    Error,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Difference => "difference",
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// Kind of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An entry that no call ever matches.
    NeverMatches,
    /// A name that no entry defines.
    Unknown,
    /// Limits that contradict each other.
    Contradiction,
    /// An entry that differs from the version in force.
    Changed,
}

/// One finding about a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub level: Level,
    /// What kind of finding it is.
    pub kind: Kind,
    /// Entry that it is about, such as `route r1`.
    pub subject: String,
    /// What was found.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            level,
            subject,
            detail,
            ..
        } = self;
        write!(f, "{level}: {subject}: {detail}")
    }
}

/// Findings in the order in which they were made.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, level: Level, kind: Kind, subject: &str, detail: impl Into<String>) {
        self.0.push(Finding {
            level,
            kind,
            subject: subject.to_owned(),
            detail: detail.into(),
        });
    }
}

/// Returns the most serious level; `None` without findings.
pub fn worst(findings: &[Finding]) -> Option<Level> {
    findings.iter().map(|finding| finding.level).max()
}

/// Checks a configuration by itself.
pub fn check(parts: &ConfigurationParts) -> Vec<Finding> {
    let mut findings = Findings::default();
    check_routes(parts, &mut findings);
    check_services(parts, &mut findings);
    check_customers(parts, &mut findings);
    homes::check_common_regions(parts, &mut findings);
    check_limits(parts, &mut findings);
    findings.0
}

fn check_routes(parts: &ConfigurationParts, findings: &mut Findings) {
    let mut prefixes: HashMap<(&str, &str), &str> = HashMap::new();
    for route in &parts.routes {
        let subject = format!("route {}", route.name);
        let place = (&*route.host, &*route.path_prefix);
        if let Some(first) = prefixes.get(&place) {
            let detail = format!("route {first} has the same host and path prefix and comes first");
            findings.add(Level::Error, Kind::NeverMatches, &subject, detail);
        } else {
            prefixes.insert(place, &route.name);
        }
        if !route.path_prefix.starts_with('/') {
            let detail = "paths begin with a slash, and its prefix does not";
            findings.add(Level::Error, Kind::NeverMatches, &subject, detail);
        } else if !route.path_prefix.ends_with('/') {
            let detail =
                "its prefix ends within a part of the path, so it also matches longer names";
            findings.add(Level::Warning, Kind::Contradiction, &subject, detail);
        }
        if route.host.contains(':') {
            let detail = "ports are removed from host names before routes are matched";
            findings.add(Level::Error, Kind::NeverMatches, &subject, detail);
        }
        check_targets(route, &subject, findings);
        check_times(route, &subject, findings);
        check_turns(route, &subject, findings);
        if route.priority > MAX_PRIORITY {
            let detail = format!("engines treat priorities above {MAX_PRIORITY} alike");
            findings.add(Level::Warning, Kind::Contradiction, &subject, detail);
        }
        if route.kind == RouteKind::Once && route.max_runs > 1 {
            let detail = "several attempts are allowed, but its calls run at most once";
            findings.add(Level::Warning, Kind::Contradiction, &subject, detail);
        }
    }
}

fn check_targets(route: &Route, subject: &str, findings: &mut Findings) {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    if total <= 0.0 {
        let detail = "no service has a weight above 0, so all calls go to the last one";
        findings.add(Level::Warning, Kind::Contradiction, subject, detail);
        return;
    }
    for target in &route.targets {
        if target.weight <= 0.0 {
            let detail = format!("service {} has the weight 0", target.service);
            findings.add(Level::Warning, Kind::NeverMatches, subject, detail);
        }
    }
}

fn check_times(route: &Route, subject: &str, findings: &mut Findings) {
    if route.timeout.is_zero() {
        let detail = "its time limit is 0, so every call is refused";
        findings.add(Level::Error, Kind::Contradiction, subject, detail);
    } else if route.objective > route.timeout {
        let detail = format!(
            "its target latency of {} ms is above its time limit of {} ms",
            route.objective.as_millis(),
            route.timeout.as_millis()
        );
        findings.add(Level::Warning, Kind::Contradiction, subject, detail);
    }
}

fn check_turns(route: &Route, subject: &str, findings: &mut Findings) {
    let Some(retention) = route.retention else {
        return;
    };
    match route.kind {
        RouteKind::Stream { resumable } => {
            if resumable {
                let detail = "it keeps turns, so callers cannot take up its streams midway";
                findings.add(Level::Warning, Kind::Contradiction, subject, detail);
            }
        }
        RouteKind::Idempotent | RouteKind::Once => {
            let detail = "it keeps turns, but only complete streams are turns";
            findings.add(Level::Warning, Kind::Contradiction, subject, detail);
        }
    }
    if retention < route.timeout {
        let detail = format!(
            "turns are kept for {} ms, less than the time limit of a call",
            retention.as_millis()
        );
        findings.add(Level::Warning, Kind::Contradiction, subject, detail);
    }
}

fn check_services(parts: &ConfigurationParts, findings: &mut Findings) {
    let defined: HashSet<&str> = parts.services.iter().map(|(name, _)| &**name).collect();
    let targets = parts.routes.iter().flat_map(|route| &route.targets);
    let used: HashSet<&str> = targets.map(|target| &*target.service).collect();
    for route in &parts.routes {
        for target in &route.targets {
            if !defined.contains(&*target.service) {
                let subject = format!("route {}", route.name);
                let detail = format!("service {} is not defined", target.service);
                findings.add(Level::Warning, Kind::Unknown, &subject, detail);
            }
        }
    }
    let mut seen = HashSet::new();
    for (name, spec) in &parts.services {
        let subject = format!("service {name}");
        if !seen.insert(&**name) {
            let detail = "it is defined more than once, and the last definition counts";
            findings.add(Level::Error, Kind::Contradiction, &subject, detail);
        }
        if !used.contains(&**name) {
            let detail = "no route leads to it";
            findings.add(Level::Warning, Kind::NeverMatches, &subject, detail);
        }
        if spec.cold.is_some_and(|cold| cold.per_s < 1.0) {
            let detail = "cold endpoints take less than one request a second, so they get none";
            findings.add(Level::Warning, Kind::Contradiction, &subject, detail);
        }
    }
}

fn check_customers(parts: &ConfigurationParts, findings: &mut Findings) {
    let Some(keys) = &parts.keys else {
        return;
    };
    let holders: HashSet<&str> = keys.iter().map(|(_, customer)| &*customer.name).collect();
    let mut seen = HashSet::new();
    for customer in &parts.customers {
        let subject = format!("customer {}", customer.name);
        if !seen.insert(&*customer.name) {
            let detail = "it is defined more than once, and the last rate counts for all";
            findings.add(Level::Error, Kind::Contradiction, &subject, detail);
        }
        if !holders.contains(&*customer.name) {
            let detail = "it has no key";
            findings.add(Level::Warning, Kind::NeverMatches, &subject, detail);
        }
        if customer.rate.is_some_and(|rate| rate.burst < 1.0) {
            let detail = "its rate has a burst below one request, so every request is refused";
            findings.add(Level::Error, Kind::Contradiction, &subject, detail);
        }
    }
    let mut by_key: BTreeMap<&[u8], &str> = BTreeMap::new();
    for (key, customer) in keys {
        let before = by_key.insert(key, &customer.name);
        if let Some(before) = before.filter(|before| **before != *customer.name) {
            let subject = format!("customer {before}");
            let detail = format!(
                "customer {} holds the same key, and comes later",
                customer.name
            );
            findings.add(Level::Error, Kind::Contradiction, &subject, detail);
        }
    }
}

fn check_limits(parts: &ConfigurationParts, findings: &mut Findings) {
    let limits = parts.limits;
    let zero = [
        ("max_header_bytes", limits.max_header_bytes == 0),
        ("max_body_bytes", limits.max_body_bytes == 0),
        ("idle_timeout", limits.idle_timeout == Duration::ZERO),
    ];
    for (name, is_zero) in zero {
        if is_zero {
            let detail = format!("{name} is 0");
            findings.add(Level::Error, Kind::Contradiction, "limits", detail);
        }
    }
}
