//! Applies the conditions, order and limit of a query to rows.

use std::cmp::Ordering;

use super::language::Comparison;
use super::language::Condition;
use super::language::Query;
use super::language::Spanned;
use super::report::Report;
use super::report::Result;
use super::subject::Subject;
use super::table::Cell;
use super::table::ColumnType;
use super::table::Row;

/// Conditions, order and limit of a query, resolved to columns of its subject.
#[derive(Clone, Debug)]
pub(super) struct Filter {
    predicates: Vec<Predicate>,
    /// Index of the column to sort by, and whether in descending order.
    order: Option<(usize, bool)>,
    limit: Option<usize>,
}

#[derive(Clone, Debug)]
struct Predicate {
    column: usize,
    comparison: Comparison,
    value: Cell,
}

impl Filter {
    /// Resolves a query against the columns of its subject.
    ///
    /// # Errors
    ///
    /// If a field is unknown or a value has the wrong type; the report points at
    /// it.
    pub(super) fn new(query: &Query) -> Result<Self> {
        let to_predicate = |condition| resolve_condition(query.subject, condition);
        let order = match &query.order {
            Some(order) => Some((column_index(query.subject, &order.field)?, order.descending)),
            None => None,
        };
        Ok(Self {
            predicates: query
                .conditions
                .iter()
                .map(to_predicate)
                .collect::<Result<_>>()?,
            order,
            limit: query.limit,
        })
    }

    /// Returns the rows that match, sorted.
    pub(super) fn select(&self, mut rows: Vec<Row>) -> Vec<Row> {
        rows.retain(|row| {
            self.predicates
                .iter()
                .all(|predicate| predicate.matches(row))
        });
        rows.sort_by(|a, b| self.compare(a, b));
        rows
    }

    /// Returns the first rows, up to the query's limit.
    pub(super) fn apply_limit(&self, mut rows: Vec<Row>) -> Vec<Row> {
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        rows
    }

    fn compare(&self, a: &Row, b: &Row) -> Ordering {
        let by_field = self.order.map_or(Ordering::Equal, |(column, descending)| {
            let order = a.0[column].compare(&b.0[column]);
            if descending { order.reverse() } else { order }
        });
        by_field.then_with(|| compare_columns(a, b))
    }
}

fn compare_columns(a: &Row, b: &Row) -> Ordering {
    let orders = a.0.iter().zip(&b.0).map(|(a, b)| a.compare(b));
    orders.fold(Ordering::Equal, Ordering::then)
}

impl Predicate {
    fn matches(&self, row: &Row) -> bool {
        let cell = &row.0[self.column];
        if self.comparison == Comparison::Contains {
            return cell.to_string().contains(&self.value.to_string());
        }
        if *cell == Cell::Absent {
            return self.comparison == Comparison::NotEqual;
        }
        let order = cell.compare(&self.value);
        match self.comparison {
            Comparison::Contains => false,
            Comparison::Equal => order.is_eq(),
            Comparison::Greater => order.is_gt(),
            Comparison::GreaterOrEqual => order.is_ge(),
            Comparison::Less => order.is_lt(),
            Comparison::LessOrEqual => order.is_le(),
            Comparison::NotEqual => order.is_ne(),
        }
    }
}

fn resolve_condition(subject: Subject, condition: &Condition) -> Result<Predicate> {
    let column = column_index(subject, &condition.field)?;
    let column_type = match condition.comparison {
        Comparison::Contains => ColumnType::Text,
        _ => subject.columns()[column].column_type,
    };
    Ok(Predicate {
        column,
        comparison: condition.comparison,
        value: parse_cell(column_type, &condition.value)?,
    })
}

fn column_index(subject: Subject, field: &Spanned<String>) -> Result<usize> {
    let columns = subject.columns();
    let index = columns.iter().position(|column| column.name == field.value);
    index.ok_or_else(|| {
        let names: Vec<&str> = columns.iter().map(|column| column.name).collect();
        let message = format!("{} have no field `{}`", subject.as_str(), field.value);
        let expected = format!("expected one of {}", names.join(", "));
        Report::invalid(field.span, message, expected)
    })
}

fn parse_cell(column_type: ColumnType, value: &Spanned<String>) -> Result<Cell> {
    let text = &value.value;
    let invalid_value = |expected: &str| {
        let message = format!("`{text}` does not fit the field");
        Report::invalid(value.span, message, expected)
    };
    match column_type {
        ColumnType::Text => Ok(Cell::Text(text.clone())),
        ColumnType::Flag => text
            .parse()
            .map(Cell::Flag)
            .map_err(|_| invalid_value("expected true or false")),
        ColumnType::Number => match (text.parse(), text.parse::<f64>()) {
            (Ok(count), _) => Ok(Cell::Count(count)),
            (_, Ok(number)) if number.is_finite() => Ok(Cell::Number(number)),
            _ => Err(invalid_value("expected a number")),
        },
    }
}
