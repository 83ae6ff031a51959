//! Runs load plans and compares their results.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use chicoryarch_net::Spawner;

use crate::configs::OutOfRange;
use crate::configs::host::DEFAULT_THREADS;
use crate::configs::load::LoadConfig;
use crate::load::result;
use crate::load::result::LoadResult;
use crate::load::run;
use crate::process::secrets;

/// Error of a load run or comparison.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum LoadError {
    /// A file cannot be read or written.
    #[error("cannot access {path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A plan or result cannot be parsed.
    #[error("{path}: {detail}")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser.
        detail: String,
    },
    /// A value of the plan is out of range.
    #[error(transparent)]
    Range(#[from] OutOfRange),
    /// The secrets file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secrets(#[from] secrets::SecretsError),
}

/// Result of a load run or comparison.
pub type Result<T> = std::result::Result<T, LoadError>;

fn read_text(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| LoadError::File {
        path: path.to_owned(),
        source,
    })
}

fn malformed_error(path: &Path, detail: &impl ToString) -> LoadError {
    LoadError::Malformed {
        path: path.to_owned(),
        detail: detail.to_string(),
    }
}

/// Runs a plan, prints the result as JSON and writes it to `output` if set.
///
/// # Errors
///
/// If the plan or its secrets are invalid, in which case nothing is sent, or if
/// the result cannot be written.
pub fn run(plan: &Path, output: Option<&Path>) -> Result<()> {
    let cfg: LoadConfig =
        toml::from_str(&read_text(plan)?).map_err(|e| malformed_error(plan, &e))?;
    cfg.check()?;
    let secrets = secrets::read_lines(&cfg.secrets)?;
    let spawner = Spawner::start(DEFAULT_THREADS);
    let result = async_io::block_on(run::run(cfg, &secrets, &spawner));
    let text =
        serde_json::to_string_pretty(&result).expect("load results always serialize to JSON");
    println!("{text}");
    if let Some(path) = output {
        fs::write(path, text).map_err(|source| LoadError::File {
            path: path.to_owned(),
            source,
        })?;
    }
    Ok(())
}

/// Prints two results side by side.
///
/// # Errors
///
/// If one of the files cannot be read or parsed.
pub fn compare(before: &Path, after: &Path) -> Result<()> {
    let load_result = |path: &Path| -> Result<LoadResult> {
        serde_json::from_str(&read_text(path)?).map_err(|e| malformed_error(path, &e))
    };
    print!(
        "{}",
        result::compare(&load_result(before)?, &load_result(after)?)
    );
    Ok(())
}
