//! Starts a host and runs it until it is told to stop.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_net::server;
use chicoryarch_net::server::ServerConfig;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use parking_lot::Mutex;

use super::backend::Backend;
use super::context::Context;
use super::context::Cx;
use super::counters::PartCounters;
use super::distribution;
use super::distribution::Distribution;
use super::distribution::HostAddress;
use super::distribution::Standing;
use super::drain;
use super::drain::Drained;
use super::drain::Ports;
use super::drain::Readiness;
use super::endpoints;
use super::endpoints::Endpoints;
use super::journals::Journals;
use super::layout::Layout;
use super::layout::SharedLayout;
use super::limit_view;
use super::limit_view::Settled;
use super::links;
use super::links::KnownHosts;
use super::membership;
use super::metrics::Metrics;
use super::placing::Placing;
use super::rates;
use super::rates::Rates;
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
use crate::operator;
use crate::operator::Operator;
use crate::operator::OperatorSecrets;
use crate::operator::credentials::CredentialsError;
use crate::request::limit::UnusedFloors;
use crate::request::limit::View;
use crate::request::programs;
use crate::request::retry::RetryBudget;
use crate::units::Moment;
use crate::version::catalogue::Configuration;
use crate::version::table::Identity;
use crate::version::table::PartitionEvent;

/// Pause before configuration is looked for again by a starting host.
const CATCH_UP_RETRY: Duration = Duration::from_millis(100);

/// Why a host cannot start.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ServeError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the port is for.
        purpose: &'static str,
        /// What the system answered.
        source: io::Error,
    },
    /// The system refused something else.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The operators' file is refused.
    #[error(transparent)]
    Operators(#[from] CredentialsError),
    /// A secrets file is refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secrets(#[from] secrets::SecretsError),
}

/// Result of running a host.
pub type Result<T> = std::result::Result<T, ServeError>;

/// Open ports of a starting host.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Addresses on which a host listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl Listeners {
    /// Opens the ports that the settings name.
    ///
    /// # Errors
    ///
    /// [`ServeError::Bind`].
    pub async fn open(cfg: &HostConfig) -> Result<Self> {
        Ok(Self {
            callers: bind(cfg.listen.callers, "callers").await?,
            peers: bind(cfg.listen.peers, "other hosts").await?,
            operators: bind(cfg.listen.operators, "operators").await?,
        })
    }

    /// The addresses, with the ports that the kernel chose.
    ///
    /// # Errors
    ///
    /// What the system answered.
    pub fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            operators: self.operators.local_addr()?,
        })
    }
}

async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener> {
    server::bind(address)
        .await
        .map_err(|source| ServeError::Bind {
            address,
            purpose,
            source,
        })
}

/// Runs a host over HTTP to the platform until it has drained.
///
/// # Errors
///
/// [`ServeError`] if it cannot start.
pub async fn run(cfg: HostConfig, spawner: Spawner) -> Result<Drained> {
    let listeners = Listeners::open(&cfg).await?;
    let addresses = listeners.addresses()?;
    let secret = PeerSecret::new(secrets::read_lines(&cfg.secrets.peers)?);
    let client = Client::new(spawner.clone(), ClientConfig::default());
    let operators = match &cfg.secrets.operators {
        Some(path) => Some(OperatorSecrets::load(path)?),
        None => None,
    };
    let platform = HttpPlatform::new(client.clone(), &cfg.host, cfg.platform.clone());
    let (cx, ports) = start(cfg, listeners, secret, operators, client, platform, spawner).await?;
    announce(&addresses)?;
    Ok(drain::until_drained(&cx, &ports).await?)
}

/// Prints where the host listens, once it does.
fn announce(addresses: &Addresses) -> io::Result<()> {
    let Addresses {
        callers,
        peers,
        operators,
    } = addresses;
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "listening callers={callers} peers={peers} operators={operators}"
    )?;
    out.flush()
}

