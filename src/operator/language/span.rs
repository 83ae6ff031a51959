//! Places in the text of a statement.

use serde::Deserialize;
use serde::Serialize;

/// A range of bytes in the text.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// First byte.
    pub start: usize,
    /// Byte after the last one.
    pub end: usize,
}

/// A value with its place; comparison looks at the value only.
#[derive(Clone, Debug)]
pub struct Spanned<T> {
    /// The value.
    pub value: T,
    /// Where it stands.
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
