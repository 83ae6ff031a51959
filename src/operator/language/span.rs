//! Positions in the text of a statement.

use serde::Deserialize;
use serde::Serialize;

/// A byte range in the text of a statement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

/// A value with its position. Equality ignores the position, so that parsed and
/// constructed statements compare equal.
#[derive(Clone, Debug)]
pub struct Spanned<T> {
    /// Value without quotes and escapes.
    pub value: T,
    /// Position in the text; empty for values that were not parsed.
    pub span: Span,
}

impl<T: PartialEq> PartialEq for Spanned<T> {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}

impl<T> From<T> for Spanned<T> {
    fn from(value: T) -> Self {
        Self {
            value,
            span: Span::default(),
        }
    }
}
