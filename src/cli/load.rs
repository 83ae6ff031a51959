//! Runs a load plan and compares results.

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

/// Why a run or comparison is refused.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum LoadError {
    /// A file cannot be read or written.
    #[error("cannot use {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// A plan or result cannot be read.
    #[error("{path}: {detail}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A value of the plan is out of its range.
    #[error(transparent)]
    Range(#[from] OutOfRange),
    /// The file of secrets is refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secrets(#[from] secrets::SecretsError),
}

/// Result of a run or comparison.
pub type Result<T> = std::result::Result<T, LoadError>;

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| LoadError::File {
        path: path.to_owned(),
        source,
    })
}

fn malformed(path: &Path, detail: &impl ToString) -> LoadError {
    LoadError::Malformed {
        path: path.to_owned(),
        detail: detail.to_string(),
    }
}

/// Runs a plan, prints the result and writes it to a file if one is named.
///
/// # Errors
///
/// [`LoadError`] before anything is sent, or if the result cannot be written.
pub fn run(plan: &Path, output: Option<&Path>) -> Result<()> {
    let cfg: LoadConfig = toml::from_str(&read(plan)?).map_err(|e| malformed(plan, &e))?;
    cfg.check()?;
    let secrets = secrets::read_lines(&cfg.secrets)?;
    let spawner = Spawner::start(DEFAULT_THREADS);
    let result = async_io::block_on(run::run(cfg, &secrets, &spawner));
    let text = serde_json::to_string_pretty(&result).expect("a result always encodes as JSON");
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
/// [`LoadError`] if one cannot be read.
pub fn compare(before: &Path, after: &Path) -> Result<()> {
    let load = |path: &Path| -> Result<LoadResult> {
        serde_json::from_str(&read(path)?).map_err(|e| malformed(path, &e))
    };
    print!("{}", result::compare(&load(before)?, &load(after)?));
    Ok(())
}
