//! Gossip between hosts (configuration, endpoints, hosts and spent budgets),
//! and the methods that hosts call on each other.
//!
//! A host that does not follow the store, or cannot reach it, gets updates from
//! other hosts: it sends its versions and receives what is newer at the other
//! host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::serde_as;

use super::contact;
use super::context::Cx;
use super::context::Gateway;
use super::directory::SharedEndpoint;
use super::draw_messages::DrawRequest;
use super::draw_messages::HandOverRequest;
use super::draw_messages::PutBackRequest;
use super::home_balance;
use super::isolation;
use super::isolation::CollectRequest;
use super::lines;
use super::lines::LineReport;
use super::origins;
use super::origins::StreamBegun;
use super::rate;
use super::rate::BorrowRequest;
use super::roster::HostEntry;
use super::roster::Peer;
use super::transfers;
use super::updates;
use crate::balance::shared::SharedReport;
use crate::connection::peer::PeerError;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::ids::Version;
use crate::lists::SentList;
use crate::lists::archives::ArchiveEntry;
use crate::lists::archives::Archives;
use crate::lists::evacuations::Evacuation;
use crate::lists::evacuations::Evacuations;
use crate::protection::announced_limit::SharedLimit;
use crate::protection::listed_versions::SharedVersions;
use crate::protection::suspects::Crash;
use crate::units::Moment;
use crate::utils::readable_parts::ReadableParts;

/// Exchanges versions and newer state between two hosts.
pub const EXCHANGE_METHOD: &str = "gateway.exchange";
/// Draws tokens from a program's balance.
pub const DRAW_METHOD: &str = "gateway.draw";
/// Returns unspent tokens to a program's balance.
pub const PUT_BACK_METHOD: &str = "gateway.put_back";
/// Collects a host's part of a program's allowance.
pub const COLLECT_METHOD: &str = "gateway.collect_allowance";
/// Draws tokens of the parts that only the asked host may issue. Hosts of earlier
/// releases do not know the method: each data centre of theirs issues a turn.
pub const EXTRA_TURN_METHOD: &str = "gateway.extra_turn";
/// Name that hosts of earlier releases use for it.
const DRAW_ISOLATED_METHOD: &str = "gateway.draw_isolated";
/// Hands balances over to the host that is their home now.
pub const HAND_OVER_METHOD: &str = "gateway.hand_over";
/// Reports where a session of a program runs.
pub const LINE_METHOD: &str = "gateway.line";
/// Reports the versions that began streams.
pub const STREAMS_BEGUN_METHOD: &str = "gateway.streams_begun";
/// Asks for the version that began a stream.
pub const ORIGIN_METHOD: &str = "gateway.origin";
/// Borrows rate tokens.
pub const BORROW_METHOD: &str = "gateway.borrow";

/// Number of hosts contacted in each round while the store is unreachable or no
/// configuration is in force.
const URGENT_FANOUT: usize = 3;
/// Fraction of a follower's exchanges that go to any host instead of a scout.
const ANY_HOST_SHARE: f64 = 0.25;
/// Time for which a host that says that it is cut off is not asked to forward
/// calls.
const CUT_OFF_TTL: Duration = Duration::from_secs(2);
/// Interval between two checks for rate buckets that run low.
const REPLENISH_PERIOD: Duration = Duration::from_millis(200);

/// Versions of the state that a host has. Parts of a list that cannot be read
/// are skipped, here and in the reply.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostVersions {
    /// Host that the versions belong to.
    pub host: HostId,
    /// Version of its configuration.
    pub configuration: u64,
    /// Time in milliseconds since that version was known to be the newest;
    /// `None` if it never was.
    #[serde(default)]
    pub configuration_age_ms: Option<u64>,
    /// Store version of its endpoints; `None` if it has none.
    pub endpoints: Option<Version>,
    /// Store version up to which these endpoints have not changed.
    #[serde(default)]
    pub endpoints_seen: Option<Version>,
    /// Whether it may have missed versions of endpoints.
    #[serde(default)]
    pub needs_versions: bool,
    /// Store version of its list of hosts; `None` if it has none.
    pub hosts: Option<Version>,
    /// Whether it fetches a newer configuration by itself. Hosts of earlier
    /// releases expect it in the reply to an exchange.
    #[serde(default)]
    pub fetches_configuration: bool,
    /// Whether it is a scout and the store is reachable from it.
    pub is_current: bool,
    /// Hashes of programs whose budget it recently found spent.
    pub spent: Vec<u64>,
    /// Limits that endpoints have recently announced.
    #[serde(default)]
    #[serde_as(as = "ReadableParts")]
    pub limits: Vec<SharedLimit>,
    /// Endpoints that have ended under requests.
    #[serde(default)]
    #[serde_as(as = "ReadableParts")]
    pub crashes: Vec<Crash>,
    /// Services that it is cut off from.
    #[serde(default)]
    pub cut_off: Vec<Arc<str>>,
    /// Whether its data centre is isolated and has refused turns for lack of
    /// tokens.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_refused_tokens: bool,
    /// Whether it can store turns; `None` if no route keeps any, or from hosts of
    /// earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub can_store_turns: Option<bool>,
    /// Store version of its list of archive hosts; `None` if it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub archives: Option<Version>,
    /// Store version of its list of evacuations; `None` if it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Version>,
    /// Latest reports of engines, for a host of the same data centre; empty if load
    /// is not balanced.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde_as(as = "ReadableParts")]
    pub reports: Vec<SharedReport>,
}