/// Starts every part of a host.
///
/// # Errors
///
/// [`ServeError`] if a part cannot start.
pub async fn start<P: Platform>(
    cfg: HostConfig,
    listeners: Listeners,
    secret: PeerSecret,
    operators: Option<OperatorSecrets>,
    client: Client,
    platform: P,
    spawner: Spawner,
) -> Result<(Cx<P>, Ports)> {
    let addresses = listeners.addresses()?;
    let timers = Timers::start(&spawner);
    let peers = HttpPeers::new(client.clone(), secret.clone(), cfg.peer.clone());
    let (membership, events) = membership::start(
        Identity {
            host: cfg.host.clone(),
            data_centre: cfg.data_centre.clone(),
            peer: addresses.peers,
            caller: addresses.callers,
        },
        &cfg.membership,
        platform.clone(),
        peers.clone(),
        timers.clone(),
        &spawner,
    );
    let configuration = Configuration::default();
    let distribution = Distribution::new(
        DistributionConfig {
            data_dir: cfg.data_folder.clone(),
            ..cfg.distribution.clone()
        },
        configuration.clone(),
        platform.clone(),
        peers.clone(),
        KnownHosts::new(
            own_address(&cfg, &addresses),
            membership.clone(),
            cfg.membership.clone(),
        ),
        spawner.clone(),
    )?;
    let rates = Rates::new(
        cfg.limit.clone(),
        empty_view(&cfg),
        peers.clone(),
        spawner.clone(),
    );
    let cx = Arc::new(Context {
        client,
        configuration,
        endpoints: Endpoints::new(&cfg.endpoints),
        journals: Journals::new(platform.clone(), cfg.journal.clone(), spawner.clone()),
        layout: SharedLayout::default(),
        membership,
        metrics: Metrics::default(),
        peers,
        placing: Placing::default(),
        rates,
        readiness: Readiness::default(),
        retries: Mutex::new(RetryBudget::new(cfg.retry.clone())),
        secret,
        spawner,
        cfg,
    });
    let counters = Arc::clone(distribution.counters());
    cx.metrics
        .register(PartCounters::new(Cx::clone(&cx), counters));
    let operator = Operator::new(
        cx.cfg.operator.clone(),
        distribution.clone(),
        Backend(Cx::clone(&cx)),
    );
    let module = module(&cx, &distribution, &operator).expect("method names are distinct");
    let ports = Ports::default();
    let operator_port = OperatorPort {
        cx: Cx::clone(&cx),
        operator: Arc::new(operator),
        secrets: operators,
    };
    serve_ports(&cx, listeners, &ports, module, operator_port);
    let settled = Settled::default();
    start_links(&cx, events, platform, &timers, &settled).await;
    cx.spawner
        .detach(become_ready(Cx::clone(&cx), distribution, timers, settled));
    Ok((cx, ports))
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

fn module<P: Platform>(
    cx: &Cx<P>,
    distribution: &Distribution<P, HttpPeers, KnownHosts>,
    operator: &HostOperator<P>,
) -> std::result::Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    module.merge(membership::rpc_module(cx.membership.clone()))?;
    distribution::rpc::register(&mut module, distribution)?;
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
    let caller_cfg = ServerConfig {
        header_timeout: cx.cfg.caller.header_timeout,
        ..ServerConfig::default()
    };
    spawner.detach(server::serve(
        listeners.callers,
        spawner.clone(),
        caller_cfg,
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
        ServerConfig::default(),
        ports.peers.clone(),
        peer_port,
    ));
    spawner.detach(server::serve(
        listeners.operators,
        spawner.clone(),
        ServerConfig::default(),
        ports.operators.clone(),
        operator_port,
    ));
}

async fn start_links<P: Platform>(
    cx: &Cx<P>,
    events: Receiver<PartitionEvent>,
    platform: P,
    timers: &Timers,
    settled: &Settled,
) {
    let spawner = &cx.spawner;
    spawner.detach(links::run_partitions(Cx::clone(cx), events));
    spawner.detach(links::run_customers(Cx::clone(cx)));
    spawner.detach(limit_view::run(
        Cx::clone(cx),
        timers.clone(),
        settled.clone(),
    ));
    endpoints::start(cx, platform.clone(), timers);
    cx.rates.start(timers).await;
    let layout = cx.layout.clone();
    let wanted = Layout {
        data_centres: cx.cfg.all_data_centres(),
        partitions: cx.cfg.membership.partitions,
    };
    spawner.detach(async move { layout.load(&platform, &wanted).await });
}

/// Collects the configuration, then reports the host as ready.
async fn become_ready<P: Platform>(
    cx: Cx<P>,
    distribution: Distribution<P, HttpPeers, KnownHosts>,
    timers: Timers,
    settled: Settled,
) {
    until_listed(&cx).await;
    let mut standing = distribution.catch_up().await;
    while standing == Standing::Starting {
        Timer::after(CATCH_UP_RETRY).await;
        standing = distribution.catch_up().await;
    }
    distribution.start(&timers);
    // Without the platform there is no lease to wait for; the host then
    // serves what it can.
    while standing == Standing::Current && has_lease(&cx) && !settled.is_settled() {
        Timer::after(CATCH_UP_RETRY).await;
    }
    cx.readiness.set(true);
    log::info!("host ready host={} configuration={standing:?}", cx.cfg.host);
}

/// Waits until the other hosts can know this one, as long as a lease may take
/// if the platform answers.
async fn until_listed<P: Platform>(cx: &Cx<P>) {
    let give_up = Moment::now() + cx.cfg.membership.lapse_after();
    while !has_lease(cx) && Moment::now() < give_up {
        Timer::after(CATCH_UP_RETRY).await;
    }
}

fn has_lease<P: Platform>(cx: &Cx<P>) -> bool {
    let until = cx.membership.standing().lease_until;
    until.is_some_and(|until| Moment::now() < until)
}
