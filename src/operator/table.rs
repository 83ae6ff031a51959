//! Tables of rows with typed columns.

use std::cmp::Ordering;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::subject::Subject;
use crate::ids::HostId;

/// Type of a column's cells; `ctl` aligns numbers to the right.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ColumnType {
    /// True or false.
    Flag,
    /// A number.
    Number,
    /// Text.
    Text,
}

/// A column of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Column {
    /// Its name in queries.
    pub name: &'static str,
    /// Type of its cells.
    pub column_type: ColumnType,
}

impl Column {
    /// Creates a column.
    pub const fn new(name: &'static str, column_type: ColumnType) -> Self {
        Self { name, column_type }
    }
}

/// A cell of a table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Cell {
    /// No value.
    Absent,
    /// True or false.
    Flag(bool),
    /// A whole number.
    Count(u64),
    /// A floating-point number.
    Number(f64),
    /// Text.
    Text(String),
}

impl Cell {
    /// Compares two cells of a column for sorting; absent values sort before
    /// numbers.
    pub fn compare(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Flag(a), Self::Flag(b)) => a.cmp(b),
            (Self::Count(a), Self::Count(b)) => a.cmp(b),
            (Self::Text(a), Self::Text(b)) => a.cmp(b),
            _ => match (self.as_f64(), other.as_f64()) {
                (Some(a), Some(b)) => a.total_cmp(&b),
                (a, b) => a.is_some().cmp(&b.is_some()),
            },
        }
    }

    /// Returns the value of a numeric cell; `None` for other cells.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            // Rounding of large counts is harmless: the value is only compared.
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

/// A Rust type whose values can be cells of a column.
pub trait Field {
    /// Type of the column.
    const COLUMN_TYPE: ColumnType;

    /// Converts the value into a cell.
    fn into_cell(self) -> Cell;
}

macro_rules! field {
    ($type:ty, $column_type:ident, $cell:ident) => {
        impl Field for $type {
            const COLUMN_TYPE: ColumnType = ColumnType::$column_type;

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
    const COLUMN_TYPE: ColumnType = T::COLUMN_TYPE;

    fn into_cell(self) -> Cell {
        self.map_or(Cell::Absent, Field::into_cell)
    }
}

/// Cells of a row, in the order of the subject's columns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Row(pub Vec<Cell>);

/// A host that truncated its rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TruncatedHost {
    /// The host.
    pub host: HostId,
    /// Number of rows that matched, including those not sent.
    pub matched: usize,
}

/// Rows of a query, with the hosts whose rows are missing or truncated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Kind of the rows.
    pub subject: Subject,
    /// Rows in the query's order.
    pub rows: Vec<Row>,
    /// Hosts that did not send usable rows in time.
    pub silent: Vec<HostId>,
    /// Hosts that truncated their rows.
    pub cut: Vec<TruncatedHost>,
}

impl Table {
    /// Whether all hosts sent all their rows.
    pub fn is_complete(&self) -> bool {
        self.silent.is_empty() && self.cut.is_empty()
    }
}
