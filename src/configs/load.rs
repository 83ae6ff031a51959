//! Plan of a load run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Deployment whose programs a load run imitates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Clients that hold connections, bodies and answers.
    Crowd,
    /// Short label calls, queries of inspectors and certificates.
    Labels,
    /// Short part extractions and long proofreading.
    #[default]
    Scores,
}

/// Plan of a load run.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadConfig {
    /// Deployment whose programs the run imitates.
    pub shape: Shape,
    /// Seed of the generator; equal seeds give equal programs.
    pub seed: u64,
    /// Mean arrival rate, in programs a second over all customers.
    pub programs_per_second: f64,
    /// Time during which programs arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// Factor applied to token counts and pauses.
    pub scale: f64,
    /// Most attempts for one call. Each further one starts after the delay
    /// given by the refusal.
    pub attempts: u32,
    /// Timeout of one attempt until the response head.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Time from the first attempt of a streamed call after which its first event
    /// counts as late.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_event_target_ms")]
    pub first_event_target: Duration,
    /// Addresses of the hosts for callers, one list for each data centre.
    pub hosts: Vec<Vec<SocketAddr>>,
    /// File with the secret of one caller a line, in the order of customers.
    pub secrets: PathBuf,
    /// Index of the customer with a surge in the middle half of the run, from 0;
    /// `None` for no surge.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub surge_customer: Option<usize>,
    /// Factor on the rate of that customer during the surge.
    pub surge_factor: f64,
    /// Number of clients of the shape `crowd`.
    pub crowd_clients: usize,
    /// Path with a route that the shape `crowd` uses beside others.
    pub crowd_path: String,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            shape: Shape::Scores,
            seed: 1,
            programs_per_second: 5.0,
            length: Duration::from_secs(30),
            scale: 0.1,
            attempts: 3,
            timeout: Duration::from_secs(60),
            first_event_target: Duration::from_millis(200),
            hosts: Vec::new(),
            secrets: PathBuf::new(),
            surge_customer: None,
            surge_factor: 5.0,
            crowd_clients: 200,
            crowd_path: "/".to_owned(),
        }
    }
}

const MAX_RATE: f64 = 10_000.0;
const MAX_LENGTH: Duration = Duration::from_secs(3600);
const MAX_SCALE: f64 = 100.0;

impl LoadConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range(
            "programs_per_second",
            self.programs_per_second,
            0.01,
            MAX_RATE,
        )?;
        check_range(
            "length_ms",
            self.length,
            Duration::from_millis(1),
            MAX_LENGTH,
        )?;
        check_range("scale", self.scale, 0.001, MAX_SCALE)?;
        check_range("attempts", self.attempts, 1, 100)?;
        check_range(
            "first_event_target_ms",
            self.first_event_target,
            Duration::from_millis(1),
            MAX_LENGTH,
        )?;
        check_range("hosts", self.hosts.len(), 1, 1000)?;
        check_range("surge_factor", self.surge_factor, 1.0, 1000.0)?;
        check_range("crowd_clients", self.crowd_clients, 1, 20_000)
    }
}
