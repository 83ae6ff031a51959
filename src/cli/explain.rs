//! Joins the log lines of several hosts into the trail of one request or
//! program.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use super::Output;

/// Fields that name what a line is about.
const SUBJECTS: [&str; 2] = ["request", "program"];
/// Fields that are printed before the others.
const LEADING: [&str; 3] = ["at_ms", "host", "event"];

/// Why there is no trail.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum ExplainError {
    /// A log cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// No line names the request or program.
    #[error("no line of the logs names `{0}`")]
    #[diagnostic(help("lines beyond a host's rate are dropped; `lines-dropped` counts them"))]
    Absent(String),
}

/// Result of looking for a trail.
pub type Result<T> = std::result::Result<T, ExplainError>;

/// Reads logs and gives the trail of a request or program.
///
/// # Errors
///
/// [`ExplainError`].
pub fn run(id: &str, files: &[PathBuf], output: Output) -> Result<String> {
    let mut texts = Vec::new();
    for path in files {
        texts.push(read(path)?);
    }
    let trail = trail(id, texts.iter().map(String::as_str));
    if trail.is_empty() {
        return Err(ExplainError::Absent(id.to_owned()));
    }
    let line = |fields: &Map<String, Value>| match output {
        Output::Json => format!("{}\n", Value::Object(fields.clone())),
        Output::Table => in_words(fields),
    };
    Ok(trail.iter().map(line).collect())
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| ExplainError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Lines about a request or program, by time. What stands before a line's
/// JSON, such as a time that a collector added, is passed over.
pub fn trail<'a>(id: &str, texts: impl Iterator<Item = &'a str>) -> Vec<Map<String, Value>> {
    let lines = texts.flat_map(str::lines).filter_map(|line| {
        let start = line.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
        let names = |subject: &&str| fields.get(*subject).and_then(Value::as_str) == Some(id);
        SUBJECTS.iter().any(names).then_some(fields)
    });
    let mut lines: Vec<_> = lines.collect();
    lines.sort_by_key(|fields| fields.get("at_ms").and_then(Value::as_u64));
    lines
}

fn in_words(fields: &Map<String, Value>) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let field = |name: &str| fields.get(name).map_or_else(String::new, text);
    let leading: Vec<String> = LEADING.iter().map(|name| field(name)).collect();
    let others = fields
        .iter()
        .filter(|(name, value)| !LEADING.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", text(value)));
    let others: Vec<String> = others.collect();
    format!("{} {}\n", leading.join(" "), others.join(" "))
}
