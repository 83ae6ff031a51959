//! Applies updates of the configuration, endpoints and hosts from the store and
//! from other hosts.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::context::InForce;
use super::directory::Endpoint;
use super::directory::SharedEndpoint;
use super::hosts;
use super::roster;
use super::roster::HostEntry;
use crate::connection::platform;
use crate::connection::platform::Changes;
use crate::connection::platform::Object;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::ids::Version;
use crate::lists::ListKind;
use crate::lists::SentList;
use crate::lists::SharedList;
use crate::lists::archives::Archives;
use crate::lists::evacuations::Evacuations;
use crate::platform::kinds;
use crate::platform::registry;
use crate::platform::routes;
use crate::protection::listed_versions::SharedVersions;
use crate::units::Moment;

/// Delays after a change, so that further changes arrive in one batch and save
/// calls to the store. They are small parts of the time within which changes
/// must be in force.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(50);
const ENDPOINTS_DELAY: Duration = Duration::from_millis(250);
const HOSTS_DELAY: Duration = Duration::from_millis(700);
const LISTS_DELAY: Duration = Duration::from_millis(100);
/// Interval between two checks for endpoints whose grace period has ended.
const EXPIRE_PERIOD: Duration = Duration::from_millis(250);

#[derive(Serialize)]
struct ConfigurationLine<'a> {
    version: u64,
    before: u64,
    from: &'a str,
    /// Time since the version before was last known to be the newest.
    before_age_ms: Option<u128>,
}

#[derive(Serialize)]
struct EndpointsLine<'a> {
    upto: Version,
    endpoints: usize,
    from: &'a str,
    changed: Vec<String>,
}

/// `from` of updates that were read from the store.
const FROM_STORE: &str = "store";

/// Puts a configuration in force unless the present one is as recent. Returns
/// `false` if it cannot be decoded.
pub fn apply_configuration<P: Platform>(cx: &Gateway<P>, text: &str, from: &str) -> bool {
    if *cx.in_force.load().text == *text {
        // Decoding a large configuration takes a small host a while.
        return true;
    }
    let table = match routes::decode(text.as_bytes()) {
        Ok(table) => table,
        Err(e) => {
            log::error!("configuration from {from} rejected: {e}");
            return false;
        }
    };
    let version = table.version;
    let next = Arc::new(InForce {
        table,
        text: text.into(),
    });
    let before = cx.in_force.rcu(|current| {
        if current.table.version < version {
            Arc::clone(&next)
        } else {
            Arc::clone(current)
        }
    });
    if before.table.version < version {
        let line = ConfigurationLine {
            version,
            before: before.table.version,
            from,
            before_age_ms: cx.configuration_age_ms(),
        };
        cx.log.state("configuration-in-force", &line);
    }
    true
}

/// Applies another host's endpoints if they are of a later store version.
/// `versions` are those that it knows of; `None` from a host that does not.
pub fn apply_endpoints<P: Platform>(
    cx: &Gateway<P>,
    upto: Version,
    endpoints: Vec<SharedEndpoint>,
    versions: Option<&SharedVersions>,
    from: &str,
) {
    let count = endpoints.len();
    let now = Moment::now();
    {
        let mut listed = cx.endpoint_list.lock();
        if listed.upto >= Some(upto) {
            return;
        }
        listed.record_versions(now);
        let seen = listed.seen;
        match versions {
            Some(told) => listed.versions.import(told, seen, now),
            None => listed.versions.lose_coverage(),
        }
        listed.directory.import(endpoints, now);
        listed.advance(upto);
        listed.record_versions(now);
    }
    cx.refresh_pools();
    log_endpoints(cx, upto, count, from, Vec::new());
}

/// Applies another host's list of hosts if it is of a later store version.
pub fn apply_hosts<P: Platform>(cx: &Cx<P>, upto: Version, hosts: Vec<(HostId, HostEntry)>) {
    let own = &cx.cfg.place.host;
    let is_listed = hosts.iter().any(|(host, _)| host == own);
    let mut roster = cx.roster.lock();
    let is_own_missing = roster.replace(upto, hosts);
    if is_listed {
        // Other hosts already account for this host's share.
        roster.start_share_at(Moment::now());
    }
    drop(roster);
    register_if_removed(cx, is_own_missing);
}

/// Registers this host again if others removed its entry while it was
/// unreachable.
fn register_if_removed<P: Platform>(cx: &Cx<P>, is_missing: bool) {
    if is_missing {
        cx.spawner.detach(hosts::register_again(Arc::clone(cx)));
    }
}

fn log_endpoints<P: Platform>(
    cx: &Gateway<P>,
    upto: Version,
    endpoints: usize,
    from: &str,
    changed: Vec<String>,
) {
    let line = EndpointsLine {
        upto,
        endpoints,
        from,
        changed,
    };
    cx.log.state("endpoints-changed", &line);
}

