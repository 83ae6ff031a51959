//! Client of the operator port: sends one statement and prints the answer.

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

use super::OutputFormat;
use crate::connection::operator_port::OPERATE_PATH;
use crate::operator::Answer;
use crate::operator::Report;
use crate::operator::render;
use crate::process::secrets;

/// Timeout for an answer; longer than the maximum `wait` of a command.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(660);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Exit code if there is no complete, valid answer.
const EXIT_NO_ANSWER: u8 = 10;
/// Exit code if the host rejects the secret.
const EXIT_UNAUTHORIZED: u8 = 11;

/// Error before the statement is sent.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum CtlError {
    /// The secret file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] secrets::SecretsError),
}

/// Result of sending a statement.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Sends a statement, prints the answer and returns the exit code.
///
/// # Errors
///
/// If the secret file cannot be used; nothing is sent in that case.
pub fn run(
    address: SocketAddr,
    secret_file: &Path,
    output: OutputFormat,
    text: &str,
) -> Result<ExitCode> {
    let secrets = secrets::read_lines(secret_file)?;
    let secret = secrets.first().map(String::as_str).unwrap_or_default();
    let spawner = Spawner::start(1);
    let client = Client::new(spawner, ClientConfig::default());
    let code = async_io::block_on(send_statement(&client, address, secret, output, text));
    Ok(ExitCode::from(code))
}

async fn send_statement(
    client: &Client,
    address: SocketAddr,
    secret: &str,
    output: OutputFormat,
    text: &str,
) -> u8 {
    let req = Request::post(OPERATE_PATH)
        .header(header::HOST, address.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {secret}"))
        .body(Body::from(text.to_owned()))
        .expect("the request is valid");
    let response = match client.send(address, req, ANSWER_TIMEOUT).await {
        Ok(response) => response,
        Err(e) => {
            eprintln!("no answer from {address}: {e}");
            return EXIT_NO_ANSWER;
        }
    };
    let status = response.status();
    match Body::collect(response.into_body(), MAX_ANSWER_BYTES).await {
        Ok(body) => print_answer(status, &body, output),
        Err(e) => {
            eprintln!("incomplete answer from {address}: {e}");
            EXIT_NO_ANSWER
        }
    }
}

fn print_answer(status: StatusCode, body: &[u8], output: OutputFormat) -> u8 {
    if status == StatusCode::UNAUTHORIZED {
        eprintln!("the host rejected the operator secret");
        return EXIT_UNAUTHORIZED;
    }
    if let Ok(answer) = serde_json::from_slice::<Answer>(body) {
        match output {
            OutputFormat::Json => print!("{}", render::json(&answer)),
            OutputFormat::Table => print!("{}", render::text(&answer)),
        }
        return answer.exit_code();
    }
    if let Ok(report) = serde_json::from_slice::<Report>(body) {
        eprint!("{}", render::report(&report));
        return report.failure.exit_code();
    }
    eprintln!("cannot parse the answer (status {status})");
    EXIT_NO_ANSWER
}
