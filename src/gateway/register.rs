//! What this host believes, taken up from the store and from other hosts.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::context::InForce;
use super::directory::Endpoint;
use super::directory::ToldEndpoint;
use super::exchange;
use super::follow::Follower;
use super::roster;
use super::roster::Founders;
use super::roster::HostEntry;
use crate::connection::platform;
use crate::connection::platform::Changes;
use crate::connection::platform::Expect;
use crate::connection::platform::Object;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Version;
use crate::platform::kinds;
use crate::platform::registry;
use crate::platform::routes;
use crate::process::events::unix_ms;
use crate::units::Moment;

/// Pause before this host's entry is written again.
const REGISTER_RETRY: Duration = Duration::from_millis(300);
/// Pause between two probes of a store that does not answer.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Pauses after a change, in which further ones gather: each saves a call to
/// the store. They are small parts of the time in which changes must be in
/// force.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(50);
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(250);
const HOSTS_PAUSE: Duration = Duration::from_millis(700);
/// Time that the first hosts give the one that writes their names.
const FOUNDERS_WAIT: Duration = Duration::from_millis(800);
/// Pause between two looks for hosts that are gone.
const LOOK_PERIOD: Duration = Duration::from_secs(2);
/// Pause between two looks for endpoints whose grace is over.
const EXPIRE_PERIOD: Duration = Duration::from_millis(250);

#[derive(Serialize)]
struct ConfigurationLine<'a> {
    version: u64,
    before: u64,
    from: &'a str,
}

#[derive(Serialize)]
struct EndpointsLine<'a> {
    upto: Version,
    endpoints: usize,
    from: &'a str,
    changed: Vec<String>,
}

#[derive(Serialize)]
struct HostLine<'a> {
    name: &'a str,
}

#[derive(Serialize)]
struct StoreLine<'a> {
    why: &'a str,
}

/// Source of what the store itself told.
const FROM_STORE: &str = "store";

/// Puts a configuration in force unless a newer one is.
pub fn take_configuration<P: Platform>(cx: &Gateway<P>, text: &str, from: &str) {
    let table = match routes::decode(text.as_bytes()) {
        Ok(table) => table,
        Err(e) => {
            log::error!("a configuration from {from} is not used: {e}");
            return;
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
        };
        cx.log.state("configuration-in-force", &line);
    }
}

/// Takes up another host's endpoints if they are as of a later version.
pub fn take_endpoints<P: Platform>(
    cx: &Gateway<P>,
    upto: Version,
    endpoints: Vec<ToldEndpoint>,
    from: &str,
) {
    let count = endpoints.len();
    {
        let mut listed = cx.listed.lock();
        if listed.upto >= Some(upto) {
            return;
        }
        listed.directory.replace_told(endpoints, Moment::now());
        listed.upto = Some(upto);
    }
    cx.refresh_pools();
    log_endpoints(cx, upto, count, from, Vec::new());
}

