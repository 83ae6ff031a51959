//! Starts a host that serves callers, and ends it gracefully.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;
use futures_lite::StreamExt;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jsonrpsee_core::server::RpcModule;
use parking_lot::Mutex;
use serde::Serialize;

use super::accounts::Accounts;
use super::contact::KindWatcher;
use super::contact::RemoteContact;
use super::contact::ScoutReports;
use super::contact::StoreContact;
use super::context::Cx;
use super::context::Gateway;
use super::context::Held;
use super::context::InForce;
use super::context::Pools;
use super::entry::CallerPort;
use super::exchange;
use super::follow;
use super::home_balance;
use super::hosts;
use super::isolation;
use super::isolation::IsolatedGrants;
use super::isolation::SpentPrograms;
use super::metrics::GatewayMetrics;
use super::rate::Rates;
use super::roster;
use super::roster::Roster;
use super::routes::CallerLimits;
use super::updates;
use super::updates::ListedEndpoints;
use super::updates::ListedHosts;
use super::updates::OperatorsConfiguration;
use crate::configs::gateway::GatewayConfig;
use crate::configs::peer::PeerConfig;
use crate::connection::peer::HttpPeers;
use crate::connection::peer::PeerSecret;
use crate::connection::peer::RPC_PATH;
use crate::connection::peer_port;
use crate::connection::platform::Platform;
use crate::platform::ObjectStore;
use crate::platform::ingress::READY_PATH;
use crate::platform::kinds;
use crate::platform::settings;
use crate::process::events::EventLog;
use crate::process::listeners::BindError;
use crate::units::Moment;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Idle time of a caller's connection beyond what callers are promised.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Pause between two looks at whether the last request has ended.
const RECOUNT: Duration = Duration::from_millis(20);
/// Pause between two looks at the settings file.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);
/// Idle connections kept for each endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// Why a host cannot serve.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ServeError {
    /// An address cannot be listened on.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Result of serving.
pub type Result<T> = std::result::Result<T, ServeError>;

#[derive(Serialize)]
struct StartLine<'a> {
    data_centre: &'a str,
    first_start: bool,
    callers: SocketAddr,
}

#[derive(Serialize)]
struct DrainLine {
    requests: usize,
}

#[derive(Serialize)]
struct ReloadLine {
    changed: bool,
}

/// Serves callers until the process is told to end.
///
/// # Errors
///
/// [`ServeError`] if a part cannot start.
pub async fn run(cfg: GatewayConfig, spawner: Spawner, settings_file: &Path) -> Result<()> {
    let mut signals = Signals::new([Signal::Int, Signal::Term, Signal::Hup])?;
    let callers = bind(cfg.callers, "callers").await?;
    let ready = bind(cfg.ready, "readiness").await?;
    let peers = bind(cfg.peers, "other hosts").await?;
    let cx = context(cfg, spawner);
    cx.log.state(
        "started",
        &StartLine {
            data_centre: cx.cfg.place.data_centre.as_str(),
            first_start: cx.cfg.place.first_start,
            callers: cx.cfg.callers,
        },
    );
    let control = ServerControl::default();
    let server_cfg = caller_server(&cx);
    let spawner = cx.spawner.clone();
    spawner.detach(server::serve(
        ready,
        spawner.clone(),
        ServerConfig::default(),
        ServerControl::default(),
        ReadyPort(Arc::clone(&cx)),
    ));
    let module = Arc::new(exchange::rpc_module(&cx));
    spawner.detach(server::serve(
        peers,
        spawner.clone(),
        server_cfg.clone(),
        ServerControl::default(),
        PeerControl {
            module,
            max_bytes: PeerConfig::default().max_message_bytes,
        },
    ));
    start_tasks(&cx);
    spawner.detach(server::serve(
        callers,
        spawner.clone(),
        server_cfg,
        control.clone(),
        CallerPort(Arc::clone(&cx)),
    ));
    spawner.detach(watch_settings(Arc::clone(&cx), settings_file.to_owned()));
    while let Some(signal) = signals.next().await {
        if matches!(signal, Ok(Signal::Hup)) {
            reread(&cx, settings_file, "reload");
        } else {
            break;
        }
    }
    drain(&cx, &control).await;
    Ok(())
}

fn context(cfg: GatewayConfig, spawner: Spawner) -> Cx<ObjectStore> {
    let now = Moment::now();
    let silence_limit = Some(cfg.silence_limit);
    let endpoint_client = ClientConfig {
        connect_timeout: cfg.connect_timeout,
        max_idle: MAX_IDLE_PER_ENDPOINT,
        silence_limit,
        ..ClientConfig::default()
    };
    let control_client = ClientConfig {
        connect_timeout: cfg.connect_timeout,
        max_idle: 4,
        silence_limit,
        ..ClientConfig::default()
    };
    let control = Client::new(spawner.clone(), control_client);
    let no_secret = PeerSecret::new(Vec::new());
    let mut roster = Roster::new(cfg.place.host.clone());
    if cfg.place.first_start {
        roster.start_share_at(now + cfg.join_notice);
    }
    let store = ObjectStore::new(control.clone(), cfg.store.clone());
    Arc::new(Gateway {
        metrics: GatewayMetrics::new(store.counters()),
        store,
        contact: StoreContact::default(),
        client: Client::new(spawner.clone(), endpoint_client),
        peers: HttpPeers::new(control, no_secret, PeerConfig::default()),
        in_force: ArcSwap::from_pointee(InForce::default()),
        listed: Mutex::default(),
        pools: Pools::default(),
        roster: Mutex::new(roster),
        rates: Rates::new(now),
        accounts: Accounts::default(),
        held: Held::default(),
        isolated: IsolatedGrants::default(),
        spent: SpentPrograms::default(),
        scouting: ScoutReports::default(),
        outside: RemoteContact::default(),
        is_draining: false.into(),
        log: EventLog::start(cfg.place.host.as_str(), cfg.log_lines_per_s),
        spawner,
        cfg,
    })
}

