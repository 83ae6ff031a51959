//! The two deployments that workloads are modelled on.

use std::time::Duration;

/// One service of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShape {
    /// Name of the service, also the first part of its path.
    pub name: &'static str,
    /// Whether the service is served by model engines.
    pub model: bool,
    /// Whether its calls may use slots reserved for interactive calls.
    pub interactive: bool,
    /// Whether its calls may run more than once.
    pub repeatable: bool,
    /// Mean duration of a call at an endpoint of speed 1; zero for a model
    /// service.
    pub mean_duration: Duration,
}

/// One endpoint of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointShape {
    /// Indices of the services of the endpoint.
    pub services: Vec<usize>,
    /// Index of the endpoint's data centre.
    pub data_centre: usize,
    /// Configured number of concurrent calls.
    pub concurrency: u32,
    /// Number of concurrent calls above which each call slows down.
    pub knee: u32,
    /// Speed relative to the mean endpoint.
    pub speed: f64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
}

/// One customer of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerShape {
    /// Fraction of all programs that the customer sends.
    pub share: f64,
    /// Index of the data centre that most of the customer's callers use.
    pub data_centre: usize,
}

/// Mix of programs that a deployment receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mix {
    /// Many short programs, and some long ones over growing documents.
    Scores,
    /// Mostly short plain calls, some of them interactive queries.
    Labels,
}

/// A deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way latency between data centres.
    pub distance: Duration,
    /// Number of scheduler hosts over all data centres.
    pub hosts: usize,
    /// Services; calls refer to them by index.
    pub services: Vec<ServiceShape>,
    /// Endpoints of all services.
    pub endpoints: Vec<EndpointShape>,
    /// Customers; programs refer to them by index.
    pub customers: Vec<CustomerShape>,
    /// Mix of its programs.
    pub mix: Mix,
}

/// Shares of eight customers, a few of them large.
const SHARES: [f64; 8] = [0.30, 0.24, 0.16, 0.10, 0.06, 0.06, 0.04, 0.04];
/// Speeds of batches of endpoints of different age.
const SPEEDS: [f64; 4] = [1.0, 0.6, 1.4, 0.8];
/// Concurrency of the batches of model engines.
const MODEL_CONCURRENCY: [u32; 4] = [6, 4, 8, 6];
/// Concurrency of the batches of plain endpoints.
const PLAIN_CONCURRENCY: [u32; 4] = [4, 4, 8, 6];
/// Concurrent calls above which the batches of plain endpoints slow down.
const PLAIN_KNEES: [u32; 4] = [4, 4, 8, 4];
/// Cache capacities of the batches of model engines, in tokens.
const CACHE_TOKENS: [u64; 4] = [400_000, 200_000, 600_000, 300_000];

impl Deployment {
    /// Returns a deployment of four data centres with 12 model engines and 24
    /// order-desk endpoints.
    pub fn scores() -> Self {
        let model = model_service("engrave");
        let desk = plain_service("desk", 80, false, true);
        let mut endpoints = model_endpoints(12, 4);
        endpoints.extend(plain_endpoints(24, 4, &[1]));
        Self {
            name: "scores",
            data_centres: 4,
            distance: Duration::from_micros(500),
            hosts: 8,
            services: vec![model, desk],
            endpoints,
            customers: customer_shapes(4),
            mix: Mix::Scores,
        }
    }

    /// Returns a deployment of three data centres with 8 model engines and 28
    /// labelling endpoints that also serve interactive queries.
    pub fn labels() -> Self {
        let model = model_service("assist");
        let labels = plain_service("labels", 120, false, false);
        let trace = plain_service("trace", 60, true, true);
        let mut endpoints = model_endpoints(8, 3);
        endpoints.extend(plain_endpoints(28, 3, &[1, 2]));
        Self {
            name: "labels",
            data_centres: 3,
            distance: Duration::from_micros(1_500),
            hosts: 6,
            services: vec![model, labels, trace],
            endpoints,
            customers: customer_shapes(3),
            mix: Mix::Labels,
        }
    }
}

fn model_service(name: &'static str) -> ServiceShape {
    ServiceShape {
        name,
        model: true,
        interactive: false,
        repeatable: true,
        mean_duration: Duration::ZERO,
    }
}

fn plain_service(name: &'static str, ms: u64, interactive: bool, repeatable: bool) -> ServiceShape {
    ServiceShape {
        name,
        model: false,
        interactive,
        repeatable,
        mean_duration: Duration::from_millis(ms),
    }
}

fn model_endpoints(count: usize, data_centres: usize) -> Vec<EndpointShape> {
    let shape = |n: usize| EndpointShape {
        services: vec![0],
        data_centre: n % data_centres,
        concurrency: MODEL_CONCURRENCY[n / data_centres % 4],
        knee: MODEL_CONCURRENCY[n / data_centres % 4],
        speed: SPEEDS[n / data_centres % 4],
        cache_tokens: CACHE_TOKENS[n / data_centres % 4],
    };
    (0..count).map(shape).collect()
}

fn plain_endpoints(count: usize, data_centres: usize, services: &[usize]) -> Vec<EndpointShape> {
    let shape = |n: usize| EndpointShape {
        services: services.to_vec(),
        data_centre: n % data_centres,
        concurrency: PLAIN_CONCURRENCY[n / data_centres % 4],
        knee: PLAIN_KNEES[n / data_centres % 4],
        speed: SPEEDS[n / data_centres % 4],
        cache_tokens: 0,
    };
    (0..count).map(shape).collect()
}

fn customer_shapes(data_centres: usize) -> Vec<CustomerShape> {
    let shares = SHARES.iter().enumerate();
    let shape = |(n, share): (usize, &f64)| CustomerShape {
        share: *share,
        data_centre: n % data_centres,
    };
    shares.map(shape).collect()
}