/// Takes up hosts that another one knows.
pub fn take_hosts<P: Platform>(cx: &Gateway<P>, hosts: Vec<(HostId, HostEntry)>) {
    let now = Moment::now();
    let mut roster = cx.roster.lock();
    for (host, entry) in hosts {
        if host == cx.cfg.place.host {
            // Others have room for this host already.
            roster.share_from(now);
        }
        roster.put(host, entry);
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

fn store_lost<P: Platform>(cx: &Gateway<P>, error: &PlatformError) {
    if cx.contact.set(false) {
        let why = error.to_string();
        cx.log.state("store-lost", &StoreLine { why: &why });
    }
}

fn store_regained<P: Platform>(cx: &Gateway<P>) {
    if cx.contact.set(true) {
        let mut listed = cx.listed.lock();
        let grace = cx.cfg.lapse_grace;
        listed.directory.store_regained(Moment::now(), grace);
        cx.log.state("store-reached", &StoreLine { why: "" });
    }
}

/// Finds out whether the store answers this host, after a call without an
/// answer. A watch that waits would show it only much later.
pub fn doubt_store<P: Platform>(cx: &Cx<P>) {
    if cx.contact.begin_probe() {
        cx.spawner.detach(probe(Arc::clone(cx)));
    }
}

async fn probe<P: Platform>(cx: Cx<P>) {
    loop {
        match cx.store.read(kinds::CONFIGURATION, kinds::CURRENT).await {
            Ok(object) => {
                store_regained(&cx);
                cx.contact.end_probe();
                let follower = ConfigurationFollower(Arc::clone(&cx));
                follower.take(object.as_slice());
                return;
            }
            Err(e) => store_lost(&cx, &e),
        }
        Timer::after(PROBE_PERIOD).await;
    }
}

/// Follows the operators' configuration.
#[derive(Debug)]
pub struct ConfigurationFollower<P>(pub Cx<P>);

impl<P: Platform> ConfigurationFollower<P> {
    fn take(&self, objects: &[Object]) {
        for object in objects.iter().filter(|o| o.name == kinds::CURRENT) {
            match std::str::from_utf8(&object.value) {
                Ok(text) => take_configuration(&self.0, text, FROM_STORE),
                Err(e) => log::error!("the configuration is not text: {e}"),
            }
        }
    }
}

impl<P: Platform> Follower for ConfigurationFollower<P> {
    async fn listed(&self, listed: Changes) {
        self.take(&listed.objects);
    }

    async fn changed(&self, changes: Changes) {
        self.take(&changes.objects);
    }

    fn lost(&self, error: &PlatformError) {
        store_lost(&self.0, error);
    }

    fn regained(&self) {
        store_regained(&self.0);
    }

    fn is_wanted(&self) -> bool {
        self.0.follows_store()
    }

    fn pause(&self) -> Duration {
        CONFIGURATION_PAUSE
    }
}

/// Follows the list of endpoints.
#[derive(Debug)]
pub struct EndpointsFollower<P>(pub Cx<P>);

impl<P: Platform> Follower for EndpointsFollower<P> {
    async fn listed(&self, listed: Changes) {
        let cx = &self.0;
        let endpoints: Vec<Endpoint> = listed.objects.iter().filter_map(decode).collect();
        let count = endpoints.len();
        {
            let mut own = cx.listed.lock();
            if own.upto > Some(listed.upto) {
                return;
            }
            own.directory.replace(endpoints, Moment::now());
            own.upto = Some(listed.upto);
        }
        cx.refresh_pools();
        log_endpoints(cx, listed.upto, count, FROM_STORE, Vec::new());
    }

    async fn changed(&self, changes: Changes) {
        let cx = &self.0;
        let now = Moment::now();
        let mut names = Vec::new();
        let count = {
            let mut own = cx.listed.lock();
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
            own.upto = own.upto.max(Some(changes.upto));
            own.directory.len()
        };
        names.extend(changes.removed);
        cx.refresh_pools();
        log_endpoints(cx, changes.upto, count, FROM_STORE, names);
    }

    fn lost(&self, error: &PlatformError) {
        store_lost(&self.0, error);
    }

    fn regained(&self) {
        store_regained(&self.0);
    }

    fn is_wanted(&self) -> bool {
        self.0.follows_store()
    }

    fn pause(&self) -> Duration {
        ENDPOINTS_PAUSE
    }
}

fn decode(object: &Object) -> Option<Endpoint> {
    let endpoint = registry::decode(&object.name, &object.value);
    if endpoint.is_none() {
        log::debug!("the entry of endpoint {} cannot be used", object.name);
    }
    endpoint
}

/// Follows the hosts' own entries.
#[derive(Debug)]
pub struct HostsFollower<P>(pub Cx<P>);

impl<P: Platform> HostsFollower<P> {
    fn take(&self, objects: &[Object]) {
        let mut roster = self.0.roster.lock();
        for object in objects {
            let entry = platform::decode::<HostEntry>(roster::KIND, object);
            match (object.name.parse::<HostId>(), entry) {
                (Ok(host), Ok(entry)) => roster.put(host, entry),
                _ => log::warn!("the entry of host {} cannot be read", object.name),
            }
        }
    }
}

impl<P: Platform> Follower for HostsFollower<P> {
    async fn listed(&self, listed: Changes) {
        self.take(&listed.objects);
    }

    async fn changed(&self, changes: Changes) {
        self.take(&changes.objects);
        let mut roster = self.0.roster.lock();
        let mut is_own_gone = false;
        for name in &changes.removed {
            if let Ok(host) = name.parse::<HostId>() {
                is_own_gone |= host == self.0.cfg.place.host;
                roster.remove(&host);
            }
        }
        drop(roster);
        if is_own_gone {
            // Others took this host for gone while it was cut off.
            self.0.spawner.detach(enter_again(Arc::clone(&self.0)));
        }
    }

    fn lost(&self, error: &PlatformError) {
        store_lost(&self.0, error);
    }

    fn regained(&self) {
        store_regained(&self.0);
    }

    fn is_wanted(&self) -> bool {
        self.0.follows_store()
    }

    fn pause(&self) -> Duration {
        HOSTS_PAUSE
    }
}

/// Writes this host's entry, again and again until the store has it.
pub async fn enter<P: Platform>(cx: Cx<P>) {
    let mut entry = HostEntry {
        peers: cx.cfg.peers,
        data_centre: cx.cfg.place.data_centre.clone(),
        incarnation: Incarnation(unix_ms()),
        is_founder: cx.cfg.place.first_start,
    };
    while !enter_once(&cx, &mut entry).await {
        Timer::after(REGISTER_RETRY).await;
    }
    if entry.is_founder {
        Timer::after(cx.cfg.join_notice).await;
        let key = super::hash_of(roster::FOUNDERS_NAME);
        if !cx.roster.lock().is_rightful_home(key) {
            Timer::after(FOUNDERS_WAIT).await;
        }
        while !agree_founders(&cx).await {
            Timer::after(REGISTER_RETRY).await;
        }
    }
}

async fn enter_again<P: Platform>(cx: Cx<P>) {
    let mut entry = HostEntry {
        peers: cx.cfg.peers,
        data_centre: cx.cfg.place.data_centre.clone(),
        incarnation: Incarnation(unix_ms()),
        is_founder: false,
    };
    while !enter_once(&cx, &mut entry).await {
        Timer::after(REGISTER_RETRY).await;
    }
}

/// Takes up the hosts of the first start, which the first writer sets.
async fn agree_founders<P: Platform>(cx: &Cx<P>) -> bool {
    let (kind, name) = (roster::FOUNDERS_KIND, roster::FOUNDERS_NAME);
    match platform::read_value::<Founders>(&cx.store, kind, name).await {
        Ok(Some((_, founders))) => {
            cx.log.state("founders-agreed", &founders);
            cx.accounts.set_founders(founders);
            true
        }
        Ok(None) => {
            let founders = cx.roster.lock().founders();
            let written =
                platform::write_value(&cx.store, kind, name, Expect::Absent, &founders).await;
            match written {
                Ok(Written::Done(_)) => {
                    cx.log.state("founders-agreed", &founders);
                    cx.accounts.set_founders(founders);
                    true
                }
                // What another host wrote holds, and is read next.
                Ok(Written::Conflict) => false,
                Err(e) => {
                    log::debug!("the hosts of the first start are not written yet: {e}");
                    false
                }
            }
        }
        Err(_) => false,
    }
}

async fn enter_once<P: Platform>(cx: &Cx<P>, entry: &mut HostEntry) -> bool {
    let name = cx.cfg.place.host.as_str();
    let before = platform::read_value::<HostEntry>(&cx.store, roster::KIND, name).await;
    let Ok(before) = before else {
        return false;
    };
    // A process before this one may have given out allowances.
    entry.is_founder &= before.is_none();
    let entry = &*entry;
    let expect = before
        .as_ref()
        .map_or(Expect::Absent, |(version, _)| Expect::At(*version));
    let written = platform::write_value(&cx.store, roster::KIND, name, expect, entry).await;
    if !matches!(written, Ok(Written::Done(_))) {
        return false;
    }
    let now = Moment::now();
    let is_known = cx.cfg.place.first_start || before.is_some();
    let notice = if is_known {
        Duration::ZERO
    } else {
        cx.cfg.join_notice
    };
    let mut roster = cx.roster.lock();
    roster.put(cx.cfg.place.host.clone(), entry.clone());
    roster.share_from(now + notice);
    drop(roster);
    cx.log.state("host-entered", entry);
    true
}

/// Removes entries of hosts that are gone for good, and asks silent ones
/// whether they are back.
pub async fn look_after_hosts<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(LOOK_PERIOD).await;
        let silent = cx.roster.lock().silent();
        for peer in silent {
            exchange::exchange(&cx, &peer).await;
        }
        let gone = cx.roster.lock().gone(cx.cfg.host_gone_after, Moment::now());
        if cx.contact.is_up() {
            for host in gone {
                remove_host(&cx, &host).await;
            }
        }
    }
}

async fn remove_host<P: Platform>(cx: &Cx<P>, host: &HostId) {
    let name = host.as_str();
    let read = cx.store.read(roster::KIND, name).await;
    let removed = match read {
        Ok(Some(object)) => cx.store.remove(roster::KIND, name, object.version).await,
        Ok(None) => Ok(Written::Conflict),
        Err(e) => Err(e),
    };
    match removed {
        Ok(_) => cx.log.state("host-removed", &HostLine { name }),
        Err(e) => log::debug!("the entry of {name} is removed later: {e}"),
    }
}

/// Drops endpoints whose entries did not come back after an outage.
pub async fn expire_endpoints<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(EXPIRE_PERIOD).await;
        let expired = {
            let mut listed = cx.listed.lock();
            listed.directory.expire(Moment::now())
        };
        if expired {
            cx.refresh_pools();
        }
    }
}
