//! Starts a host and runs it until it has drained.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_signal::Signal;
use async_signal::Signals;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_net::connections::LimitCounts;
use chicoryarch_net::server;
use chicoryarch_net::server::ServerConfig;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use parking_lot::Mutex;

use super::context::Context;
use super::context::Cx;
use super::counters::ComponentCounters;
use super::distribution;
use super::distribution::Distribution;
use super::distribution::HostAddress;
use super::drain;
use super::drain::DrainOutcome;
use super::drain::Ports;
use super::drain::Readiness;
use super::endpoints;
use super::endpoints::Endpoints;
use super::journals::Journals;
use super::journals::history::History;
use super::layout::Layout;
use super::layout::SharedLayout;
use super::limit_view;
use super::limit_view::LimiterReady;
use super::links;
use super::links::LiveHosts;
use super::listeners::Addresses;
use super::listeners::BindError;
use super::listeners::Listeners;
use super::listeners::print_addresses;
use super::membership;
use super::metrics::Metrics;
use super::operator_backend::OperatorBackend;
use super::placing;
use super::placing::Placing;
use super::rates;
use super::rates::RateLimiter;
use super::ready;
use super::secrets;
use super::timers::Timers;
use crate::configs::distribution::DistributionConfig;
use crate::configs::host::HostConfig;
use crate::connection::caller::CallerPort;
use crate::connection::operator_port::HostOperator;
use crate::connection::operator_port::OperatorPort;
use crate::connection::peer::HttpPeers;
use crate::connection::peer::PeerSecret;
use crate::connection::peer_port::PeerPort;
use crate::connection::platform::Platform;
use crate::connection::platform::http::HttpPlatform;
use crate::door::Door;
use crate::door::Port;
use crate::door::metrics::ClientLimits;
use crate::gateway::routes::CallerLimits;
use crate::operator;
use crate::operator::OperatorSecrets;
use crate::operator::StatementExecutor;
use crate::operator::credentials::CredentialsError;
use crate::request::limit::UnusedFloors;
use crate::request::limit::View;
use crate::request::programs;
use crate::request::retry::RetryBudget;
use crate::units::Moment;
use crate::version::catalogue::Configuration;
use crate::version::table::Identity;
use crate::version::table::PartitionEvent;

/// Added to the time for which callers may leave a connection idle.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Send buffer of a connection to another host, in bytes. A smaller one slows
/// large messages down on long paths.
const PEER_SEND_BUFFER: usize = 128 << 10;

/// Receive buffer of a connection to an endpoint or another host, in bytes. The
/// system would let it grow to megabytes for an answer that its caller does not
/// read.
const RECEIVE_BUFFER: usize = 128 << 10;

/// Error of starting or running a host.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ServeError {
    /// A port cannot be opened.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// Another operation of the operating system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file of operator credentials cannot be used.
    #[error(transparent)]
    Operators(#[from] CredentialsError),
    /// A secrets file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secrets(#[from] secrets::SecretsError),
}

/// Result of running a host.
pub type Result<T> = std::result::Result<T, ServeError>;

/// Runs a host with an HTTP connection to the platform until it has drained.
///
/// # Errors
///
/// [`ServeError`] if the host fails to start or cannot subscribe to signals.
pub async fn run(cfg: HostConfig, spawner: Spawner) -> Result<DrainOutcome> {
    let listeners = Listeners::open(&cfg).await?;
    let addresses = listeners.addresses()?;
    let secret = PeerSecret::new(secrets::read_lines(&cfg.secrets.peers)?);
    let client_cfg = ClientConfig {
        receive_buffer: Some(RECEIVE_BUFFER),
        ..ClientConfig::default()
    };
    let client = Client::new(spawner.clone(), client_cfg);
    let operators = match &cfg.secrets.operators {
        Some(path) => Some(OperatorSecrets::load(path)?),
        None => None,
    };
    let reloaded_operators = operators.clone();
    let resources = Resources {
        platform: HttpPlatform::new(client.clone(), &cfg.host, cfg.platform.clone()),
        client,
        listeners,
        operators,
        secret,
        spawner,
    };
    let (cx, ports) = start(cfg, resources).await?;
    print_addresses(&addresses)?;
    let files = cx.cfg.secrets.clone();
    let hangups = Signals::new([Signal::Hup])?;
    cx.spawner.detach(secrets::reload(
        hangups,
        files,
        cx.secret.clone(),
        reloaded_operators,
    ));
    Ok(drain::run_until_drained(&cx, &ports).await?)
}

