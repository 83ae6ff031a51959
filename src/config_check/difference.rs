//! Differences between two configurations, in words.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Finding;
use super::Findings;
use super::Kind;
use super::Level;
use crate::gateway::routes::ConfigurationParts;
use crate::gateway::routes::Customer;
use crate::gateway::routes::KeyHash;
use crate::gateway::routes::Route;
use crate::gateway::routes::ServiceSpec;

/// Returns what differs from the version in force.
pub fn differences(next: &ConfigurationParts, in_force: &ConfigurationParts) -> Vec<Finding> {
    let mut findings = Findings::default();
    if next.version <= in_force.version {
        let detail = format!(
            "version {} is not above version {} in force, so hosts ignore it",
            next.version, in_force.version
        );
        findings.add(Level::Error, Kind::Changed, "configuration", detail);
    }
    let routes = |parts: &ConfigurationParts| -> BTreeMap<String, Route> {
        let routes = parts.routes.iter();
        routes
            .map(|route| (route.name.to_string(), route.clone()))
            .collect()
    };
    let (next_routes, old_routes) = (routes(next), routes(in_force));
    compare(
        &mut findings,
        "route",
        &next_routes,
        &old_routes,
        changed_route,
    );
    let services = |parts: &ConfigurationParts| -> BTreeMap<String, ServiceSpec> {
        let services = parts.services.iter();
        services
            .map(|(name, spec)| (name.to_string(), spec.clone()))
            .collect()
    };
    let (next_services, old_services) = (services(next), services(in_force));
    compare(
        &mut findings,
        "service",
        &next_services,
        &old_services,
        |_, _| vec!["its settings have changed".to_owned()],
    );
    let (next_customers, old_customers) = (customers(next), customers(in_force));
    compare(
        &mut findings,
        "customer",
        &next_customers,
        &old_customers,
        changed_customer,
    );
    if next.keys.is_some() != in_force.keys.is_some() {
        let detail = match next.keys.is_some() {
            true => "routes that are not public need a key from now on",
            false => "no route needs a key any more",
        };
        findings.add(Level::Difference, Kind::Changed, "configuration", detail);
    }
    if next.limits != in_force.limits {
        let detail = format!("{:?} in place of {:?}", next.limits, in_force.limits);
        findings.add(Level::Difference, Kind::Changed, "limits", detail);
    }
    findings.0
}

/// A customer with its keys.
#[derive(Clone, Debug, PartialEq)]
struct Holder {
    customer: Arc<Customer>,
    keys: BTreeSet<KeyHash>,
}

fn customers(parts: &ConfigurationParts) -> BTreeMap<String, Holder> {
    let keys = parts.keys.as_deref().unwrap_or_default();
    let holder = |customer: &Arc<Customer>| {
        let own = keys
            .iter()
            .filter(|(_, holder)| holder.name == customer.name);
        let holder = Holder {
            customer: Arc::clone(customer),
            keys: own.map(|(key, _)| *key).collect(),
        };
        (customer.name.to_string(), holder)
    };
    parts.customers.iter().map(holder).collect()
}

/// Adds a finding for each entry that is new, gone or has changed.
fn compare<T: PartialEq>(
    findings: &mut Findings,
    what: &str,
    next: &BTreeMap<String, T>,
    in_force: &BTreeMap<String, T>,
    changes: impl Fn(&T, &T) -> Vec<String>,
) {
    let names: BTreeSet<&String> = next.keys().chain(in_force.keys()).collect();
    for name in names {
        let subject = format!("{what} {name}");
        let details = match (next.get(name), in_force.get(name)) {
            (Some(_), None) => vec!["is added".to_owned()],
            (None, Some(_)) => vec!["is removed".to_owned()],
            (Some(next), Some(before)) if next != before => changes(next, before),
            _ => Vec::new(),
        };
        for detail in details {
            findings.add(Level::Difference, Kind::Changed, &subject, detail);
        }
    }
}

fn changed_route(next: &Route, before: &Route) -> Vec<String> {
    let targets = |route: &Route| -> String {
        let targets = route.targets.iter();
        let named: Vec<String> = targets
            .map(|target| format!("{} ({})", target.service, target.weight))
            .collect();
        named.join(", ")
    };
    let place = |route: &Route| format!("{}{}", route.host, route.path_prefix);
    let ms = |time: Duration| format!("{} ms", time.as_millis());
    let retention = |route: &Route| route.retention.map_or("none".to_owned(), ms);
    let fields = [
        ("matches", place(next), place(before)),
        ("leads to", targets(next), targets(before)),
        (
            "kind",
            format!("{:?}", next.kind),
            format!("{:?}", before.kind),
        ),
        ("time limit", ms(next.timeout), ms(before.timeout)),
        ("target latency", ms(next.objective), ms(before.objective)),
        (
            "priority",
            next.priority.to_string(),
            before.priority.to_string(),
        ),
        (
            "attempts",
            next.max_runs.to_string(),
            before.max_runs.to_string(),
        ),
        (
            "public",
            next.is_public.to_string(),
            before.is_public.to_string(),
        ),
        (
            "sticky",
            next.is_sticky.to_string(),
            before.is_sticky.to_string(),
        ),
        ("keeps turns for", retention(next), retention(before)),
        (
            "allowed regions",
            next.homes.to_string(),
            before.homes.to_string(),
        ),
    ];
    describe(&fields)
}

fn changed_customer(next: &Holder, before: &Holder) -> Vec<String> {
    let rate = |holder: &Holder| match holder.customer.rate {
        Some(rate) => format!("{} a second and a burst of {}", rate.per_s, rate.burst),
        None => "no limit".to_owned(),
    };
    let priority = |holder: &Holder| {
        let priority = holder.customer.priority;
        priority.map_or("that of the route".to_owned(), |priority| {
            priority.to_string()
        })
    };
    let mut details = describe(&[
        ("rate", rate(next), rate(before)),
        ("priority", priority(next), priority(before)),
        (
            "allowed regions",
            next.customer.homes.to_string(),
            before.customer.homes.to_string(),
        ),
    ]);
    let added = next.keys.difference(&before.keys).count();
    let removed = before.keys.difference(&next.keys).count();
    if added > 0 {
        details.push(format!("{added} keys are added"));
    }
    if removed > 0 {
        details.push(format!("{removed} keys are withdrawn"));
    }
    details
}

fn describe(fields: &[(&str, String, String)]) -> Vec<String> {
    let changed = fields.iter().filter(|(_, next, before)| next != before);
    changed
        .map(|(name, next, before)| format!("{name}: {next} in place of {before}"))
        .collect()
}
