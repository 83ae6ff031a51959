//! Starts a gateway, handles signals and shuts down gracefully.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use chicoryarch_net::server::ServerConfig;
use chicoryarch_net::server::ServerControl;
use futures_lite::StreamExt;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jsonrpsee_core::server::RpcModule;
use parking_lot::Mutex;
use serde::Serialize;

use super::accounts::Accounts;
use super::contact::HostContact;
use super::contact::KindWatcher;
use super::contact::ScoutReports;
use super::contact::StoreContact;
use super::context::Cx;
use super::context::DrainLimit;
use super::context::DrainTimes;
use super::context::Gateway;
use super::context::InForce;
use super::context::Pools;
use super::crashes;
use super::entry::CallerHandler;
use super::exchange;
use super::follow;
use super::freshness::Freshness;
use super::held_parts::HeldParts;
use super::home_balance;
use super::hop_port;
use super::hosts;
use super::isolation;
use super::isolation::SpentPrograms;
use super::limit_draws;
use super::metrics::GatewayMetrics;
use super::origins;
use super::origins::Origins;
use super::paths;
use super::rate::Rates;
use super::roster;
use super::roster::Roster;
use super::routes::CallerLimits;
use super::transfers;
use super::transfers::Transfers;
use super::updates;
use super::updates::Listed;
use super::updates::ListedEndpoints;
use super::updates::ListedHosts;
use super::updates::OperatorsConfiguration;
use crate::configs::gateway::GatewayConfig;
use crate::configs::peer::PeerConfig;
use crate::connection::hop;
use crate::connection::peer::HttpPeers;
use crate::connection::peer::PeerSecret;
use crate::connection::peer::RPC_PATH;
use crate::connection::peer_port;
use crate::connection::platform::Platform;
use crate::door::Door;
use crate::door::Port;
use crate::lists::ListKind;
use crate::lists::SharedList;
use crate::lists::archives::Archives;
use crate::lists::evacuations::Evacuations;
use crate::platform::ObjectStore;
use crate::platform::endpoints;
use crate::platform::ingress::CONFIGURATION_PATH;
use crate::platform::ingress::READY_PATH;
use crate::platform::kinds;
use crate::platform::routes;
use crate::platform::settings;
use crate::process::events::EventLog;
use crate::process::listeners::BindError;
use crate::readiness::Readiness;
use crate::turns;
use crate::turns::Turns;
use crate::units::Moment;

/// URL path of the metrics page.
const METRICS_PATH: &str = "/metrics";
/// Added to the idle timeout that callers are promised.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Largest send buffer of a connection to another host, in bytes. It is far
/// smaller than a large configuration, so that a transfer ends for its sender
/// when the receiver has nearly all of it.
const PEER_SEND_BUFFER: usize = 128 << 10;
/// Receive buffer of a connection to an endpoint, in bytes. Bytes of an answer
/// that have arrived and were not read yet count as memory of the process.
const ENDPOINT_RECEIVE_BUFFER: usize = 64 << 10;
/// Interval at which a drain checks whether all connections are closed.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time after the limit of a drain for the answers to requests that are still
/// open.
const LAST_ANSWERS: Duration = Duration::from_millis(150);
/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to each endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Maximum number of idle connections to each archive host.
const MAX_IDLE_PER_ARCHIVE: usize = 4;

/// Error that prevents a gateway from starting.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ServeError {
    /// Binding a listen address failed.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Result of running a gateway.
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