/// Reply to an exchange: the state that is newer at the replying host.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExchangeReply {
    /// Versions at the replying host.
    pub known: HostVersions,
    /// The operators' configuration, for a host that does not fetch it; `None` if
    /// it is not newer.
    pub configuration: Option<Arc<str>>,
    /// Endpoints; `None` if they are not newer.
    #[serde(default)]
    #[serde_as(as = "Option<ReadableParts>")]
    pub endpoints: Option<Vec<SharedEndpoint>>,
    /// Versions that endpoints were listed with, beside endpoints or for a host
    /// that needs them.
    #[serde(default)]
    pub versions: Option<SharedVersions>,
    /// Hosts; `None` if they are not newer.
    #[serde(default)]
    #[serde_as(as = "Option<ReadableParts>")]
    pub hosts: Option<Vec<(HostId, HostEntry)>>,
    /// Archive hosts; `None` if they are not newer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub archives: Option<SentList<ArchiveEntry>>,
    /// Evacuations; `None` if they are not newer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<SentList<Evacuation>>,
}

#[derive(Serialize)]
struct FailedExchangeLine<'a> {
    to: SocketAddr,
    configuration: u64,
    configuration_age_ms: Option<u128>,
    why: &'a str,
}

#[derive(Serialize)]
struct ToldLimitLine<'a> {
    endpoint: &'a str,
    service: &'a str,
    per_s: f64,
    age_ms: u64,
    from: &'a str,
}

/// Creates the module of methods that other hosts call.
///
/// # Panics
///
/// If a method name is registered twice, which the constants rule out.
pub fn rpc_module<P: Platform>(cx: &Cx<P>) -> RpcModule<Cx<P>> {
    let mut module = RpcModule::new(Arc::clone(cx));
    register_methods(&mut module).expect("method names are distinct");
    module
}

