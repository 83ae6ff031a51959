//! Checks of the regions in which requests must stay.

use super::Finding;
use super::Findings;
use super::Kind;
use super::Level;
use crate::gateway::routes::ConfigurationParts;
use crate::protection::homes::Homes;
use crate::protection::homes::Regions;

/// Finds regions that no data centre has.
pub fn check_regions(parts: &ConfigurationParts, regions: &Regions) -> Vec<Finding> {
    let mut findings = Findings::default();
    for route in &parts.routes {
        let subject = format!("route {}", route.name);
        check_known(&route.homes, regions, &subject, &mut findings);
    }
    for customer in &parts.customers {
        let subject = format!("customer {}", customer.name);
        check_known(&customer.homes, regions, &subject, &mut findings);
    }
    findings.0
}

fn check_known(homes: &Homes, regions: &Regions, subject: &str, findings: &mut Findings) {
    let (known, unknown): (Vec<_>, Vec<_>) = homes
        .names()
        .iter()
        .partition(|region| regions.has_data_centre_in(region));
    for region in unknown {
        let (level, effect) = match known.is_empty() {
            true => (
                Level::Error,
                ", nor any other that is allowed: every call is refused",
            ),
            false => (Level::Warning, ""),
        };
        let detail = format!("no data centre is in the region {region}{effect}");
        findings.add(level, Kind::Unknown, subject, detail);
    }
}

/// Finds customers whose calls on some routes may be in no region.
pub(super) fn check_common_regions(parts: &ConfigurationParts, findings: &mut Findings) {
    if parts.keys.is_none() {
        return;
    }
    for customer in &parts.customers {
        let routes = parts.routes.iter().filter(|route| !route.is_public);
        let closed = routes.filter(|route| route.homes.and(&customer.homes).is_nowhere());
        let names: Vec<&str> = closed.map(|route| &*route.name).collect();
        if !names.is_empty() {
            let detail = format!(
                "it has no allowed region in common with these routes, so its calls there are \
                 refused: {}",
                names.join(", ")
            );
            let subject = format!("customer {}", customer.name);
            findings.add(Level::Warning, Kind::Contradiction, &subject, detail);
        }
    }
}
