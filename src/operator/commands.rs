//! Executes commands.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::answer::Accepted;
use super::answer::Answer;
use super::answer::Withdrawn;
use super::config_rows::service_endpoints;
use super::credentials::new_caller_secret;
use super::edit;
use super::edit::Editable;
use super::execute::StatementExecutor;
use super::language::Action;
use super::language::Assignment;
use super::language::Command;
use super::language::Options;
use super::language::Retirable;
use super::language::Target;
use super::language::Wait;
use super::report::Failure;
use super::report::Report;
use super::report::Result;
use super::rows::Cancel;
use super::rows::CancelError;
use super::rows::RowSource;
use crate::connection::caller::RESERVED_SERVICES;
use crate::connection::peer::Peers;
use crate::connection::platform::Nonce;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::ids::CustomerId;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::ids::ProgramId;
use crate::ids::ServiceId;
use crate::ids::Version;
use crate::process::distribution::Hosts;
use crate::process::distribution::InForce;
use crate::process::distribution::proposal::Base;
use crate::process::distribution::proposal::Proposal;
use crate::process::distribution::submit::SubmitOutcome;
use crate::process::distribution::withdraw::Recorded;
use crate::units::Moment;
use crate::version::catalogue::ObjectId;
use crate::version::catalogue::secret_hash;
use crate::version::objects::Change;
use crate::version::objects::Customer;
use crate::version::objects::Endpoint;
use crate::version::objects::EndpointState;
use crate::version::objects::HostSetting;
use crate::version::objects::Key;
use crate::version::objects::KeyRef;
use crate::version::objects::KeySet;
use crate::version::objects::Kind;
use crate::version::objects::Service;
use crate::version::objects::Stamp;

/// Object, options and audit stamp of one command.
struct Request<'a> {
    id: ObjectId,
    options: &'a Options,
    stamp: &'a Stamp,
}

impl<P: Platform, Q: Peers, H: Hosts, B: Cancel + RowSource> StatementExecutor<P, Q, H, B> {
    /// Executes a command.
    pub(super) async fn run_command(&self, command: &Command, stamp: &Stamp) -> Result<Answer> {
        let options = &command.options;
        let request = |id: ObjectId| Request { id, options, stamp };
        let accepted = match &command.action {
            Action::Cancel(program) => return self.cancel(program, stamp).await,
            Action::Withdraw(key) => return self.withdraw(key, options, stamp).await,
            Action::Create(target, fields) => {
                self.create(target, request(target_id(target)), fields)
                    .await
            }
            Action::Change(target, fields) => {
                self.edit(target, request(target_id(target)), fields).await
            }
            Action::Remove(target) => self.remove(target, request(target_id(target))).await,
            Action::Grant(key) => self.grant(key, request(keys_id(&key.customer))).await,
            Action::Retire(target) => {
                self.set_retired(target, request(retirable_id(target)), true)
                    .await
            }
            Action::Restore(target) => {
                self.set_retired(target, request(retirable_id(target)), false)
                    .await
            }
        };
        accepted.map(Answer::Accepted)
    }

    async fn create(
        &self,
        target: &Target,
        request: Request<'_>,
        fields: &[Assignment],
    ) -> Result<Accepted> {
        check_not_reserved(target)?;
        match target {
            Target::Customer(_) => self.create_object::<Customer>(request, fields).await,
            Target::Service(_) => self.create_object::<Service>(request, fields).await,
            Target::Endpoint(_) => {
                self.check_services_exist(fields)?;
                self.create_object::<Endpoint>(request, fields).await
            }
        }
    }

    async fn create_object<T>(
        &self,
        request: Request<'_>,
        fields: &[Assignment],
    ) -> Result<Accepted>
    where
        T: DeserializeOwned + Editable + Serialize,
    {
        let value = edit::create::<T>(fields)?;
        self.write(request, |id, current: Option<T>| match current {
            Some(_) => Err(exists_report(id)),
            None => Ok(Some(value)),
        })
        .await
    }

    async fn edit(
        &self,
        target: &Target,
        request: Request<'_>,
        fields: &[Assignment],
    ) -> Result<Accepted> {
        match target {
            Target::Customer(_) => self.edit_object::<Customer>(request, fields).await,
            Target::Service(_) => self.edit_object::<Service>(request, fields).await,
            Target::Endpoint(_) => {
                self.check_services_exist(fields)?;
                self.edit_object::<Endpoint>(request, fields).await
            }
        }
    }

