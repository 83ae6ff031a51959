//! Reads and checks the settings file, with errors that point into it.

use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;

use miette::Diagnostic;
use miette::NamedSource;
use miette::SourceSpan;
use toml::de::DeTable;

use crate::configs::host::HostConfig;
use crate::configs::host::SettingError;

/// Why a settings file is refused.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub enum SettingsError {
    /// It cannot be read.
    #[error("cannot read the settings file {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// A setting is unknown, missing, of the wrong type or out of its range.
    #[error("{message}")]
    #[diagnostic(help("docs/SETTINGS.md lists every setting with its range"))]
    Wrong {
        /// What is wrong and what is allowed.
        message: String,
        /// The file's text.
        #[source_code]
        source_code: NamedSource<String>,
        /// Where it is wrong.
        #[label("here")]
        at: Option<SourceSpan>,
    },
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Box<SettingsError>>;

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`SettingsError`] naming file, line and what is allowed.
pub fn load(path: &Path) -> Result<HostConfig> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&path.display().to_string(), &text)
}

/// Parses and checks the text of a settings file; `name` is used in errors.
///
/// # Errors
///
/// [`SettingsError::Wrong`].
pub fn parse(name: &str, text: &str) -> Result<HostConfig> {
    let wrong = |message: String, at: Option<Range<usize>>| {
        Box::new(SettingsError::Wrong {
            message,
            source_code: NamedSource::new(name, text.to_owned()).with_language("toml"),
            at: at.map(Into::into),
        })
    };
    let cfg: HostConfig =
        toml::from_str(text).map_err(|e| wrong(e.message().to_owned(), e.span()))?;
    match cfg.check() {
        Ok(()) => Ok(cfg),
        Err(fault) => {
            let at = find(text, fault.table, fault.field);
            Err(wrong(describe(&fault), at))
        }
    }
}

fn describe(fault: &SettingError) -> String {
    if fault.table.is_empty() {
        fault.message.clone()
    } else {
        format!("in [{}]: {}", fault.table, fault.message)
    }
}

/// Finds where a setting stands in the text.
fn find(text: &str, table: &str, field: &str) -> Option<Range<usize>> {
    let document = DeTable::parse(text).ok()?;
    let root = document.get_ref();
    let holder = if table.is_empty() {
        root
    } else {
        root.get(table)?.get_ref().as_table()?
    };
    Some(holder.get(field)?.span())
}
