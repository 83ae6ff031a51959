//! What hosts tell each other: configuration, endpoints, hosts and rate tokens.
//!
//! A host that the store turns away learns from others. Each side sends what
//! it has and gets what is newer.

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

use super::context::Cx;
use super::context::Gateway;
use super::directory::SharedEndpoint;
use super::draw_messages::DrawRequest;
use super::draw_messages::HandOverRequest;
use super::draw_messages::PutBackRequest;
use super::home_balance;
use super::isolation;
use super::rate;
use super::rate::BorrowRequest;
use super::roster::HostEntry;
use super::roster::Peer;
use super::updates;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::ids::Version;
use crate::units::Moment;

/// Exchanges what two hosts know.
pub const EXCHANGE_METHOD: &str = "gateway.exchange";
/// Draws tokens from a program's purse.
pub const DRAW_METHOD: &str = "gateway.draw";
/// Puts unspent tokens back into a program's purse.
pub const PUT_BACK_METHOD: &str = "gateway.put_back";
/// Draws tokens from what a cut-off data centre may give out.
pub const DRAW_ISOLATED_METHOD: &str = "gateway.draw_isolated";
/// Hands purses over to the host that is their home now.
pub const HAND_OVER_METHOD: &str = "gateway.hand_over";
/// Asks for rate tokens.
pub const BORROW_METHOD: &str = "gateway.borrow";

/// Hosts that are asked in one round while the store is out of reach.
const URGENT_FANOUT: usize = 3;
/// Part of a follower's exchanges that go to any host.
const ANY_HOST_SHARE: f64 = 0.25;
/// Pause between two looks at rates that run low.
const REPLENISH_PERIOD: Duration = Duration::from_millis(200);

/// What a host knows, by versions.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostVersions {
    /// The host that tells.
    pub host: HostId,
    /// Its version of the configuration.
    pub configuration: u64,
    /// The store's version of its endpoints.
    pub endpoints: Option<Version>,
    /// The store's version of its hosts.
    pub hosts: Option<Version>,
    /// True if it follows the store and the store answers it.
    pub is_current: bool,
    /// Programs whose budget it learnt lately to be spent, by hash.
    pub spent: Vec<u64>,
}

/// What the other host has that is newer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExchangeReply {
    /// What the answering host knows.
    pub known: HostVersions,
    /// The operators' text of a newer configuration.
    pub configuration: Option<Arc<str>>,
    /// Endpoints as of a newer version.
    pub endpoints: Option<Vec<SharedEndpoint>>,
    /// Hosts as of a newer version.
    pub hosts: Option<Vec<(HostId, HostEntry)>>,
}

/// The methods that other hosts call.
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
    module.register_method(DRAW_ISOLATED_METHOD, |params, cx, _| {
        let req: DrawRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(isolation::draw_here(cx, &req))
    })?;
    module.register_method(PUT_BACK_METHOD, |params, cx, _| {
        let req: PutBackRequest = params.one()?;
        home_balance::put_back_to_balance(cx, &req);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(HAND_OVER_METHOD, |params, cx, _| {
        let req: HandOverRequest = params.one()?;
        home_balance::receive_balances(cx, req);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_method(BORROW_METHOD, |params, cx, _| {
        let req: BorrowRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(rate::lend(cx, &req))
    })?;
    Ok(())
}

fn host_versions<P: Platform>(cx: &Gateway<P>) -> HostVersions {
    let hosts = cx.roster.lock().version();
    let endpoints = cx.listed.lock().upto;
    HostVersions {
        host: cx.cfg.place.host.clone(),
        configuration: cx.in_force.load().table.version,
        endpoints,
        hosts,
        is_current: cx.contact.is_up() && cx.is_scout(),
        spent: cx.spent.recent(Moment::now()),
    }
}

fn exchange_reply<P: Platform>(cx: &Gateway<P>, remote: &HostVersions) -> ExchangeReply {
    cx.heard(&remote.host);
    cx.spent.merge(&remote.spent, Moment::now());
    let own = host_versions(cx);
    let in_force = cx.in_force.load();
    let newer = in_force.table.version > remote.configuration;
    let endpoints = (own.endpoints > remote.endpoints).then(|| {
        let listed = cx.listed.lock();
        listed.directory.export(Moment::now())
    });
    let hosts = (own.hosts > remote.hosts).then(|| cx.roster.lock().entries());
    ExchangeReply {
        configuration: newer.then(|| Arc::clone(&in_force.text)),
        endpoints,
        hosts,
        known: own,
    }
}

/// Exchanges with other hosts until the process ends.
pub async fn run<P: Platform>(cx: Cx<P>) {
    loop {
        let is_urgent = !cx.contact.is_up() || cx.in_force.load().table.is_unknown();
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
                    Target::Seed(address) => {
                        exchange_with_address(&cx, address).await.map_or((), drop)
                    }
                }
            });
        }
        let jitter = rand::random_range(0.7..=1.3);
        Timer::after(pause.mul_f64(jitter)).await;
    }
}

/// Asks a host that follows the store, and now and then any other, so that
/// word of hosts and spent budgets passes between data centres.
fn exchange_as_follower<P: Platform>(cx: &Cx<P>) {
    let now = Moment::now();
    let scout = cx.scouts(now).choose(&mut rand::rng()).cloned();
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

/// Keeps buckets of customers with demand from running dry.
pub async fn replenish_rates<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(REPLENISH_PERIOD).await;
        rate::replenish_low(&cx).await;
    }
}

/// Whom to exchange with.
enum Target {
    /// A host that is listed.
    Host(Peer),
    /// An address from the settings, while no other host is known.
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

/// Calls another host on the way of a request; one that does not answer in
/// time is passed over for a while.
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

/// Like [`call_peer`], with a time limit of the caller's.
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
        Some(_) => cx.heard(&peer.host),
        None => cx.roster.lock().mark_suspect(&peer.host, Moment::now()),
    }
    reply
}

/// Exchanges with a listed host; one that does not answer is passed over.
pub async fn exchange_with_host<P: Platform>(cx: &Cx<P>, peer: &Peer) {
    if exchange_with_address(cx, peer.address).await.is_none() {
        cx.roster.lock().mark_suspect(&peer.host, Moment::now());
    }
}

async fn exchange_with_address<P: Platform>(cx: &Cx<P>, to: SocketAddr) -> Option<()> {
    let own = host_versions(cx);
    let call = cx.peers.call::<_, ExchangeReply>(to, EXCHANGE_METHOD, &own);
    // A host that does not answer is asked again in a later round.
    let reply = call.await.ok()?;
    cx.heard(&reply.known.host);
    if reply.known.is_current {
        cx.scouting.record_report(Moment::now());
    }
    cx.spent.merge(&reply.known.spent, Moment::now());
    if let Some(text) = &reply.configuration {
        updates::apply_configuration(cx, text, reply.known.host.as_str());
    }
    if let (Some(upto), Some(endpoints)) = (reply.known.endpoints, reply.endpoints) {
        updates::apply_endpoints(cx, upto, endpoints, reply.known.host.as_str());
    }
    if let (Some(upto), Some(hosts)) = (reply.known.hosts, reply.hosts) {
        updates::apply_hosts(cx, upto, hosts);
    }
    Some(())
}
