//! Reads and validates the settings file; errors point to the faulty text.

use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;

use miette::Diagnostic;
use miette::NamedSource;
use miette::SourceSpan;
use toml::de::DeTable;

use crate::configs::host::HostConfig;
use crate::configs::host::SettingError;

/// Error of a settings file.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A setting is unknown, missing, of the wrong type or out of range.
    #[error("{message}")]
    #[diagnostic(help("docs/SETTINGS.md lists every setting with its range"))]
    Invalid {
        /// What is invalid and which values are allowed.
        message: String,
        /// Text of the file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Location of the setting in the text; `None` if it cannot be
        /// located.
        #[label("here")]
        at: Option<SourceSpan>,
    },
}

/// Result of reading a settings file.
pub type Result<T> = std::result::Result<T, Box<SettingsError>>;

/// Reads and validates a settings file.
///
/// # Errors
///
/// [`SettingsError`] with the file, the line and the allowed values.
pub fn load(path: &Path) -> Result<HostConfig> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates the text of a settings file; `name` is used in errors.
///
/// # Errors
///
/// [`SettingsError::Invalid`].
pub fn parse(name: &str, text: &str) -> Result<HostConfig> {
    let invalid = |message: String, at: Option<Range<usize>>| {
        Box::new(SettingsError::Invalid {
            message,
            source_code: NamedSource::new(name, text.to_owned()).with_language("toml"),
            at: at.map(Into::into),
        })
    };
    let cfg: HostConfig =
        toml::from_str(text).map_err(|e| invalid(e.message().to_owned(), e.span()))?;
    match cfg.check() {
        Ok(()) => Ok(cfg),
        Err(fault) => {
            let at = locate(text, fault.table, fault.field);
            Err(invalid(describe(&fault), at))
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

/// Locates a setting in the text.
fn locate(text: &str, table: &str, field: &str) -> Option<Range<usize>> {
    let document = DeTable::parse(text).ok()?;
    let root = document.get_ref();
    let parent = if table.is_empty() {
        root
    } else {
        root.get(table)?.get_ref().as_table()?
    };
    Some(parent.get(field)?.span())
}
