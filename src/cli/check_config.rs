//! Checks a configuration before operators send it.

use std::convert::Infallible;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use futures_lite::future;
use http::Request;
use http::StatusCode;
use http::header;

use super::OutputFormat;
use crate::config_check;
use crate::config_check::Finding;
use crate::config_check::Level;
use crate::platform::ingress::CONFIGURATION_PATH;
use crate::platform::routes;
use crate::platform::routes::RoutesError;
use crate::platform::settings;
use crate::platform::settings::SettingsError;

/// Time limit for the whole answer of a host.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a configuration that a host shows, in bytes; the store takes
/// less than a megabyte.
const MAX_CONFIGURATION_BYTES: usize = 16 << 20;

/// Why a configuration cannot be checked.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum CheckConfigError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file holds no configuration.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Error of the decoder, with line and column.
        source: RoutesError,
    },
    /// The host shows no configuration that this release can decode.
    #[error("{address}: {source}")]
    InvalidAtHost {
        /// Readiness address of the host.
        address: SocketAddr,
        /// Error of the decoder, with line and column.
        source: RoutesError,
    },
    /// The host does not show the version in force.
    #[error("cannot read the version in force at {address}: {why}")]
    NoAnswer {
        /// Readiness address of the host.
        address: SocketAddr,
        /// What failed.
        why: String,
    },
    /// The settings of a host cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Where the version in force is read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigurationSource {
    /// File that holds it.
    File(PathBuf),
    /// Readiness address of an entry host.
    Host(SocketAddr),
}

impl FromStr for ConfigurationSource {
    type Err = Infallible;

    fn from_str(text: &str) -> std::result::Result<Self, Infallible> {
        Ok(text
            .parse()
            .map_or_else(|_| Self::File(text.into()), Self::Host))
    }
}

/// Result of a check.
pub type Result<T> = std::result::Result<T, CheckConfigError>;

/// Checks the configuration in a file, by itself and against the version in force.
/// Hosts show hashes in place of keys, which are then compared. `settings` is the
/// platform's settings file of a host, which names the regions of the data centres;
/// without it, no region is looked for.
///
/// # Errors
///
/// If a file cannot be read or decoded, or the host does not answer.
pub fn run(
    path: &Path,
    in_force: Option<&ConfigurationSource>,
    settings: Option<&Path>,
) -> Result<Vec<Finding>> {
    let text = read(path)?;
    let invalid = |source| CheckConfigError::Invalid {
        path: path.to_owned(),
        source,
    };
    let next = routes::decode_parts(&text).map_err(invalid)?;
    let mut findings = config_check::check(&next);
    if let Some(settings) = settings {
        let regions = settings::read(settings)?.regions()?;
        findings.extend(config_check::check_regions(&next, &regions));
    }
    match in_force {
        Some(ConfigurationSource::File(path)) => {
            let before = routes::decode_parts(&read(path)?);
            let before = before.map_err(|source| CheckConfigError::Invalid {
                path: path.clone(),
                source,
            })?;
            findings.extend(config_check::differences(&next, &before));
        }
        Some(ConfigurationSource::Host(address)) => {
            let shown = fetch(*address)?;
            let before = routes::decode_parts(&shown);
            let before = before.map_err(|source| CheckConfigError::InvalidAtHost {
                address: *address,
                source,
            })?;
            let next = routes::without_keys(&text).and_then(|text| routes::decode_parts(&text));
            let next = next.map_err(invalid)?;
            findings.extend(config_check::differences(&next, &before));
        }
        None => (),
    }
    Ok(findings)
}

/// Formats findings: a line each, or a JSON list.
pub fn format(findings: &[Finding], output: OutputFormat) -> String {
    match output {
        OutputFormat::Json => {
            let json = serde_json::to_string(findings);
            json.expect("typed fields always encode as JSON") + "\n"
        }
        OutputFormat::Table => findings
            .iter()
            .map(|finding| format!("{finding}\n"))
            .collect(),
    }
}

/// Returns 0, 1 if there are warnings, or 2 if there are errors.
pub fn exit_code(findings: &[Finding]) -> ExitCode {
    ExitCode::from(match config_check::worst(findings) {
        Some(Level::Error) => 2,
        Some(Level::Warning) => 1,
        Some(Level::Difference) | None => 0,
    })
}

fn read(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|source| CheckConfigError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Reads the version in force at a host, without keys.
fn fetch(address: SocketAddr) -> Result<Vec<u8>> {
    let client = Client::new(Spawner::start(1), ClientConfig::default());
    let no_answer = |why: String| CheckConfigError::NoAnswer { address, why };
    let receive = async {
        let req = Request::get(CONFIGURATION_PATH)
            .header(header::HOST, address.to_string())
            .body(Body::empty())
            .expect("the request is valid");
        let response = client.send(address, req, FETCH_TIMEOUT).await;
        let response = response.map_err(|e| no_answer(e.to_string()))?;
        match response.status() {
            StatusCode::OK => {
                let body = Body::collect(response.into_body(), MAX_CONFIGURATION_BYTES).await;
                body.map(Vec::from).map_err(|e| no_answer(e.to_string()))
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(no_answer("the host has no configuration yet".to_owned()))
            }
            status => Err(no_answer(format!(
                "status {status}; is this the readiness port of an entry host of this release?"
            ))),
        }
    };
    let expire = async {
        Timer::after(FETCH_TIMEOUT).await;
        Err(no_answer(format!(
            "no complete answer within {} s",
            FETCH_TIMEOUT.as_secs()
        )))
    };
    async_io::block_on(future::or(receive, expire))
}
