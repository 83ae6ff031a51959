//! Why a statement gave no answer.

use std::fmt;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::SourceCode;
use serde::Deserialize;
use serde::Serialize;

use super::language::Span;
use super::language::SyntaxError;
use crate::version::objects::Change;

/// Kind of a failure.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Another change was made first; this one has not run.
    Conflict,
    /// What is to be created exists.
    Exists,
    /// The operator may only ask.
    Forbidden,
    /// A field or value does not fit; nothing has run.
    Invalid,
    /// No such object.
    NotFound,
    /// Something needed is unavailable; the command has not run.
    NotRun,
    /// The text is not a statement; nothing has run.
    Syntax,
    /// The command may have run.
    Unknown,
}

impl Failure {
    /// Exit code of `ctl`.
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

    /// HTTP status of the answer.
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

/// A failure with its place in the text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// What kind of failure.
    pub failure: Failure,
    /// One sentence for a person.
    pub message: String,
    /// The statement.
    pub text: String,
    /// Place in the statement, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub span: Option<Span>,
    /// What is expected at that place.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<Box<str>>,
    /// What the operator can do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub help: Option<Box<str>>,
    /// The change that was made first, for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other: Option<Box<Change>>,
}

/// Result of a statement.
pub type Result<T> = std::result::Result<T, Report>;

impl Report {
    /// A failure without a place in the text.
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

    /// A value that does not fit, at its place.
    pub fn invalid(span: Span, message: impl Into<String>, expected: impl Into<Box<str>>) -> Self {
        Self {
            span: Some(span),
            expected: Some(expected.into()),
            ..Self::new(Failure::Invalid, message)
        }
    }

    /// The same report with advice.
    #[must_use]
    pub fn with_help(self, help: impl Into<Box<str>>) -> Self {
        Self {
            help: Some(help.into()),
            ..self
        }
    }

    /// The same report about a text.
    #[must_use]
    pub fn about(mut self, text: &str) -> Self {
        self.text = text.to_owned();
        if let Some(span) = &mut self.span
            && span.start == text.len()
        {
            // A blank, so that there is a place to point at.
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
