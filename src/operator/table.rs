//! Rows with typed columns.

use std::cmp::Ordering;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::subject::Subject;
use crate::ids::HostId;

/// Form of a column's cells.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// True or false.
    Flag,
    /// A number.
    Number,
    /// Text.
    Text,
}

/// A column of rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Column {
    /// Its name in queries.
    pub name: &'static str,
    /// Form of its cells.
    pub form: Form,
}

impl Column {
    /// Names a column.
    pub const fn new(name: &'static str, form: Form) -> Self {
        Self { name, form }
    }
}

/// One cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Cell {
    /// No value.
    Absent,
    /// True or false.
    Flag(bool),
    /// A whole number.
    Count(u64),
    /// A number with a fraction.
    Number(f64),
    /// Text.
    Text(String),
}

impl Cell {
    /// Order for sorting; an absent value comes first.
    pub fn order(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Flag(a), Self::Flag(b)) => a.cmp(b),
            (Self::Count(a), Self::Count(b)) => a.cmp(b),
            (Self::Text(a), Self::Text(b)) => a.cmp(b),
            _ => match (self.number(), other.number()) {
                (Some(a), Some(b)) => a.total_cmp(&b),
                (a, b) => a.is_some().cmp(&b.is_some()),
            },
        }
    }

    /// The value of a number.
    pub fn number(&self) -> Option<f64> {
        match self {
            // Counts are shown, not computed with: the rounding is harmless.
            Self::Count(count) => Some(*count as f64),
            Self::Number(number) => Some(*number),
            Self::Absent | Self::Flag(_) | Self::Text(_) => None,
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("-"),
            Self::Flag(flag) => flag.fmt(f),
            Self::Count(count) => count.fmt(f),
            Self::Number(number) => number.fmt(f),
            Self::Text(text) => f.write_str(text),
        }
    }
}

/// A type that fills a column.
pub trait Field {
    /// Form of the column.
    const FORM: Form;

    /// The cell.
    fn into_cell(self) -> Cell;
}

macro_rules! field {
    ($type:ty, $form:ident, $cell:ident) => {
        impl Field for $type {
            const FORM: Form = Form::$form;

            fn into_cell(self) -> Cell {
                Cell::$cell(self)
            }
        }
    };
}

field!(String, Text, Text);
field!(bool, Flag, Flag);
field!(f64, Number, Number);
field!(u64, Number, Count);

impl<T: Field> Field for Option<T> {
    const FORM: Form = T::FORM;

    fn into_cell(self) -> Cell {
        self.map_or(Cell::Absent, Field::into_cell)
    }
}

/// Cells in the order of the subject's columns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Row(pub Vec<Cell>);

/// A host that had more rows than it sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cut {
    /// The host.
    pub host: HostId,
    /// Rows that it has.
    pub matched: usize,
}

/// Rows from the whole fleet, with what is missing of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// What the rows are.
    pub subject: Subject,
    /// The rows.
    pub rows: Vec<Row>,
    /// Hosts that did not answer in time.
    pub silent: Vec<HostId>,
    /// Hosts that had more rows than they may send.
    pub cut: Vec<Cut>,
}

impl Table {
    /// True if no rows are missing.
    pub fn is_complete(&self) -> bool {
        self.silent.is_empty() && self.cut.is_empty()
    }
}
