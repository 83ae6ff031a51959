//! Development mode: runs a host in one process with an embedded platform,
//! model engine and plain service, and with a customer that has a key.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use chicoryarch_standins::engine::EngineStandin;
use chicoryarch_standins::engine::config::EngineConfig;
use chicoryarch_standins::platform::PlatformStandin;
use chicoryarch_standins::service::ServiceStandin;
use rand::Rng;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use super::drain;
use super::drain::DrainOutcome;
use super::listeners;
use super::listeners::Listeners;
use super::serve;
use super::serve::Resources;
use crate::configs::caller::CallerConfig;
use crate::configs::distribution::DistributionConfig;
use crate::configs::door::DoorConfig;
use crate::configs::drain::DrainConfig;
use crate::configs::endpoints::EndpointsConfig;
use crate::configs::history::HistoryConfig;
use crate::configs::host::HostConfig;
use crate::configs::host::ListenConfig;
use crate::configs::host::LogConfig;
use crate::configs::host::SecretsConfig;
use crate::configs::journal::JournalConfig;
use crate::configs::limit::LimitConfig;
use crate::configs::membership::MembershipConfig;
use crate::configs::operator::OperatorConfig;
use crate::configs::peer::PeerConfig;
use crate::configs::place::PlaceConfig;
use crate::configs::platform::PlatformConfig;
use crate::configs::queue::QueueConfig;
use crate::configs::resources::ResourcesConfig;
use crate::configs::retry::RetryConfig;
use crate::connection::peer::PeerSecret;
use crate::connection::platform;
use crate::connection::platform::Expect;
use crate::connection::platform::PlatformError;
use crate::connection::platform::http::HttpPlatform;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::operator::OperatorSecrets;
use crate::operator::answer::Secret;
use crate::operator::credentials::new_operator_secret;
use crate::version::objects::Customer;
use crate::version::objects::Endpoint;
use crate::version::objects::EndpointState;
use crate::version::objects::Key;
use crate::version::objects::KeySet;
use crate::version::objects::Kind;
use crate::version::objects::Record;
use crate::version::objects::Service;
use crate::version::objects::ServiceKind;

/// Name of the host, its data centre and the customer.
const NAME: &str = "dev";
/// Name of the model service.
const MODEL: &str = "model";
/// Name of the plain service.
const ORDERS: &str = "orders";
/// Concurrent calls of each endpoint.
const CONCURRENCY: u32 = 8;
/// Number of random bytes in a secret.
const SECRET_BYTES: usize = 16;
/// Prefix of a caller's secret.
const CALLER_PREFIX: &str = "chk_";
/// Interval at which the readiness of the host is checked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error of a start in development mode.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum DevError {
    /// An operation of the operating system failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A call to the embedded platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A port cannot be opened.
    #[error(transparent)]
    Bind(#[from] listeners::BindError),
    /// The host failed to start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Serve(#[from] serve::ServeError),
}

/// Result of running in development mode.
pub type Result<T> = std::result::Result<T, DevError>;

