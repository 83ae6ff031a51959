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
use super::table::Form;
use super::table::Row;

/// A query whose fields and values fit its subject.
#[derive(Clone, Debug)]
pub(super) struct Filter {
    tests: Vec<Test>,
    order: Option<(usize, bool)>,
    limit: Option<usize>,
}

#[derive(Clone, Debug)]
struct Test {
    column: usize,
    comparison: Comparison,
    value: Cell,
}

impl Filter {
    /// Checks a query against its subject's columns.
    ///
    /// # Errors
    ///
    /// The first field or value that does not fit, at its place.
    pub(super) fn new(query: &Query) -> Result<Self> {
        let test = |condition| test(query.subject, condition);
        let order = match &query.order {
            Some(order) => Some((column(query.subject, &order.field)?, order.descending)),
            None => None,
        };
        Ok(Self {
            tests: query.conditions.iter().map(test).collect::<Result<_>>()?,
            order,
            limit: query.limit,
        })
    }

    /// The rows that match, in order.
    pub(super) fn select(&self, mut rows: Vec<Row>) -> Vec<Row> {
        rows.retain(|row| self.tests.iter().all(|test| test.holds(row)));
        rows.sort_by(|a, b| self.compare(a, b));
        rows
    }

    /// The first rows, up to the limit.
    pub(super) fn limit(&self, mut rows: Vec<Row>) -> Vec<Row> {
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        rows
    }

    fn compare(&self, a: &Row, b: &Row) -> Ordering {
        let by_field = self.order.map_or(Ordering::Equal, |(column, descending)| {
            let order = a.0[column].order(&b.0[column]);
            if descending { order.reverse() } else { order }
        });
        by_field.then_with(|| in_column_order(a, b))
    }
}

fn in_column_order(a: &Row, b: &Row) -> Ordering {
    let orders = a.0.iter().zip(&b.0).map(|(a, b)| a.order(b));
    orders.fold(Ordering::Equal, Ordering::then)
}

impl Test {
    fn holds(&self, row: &Row) -> bool {
        let cell = &row.0[self.column];
        if self.comparison == Comparison::Contains {
            return cell.to_string().contains(&self.value.to_string());
        }
        if *cell == Cell::Absent {
            return self.comparison == Comparison::NotEqual;
        }
        let order = cell.order(&self.value);
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

fn test(subject: Subject, condition: &Condition) -> Result<Test> {
    let column = column(subject, &condition.field)?;
    let form = match condition.comparison {
        Comparison::Contains => Form::Text,
        _ => subject.columns()[column].form,
    };
    Ok(Test {
        column,
        comparison: condition.comparison,
        value: cell(form, &condition.value)?,
    })
}

fn column(subject: Subject, field: &Spanned<String>) -> Result<usize> {
    let columns = subject.columns();
    let found = columns.iter().position(|column| column.name == field.value);
    found.ok_or_else(|| {
        let names: Vec<&str> = columns.iter().map(|column| column.name).collect();
        let message = format!("{} have no field `{}`", subject.as_str(), field.value);
        let expected = format!("expected one of {}", names.join(", "));
        Report::invalid(field.span, message, expected)
    })
}

fn cell(form: Form, value: &Spanned<String>) -> Result<Cell> {
    let text = &value.value;
    let wrong = |expected: &str| {
        let message = format!("`{text}` does not fit the field");
        Report::invalid(value.span, message, expected)
    };
    match form {
        Form::Text => Ok(Cell::Text(text.clone())),
        Form::Flag => text
            .parse()
            .map(Cell::Flag)
            .map_err(|_| wrong("expected true or false")),
        Form::Number => match (text.parse(), text.parse::<f64>()) {
            (Ok(count), _) => Ok(Cell::Count(count)),
            (_, Ok(number)) if number.is_finite() => Ok(Cell::Number(number)),
            _ => Err(wrong("expected a number")),
        },
    }
}
