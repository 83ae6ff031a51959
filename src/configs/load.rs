//! Plan of a load run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::within;

/// Shape of the programs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Short label calls, inspectors' queries and certificates.
    Labels,
    /// Part extractions and long proofreading.
    #[default]
    Scores,
}

/// Plan of a load run.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadConfig {
    /// Shape of the programs.
    pub shape: Shape,
    /// Seed; the same seed gives the same programs.
    pub seed: u64,
    /// Programs a second over all customers.
    pub programs_per_second: f64,
    /// Time during which programs arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// Factor on tokens, work and pauses.
    pub scale: f64,
    /// Attempts for one call, each after the time that a refusal names.
    pub attempts: u32,
    /// Longest time of one attempt.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Callers' addresses of the hosts, a list for each data centre.
    pub hosts: Vec<Vec<SocketAddr>>,
    /// File with one caller's secret a line, in the order of the customers.
    pub secrets: PathBuf,
    /// Customer that sends more, by its position from 0.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub surge_customer: Option<usize>,
    /// Multiple of its rate that it sends.
    pub surge_factor: f64,
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
            hosts: Vec::new(),
            secrets: PathBuf::new(),
            surge_customer: None,
            surge_factor: 5.0,
        }
    }
}

const MAX_RATE: f64 = 10_000.0;
const MAX_LENGTH: Duration = Duration::from_secs(3600);
const MAX_SCALE: f64 = 100.0;

impl LoadConfig {
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// The first setting that is out of its range.
    pub fn check(&self) -> Result<()> {
        within(
            "programs_per_second",
            self.programs_per_second,
            0.01,
            MAX_RATE,
        )?;
        within(
            "length_ms",
            self.length,
            Duration::from_millis(1),
            MAX_LENGTH,
        )?;
        within("scale", self.scale, 0.001, MAX_SCALE)?;
        within("attempts", self.attempts, 1, 100)?;
        within("hosts", self.hosts.len(), 1, 1000)?;
        within("surge_factor", self.surge_factor, 1.0, 1000.0)
    }
}