/// Serves callers until the process receives SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns [`ServeError`] if the gateway cannot start.
pub async fn run(
    cfg: GatewayConfig,
    spawner: Spawner,
    settings_file: &Path,
    mut signals: Signals,
) -> Result<()> {
    let callers = bind(cfg.callers, "callers").await?;
    let ready = bind(cfg.ready, "readiness").await?;
    let peers = bind(cfg.peers, "other hosts").await?;
    let (cx, door) = build_context(cfg, spawner);
    cx.log.state(
        "started",
        &StartLine {
            data_centre: cx.cfg.place.data_centre.as_str(),
            first_start: cx.cfg.place.first_start,
            callers: cx.cfg.callers,
        },
    );
    let control = ServerControl::default();
    let server_cfg = server_config(&cx);
    let spawner = cx.spawner.clone();
    spawner.detach(server::serve(
        ready,
        spawner.clone(),
        door.server_config(Port::Ready, &ServerConfig::default()),
        ServerControl::default(),
        ReadyHandler {
            cx: Arc::clone(&cx),
            shown: Arc::default(),
        },
    ));
    let mut module = exchange::rpc_module(&cx);
    limit_draws::register(&mut module).expect("method names are distinct");
    crashes::register(&mut module).expect("method names are distinct");
    paths::register(&mut module).expect("method names are distinct");
    let module = Arc::new(module);
    spawner.detach(server::serve(
        peers,
        spawner.clone(),
        door.server_config(
            Port::Peers,
            &ServerConfig {
                send_buffer: Some(PEER_SEND_BUFFER),
                ..server_cfg.clone()
            },
        ),
        ServerControl::default(),
        PeerHandler {
            cx: Arc::clone(&cx),
            module,
            memory: door.message_memory.clone(),
            max_bytes: PeerConfig::default().max_message_bytes,
        },
    ));
    start_tasks(&cx);
    spawner.detach(server::serve(
        callers,
        spawner.clone(),
        door.server_config(Port::Callers, &server_cfg),
        control.clone(),
        CallerHandler(Arc::clone(&cx)),
    ));
    spawner.detach(door.report(cx.log.clone()));
    spawner.detach(watch_settings(Arc::clone(&cx), settings_file.to_owned()));
    while let Some(signal) = signals.next().await {
        if matches!(signal, Ok(Signal::Hup)) {
            check_settings(&cx, settings_file, "reload");
        } else {
            break;
        }
    }
    drain(&cx, &control).await;
    Ok(())
}

fn build_context(cfg: GatewayConfig, spawner: Spawner) -> (Cx<ObjectStore>, Door) {
    let now = Moment::now();
    let silence_limit = Some(cfg.silence_limit);
    let endpoint_client = ClientConfig {
        connect_timeout: cfg.connect_timeout,
        max_idle: MAX_IDLE_PER_ENDPOINT,
        silence_limit,
        receive_buffer: Some(ENDPOINT_RECEIVE_BUFFER),
        id_header: Some(endpoints::ID_HEADER),
        refusal_header: Some(endpoints::NOT_EXECUTED),
        ..ClientConfig::default()
    };
    let control_client = ClientConfig {
        connect_timeout: cfg.connect_timeout,
        max_idle: 4,
        silence_limit,
        ..ClientConfig::default()
    };
    let archive_client = ClientConfig {
        max_idle: MAX_IDLE_PER_ARCHIVE,
        ..control_client.clone()
    };
    let control = Client::new(spawner.clone(), control_client);
    let no_secret = PeerSecret::new(Vec::new());
    let mut roster = Roster::new(cfg.place.host.clone());
    if cfg.place.first_start {
        roster.start_share_at(now + cfg.join_notice);
    }
    let store = ObjectStore::new(control.clone(), cfg.store.clone());
    let metrics = GatewayMetrics::new(store.counters());
    let door = Door::new(&cfg, metrics.client_limits.clone());
    let log = EventLog::start(cfg.place.host.as_str(), cfg.log_lines_per_s);
    let archives = Arc::<SharedList<Archives>>::default();
    let needed = turns::Dependencies {
        archives: Arc::clone(&archives),
        store: store.clone(),
        client: Client::new(spawner.clone(), archive_client),
        memory: door.request_memory.clone(),
        spawner: spawner.clone(),
        log: log.clone(),
        metrics: metrics.turns.clone(),
    };
    let cx = Arc::new(Gateway {
        metrics,
        store,
        turns: Turns::new(&cfg, needed),
        archives,
        evacuations: SharedList::default(),
        evacuated: Mutex::default(),
        store_contact: StoreContact::default(),
        client: Client::new(spawner.clone(), endpoint_client),
        peers: HttpPeers::new(control, no_secret, PeerConfig::default()),
        in_force: ArcSwap::from_pointee(InForce::default()),
        transfers: Transfers::default(),
        freshness: Freshness::default(),
        endpoint_list: Mutex::default(),
        list_proved_at: async_lock::Mutex::default(),
        pools: Pools::default(),
        roster: Mutex::new(roster),
        rates: Rates::new(now),
        accounts: Accounts::default(),
        request_memory: door.request_memory.clone(),
        answer_memory: door.answer_memory.clone(),
        event_memory: door.event_memory.clone(),
        held_parts: HeldParts::default(),
        spent: SpentPrograms::default(),
        limit_buckets: Mutex::default(),
        helpers: Arc::default(),
        stood_in_for: Mutex::default(),
        forwarded: Arc::default(),
        suspects: Mutex::default(),
        origins: Origins::default(),
        scout_reports: ScoutReports::default(),
        remote_contact: HostContact::default(),
        peer_contact: HostContact::default(),
        readiness: Readiness::default(),
        is_draining: false.into(),
        drain_limit: DrainLimit::default(),
        started: now,
        log,
        spawner,
        cfg,
    });
    (cx, door)
}

