//! Query rows built from the configuration.

use super::subject::AuditRow;
use super::subject::CustomerRow;
use super::subject::EndpointRow;
use super::subject::KeyRow;
use super::subject::ServiceRow;
use super::subject::Subject;
use super::subject::VersionRow;
use super::table::Row;
use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::Version;
use crate::process::distribution::HostAddress;
use crate::process::distribution::Standing;
use crate::version::catalogue::Catalogue;
use crate::version::catalogue::Document;
use crate::version::catalogue::ObjectId;
use crate::version::objects::Change;
use crate::version::objects::Customer;
use crate::version::objects::Endpoint;
use crate::version::objects::EndpointState;
use crate::version::objects::KeyRef;
use crate::version::objects::KeySet;
use crate::version::objects::Service;
use crate::version::objects::ServiceKind;

/// Returns the rows of a subject that every host has in its configuration.
pub(super) fn rows(catalogue: &Catalogue, subject: Subject) -> Vec<Row> {
    match subject {
        Subject::Audit => audit_rows(catalogue),
        Subject::Keys => key_rows(catalogue),
        _ => object_rows(catalogue, subject),
    }
}

/// Returns the row that describes the configuration of this host.
pub(super) fn version_row(catalogue: &Catalogue, own: &HostAddress, standing: Standing) -> Row {
    let row = VersionRow {
        host: own.id.to_string(),
        data_centre: own.data_centre.to_string(),
        version: catalogue.max_version().0,
        objects: saturating_u64(catalogue.documents().count()),
        withdrawn: saturating_u64(catalogue.tombstones().count()),
        unrecorded: saturating_u64(catalogue.unrecorded_withdrawals().count()),
        digest: format!("{:016x}", catalogue.digest().summary().0),
        standing: standing_name(standing).to_owned(),
    };
    row.into()
}

fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Starting => "starting",
        Standing::Saved => "saved",
        Standing::Current => "current",
    }
}

fn object_rows(catalogue: &Catalogue, subject: Subject) -> Vec<Row> {
    let row = |(_, version, document): (&ObjectId, Version, &Document)| match document {
        Document::Customer(id, record) if subject == Subject::Customers => record
            .value
            .as_ref()
            .map(|value| customer_row(id, version, value)),
        Document::Endpoint(id, record) if subject == Subject::Endpoints => record
            .value
            .as_ref()
            .map(|value| endpoint_row(id, version, value)),
        Document::Service(id, record) if subject == Subject::Services => record
            .value
            .as_ref()
            .map(|value| service_row(catalogue, id, version, value)),
        _ => None,
    };
    catalogue.documents().filter_map(row).collect()
}

fn customer_row(id: &CustomerId, version: Version, customer: &Customer) -> Row {
    let row = CustomerRow {
        customer: id.to_string(),
        rate: customer.rate,
        burst: customer.burst,
        weight: customer.weight,
        max_budget: customer.max_budget.0,
        shares: join_with_commas(
            customer
                .shares
                .iter()
                .map(|(dc, share)| format!("{dc}:{share}")),
        ),
        version: version.0,
    };
    row.into()
}

fn endpoint_row(id: &EndpointId, version: Version, endpoint: &Endpoint) -> Row {
    let state = match endpoint.state {
        EndpointState::Serving => "serving",
        EndpointState::Draining => "leaving",
    };
    let row = EndpointRow {
        endpoint: id.to_string(),
        address: endpoint.address.to_string(),
        data_centre: endpoint.data_centre.to_string(),
        services: join_with_commas(endpoint.services.iter().map(ToString::to_string)),
        concurrency: u64::from(endpoint.concurrency),
        checks_fence: endpoint.checks_fence,
        state: state.to_owned(),
        version: version.0,
    };
    row.into()
}

fn service_row(catalogue: &Catalogue, id: &ServiceId, version: Version, service: &Service) -> Row {
    let kind = match service.kind {
        ServiceKind::Model => "model",
        ServiceKind::Plain => "plain",
    };
    let row = ServiceRow {
        service: id.to_string(),
        kind: kind.to_owned(),
        open: service.open,
        repeatable: service.repeatable,
        interactive: service.interactive,
        deadline_ms: u64::try_from(service.deadline.as_millis()).unwrap_or(u64::MAX),
        cost: service.cost.0,
        endpoints: saturating_u64(service_endpoints(catalogue, id).len()),
        version: version.0,
    };
    row.into()
}

/// Returns the endpoints that are configured for a service.
pub(super) fn service_endpoints(catalogue: &Catalogue, service: &ServiceId) -> Vec<EndpointId> {
    let matching_id = |(_, _, document): (&ObjectId, Version, &Document)| match document {
        Document::Endpoint(id, record) => record
            .value
            .as_ref()
            .is_some_and(|endpoint| endpoint.services.contains(service))
            .then(|| id.clone()),
        _ => None,
    };
    catalogue.documents().filter_map(matching_id).collect()
}

fn key_rows(catalogue: &Catalogue) -> Vec<Row> {
    let unrecorded: Vec<&KeyRef> = catalogue.unrecorded_withdrawals().map(|t| &t.key).collect();
    let mut rows = Vec::new();
    for (_, _, document) in catalogue.documents() {
        let Document::Keys(customer, record) = document else {
            continue;
        };
        let empty = KeySet::default();
        let set = record.value.as_deref().unwrap_or(&empty);
        for name in set.keys.keys() {
            let key = KeyRef {
                customer: customer.clone(),
                key: name.clone(),
            };
            let row = KeyRow {
                customer: customer.to_string(),
                key: name.to_string(),
                withdrawn: catalogue.is_withdrawn(&key),
                recorded: !unrecorded.contains(&&key),
            };
            rows.push(row.into());
        }
    }
    rows
}

fn audit_rows(catalogue: &Catalogue) -> Vec<Row> {
    let mut rows = Vec::new();
    for (id, version, document) in catalogue.documents() {
        let changes = document.changes();
        let later = changes.iter().skip(1).map(|change| change.old);
        let new_versions = later.chain([Some(version)]);
        for (change, new) in changes.iter().zip(new_versions) {
            rows.push(audit_row(id, change, new).into());
        }
    }
    rows.extend(unrecorded_rows(catalogue));
    rows
}

fn audit_row(id: &ObjectId, change: &Change, new: Option<Version>) -> AuditRow {
    AuditRow {
        at_ms: change.at_ms,
        actor: change.actor.clone(),
        kind: id.kind.as_str().to_owned(),
        name: id.name.clone(),
        old: change.old.map(|version| version.0),
        new: new.map(|version| version.0),
        command: change.command.clone(),
    }
}

/// Returns audit rows of withdrawals that are in force and not yet recorded by
/// the platform.
fn unrecorded_rows(catalogue: &Catalogue) -> impl Iterator<Item = Row> {
    let row = |tombstone: &crate::version::catalogue::Tombstone| {
        let stamp = tombstone.stamp.as_ref()?;
        let row = AuditRow {
            at_ms: stamp.at_ms,
            actor: stamp.actor.clone(),
            kind: "keys".to_owned(),
            name: tombstone.key.customer.to_string(),
            old: None,
            new: None,
            command: stamp.command.clone(),
        };
        Some(row.into())
    };
    catalogue.unrecorded_withdrawals().filter_map(row)
}

fn join_with_commas(parts: impl Iterator<Item = String>) -> String {
    parts.collect::<Vec<_>>().join(",")
}

fn saturating_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
