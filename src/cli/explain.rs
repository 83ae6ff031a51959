//! Collects the event log lines of one request or program from several hosts.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use super::OutputFormat;

/// Fields that hold the id of the request or program of a line.
const ID_FIELDS: [&str; 2] = ["request", "program"];
/// Fields that are printed first, without their names.
const LEADING_FIELDS: [&str; 3] = ["at_ms", "host", "event"];

/// Why no lines are printed.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ExplainError {
    /// A log file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the log file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No line has the id of the request or program.
    #[error("no log line mentions `{0}`")]
    #[diagnostic(help(
        "hosts drop log lines above their rate limit; `lines-dropped` events count them"
    ))]
    NotFound(String),
}

/// Result of collecting log lines.
pub type Result<T> = std::result::Result<T, ExplainError>;

/// Reads log files and formats the lines of a request or program, sorted by
/// time.
///
/// # Errors
///
/// If a file cannot be read or no line has the id.
pub fn run(id: &str, files: &[PathBuf], output: OutputFormat) -> Result<String> {
    let mut texts = Vec::new();
    for path in files {
        texts.push(read_log(path)?);
    }
    let lines = find_lines(id, texts.iter().map(String::as_str));
    if lines.is_empty() {
        return Err(ExplainError::NotFound(id.to_owned()));
    }
    let render = |fields: &Map<String, Value>| match output {
        OutputFormat::Json => format!("{}\n", Value::Object(fields.clone())),
        OutputFormat::Table => format_line(fields),
    };
    Ok(lines.iter().map(render).collect())
}

fn read_log(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| ExplainError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Returns the lines of a request or program, sorted by time. Text before a
/// line's JSON, such as a timestamp added by a log collector, is ignored.
pub fn find_lines<'a>(id: &str, texts: impl Iterator<Item = &'a str>) -> Vec<Map<String, Value>> {
    let lines = texts.flat_map(str::lines).filter_map(|line| {
        let start = line.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
        let has_id = |field: &&str| fields.get(*field).and_then(Value::as_str) == Some(id);
        ID_FIELDS.iter().any(has_id).then_some(fields)
    });
    let mut lines: Vec<_> = lines.collect();
    lines.sort_by_key(|fields| fields.get("at_ms").and_then(Value::as_u64));
    lines
}

fn format_line(fields: &Map<String, Value>) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let field = |name: &str| fields.get(name).map_or_else(String::new, text);
    let leading: Vec<String> = LEADING_FIELDS.iter().map(|name| field(name)).collect();
    let others = fields
        .iter()
        .filter(|(name, value)| !LEADING_FIELDS.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", text(value)));
    let others: Vec<String> = others.collect();
    format!("{} {}\n", leading.join(" "), others.join(" "))
}