fn register_methods<P: Platform>(module: &mut RpcModule<Cx<P>>) -> Result<(), RegisterMethodError> {
    module.register_method(EXCHANGE_METHOD, |params, cx, _| {
        let known: HostVersions = params.one()?;
        Ok::<_, ErrorObjectOwned>(exchange_reply(cx, &known))
    })?;
    module.register_async_method(DRAW_METHOD, |params, cx, _| async move {
        let req: DrawRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(home_balance::draw_here(&cx, &req).await)
    })?;
    module.register_method(COLLECT_METHOD, |params, cx, _| {
        let req: CollectRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(isolation::give_allowance(cx, &req))
    })?;
    for method in [EXTRA_TURN_METHOD, DRAW_ISOLATED_METHOD] {
        module.register_method(method, |params, cx, _| {
            let req: DrawRequest = params.one()?;
            Ok::<_, ErrorObjectOwned>(isolation::draw_here(cx, &req))
        })?;
    }
    module.register_method(PUT_BACK_METHOD, |params, cx, _| {
        let req: PutBackRequest = params.one()?;
        home_balance::return_to_balance(cx, &req);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(LINE_METHOD, |params, cx, _| {
        let report: LineReport = params.one()?;
        lines::receive_report(cx, &report);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(HAND_OVER_METHOD, |params, cx, _| {
        let req: HandOverRequest = params.one()?;
        home_balance::receive_balances(cx, req);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(STREAMS_BEGUN_METHOD, |params, cx, _| {
        let begun: Vec<StreamBegun> = params.one()?;
        origins::receive_report(cx, begun);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(ORIGIN_METHOD, |params, cx, _| {
        let stream: u64 = params.one()?;
        Ok::<_, ErrorObjectOwned>(cx.origins.get(stream))
    })?;
    module.register_method(BORROW_METHOD, |params, cx, _| {
        let req: BorrowRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(rate::lend(cx, &req))
    })?;
    Ok(())
}

/// Returns what a message to another host says.
fn host_versions<P: Platform>(cx: &Gateway<P>) -> HostVersions {
    let hosts = cx.roster.lock().version();
    let (endpoints, endpoints_seen, needs_versions) = {
        let listed = cx.endpoint_list.lock();
        let is_complete = listed.versions.is_complete(Moment::now());
        (listed.upto, listed.seen, !is_complete)
    };
    HostVersions {
        host: cx.cfg.place.host.clone(),
        configuration: cx.in_force.load().table.version,
        configuration_age_ms: cx
            .configuration_age_ms()
            .map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        endpoints,
        endpoints_seen,
        needs_versions,
        hosts,
        fetches_configuration: true,
        is_current: cx.store_contact.is_up() && cx.is_scout(),
        spent: cx.spent.recent(Moment::now()),
        limits: cx.pools.limits(Moment::now()),
        crashes: cx.suspects.lock().to_tell(Moment::now()),
        cut_off: cx.pools.cut_off_services(),
        has_refused_tokens: cx.is_isolated() && cx.readiness.has_refused_tokens(),
        can_store_turns: cx.can_store_turns(),
        archives: cx.archives.upto(),
        evacuations: cx.evacuations.upto(),
        reports: Vec::new(),
    }
}

/// Returns the engines' reports for a message to a host, which has `told` some
/// itself.
fn reports_for<P>(cx: &Gateway<P>, to: &HostId, told: &[SharedReport]) -> Vec<SharedReport> {
    let Some(balance) = &cx.cfg.balance else {
        return Vec::new();
    };
    if !cx.roster.lock().is_in(to, &cx.cfg.place.data_centre) {
        return Vec::new();
    }
    let now = Moment::now();
    let reports = cx
        .pools
        .reports_to_send(told, balance.report_bytes_per_s, now);
    cx.metrics.reports_sent.inc_by(count_of(reports.len()));
    reports
}

/// Records the engines' reports that another host of the data centre sends.
fn learn_reports<P>(cx: &Gateway<P>, remote: &HostVersions, now: Moment) {
    if cx.cfg.balance.is_none() || remote.reports.is_empty() {
        return;
    }
    if cx
        .roster
        .lock()
        .is_in(&remote.host, &cx.cfg.place.data_centre)
    {
        let later = cx.pools.learn_reports(&remote.reports, now);
        cx.metrics.reports_learnt.inc_by(count_of(later));
    }
}

fn count_of(reports: usize) -> u64 {
    u64::try_from(reports).unwrap_or(u64::MAX)
}

/// Records what any message of another host tells beside versions.
fn learn<P: Platform>(cx: &Gateway<P>, remote: &HostVersions) {
    let now = Moment::now();
    cx.spent.merge(&remote.spent, now);
    // An isolated host hears only from hosts of its own data centre.
    if remote.has_refused_tokens && cx.is_isolated() {
        cx.readiness.record_token_refusal();
    }
    let can_store = remote.can_store_turns.unwrap_or_default();
    cx.readiness.record_storage_report(can_store, now);
    for crash in &remote.crashes {
        cx.suspects.lock().record(crash, now);
    }
    learn_paths(cx, remote, now);
    learn_reports(cx, remote, now);
    for limit in cx.pools.learn_limits(&remote.limits, now) {
        cx.metrics.limit_changes.inc();
        let line = ToldLimitLine {
            endpoint: &limit.endpoint,
            service: &limit.service,
            per_s: limit.per_s,
            age_ms: limit.age_ms,
            from: remote.host.as_str(),
        };
        cx.log.request("endpoint-limit-told", &line);
    }
}

/// Records which services another host can forward calls to.
fn learn_paths<P>(cx: &Gateway<P>, remote: &HostVersions, now: Moment) {
    let mut helpers = cx.helpers.lock();
    helpers.allow(&remote.host);
    for service in &remote.cut_off {
        helpers.avoid(&remote.host, service, now + CUT_OFF_TTL, now);
    }
}

fn exchange_reply<P: Platform>(cx: &Cx<P>, remote: &HostVersions) -> ExchangeReply {
    cx.record_message(&remote.host);
    let caller = cx.roster.lock().peer(&remote.host);
    if let Some(caller) = caller {
        transfers::learn(cx, remote.configuration, caller);
    }
    learn(cx, remote);
    let own = HostVersions {
        reports: reports_for(cx, &remote.host, &remote.reports),
        ..host_versions(cx)
    };
    let in_force = cx.in_force.load();
    let is_newer = in_force.table.version > remote.configuration;
    let is_expected = is_newer && !remote.fetches_configuration;
    let now = Moment::now();
    let endpoints = (own.endpoints > remote.endpoints).then(|| {
        let listed = cx.endpoint_list.lock();
        listed.directory.export(now)
    });
    let versions = (endpoints.is_some() || remote.needs_versions).then(|| {
        let mut listed = cx.endpoint_list.lock();
        listed.record_versions(now);
        listed.versions.export(listed.seen?, now)
    });
    let hosts = (own.hosts > remote.hosts).then(|| cx.roster.lock().entries());
    ExchangeReply {
        configuration: is_expected.then(|| Arc::clone(&in_force.text)),
        endpoints,
        versions: versions.flatten(),
        hosts,
        archives: cx.archives.export(remote.archives),
        evacuations: cx.evacuations.export(remote.evacuations),
        known: own,
    }
}

/// Runs exchanges with other hosts until the process ends.
pub async fn run<P: Platform>(cx: Cx<P>) {
    while cx.is_before_first_list() {
        // No other host has anything to tell yet.
        Timer::after(cx.cfg.urgent_exchange_period).await;
    }
    loop {
        let is_urgent = !cx.store_contact.is_up() || cx.in_force.load().table.is_unknown();
        let (fanout, pause) = if is_urgent {
            (URGENT_FANOUT, cx.cfg.urgent_exchange_period)
        } else if cx.is_scout() {
            (1, cx.cfg.exchange_period)
        } else {
            exchange_as_follower(&cx);
            (0, cx.cfg.follow_period)
        };
        for to in choose_targets(&cx, fanout) {
            let cx = Arc::clone(&cx);
            let spawner = cx.spawner.clone();
            spawner.detach(async move {
                match to {
                    Target::Host(peer) => exchange_with_host(&cx, &peer).await,
                    Target::Seed(address) => exchange_at(&cx, address, None).await.map_or((), drop),
                }
            });
        }
        let jitter = rand::random_range(0.7..=1.3);
        Timer::after(pause.mul_f64(jitter)).await;
    }
}

/// Exchanges with a scout and, now and then, with any other host, so that
/// updates of hosts and spent budgets pass between data centres.
fn exchange_as_follower<P: Platform>(cx: &Cx<P>) {
    let now = Moment::now();
    let scouts = cx.scouts(now);
    if cx.needs_probe() {
        contact::check_store(cx);
    }
    // A scout that reaches the store is kept, since others may be out of touch.
    let source = cx.scout_reports.source();
    let kept = scouts
        .iter()
        .find(|peer| source.as_ref() == Some(&peer.host));
    let scout = kept.or_else(|| scouts.choose(&mut rand::rng())).cloned();
    let any = || {
        let others = cx.roster.lock().other_hosts(now);
        others.into_iter().next()
    };
    let is_any_host = rand::random_bool(ANY_HOST_SHARE);
    let Some(peer) = (if is_any_host { any() } else { scout }) else {
        return;
    };
    let context = Arc::clone(cx);
    cx.spawner
        .detach(async move { exchange_with_host(&context, &peer).await });
}

/// Borrows tokens for buckets that run low until the process ends.
pub async fn replenish_rates<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(REPLENISH_PERIOD).await;
        rate::replenish_low(&cx).await;
    }
}

/// Peer of an exchange.
enum Target {
    /// A listed host.
    Host(Peer),
    /// An address from the settings, while no other host is listed.
    Seed(SocketAddr),
}

fn choose_targets<P>(cx: &Gateway<P>, fanout: usize) -> Vec<Target> {
    let mut others = cx.roster.lock().other_hosts(Moment::now());
    if others.is_empty() {
        let seeds = cx.cfg.seeds.iter().filter(|seed| **seed != cx.cfg.peers);
        return seeds.copied().take(fanout).map(Target::Seed).collect();
    }
    others.truncate(fanout);
    others.into_iter().map(Target::Host).collect()
}

/// Calls another host with the short time limit of a request that waits for the
/// reply. A host that does not reply in time is not used for a while.
pub async fn call_peer<P, Q, R>(
    cx: &Gateway<P>,
    peer: &Peer,
    method: &'static str,
    req: &Q,
) -> Option<R>
where
    P: Platform,
    Q: Serialize + Sync,
    R: DeserializeOwned + Send,
{
    call_peer_within(cx, peer, method, req, cx.cfg.borrow_timeout).await
}

/// Like [`call_peer`], with a time limit of its own.
pub async fn call_peer_within<P, Q, R>(
    cx: &Gateway<P>,
    peer: &Peer,
    method: &'static str,
    req: &Q,
    limit: Duration,
) -> Option<R>
where
    P: Platform,
    Q: Serialize + Sync,
    R: DeserializeOwned + Send,
{
    let call = cx.peers.call::<_, R>(peer.address, method, req);
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    let reply = future::or(async { call.await.ok() }, timeout).await;
    match reply {
        Some(_) => cx.record_message(&peer.host),
        None => cx.roster.lock().mark_suspect(&peer.host, Moment::now()),
    }
    reply
}

/// Exchanges with a listed host. A host that does not reply is not used for a
/// while.
pub async fn exchange_with_host<P: Platform>(cx: &Cx<P>, peer: &Peer) {
    let to = Some(&peer.host);
    if exchange_at(cx, peer.address, to).await.is_none() {
        cx.scout_reports.record_failure(&peer.host);
        cx.roster.lock().mark_suspect(&peer.host, Moment::now());
    }
}

async fn exchange_at<P: Platform>(cx: &Cx<P>, to: SocketAddr, host: Option<&HostId>) -> Option<()> {
    let own = HostVersions {
        reports: host.map_or_else(Vec::new, |host| reports_for(cx, host, &[])),
        ..host_versions(cx)
    };
    let call = cx.peers.call::<_, ExchangeReply>(to, EXCHANGE_METHOD, &own);
    let reply = match call.await {
        Ok(reply) => reply,
        Err(e) => {
            // A later round tries again.
            log_failed_exchange(cx, to, &e);
            return None;
        }
    };
    cx.record_message(&reply.known.host);
    let from = &reply.known.host;
    if reply.known.is_current {
        cx.scout_reports.record_report(from, Moment::now());
    } else {
        cx.scout_reports.record_failure(from);
    }
    learn(cx, &reply.known);
    if let Some(text) = &reply.configuration {
        // An invalid one is logged there.
        let _is_valid = updates::apply_configuration(cx, text, reply.known.host.as_str());
    }
    let source = Peer {
        host: reply.known.host.clone(),
        address: to,
    };
    transfers::learn(cx, reply.known.configuration, source);
    adopt_confirmation(cx, &reply.known);
    let versions = reply.versions.as_ref();
    if let (Some(upto), Some(endpoints)) = (reply.known.endpoints, reply.endpoints) {
        updates::apply_endpoints(cx, upto, endpoints, versions, reply.known.host.as_str());
    } else if let Some(told) = versions {
        let mut listed = cx.endpoint_list.lock();
        let seen = listed.seen;
        listed.versions.import(told, seen, Moment::now());
    }
    confirm_endpoints(cx, &reply.known);
    if let (Some(upto), Some(hosts)) = (reply.known.hosts, reply.hosts) {
        updates::apply_hosts(cx, upto, hosts);
    }
    updates::apply_list::<Archives, _>(cx, reply.archives);
    updates::apply_list::<Evacuations, _>(cx, reply.evacuations);
    Some(())
}

/// Takes over how long another host has known the endpoints that are listed
/// here.
fn confirm_endpoints<P>(cx: &Gateway<P>, remote: &HostVersions) {
    let mut listed = cx.endpoint_list.lock();
    listed.confirm(remote.endpoints, remote.endpoints_seen);
}

/// Takes over another host's confirmation of the version that is in force here.
fn adopt_confirmation<P: Platform>(cx: &Gateway<P>, remote: &HostVersions) {
    let is_same = cx.in_force.load().table.version == remote.configuration;
    let Some(age_ms) = remote.configuration_age_ms.filter(|_| is_same) else {
        return;
    };
    let now = Moment::now().since_start();
    let at = now.saturating_sub(Duration::from_millis(age_ms));
    cx.freshness
        .confirm(remote.configuration, Moment::from_start(at));
}

fn log_failed_exchange<P: Platform>(cx: &Gateway<P>, to: SocketAddr, error: &PeerError) {
    cx.metrics.failed_exchanges.inc();
    let line = FailedExchangeLine {
        to,
        configuration: cx.in_force.load().table.version,
        configuration_age_ms: cx.configuration_age_ms(),
        why: &error.to_string(),
    };
    cx.log.request("exchange-failed", &line);
}
