//! Sizes of the two deployments that workloads are shaped like.

use std::time::Duration;

/// One service of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShape {
    /// Its name.
    pub name: &'static str,
    /// True for model engines.
    pub model: bool,
    /// True if its calls may use reserved places.
    pub interactive: bool,
    /// True if its calls may run more than once.
    pub repeatable: bool,
    /// Time of a mean plain call at an endpoint of speed 1.
    pub plain: Duration,
}

/// One endpoint of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointShape {
    /// Indices of the services that it serves.
    pub services: Vec<usize>,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Calls that it is configured to run at once.
    pub places: u32,
    /// Calls that it runs at once without slowing down.
    pub knee: u32,
    /// Speed relative to a mean endpoint.
    pub speed: f64,
    /// Tokens that its prefix cache holds.
    pub cache_tokens: u64,
}

/// One customer of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerShape {
    /// Fraction of all programs.
    pub share: f64,
    /// Data centre that most of its callers use.
    pub data_centre: usize,
}

/// Which programs a deployment sees.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mix {
    /// Many short programs and some that run long over growing documents.
    Scores,
    /// Mostly short plain calls, with interactive queries among them.
    Labels,
}

/// A deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way time between data centres.
    pub distance: Duration,
    /// Hosts of the scheduler, spread over the data centres.
    pub hosts: usize,
    /// Services.
    pub services: Vec<ServiceShape>,
    /// Endpoints.
    pub endpoints: Vec<EndpointShape>,
    /// Customers.
    pub customers: Vec<CustomerShape>,
    /// Its programs.
    pub mix: Mix,
}

/// Shares of eight customers of which a few are large.
const SHARES: [f64; 8] = [0.30, 0.24, 0.16, 0.10, 0.06, 0.06, 0.04, 0.04];
/// Speeds of batches of endpoints that were bought at different times.
const SPEEDS: [f64; 4] = [1.0, 0.6, 1.4, 0.8];
/// Places of the batches of model engines.
const MODEL_PLACES: [u32; 4] = [6, 4, 8, 6];
/// Places of the batches of plain endpoints.
const PLAIN_PLACES: [u32; 4] = [4, 4, 8, 6];
/// Calls that the batches of plain endpoints run without slowing down.
const PLAIN_KNEES: [u32; 4] = [4, 4, 8, 4];
/// Prefix cache of the batches of model engines, in tokens.
const CACHE_TOKENS: [u64; 4] = [400_000, 200_000, 600_000, 300_000];

impl Deployment {
    /// Four data centres with twelve model engines and 24 order-desk endpoints.
    pub fn scores() -> Self {
        let model = model("engrave");
        let desk = plain("desk", 80, false, true);
        let mut endpoints = models(12, 4);
        endpoints.extend(plains(24, 4, &[1]));
        Self {
            name: "notovka",
            data_centres: 4,
            distance: Duration::from_micros(500),
            hosts: 8,
            services: vec![model, desk],
            endpoints,
            customers: customers(4),
            mix: Mix::Scores,
        }
    }

    /// Three data centres with eight model engines and 28 labelling endpoints
    /// that serve interactive queries too.
    pub fn labels() -> Self {
        let model = model("assist");
        let labels = plain("labels", 120, false, false);
        let trace = plain("trace", 60, true, true);
        let mut endpoints = models(8, 3);
        endpoints.extend(plains(28, 3, &[1, 2]));
        Self {
            name: "huerta-sur",
            data_centres: 3,
            distance: Duration::from_micros(1_500),
            hosts: 6,
            services: vec![model, labels, trace],
            endpoints,
            customers: customers(3),
            mix: Mix::Labels,
        }
    }
}

fn model(name: &'static str) -> ServiceShape {
    ServiceShape {
        name,
        model: true,
        interactive: false,
        repeatable: true,
        plain: Duration::ZERO,
    }
}

fn plain(name: &'static str, ms: u64, interactive: bool, repeatable: bool) -> ServiceShape {
    ServiceShape {
        name,
        model: false,
        interactive,
        repeatable,
        plain: Duration::from_millis(ms),
    }
}

fn models(count: usize, data_centres: usize) -> Vec<EndpointShape> {
    let shape = |n: usize| EndpointShape {
        services: vec![0],
        data_centre: n % data_centres,
        places: MODEL_PLACES[n / data_centres % 4],
        knee: MODEL_PLACES[n / data_centres % 4],
        speed: SPEEDS[n / data_centres % 4],
        cache_tokens: CACHE_TOKENS[n / data_centres % 4],
    };
    (0..count).map(shape).collect()
}

fn plains(count: usize, data_centres: usize, services: &[usize]) -> Vec<EndpointShape> {
    let shape = |n: usize| EndpointShape {
        services: services.to_vec(),
        data_centre: n % data_centres,
        places: PLAIN_PLACES[n / data_centres % 4],
        knee: PLAIN_KNEES[n / data_centres % 4],
        speed: SPEEDS[n / data_centres % 4],
        cache_tokens: 0,
    };
    (0..count).map(shape).collect()
}

fn customers(data_centres: usize) -> Vec<CustomerShape> {
    let shares = SHARES.iter().enumerate();
    let shape = |(n, share): (usize, &f64)| CustomerShape {
        share: *share,
        data_centre: n % data_centres,
    };
    shares.map(shape).collect()
}