    async fn edit_object<T>(&self, request: Request<'_>, fields: &[Assignment]) -> Result<Accepted>
    where
        T: DeserializeOwned + Editable + Serialize,
    {
        self.write(request, |id, current: Option<T>| {
            let current = current.ok_or_else(|| not_found_report(id))?;
            edit::change(current, fields).map(Some)
        })
        .await
    }

    async fn remove(&self, target: &Target, request: Request<'_>) -> Result<Accepted> {
        match target {
            Target::Customer(customer) => {
                self.check_no_active_keys(customer).await?;
                self.remove_object::<Customer>(request).await
            }
            Target::Service(service) => {
                self.check_no_endpoints(service)?;
                self.remove_object::<Service>(request).await
            }
            Target::Endpoint(_) => self.remove_object::<Endpoint>(request).await,
        }
    }

    async fn remove_object<T>(&self, request: Request<'_>) -> Result<Accepted>
    where
        T: Clone + DeserializeOwned + Serialize,
    {
        self.write(request, |id, current: Option<T>| match current {
            Some(_) => Ok(None),
            None => Err(not_found_report(id)),
        })
        .await
    }

    async fn set_retired(
        &self,
        target: &Retirable,
        request: Request<'_>,
        retired: bool,
    ) -> Result<Accepted> {
        match target {
            Retirable::Endpoint(_) => self.set_endpoint_retired(request, retired).await,
            Retirable::Host(host) => self.set_host_retired(host, request, retired).await,
        }
    }

    async fn set_endpoint_retired(&self, request: Request<'_>, retired: bool) -> Result<Accepted> {
        self.write(request, |id, current: Option<Endpoint>| {
            let mut endpoint = current.ok_or_else(|| not_found_report(id))?;
            endpoint.state = match retired {
                true => EndpointState::Draining,
                false => EndpointState::Serving,
            };
            Ok(Some(endpoint))
        })
        .await
    }

    async fn set_host_retired(
        &self,
        host: &HostId,
        request: Request<'_>,
        retired: bool,
    ) -> Result<Accepted> {
        let live = self.is_live(host);
        self.write(request, |id, current: Option<HostSetting>| {
            if current.is_none() && !live {
                return Err(not_found_report(id));
            }
            Ok(Some(HostSetting { retired }))
        })
        .await
    }

    async fn grant(&self, key: &KeyRef, request: Request<'_>) -> Result<Accepted> {
        let customer = ObjectId::new(Kind::Customer, key.customer.as_str());
        let base = self.read::<Customer>(&customer).await?;
        if base.record.value.is_none() {
            return Err(not_found_report(&customer));
        }
        let configuration = self.distribution.configuration();
        if configuration.is_withdrawn(key) {
            return Err(key_exists_report(key));
        }
        let secret = new_caller_secret();
        let hash = secret_hash(secret.0.as_bytes());
        let granted = self.write(request, |_, current: Option<KeySet>| {
            let mut set = current.unwrap_or_default();
            let withdrawn = false;
            match set.keys.insert(key.key.clone(), Key { hash, withdrawn }) {
                Some(_) => Err(key_exists_report(key)),
                None => Ok(Some(set)),
            }
        });
        Ok(Accepted {
            secret: Some(secret),
            ..granted.await?
        })
    }

    async fn withdraw(&self, key: &KeyRef, options: &Options, stamp: &Stamp) -> Result<Answer> {
        self.check_key_exists(key).await?;
        let withdrawal = self.distribution.withdraw(key, stamp.clone()).await;
        let in_force = match withdrawal.recorded {
            Recorded::At(version) => {
                let id = keys_id(&key.customer);
                self.wait_in_force(options, &id, version).await
            }
            Recorded::NotYet(_) => None,
        };
        Ok(Answer::Withdrawn(Withdrawn {
            key: key.clone(),
            withdrawal,
            in_force,
        }))
    }

    async fn cancel(&self, program: &ProgramId, stamp: &Stamp) -> Result<Answer> {
        let result = self.backend.cancel(program, stamp.clone()).await;
        let cancel_report = |e: CancelError| {
            let failure = match e {
                CancelError::NotRun(_) => Failure::NotRun,
                CancelError::Unknown(_) => Failure::Unknown,
                CancelError::UnknownProgram => Failure::NotFound,
            };
            Report::new(failure, e.to_string())
        };
        result
            .map(|()| Answer::Cancelled(program.clone()))
            .map_err(cancel_report)
    }

    /// Reads, edits and writes one object. The write is conditional on the
    /// version that was read.
    async fn write<T>(
        &self,
        request: Request<'_>,
        edit: impl FnOnce(&ObjectId, Option<T>) -> Result<Option<T>>,
    ) -> Result<Accepted>
    where
        T: Clone + DeserializeOwned + Serialize,
    {
        let Request { id, options, stamp } = request;
        let base = self.read::<T>(&id).await?;
        check_version(&id, &base, options)?;
        let value = edit(&id, base.record.value.clone())?;
        let proposal = Proposal::new(id, base, value, stamp, Nonce::random());
        let version = accepted_version(&proposal, self.distribution.commit(&proposal).await)?;
        let in_force = self.wait_in_force(options, &proposal.id, version).await;
        Ok(Accepted {
            object: proposal.id,
            version,
            secret: None,
            in_force,
        })
    }

    async fn read<T: DeserializeOwned>(&self, id: &ObjectId) -> Result<Base<T>> {
        self.distribution
            .read_base(id)
            .await
            .map_err(|e| not_run_report(&e))
    }

    async fn wait_in_force(
        &self,
        options: &Options,
        id: &ObjectId,
        version: Version,
    ) -> Option<InForce> {
        let timeout: Duration = match options.wait? {
            Wait::Default => self.cfg.wait,
            Wait::For(timeout) => timeout,
        };
        let deadline = Moment::now() + timeout;
        let in_force = self.distribution.wait_in_force(id, version, deadline);
        Some(in_force.await)
    }

    fn is_live(&self, host: &HostId) -> bool {
        let hosts = self.distribution.hosts();
        hosts.own_address().id == *host || hosts.live_peers().iter().any(|other| other.id == *host)
    }

    /// Checks that the key is in this host's configuration or on the platform.
    async fn check_key_exists(&self, key: &KeyRef) -> Result<()> {
        let id = keys_id(&key.customer);
        let configuration = self.distribution.configuration();
        if configuration.is_withdrawn(key) || configuration.snapshot().has_key(key) {
            return Ok(());
        }
        let base = self.read::<KeySet>(&id).await?;
        let keys = base.record.value.unwrap_or_default().keys;
        if keys.contains_key(&key.key) {
            return Ok(());
        }
        let message = format!("customer `{}` has no key `{}`", key.customer, key.key);
        Err(Report::new(Failure::NotFound, message))
    }

    async fn check_no_active_keys(&self, customer: &CustomerId) -> Result<()> {
        let base = self.read::<KeySet>(&keys_id(customer)).await?;
        let keys = base.record.value.unwrap_or_default().keys;
        let active: Vec<&str> = keys
            .iter()
            .filter(|(_, key)| !key.withdrawn)
            .map(|(name, _)| name.as_str())
            .collect();
        if active.is_empty() {
            return Ok(());
        }
        let message = format!("customer `{customer}` has keys that are not withdrawn");
        let help = format!("withdraw first: {}", active.join(", "));
        Err(Report::new(Failure::Invalid, message).with_help(help))
    }

    fn check_no_endpoints(&self, service: &ServiceId) -> Result<()> {
        let configuration = self.distribution.configuration();
        let endpoints = configuration.read(|catalogue| service_endpoints(catalogue, service));
        if endpoints.is_empty() {
            return Ok(());
        }
        let names: Vec<&str> = endpoints.iter().map(EndpointId::as_str).collect();
        let message = format!("service `{service}` has endpoints");
        let help = format!("remove or change first: {}", names.join(", "));
        Err(Report::new(Failure::Invalid, message).with_help(help))
    }

    /// Checks that every service in a `services` field exists; the report points
    /// at the value.
    fn check_services_exist(&self, fields: &[Assignment]) -> Result<()> {
        let snapshot = self.distribution.configuration().snapshot();
        let lists = fields
            .iter()
            .filter(|field| field.field.value == "services");
        for list in lists {
            for name in list.value.value.split(',').filter(|name| !name.is_empty()) {
                let exists = name
                    .parse()
                    .is_ok_and(|id: ServiceId| snapshot.service(&id).is_some());
                if !exists {
                    let message = format!("there is no service `{name}`");
                    let expected = "expected names of services, separated by commas";
                    return Err(Report::invalid(list.value.span, message, expected));
                }
            }
        }
        Ok(())
    }
}

fn target_id(target: &Target) -> ObjectId {
    match target {
        Target::Customer(id) => ObjectId::new(Kind::Customer, id.as_str()),
        Target::Endpoint(id) => ObjectId::new(Kind::Endpoint, id.as_str()),
        Target::Service(id) => ObjectId::new(Kind::Service, id.as_str()),
    }
}

fn retirable_id(target: &Retirable) -> ObjectId {
    match target {
        Retirable::Endpoint(id) => ObjectId::new(Kind::Endpoint, id.as_str()),
        Retirable::Host(id) => ObjectId::new(Kind::Host, id.as_str()),
    }
}

fn keys_id(customer: &CustomerId) -> ObjectId {
    ObjectId::new(Kind::Keys, customer.as_str())
}

fn check_version<T>(id: &ObjectId, base: &Base<T>, options: &Options) -> Result<()> {
    if options.version.is_none() || options.version == base.version {
        return Ok(());
    }
    let found = base.version.map_or_else(
        || "absent".to_owned(),
        |version| format!("at version {version}"),
    );
    let message = format!("{} `{}` is {found}", id.kind.as_str(), id.name);
    Err(conflict_report(
        message,
        base.record.changes.last().cloned(),
    ))
}

fn accepted_version(proposal: &Proposal, submitted: SubmitOutcome) -> Result<Version> {
    let id = &proposal.id;
    let (kind, name) = (id.kind.as_str(), &id.name);
    match submitted {
        SubmitOutcome::Accepted(item) => Ok(item.version),
        SubmitOutcome::Conflict(other) => {
            let message = format!("{kind} `{name}` was changed by another operator first");
            Err(conflict_report(message, other))
        }
        SubmitOutcome::NotRun(e) => Err(not_run_report(&e)),
        SubmitOutcome::Unknown => {
            let message = format!("it is unknown whether the change of {kind} `{name}` was made");
            let help = format!("look for it with: show audit where name = {name}");
            Err(Report::new(Failure::Unknown, message).with_help(help))
        }
    }
}

fn conflict_report(message: String, other: Option<Change>) -> Report {
    let report = Report::new(Failure::Conflict, message);
    let Some(last_change) = other else {
        return report;
    };
    let help = format!(
        "{} made the last change at {}: {}",
        last_change.actor, last_change.at_ms, last_change.command
    );
    Report {
        other: Some(Box::new(last_change)),
        ..report.with_help(help)
    }
}

fn not_run_report(e: &PlatformError) -> Report {
    let message = format!("the command has not run: {e}");
    Report::new(Failure::NotRun, message)
}

fn exists_report(id: &ObjectId) -> Report {
    let message = format!("{} `{}` exists already", id.kind.as_str(), id.name);
    Report::new(Failure::Exists, message)
}

fn not_found_report(id: &ObjectId) -> Report {
    let message = format!("there is no {} `{}`", id.kind.as_str(), id.name);
    Report::new(Failure::NotFound, message)
}

fn key_exists_report(key: &KeyRef) -> Report {
    let message = format!("customer `{}` has had a key `{}`", key.customer, key.key);
    let help = "a key's name is never used again, also after its withdrawal";
    Report::new(Failure::Exists, message).with_help(help)
}

/// Rejects names that are reserved for the scheduler.
fn check_not_reserved(target: &Target) -> Result<()> {
    let (name, is_reserved) = match target {
        Target::Customer(id) => (id.as_str(), id == CustomerId::open()),
        Target::Service(id) => (id.as_str(), RESERVED_SERVICES.contains(&id.as_str())),
        Target::Endpoint(_) => return Ok(()),
    };
    if !is_reserved {
        return Ok(());
    }
    let message = format!("the name `{name}` is used by the scheduler itself");
    Err(Report::new(Failure::Invalid, message))
}