fn server_config<P>(cx: &Gateway<P>) -> ServerConfig {
    ServerConfig {
        header_timeout: CallerLimits::default().idle_timeout + IDLE_MARGIN,
        silence_limit: Some(cx.cfg.silence_limit * 2),
        ..ServerConfig::default()
    }
}

fn start_tasks(cx: &Cx<ObjectStore>) {
    let spawner = &cx.spawner;
    let store = || cx.store.clone();
    let confirm_period = cx.cfg.store.confirm_period;
    let configuration = KindWatcher::<_, OperatorsConfiguration>::new(cx);
    spawner.detach(follow::watch_kind(
        store(),
        kinds::CONFIGURATION,
        confirm_period,
        configuration,
    ));
    let endpoints = KindWatcher::<_, ListedEndpoints>::new(cx);
    spawner.detach(follow::watch_kind(
        store(),
        kinds::ENDPOINTS,
        confirm_period,
        endpoints,
    ));
    spawner.detach(follow::watch_kind(
        store(),
        Archives::KIND,
        cx.cfg.store.watch_wait,
        KindWatcher::<_, Listed<Archives>>::new(cx),
    ));
    if let Some(limit) = cx.cfg.evacuation {
        // A watch on a connection that carries nothing any more is given up in time.
        // Shorter ones cost calls to the store, and most days have no evacuation.
        spawner.detach(follow::watch_kind(
            store(),
            Evacuations::KIND,
            (limit / 2).min(cx.cfg.store.watch_wait),
            KindWatcher::<_, Listed<Evacuations>>::new(cx),
        ));
    }
    let listed_hosts = KindWatcher::<_, ListedHosts>::new(cx);
    spawner.detach(follow::watch_kind(
        store(),
        roster::KIND,
        cx.cfg.store.watch_wait,
        listed_hosts,
    ));
    spawner.detach(hosts::register_host(Arc::clone(cx)));
    spawner.detach(updates::expire_endpoints(Arc::clone(cx)));
    spawner.detach(hosts::maintain_hosts(Arc::clone(cx)));
    spawner.detach(home_balance::run(Arc::clone(cx)));
    spawner.detach(isolation::run(Arc::clone(cx)));
    spawner.detach(exchange::run(Arc::clone(cx)));
    spawner.detach(paths::run(Arc::clone(cx)));
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

/// Fails the readiness check, waits until all connections of callers are closed
/// and all calls that other hosts forward have ended, and hands the remaining budgets and the origins of streams over to other
/// hosts.
async fn drain<P: Platform>(cx: &Cx<P>, control: &ServerControl) {
    cx.is_draining.store(true, Ordering::Release);
    let requests = control.requests();
    cx.log.state("drain-started", &DrainLine { requests });
    let now = Moment::now();
    let deadline = now + cx.cfg.grace.saturating_sub(cx.cfg.drain_margin);
    cx.drain_limit.begin(DrainTimes {
        taken_until: now + cx.cfg.drain_notice,
        ends_at: deadline,
    });
    Timer::after(cx.cfg.drain_notice).await;
    control.stop();
    wait_closed(cx, control, deadline).await;
    cx.drain_limit.end();
    wait_closed(cx, control, deadline + LAST_ANSWERS).await;
    origins::hand_over(cx).await;
    if isolation::close(cx).await {
        hosts::pass_on(cx).await;
    }
    home_balance::close(cx).await;
    let requests = control.requests();
    cx.log.state("stopped", &DrainLine { requests });
    // The log thread buffers lines; give it time to write the last ones.
    Timer::after(DRAIN_POLL * 5).await;
}

async fn wait_closed<P>(cx: &Gateway<P>, control: &ServerControl, deadline: Moment) {
    let is_closed = || control.is_closed() && cx.forwarded.load(Ordering::Acquire) == 0;
    while !is_closed() && Moment::now() < deadline {
        Timer::after(DRAIN_POLL).await;
    }
}

/// Polls the settings file, since it may change without a signal.
async fn watch_settings(cx: Cx<ObjectStore>, path: std::path::PathBuf) {
    let modified = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut seen = modified();
    loop {
        Timer::after(SETTINGS_POLL).await;
        let now = modified();
        if now != seen {
            seen = now;
            check_settings(&cx, &path, "settings-changed");
        }
    }
}

/// Validates the settings file and logs whether it differs from the settings in
/// use. Changes apply at the next start: only the seeds could change at run
/// time, and a host uses them only when it starts.
fn check_settings<P>(cx: &Gateway<P>, path: &Path, event: &'static str) {
    match settings::read(path).and_then(|fields| fields.gateway()) {
        Ok(cfg) => {
            let changed = cfg != cx.cfg;
            cx.log.state(event, &ReloadLine { changed });
        }
        Err(e) => log::error!("invalid settings file, keeping the settings in use: {e}"),
    }
}

/// Serves the readiness check of the load balancer, the metrics page, and the
/// configuration in force without keys.
struct ReadyHandler<P: Platform> {
    cx: Cx<P>,
    shown: Arc<Mutex<ShownConfiguration>>,
}

/// A configuration without keys. It is retained, so that many calls neither take
/// a copy each nor hash the keys again.
#[derive(Default)]
struct ShownConfiguration {
    version: u64,
    text: Bytes,
}

impl<P: Platform> Clone for ReadyHandler<P> {
    fn clone(&self) -> Self {
        Self {
            cx: Arc::clone(&self.cx),
            shown: Arc::clone(&self.shown),
        }
    }
}

impl<P: Platform> ReadyHandler<P> {
    /// Returns the configuration in force; 503 before the first one.
    fn show_configuration(&self) -> Response<Body> {
        let in_force = self.cx.in_force.load();
        if in_force.table.is_unknown() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut shown = self.shown.lock();
        if shown.version != in_force.table.version {
            let Ok(text) = routes::without_keys(in_force.text.as_bytes()) else {
                return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
            };
            *shown = ShownConfiguration {
                version: in_force.table.version,
                text: text.into(),
            };
        }
        Response::new(Body::from(shown.text.clone()))
    }
}

impl<P: Platform> Handler for ReadyHandler<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let cx = &self.cx;
        match req.uri().path() {
            READY_PATH if cx.is_ready() => empty_response(StatusCode::OK),
            READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => {
                let version = cx.in_force.load().table.version;
                let age = cx.freshness.age(Moment::now());
                cx.metrics.set_configuration(version, age);
                Response::new(Body::from(cx.metrics.render()))
            }
            CONFIGURATION_PATH if req.method() == Method::GET => self.show_configuration(),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

/// Serves RPC calls of other hosts, calls that they forward, and the
/// configuration.
struct PeerHandler<P: Platform> {
    cx: Cx<P>,
    module: Arc<RpcModule<Cx<P>>>,
    memory: BodyMemory,
    max_bytes: usize,
}

impl<P: Platform> Clone for PeerHandler<P> {
    fn clone(&self) -> Self {
        Self {
            cx: Arc::clone(&self.cx),
            module: Arc::clone(&self.module),
            memory: self.memory.clone(),
            max_bytes: self.max_bytes,
        }
    }
}

impl<P: Platform> PeerHandler<P> {
    /// Executes a control call, whose body is received within the memory for
    /// messages.
    async fn handle_control(&self, req: Request<Incoming>) -> Response<Body> {
        peer_port::handle_control(&self.module, req, &self.memory, self.max_bytes).await
    }
}

impl<P: Platform> Handler for PeerHandler<P> {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        match req.uri().path() {
            RPC_PATH => self.handle_control(req).await,
            transfers::PATH => transfers::respond(&self.cx, req.uri()),
            path if hop::is_hop(path) => hop_port::handle(&self.cx, req).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}
