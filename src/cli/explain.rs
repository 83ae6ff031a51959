//! Prints the path of a request or program through the hosts, from their logs.

use std::fmt::Write;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use super::OutputFormat;
use super::progress::Progress;
use crate::log_analysis::lines::LogError;
use crate::log_analysis::lines::Logs;
use crate::log_analysis::trail::Trail;

/// Times that logs are read at most: for lines of the id, of its requests, and for
/// what the hosts knew.
const PASSES: u64 = 3;

/// Why no path is printed.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ExplainError {
    /// The logs cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Logs(#[from] LogError),
    /// Standard input can be read only once.
    #[error("the logs are read several times, so they must be files")]
    StandardInput,
    /// No line has the id of the request or program.
    #[error("no log line mentions `{0}`")]
    #[diagnostic(help(
        "hosts drop log lines above their rate limit; `lines-dropped` events count them"
    ))]
    NotFound(String),
}

/// Result of reading logs.
pub type Result<T> = std::result::Result<T, ExplainError>;

/// Reads logs and formats the path of a request or program.
///
/// # Errors
///
/// If a log cannot be read or no line has the id.
pub fn run(id: &str, paths: &[PathBuf], output: OutputFormat) -> Result<String> {
    let logs = Logs::find(paths)?;
    let bytes = logs.bytes().ok_or(ExplainError::StandardInput)?;
    let mut progress = Progress::new(Some(bytes * PASSES));
    let trail = Trail::find(id, &logs, |bytes| progress.advance(bytes))?;
    if trail.stops.is_empty() {
        return Err(ExplainError::NotFound(id.to_owned()));
    }
    Ok(match output {
        OutputFormat::Json => {
            let stops = trail.stops.iter().map(serde_json::to_string);
            stops
                .map(|stop| stop.expect("text keys encode as JSON") + "\n")
                .collect()
        }
        OutputFormat::Table => text(id, &trail),
    })
}

fn text(id: &str, trail: &Trail) -> String {
    let first = trail.stops.iter().flat_map(|stop| &stop.lines).next();
    let begin = first.map_or(0, |line| line.at_ms);
    let mut out = format!("{id}, from {begin} (Unix ms)\n");
    let mut add = |line: String| writeln!(out, "{line}").expect("strings take text");
    for (n, stop) in trail.stops.iter().enumerate() {
        let place = stop.data_centre.as_deref();
        let place = place.map_or(String::new(), |place| format!(" in {place}"));
        add(format!("\n{}. {}{place}", n + 1, stop.host));
        for input in &stop.inputs {
            let line = &input.line;
            add(format!(
                "     {}: {}{}, {} ms before",
                input.input,
                line.event,
                fields_text(&line.fields),
                input.age_ms
            ));
        }
        for line in &stop.lines {
            let after = line.at_ms - begin;
            add(format!(
                "   +{after} ms {}{}",
                line.event,
                fields_text(&line.fields)
            ));
        }
    }
    if trail.omitted > 0 {
        add(format!("\n{} more lines are left out", trail.omitted));
    }
    if let Some((path, number)) = &trail.counts.first_malformed {
        let malformed = trail.counts.malformed;
        let path = path.file_name().unwrap_or_default().display();
        add(format!(
            "\n{malformed} lines cannot be read, the first is line {number} of {path}"
        ));
    }
    out
}

fn fields_text(fields: &Map<String, Value>) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    fields
        .iter()
        .map(|(name, value)| format!(" {name}={}", text(value)))
        .collect()
}