/// A kind of objects whose updates are applied to this host's state.
pub trait ObjectKind: Send + Sync + 'static {
    /// Name in the logs.
    const NAME: &'static str;

    /// Delay after a change, so that further changes arrive in one batch.
    const BATCH_DELAY: Duration;

    /// Whether a list is smaller than the changes that a watch has missed.
    const PREFERS_LIST: bool = false;

    /// Whether this host needs the objects at all.
    fn is_wanted<P: Platform>(_cx: &Gateway<P>) -> bool {
        true
    }

    /// Whether this host has a list of the objects.
    fn is_listed<P: Platform>(cx: &Gateway<P>) -> bool;

    /// Replaces the present state by a listing of all objects.
    fn apply_list<P: Platform>(cx: &Cx<P>, listed: Changes);

    /// Applies changes to the present state.
    fn apply_changes<P: Platform>(cx: &Cx<P>, changes: Changes);

    /// Records that the store has no changes beyond the present state up to a
    /// store version.
    fn confirm<P: Platform>(_cx: &Gateway<P>, _upto: Version) {}

    /// Store version up to which the objects are known from other hosts.
    fn known_version<P: Platform>(_cx: &Gateway<P>) -> Option<Version> {
        None
    }
}

/// The operators' configuration, a single object.
#[derive(Debug)]
pub struct OperatorsConfiguration;

impl OperatorsConfiguration {
    /// Applies the configuration if it is among the objects.
    fn apply<P: Platform>(cx: &Cx<P>, changes: &Changes) {
        for object in changes.objects.iter().filter(|o| o.name == kinds::CURRENT) {
            match std::str::from_utf8(&object.value) {
                Ok(text) => {
                    // An invalid one is logged there.
                    let _is_valid = apply_configuration(cx, text, FROM_STORE);
                }
                Err(e) => log::error!("configuration from the store is not valid UTF-8: {e}"),
            }
        }
        Self::confirm(cx, changes.upto);
    }
}

impl ObjectKind for OperatorsConfiguration {
    const NAME: &'static str = "configuration";
    const BATCH_DELAY: Duration = CONFIGURATION_DELAY;
    // Each change is a whole configuration.
    const PREFERS_LIST: bool = true;

    fn is_listed<P: Platform>(cx: &Gateway<P>) -> bool {
        !cx.in_force.load().table.is_unknown()
    }

    fn apply_list<P: Platform>(cx: &Cx<P>, listed: Changes) {
        Self::apply(cx, &listed);
    }

    fn apply_changes<P: Platform>(cx: &Cx<P>, changes: Changes) {
        Self::apply(cx, &changes);
    }

    fn confirm<P: Platform>(cx: &Gateway<P>, _upto: Version) {
        let version = cx.in_force.load().table.version;
        cx.freshness.confirm(version, Moment::now());
    }
}

/// The entries of the endpoints.
#[derive(Debug)]
pub struct ListedEndpoints;

impl ObjectKind for ListedEndpoints {
    const NAME: &'static str = "endpoints";
    const BATCH_DELAY: Duration = ENDPOINTS_DELAY;

    fn is_listed<P: Platform>(cx: &Gateway<P>) -> bool {
        cx.endpoint_list.lock().upto.is_some()
    }

    fn apply_list<P: Platform>(cx: &Cx<P>, listed: Changes) {
        let endpoints: Vec<Endpoint> = listed.objects.iter().filter_map(decode).collect();
        let count = endpoints.len();
        let now = Moment::now();
        {
            let mut own = cx.endpoint_list.lock();
            if own.upto > Some(listed.upto) {
                return;
            }
            own.record_versions(now);
            if own.upto.is_none() && cx.cfg.place.first_start {
                own.versions.begin_new_deployment(listed.upto);
            } else if own.seen < Some(listed.upto) {
                // What came and went since the last update is not known.
                own.versions.begin(listed.upto, now);
            }
            own.directory.replace(endpoints, now);
            own.advance(listed.upto);
            own.record_versions(now);
        }
        cx.refresh_pools();
        log_endpoints(cx, listed.upto, count, FROM_STORE, Vec::new());
    }

    fn apply_changes<P: Platform>(cx: &Cx<P>, changes: Changes) {
        let now = Moment::now();
        let mut names = Vec::new();
        let count = {
            let mut own = cx.endpoint_list.lock();
            if own.upto >= Some(changes.upto) {
                // Another host has already sent these changes.
                return;
            }
            own.record_versions(now);
            for endpoint in changes.superseded.iter().filter_map(decode) {
                own.versions
                    .record(&endpoint.service, &endpoint.version, now);
            }
            for object in &changes.objects {
                names.push(object.name.clone());
                match decode(object) {
                    Some(endpoint) => own.directory.put(endpoint),
                    None => own.directory.remove(&object.name, now),
                }
            }
            for name in &changes.removed {
                own.directory.remove(name, now);
            }
            own.advance(changes.upto);
            own.record_versions(now);
            own.directory.len()
        };
        names.extend(changes.removed);
        cx.refresh_pools();
        log_endpoints(cx, changes.upto, count, FROM_STORE, names);
    }

    fn confirm<P: Platform>(cx: &Gateway<P>, upto: Version) {
        let mut own = cx.endpoint_list.lock();
        own.seen = own.seen.max(Some(upto));
    }

