//! Sends one query or command to a host and prints the answer.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use http::Request;
use http::StatusCode;
use http::header;

use super::Output;
use crate::connection::operator_port::OPERATE_PATH;
use crate::operator::Answer;
use crate::operator::Report;
use crate::operator::render;
use crate::process::secrets;

/// Longest time for an answer, a command that waits included.
const TIMEOUT: Duration = Duration::from_secs(660);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Exit code if no answer came.
const EXIT_UNREACHABLE: u8 = 10;
/// Exit code if the secret is not accepted.
const EXIT_UNAUTHORIZED: u8 = 11;

/// Why there is no answer.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum CtlError {
    /// The file of the secret is refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] secrets::SecretsError),
}

/// Result of a query or command.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Sends a statement and prints the answer; gives the exit code.
///
/// # Errors
///
/// [`CtlError`] before anything is sent.
pub fn run(
    address: SocketAddr,
    secret_file: &Path,
    output: Output,
    text: &str,
) -> Result<ExitCode> {
    let secrets = secrets::read_lines(secret_file)?;
    let secret = secrets.first().map(String::as_str).unwrap_or_default();
    let spawner = Spawner::start(1);
    let client = Client::new(spawner, ClientConfig::default());
    let code = async_io::block_on(exchange(&client, address, secret, output, text));
    Ok(ExitCode::from(code))
}

async fn exchange(
    client: &Client,
    address: SocketAddr,
    secret: &str,
    output: Output,
    text: &str,
) -> u8 {
    let req = Request::post(OPERATE_PATH)
        .header(header::HOST, address.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {secret}"))
        .body(Body::from(text.to_owned()))
        .expect("the parts are valid");
    let response = match client.send(address, req, TIMEOUT).await {
        Ok(response) => response,
        Err(e) => {
            eprintln!("no answer from {address}: {e}");
            return EXIT_UNREACHABLE;
        }
    };
    let status = response.status();
    match Body::collect(response.into_body(), MAX_ANSWER_BYTES).await {
        Ok(body) => print(status, &body, output),
        Err(e) => {
            eprintln!("the answer of {address} broke off: {e}");
            EXIT_UNREACHABLE
        }
    }
}

fn print(status: StatusCode, body: &[u8], output: Output) -> u8 {
    if status == StatusCode::UNAUTHORIZED {
        eprintln!("the operator's secret is not accepted");
        return EXIT_UNAUTHORIZED;
    }
    if let Ok(answer) = serde_json::from_slice::<Answer>(body) {
        match output {
            Output::Json => print!("{}", render::json(&answer)),
            Output::Table => print!("{}", render::text(&answer)),
        }
        return answer.exit_code();
    }
    if let Ok(report) = serde_json::from_slice::<Report>(body) {
        eprint!("{}", render::report(&report));
        return report.failure.exit_code();
    }
    eprintln!("the answer cannot be read (status {status})");
    EXIT_UNREACHABLE
}