/// Resources that a host needs besides its settings.
#[derive(Debug)]
pub struct Resources<P> {
    /// HTTP client for other hosts and endpoints.
    pub client: Client,
    /// Open ports of the host.
    pub listeners: Listeners,
    /// Operator credentials; `None` if no operator has access to the host.
    pub operators: Option<OperatorSecrets>,
    /// Client of the platform.
    pub platform: P,
    /// Secret that authenticates calls between hosts.
    pub secret: PeerSecret,
    /// Handle to the executor of the host.
    pub spawner: Spawner,
}

/// Starts every component of a host.
///
/// # Errors
///
/// [`ServeError`] if a component fails to start.
pub async fn start<P: Platform>(
    cfg: HostConfig,
    resources: Resources<P>,
) -> Result<(Cx<P>, Ports)> {
    let timers = Timers::start(&resources.spawner);
    let (cx, events) = create_context(cfg, &resources, &timers)?;
    let counters = Arc::clone(cx.distribution.counters());
    cx.metrics
        .register(ComponentCounters::new(Cx::clone(&cx), counters));
    let operator = StatementExecutor::new(
        cx.cfg.operator.clone(),
        cx.distribution.clone(),
        OperatorBackend(Cx::clone(&cx)),
    );
    let module = create_rpc_module(&cx, &operator).expect("RPC method names are distinct");
    let operator_port = OperatorPort {
        cx: Cx::clone(&cx),
        operator: Arc::new(operator),
        secrets: resources.operators,
    };
    let ports = Ports::default();
    serve_ports(&cx, resources.listeners, &ports, module, operator_port);
    let limiter_ready = LimiterReady::default();
    start_tasks(&cx, events, resources.platform, &timers, &limiter_ready).await;
    cx.spawner
        .detach(ready::become_ready(Cx::clone(&cx), timers, limiter_ready));
    Ok((cx, ports))
}

/// Creates every component; membership starts at once.
fn create_context<P: Platform>(
    cfg: HostConfig,
    resources: &Resources<P>,
    timers: &Timers,
) -> Result<(Cx<P>, Receiver<PartitionEvent>)> {
    let Resources {
        client,
        platform,
        secret,
        spawner,
        ..
    } = resources;
    let addresses = resources.listeners.addresses()?;
    let peers = HttpPeers::new(client.clone(), secret.clone(), cfg.peer.clone());
    let (membership, events) = membership::start(
        identity(&cfg, &addresses),
        &cfg.membership,
        platform.clone(),
        peers.clone(),
        timers.clone(),
        spawner,
    );
    let configuration = Configuration::default();
    let hosts = LiveHosts::new(
        own_address(&cfg, &addresses),
        membership.clone(),
        cfg.membership.clone(),
    );
    let distribution = Distribution::new(
        DistributionConfig {
            data_dir: cfg.data_folder.clone(),
            ..cfg.distribution.clone()
        },
        configuration.clone(),
        platform.clone(),
        peers.clone(),
        hosts,
        spawner.clone(),
    )?;
    let placing = Placing::new(
        cfg.queue.clone(),
        cfg.place.clone(),
        cfg.data_centre.clone(),
        spawner.clone(),
    );
    let metrics = Metrics::default();
    let counts = LimitCounts::default();
    metrics.register(ClientLimits(counts.clone()));
    let cx = Context {
        client: client.clone(),
        configuration,
        distribution,
        door: Door::of_host(&cfg, counts),
        history: History::new(platform.clone(), cfg.history.clone()),
        endpoints: Endpoints::default(),
        journals: Journals::new(platform.clone(), cfg.journal.clone(), spawner.clone()),
        layout: SharedLayout::default(),
        membership,
        metrics,
        placing,
        rates: RateLimiter::new(
            cfg.limit.clone(),
            empty_view(&cfg),
            peers.clone(),
            spawner.clone(),
        ),
        peers,
        readiness: Readiness::default(),
        retries: Mutex::new(RetryBudget::new(cfg.retry.clone())),
        secret: secret.clone(),
        spawner: spawner.clone(),
        cfg,
    };
    Ok((Arc::new(cx), events))
}