fn caller_server<P>(cx: &Gateway<P>) -> ServerConfig {
    ServerConfig {
        header_timeout: CallerLimits::default().idle_timeout + IDLE_MARGIN,
        silence_limit: Some(cx.cfg.silence_limit * 2),
        ..ServerConfig::default()
    }
}

fn start_tasks(cx: &Cx<ObjectStore>) {
    let spawner = &cx.spawner;
    let store = || cx.store.clone();
    let wait = cx.cfg.store.watch_wait;
    let configuration = KindWatcher::<_, OperatorsConfiguration>::new(cx);
    spawner.detach(follow::watch_kind(
        store(),
        kinds::CONFIGURATION,
        wait,
        configuration,
    ));
    let endpoints = KindWatcher::<_, ListedEndpoints>::new(cx);
    spawner.detach(follow::watch_kind(
        store(),
        kinds::ENDPOINTS,
        wait,
        endpoints,
    ));
    let listed_hosts = KindWatcher::<_, ListedHosts>::new(cx);
    spawner.detach(follow::watch_kind(
        store(),
        roster::KIND,
        wait,
        listed_hosts,
    ));
    spawner.detach(hosts::register_host(Arc::clone(cx)));
    spawner.detach(updates::expire_endpoints(Arc::clone(cx)));
    spawner.detach(hosts::maintain_hosts(Arc::clone(cx)));
    spawner.detach(home_balance::run(Arc::clone(cx)));
    spawner.detach(isolation::run(Arc::clone(cx)));
    spawner.detach(exchange::run(Arc::clone(cx)));
    spawner.detach(exchange::replenish_rates(Arc::clone(cx)));
}

async fn bind(address: SocketAddr, purpose: &'static str) -> Result<async_net::TcpListener> {
    let bound = server::bind(address).await;
    Ok(bound.map_err(|source| BindError {
        address,
        purpose,
        source,
    })?)
}

/// Fails readiness, finishes open requests and returns.
async fn drain<P: Platform>(cx: &Cx<P>, control: &ServerControl) {
    cx.is_draining.store(true, Ordering::Release);
    let requests = control.requests();
    cx.log.state("drain-started", &DrainLine { requests });
    let give_up = Moment::now() + cx.cfg.grace.saturating_sub(cx.cfg.drain_margin);
    Timer::after(cx.cfg.drain_notice).await;
    control.stop();
    while control.requests() > 0 && Moment::now() < give_up {
        Timer::after(RECOUNT).await;
    }
    home_balance::close(cx).await;
    let requests = control.requests();
    cx.log.state("stopped", &DrainLine { requests });
    // The log's thread gathers lines before it writes them.
    Timer::after(RECOUNT * 5).await;
}

/// Notices a settings file that changes without a signal.
async fn watch_settings(cx: Cx<ObjectStore>, path: std::path::PathBuf) {
    let modified = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut seen = modified();
    loop {
        Timer::after(SETTINGS_PERIOD).await;
        let now = modified();
        if now != seen {
            seen = now;
            reread(&cx, &path, "settings-changed");
        }
    }
}

/// Reads the settings again. What a running process can take up are the seeds,
/// which a host needs only at its start; the rest holds at the next start.
fn reread<P>(cx: &Gateway<P>, path: &Path, event: &'static str) {
    match settings::read(path).and_then(|fields| fields.gateway()) {
        Ok(cfg) => {
            let changed = cfg != cx.cfg;
            cx.log.state(event, &ReloadLine { changed });
        }
        Err(e) => log::error!("the settings stay as they were: {e}"),
    }
}

/// Answers the balancer and whoever reads metrics.
struct ReadyPort<P: Platform>(Cx<P>);

impl<P: Platform> Clone for ReadyPort<P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<P: Platform> Handler for ReadyPort<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let cx = &self.0;
        match req.uri().path() {
            READY_PATH if cx.is_ready() => status(StatusCode::OK),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => Response::new(Body::from(cx.metrics.render())),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Answers other hosts.
struct PeerControl<P: Platform> {
    module: Arc<RpcModule<Cx<P>>>,
    max_bytes: usize,
}

impl<P: Platform> Clone for PeerControl<P> {
    fn clone(&self) -> Self {
        Self {
            module: Arc::clone(&self.module),
            max_bytes: self.max_bytes,
        }
    }
}

impl<P: Platform> Handler for PeerControl<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        if req.uri().path() != RPC_PATH {
            return status(StatusCode::NOT_FOUND);
        }
        peer_port::control(&self.module, req, self.max_bytes).await
    }
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}