    fn known_version<P: Platform>(cx: &Gateway<P>) -> Option<Version> {
        cx.endpoint_list.lock().seen
    }
}

fn decode(object: &Object) -> Option<Endpoint> {
    let endpoint = registry::decode(&object.name, &object.value);
    let Some(endpoint) = endpoint else {
        log::debug!("ignoring invalid entry of endpoint {}", object.name);
        return None;
    };
    Some(Endpoint {
        written: (endpoint.cold_ms > 0).then_some(object.version),
        ..endpoint
    })
}

/// The entries of the scheduler's hosts.
#[derive(Debug)]
pub struct ListedHosts;

impl ListedHosts {
    fn decode(objects: &[Object]) -> Vec<(HostId, HostEntry)> {
        let mut hosts = Vec::new();
        for object in objects {
            let entry = platform::decode::<HostEntry>(roster::KIND, object);
            match (object.name.parse::<HostId>(), entry) {
                (Ok(host), Ok(entry)) => hosts.push((host, entry)),
                _ => log::warn!("ignoring invalid entry of host {}", object.name),
            }
        }
        hosts
    }
}

impl ObjectKind for ListedHosts {
    const NAME: &'static str = "hosts";
    const BATCH_DELAY: Duration = HOSTS_DELAY;

    fn is_listed<P: Platform>(cx: &Gateway<P>) -> bool {
        cx.roster.lock().version().is_some()
    }

    fn apply_list<P: Platform>(cx: &Cx<P>, listed: Changes) {
        let hosts = Self::decode(&listed.objects);
        let is_own_missing = cx.roster.lock().replace(listed.upto, hosts);
        register_if_removed(cx, is_own_missing);
    }

    fn apply_changes<P: Platform>(cx: &Cx<P>, changes: Changes) {
        let mut roster = cx.roster.lock();
        if roster.version() >= Some(changes.upto) {
            // Another host has already sent these changes.
            return;
        }
        for (host, entry) in Self::decode(&changes.objects) {
            roster.put(host, entry);
        }
        let mut is_own_missing = false;
        for name in &changes.removed {
            if let Ok(host) = name.parse::<HostId>() {
                is_own_missing |= host == cx.cfg.place.host;
                roster.remove(&host);
            }
        }
        roster.advance_version(changes.upto);
        drop(roster);
        register_if_removed(cx, is_own_missing);
    }
}

/// A [`SharedList`] of a gateway.
pub trait GatewayList: ListKind {
    /// Whether the gateway needs the list.
    fn is_wanted<P: Platform>(cx: &Gateway<P>) -> bool;

    /// Returns the gateway's list.
    fn list<P: Platform>(cx: &Gateway<P>) -> &SharedList<Self>
    where
        Self: Sized;

    /// Called after the entries have changed.
    fn on_change<P: Platform>(_cx: &Cx<P>) {}
}

impl GatewayList for Archives {
    fn is_wanted<P: Platform>(cx: &Gateway<P>) -> bool {
        cx.in_force.load().table.keeps_turns()
    }

    fn list<P: Platform>(cx: &Gateway<P>) -> &SharedList<Self> {
        &cx.archives
    }
}

impl GatewayList for Evacuations {
    fn is_wanted<P: Platform>(cx: &Gateway<P>) -> bool {
        cx.cfg.evacuation.is_some()
    }

    fn list<P: Platform>(cx: &Gateway<P>) -> &SharedList<Self> {
        &cx.evacuations
    }

    fn on_change<P: Platform>(cx: &Cx<P>) {
        cx.apply_evacuations();
    }
}

/// The objects of a [`SharedList`].
#[derive(Debug)]
pub struct Listed<K>(PhantomData<fn() -> K>);

impl<K: GatewayList> ObjectKind for Listed<K> {
    const NAME: &'static str = K::NAME;
    const BATCH_DELAY: Duration = LISTS_DELAY;

    fn is_wanted<P: Platform>(cx: &Gateway<P>) -> bool {
        K::is_wanted(cx)
    }

    fn is_listed<P: Platform>(cx: &Gateway<P>) -> bool {
        K::list(cx).upto().is_some()
    }

    fn apply_list<P: Platform>(cx: &Cx<P>, listed: Changes) {
        if K::list(cx).replace(&listed) {
            K::on_change(cx);
        }
    }

    fn apply_changes<P: Platform>(cx: &Cx<P>, changes: Changes) {
        if K::list(cx).apply(&changes) {
            K::on_change(cx);
        }
    }
}

/// Applies another host's list if it is newer.
pub fn apply_list<K: GatewayList, P: Platform>(cx: &Cx<P>, sent: Option<SentList<K::Entry>>) {
    if sent.is_some_and(|sent| K::list(cx).import(sent)) {
        K::on_change(cx);
    }
}

/// Removes endpoints whose entries did not return within the grace period after
/// an outage.
pub async fn expire_endpoints<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(EXPIRE_PERIOD).await;
        let expired = {
            let mut listed = cx.endpoint_list.lock();
            listed.directory.expire(Moment::now())
        };
        if expired {
            cx.refresh_pools();
        }
    }
}
