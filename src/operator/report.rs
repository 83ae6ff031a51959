//! Reports of failed statements.

use std::fmt;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::SourceCode;
use serde::Deserialize;
use serde::Serialize;

use super::language::Span;
use super::language::SyntaxError;
use crate::version::objects::Change;

/// Kind of failure of a statement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Another change was made first; the command has not run.
    Conflict,
    /// The object or key to create exists already, or the key was withdrawn.
    Exists,
    /// The operator has read-only permissions.
    Forbidden,
    /// A field or value is invalid, or a check of the command failed; nothing has
    /// run.
    Invalid,
    /// The object, key or program does not exist.
    NotFound,
    /// A dependency is unavailable; the command has not run.
    NotRun,
    /// The text is not a valid statement; nothing has run.
    Syntax,
    /// The outcome is unknown; the command may have run.
    Unknown,
}

impl Failure {
    /// Returns the exit code of `ctl` for this failure.
    pub const fn exit_code(self) -> u8 {
        match self {
            Self::Syntax | Self::Invalid => 2,
            Self::NotFound | Self::Exists => 3,
            Self::Conflict => 4,
            Self::NotRun => 5,
            Self::Unknown => 6,
            Self::Forbidden => 7,
        }
    }

    /// Returns the HTTP status code for this failure.
    pub const fn status(self) -> u16 {
        match self {
            Self::Syntax | Self::Invalid => 400,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict | Self::Exists => 409,
            Self::NotRun => 503,
            Self::Unknown => 504,
        }
    }
}

/// A failure with its position in the statement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Kind of failure.
    pub failure: Failure,
    /// Description of the failure in one sentence.
    pub message: String,
    /// Text of the statement.
    pub text: String,
    /// Position in the statement; `None` if the failure has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub span: Option<Span>,
    /// What was expected at that position.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Box<str>>,
    /// Advice for the operator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub help: Option<Box<str>>,
    /// Last change of the object, for [`Failure::Conflict`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other: Option<Box<Change>>,
}

/// Result of a statement.
pub type Result<T> = std::result::Result<T, Report>;

impl Report {
    /// Creates a report without a position in the statement.
    pub fn new(failure: Failure, message: impl Into<String>) -> Self {
        Self {
            failure,
            message: message.into(),
            text: String::new(),
            span: None,
            expected: None,
            help: None,
            other: None,
        }
    }

    /// Creates a [`Failure::Invalid`] report at a position in the statement.
    pub fn invalid(span: Span, message: impl Into<String>, expected: impl Into<Box<str>>) -> Self {
        Self {
            span: Some(span),
            expected: Some(expected.into()),
            ..Self::new(Failure::Invalid, message)
        }
    }

    /// Adds advice for the operator.
    #[must_use]
    pub fn with_help(self, help: impl Into<Box<str>>) -> Self {
        Self {
            help: Some(help.into()),
            ..self
        }
    }

    /// Adds the text of the statement, which positions refer to.
    #[must_use]
    pub fn with_text(mut self, text: &str) -> Self {
        self.text = text.to_owned();
        if let Some(span) = &mut self.span
            && span.start == text.len()
        {
            // Appends a space so that an error at the end has a character to
            // mark.
            self.text.push(' ');
            span.end = self.text.len();
        }
        self
    }
}

impl From<SyntaxError> for Report {
    fn from(e: SyntaxError) -> Self {
        Self {
            span: Some(e.span),
            expected: Some(format!("expected {}", e.expected).into()),
            ..Self::new(Failure::Syntax, "the statement cannot be read")
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Report {}

impl Diagnostic for Report {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.help.as_ref()?;
        Some(Box::new(help))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.span.is_some().then_some(&self.text as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = self.span?;
        let length = span.end.saturating_sub(span.start);
        let expected = self.expected.as_deref().map(str::to_owned);
        let label = LabeledSpan::new(expected, span.start, length);
        Some(Box::new(std::iter::once(label)))
    }
}