fn identity(cfg: &HostConfig, addresses: &Addresses) -> Identity {
    Identity {
        host: cfg.host.clone(),
        data_centre: cfg.data_centre.clone(),
        peer: addresses.peers,
        caller: addresses.callers,
    }
}

fn own_address(cfg: &HostConfig, addresses: &Addresses) -> HostAddress {
    HostAddress {
        id: cfg.host.clone(),
        data_centre: cfg.data_centre.clone(),
        address: addresses.peers,
    }
}

fn empty_view(cfg: &HostConfig) -> View {
    let data_centres = cfg.all_data_centres();
    View {
        host: cfg.host.clone(),
        data_centre: cfg.data_centre.clone(),
        epoch: crate::ids::Epoch(0),
        members: data_centres
            .into_iter()
            .map(|dc| (dc, Vec::new()))
            .collect(),
        lease_until: None,
        settled_at: Moment::now(),
        floor: None,
        unused_floors: UnusedFloors::default(),
    }
}

fn create_rpc_module<P: Platform>(
    cx: &Cx<P>,
    operator: &HostOperator<P>,
) -> std::result::Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    module.merge(membership::rpc_module(cx.membership.clone()))?;
    distribution::rpc::register(&mut module, &cx.distribution)?;
    rates::register(&mut module, cx.rates.clone())?;
    programs::register(&mut module, cx)?;
    endpoints::register(&mut module, cx)?;
    operator::fleet::register(&mut module, operator)?;
    Ok(module)
}

fn serve_ports<P: Platform>(
    cx: &Cx<P>,
    listeners: Listeners,
    ports: &Ports,
    module: RpcModule<()>,
    operator_port: OperatorPort<P>,
) {
    let spawner = &cx.spawner;
    // The time for a head is limited from its first bytes.
    let caller_cfg = ServerConfig {
        header_timeout: CallerLimits::default().idle_timeout + IDLE_MARGIN,
        ..ServerConfig::default()
    };
    let peer_cfg = ServerConfig {
        send_buffer: Some(PEER_SEND_BUFFER),
        ..caller_cfg.clone()
    };
    spawner.detach(server::serve(
        listeners.callers,
        spawner.clone(),
        cx.door.server_config(Port::Callers, &caller_cfg),
        ports.callers.clone(),
        CallerPort(Cx::clone(cx)),
    ));
    let peer_port = PeerPort {
        cx: Cx::clone(cx),
        module: Arc::new(module),
    };
    spawner.detach(server::serve(
        listeners.peers,
        spawner.clone(),
        cx.door.server_config(Port::Peers, &peer_cfg),
        ports.peers.clone(),
        peer_port,
    ));
    spawner.detach(server::serve(
        listeners.operators,
        spawner.clone(),
        cx.door.server_config(Port::Operators, &caller_cfg),
        ports.operators.clone(),
        operator_port,
    ));
    let reporting = Cx::clone(cx);
    spawner.detach(async move { reporting.door.report_as_text().await });
}

async fn start_tasks<P: Platform>(
    cx: &Cx<P>,
    events: Receiver<PartitionEvent>,
    platform: P,
    timers: &Timers,
    limiter_ready: &LimiterReady,
) {
    let spawner = &cx.spawner;
    spawner.detach(links::run_partitions(Cx::clone(cx), events));
    spawner.detach(links::run_customers(Cx::clone(cx)));
    spawner.detach(placing::tasks::run_configuration_updates(Cx::clone(cx)));
    spawner.detach(placing::tasks::run_load_polling(
        Cx::clone(cx),
        timers.clone(),
    ));
    spawner.detach(limit_view::run(
        Cx::clone(cx),
        timers.clone(),
        limiter_ready.clone(),
    ));
    spawner.detach(cx.history.clone().run(timers.clone()));
    endpoints::start(cx, platform.clone(), timers);
    cx.rates.start(timers).await;
    let layout = cx.layout.clone();
    let wanted = Layout {
        data_centres: cx.cfg.all_data_centres(),
        partitions: cx.cfg.membership.partitions,
    };
    spawner.detach(async move { layout.load(&platform, &wanted).await });
}