/// Runs the host and its stand-ins until a signal to stop has drained it.
///
/// `port` is the port for callers; the kernel chooses the others.
///
/// # Errors
///
/// [`DevError`] if a component fails to start.
pub async fn run(port: u16, spawner: Spawner) -> Result<DrainOutcome> {
    let platform = PlatformStandin::start(&spawner, loopback(0)).await?;
    let engine = EngineStandin::start(&spawner, loopback(0), EngineConfig::default()).await?;
    let service = ServiceStandin::start(&spawner, loopback(0)).await?;
    let cfg = host_config(port, platform.addr());
    let client = Client::new(spawner.clone(), ClientConfig::default());
    let api = HttpPlatform::new(client.clone(), &cfg.host, cfg.platform.clone());
    let secret = random_secret(CALLER_PREFIX);
    create_objects(&api, engine.addr(), service.addr(), &secret).await?;
    let listeners = Listeners::open(&cfg).await?;
    let addresses = listeners.addresses()?;
    let operator = new_operator_secret();
    let operators = OperatorSecrets::single(NAME, &operator);
    let peer_secret = PeerSecret::new(vec![random_secret("")]);
    let resources = Resources {
        client,
        listeners,
        operators: Some(operators),
        platform: api,
        secret: peer_secret,
        spawner,
    };
    let (cx, ports) = serve::start(cfg, resources).await?;
    while !cx.readiness.is_ready() {
        Timer::after(READY_POLL_INTERVAL).await;
    }
    print_example(addresses.callers, &secret);
    print_operator_example(addresses.operators, &operator);
    Ok(drain::run_until_drained(&cx, &ports).await?)
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn random_secret(prefix: &str) -> String {
    let bytes: [u8; SECRET_BYTES] = rand::rng().random();
    format!("{prefix}{}", hex::encode(bytes))
}

fn data_centre() -> DataCentre {
    NAME.parse().expect("a constant name is valid")
}

fn service_id(name: &str) -> ServiceId {
    name.parse().expect("a constant name is valid")
}

/// Settings of the host. Its periods are short, since there are no other hosts
/// to wait for.
fn host_config(port: u16, platform: SocketAddr) -> HostConfig {
    HostConfig {
        host: NAME.parse().expect("a constant name is valid"),
        data_centre: data_centre(),
        data_centres: Vec::new(),
        threads: 1,
        data_folder: None,
        listen: ListenConfig {
            callers: loopback(port),
            peers: loopback(0),
            operators: loopback(0),
        },
        secrets: SecretsConfig {
            peers: PathBuf::new(),
            operators: None,
        },
        log: LogConfig::default(),
        caller: CallerConfig::default(),
        distribution: DistributionConfig::default(),
        door: DoorConfig::default(),
        drain: DrainConfig {
            notice: Duration::ZERO,
            ..DrainConfig::default()
        },
        history: HistoryConfig::default(),
        endpoints: EndpointsConfig::default(),
        journal: JournalConfig::default(),
        limit: LimitConfig::default(),
        operator: OperatorConfig::default(),
        membership: MembershipConfig {
            heartbeat_period: Duration::from_millis(100),
            lease_ttl: Duration::from_secs(1),
            partitions: 4,
            ..MembershipConfig::default()
        },
        peer: PeerConfig::default(),
        place: PlaceConfig::default(),
        queue: QueueConfig::default(),
        platform: PlatformConfig {
            address: platform,
            ..PlatformConfig::default()
        },
        resources: ResourcesConfig::default(),
        retry: RetryConfig::default(),
    }
}

/// Creates the customer, its key, the services and their endpoints.
async fn create_objects(
    api: &HttpPlatform,
    engine: SocketAddr,
    service: SocketAddr,
    secret: &str,
) -> Result<()> {
    let key = Key {
        hash: Sha256::digest(secret).into(),
        withdrawn: false,
    };
    let keys = KeySet {
        keys: [(NAME.parse().expect("a constant name is valid"), key)].into(),
    };
    let customer = Customer {
        rate: 100.0,
        burst: 200.0,
        ..Customer::default()
    };
    let model = Service {
        kind: ServiceKind::Model,
        repeatable: true,
        ..Service::default()
    };
    create(api, Kind::Customer, NAME, &customer).await?;
    create(api, Kind::Keys, NAME, &keys).await?;
    create(api, Kind::Service, MODEL, &model).await?;
    create(api, Kind::Service, ORDERS, &Service::default()).await?;
    create(api, Kind::Endpoint, "engine", &endpoint(engine, MODEL)).await?;
    create(api, Kind::Endpoint, "orders", &endpoint(service, ORDERS)).await
}

fn endpoint(address: SocketAddr, service: &str) -> Endpoint {
    Endpoint {
        address,
        data_centre: data_centre(),
        services: [service_id(service)].into(),
        concurrency: CONCURRENCY,
        checks_fence: false,
        state: EndpointState::Serving,
        host: None,
    }
}

async fn create<T: Serialize + Sync>(
    api: &HttpPlatform,
    kind: Kind,
    name: &str,
    value: &T,
) -> Result<()> {
    let record = Record {
        value: Some(value),
        changes: Vec::new(),
    };
    platform::write_value(api, kind.as_str(), name, Expect::Absent, &record).await?;
    Ok(())
}

fn print_example(callers: SocketAddr, secret: &str) {
    println!("ready; to request a completion and a once-only order, run:");
    println!(
        "curl -N http://{callers}/{MODEL}/v1/chat/completions \
         -H 'Authorization: Bearer {secret}' -H 'Content-Type: application/json' \
         -d '{{\"model\":\"m\",\"stream\":true,\"max_tokens\":8,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!(
        "curl http://{callers}/{ORDERS}/confirm -H 'Authorization: Bearer {secret}' \
         -H 'Idempotency-Key: order-1' -d '{{\"order\":1}}'"
    );
}

fn print_operator_example(operators: SocketAddr, secret: &Secret) {
    println!("to list the programs as an operator, run:");
    println!(
        "curl http://{operators}/operate -H 'Authorization: Bearer {}' -d 'show programs'",
        secret.0
    );
}
