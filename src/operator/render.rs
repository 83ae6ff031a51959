//! Formats answers and reports as text or JSON.

use std::fmt::Write;

use miette::GraphicalReportHandler;
use miette::GraphicalTheme;

use super::answer::Accepted;
use super::answer::Answer;
use super::answer::Withdrawn;
use super::report::Report;
use super::table::Cell;
use super::table::ColumnType;
use super::table::Table;
use crate::ids::HostId;
use crate::process::distribution::InForce;
use crate::process::distribution::withdraw::Recorded;

/// Width at which reports are wrapped, in terminal columns.
const REPORT_WIDTH: usize = 100;

/// Formats an answer as text for people.
pub fn text(answer: &Answer) -> String {
    match answer {
        Answer::Accepted(accepted) => accepted_text(accepted),
        Answer::Cancelled(program) => format!("cancelled program {program}\n"),
        Answer::Table(table) => table_text(table),
        Answer::Withdrawn(withdrawn) => withdrawn_text(withdrawn),
    }
}

/// Formats an answer as JSON; each row of a table is an object keyed by column
/// name.
pub fn json(answer: &Answer) -> String {
    let value = match answer {
        Answer::Table(table) => serde_json::json!({
            "subject": table.subject,
            "complete": table.is_complete(),
            "silent": table.silent,
            "cut": table.cut,
            "rows": table.rows.iter().map(|row| row_object(table, &row.0)).collect::<Vec<_>>(),
        }),
        other => serde_json::to_value(other).expect("typed answers always encode as JSON"),
    };
    format!("{value:#}\n")
}

/// Formats a report as text that marks the error position in the statement.
pub fn report(report: &Report) -> String {
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(REPORT_WIDTH)
        .without_cause_chain();
    handler
        .render_report(&mut text, report)
        .expect("writing to a string never fails");
    text
}

fn row_object(table: &Table, cells: &[Cell]) -> serde_json::Map<String, serde_json::Value> {
    let columns = table.subject.columns().iter();
    let field = |(column, cell): (&super::table::Column, &Cell)| {
        let value = serde_json::to_value(cell).expect("cells always encode as JSON");
        (column.name.to_owned(), value)
    };
    columns.zip(cells).map(field).collect()
}

fn table_text(table: &Table) -> String {
    let columns = table.subject.columns();
    let cells: Vec<Vec<String>> = table
        .rows
        .iter()
        .map(|row| row.0.iter().map(escaped_cell).collect())
        .collect();
    let width = |index: usize| {
        let longest = cells.iter().map(|row| row[index].chars().count()).max();
        longest.unwrap_or(0).max(columns[index].name.len())
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut text = String::new();
    let header: Vec<String> = columns
        .iter()
        .map(|column| column.name.to_owned())
        .collect();
    add_cells(&mut text, table, &widths, &header);
    for row in &cells {
        add_cells(&mut text, table, &widths, row);
    }
    text.push_str(&incomplete_text(table));
    text
}

/// Escapes control characters so that cell text cannot move the cursor of the
/// terminal.
fn escaped_cell(cell: &Cell) -> String {
    let text = cell.to_string();
    if !text.contains(char::is_control) {
        return text;
    }
    text.chars().flat_map(char::escape_default).collect()
}

fn add_cells(text: &mut String, table: &Table, widths: &[usize], cells: &[String]) {
    let columns = table.subject.columns();
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .zip(columns)
        .map(|((cell, width), column)| match column.column_type {
            ColumnType::Number => format!("{cell:>width$}"),
            ColumnType::Flag | ColumnType::Text => format!("{cell:<width$}"),
        })
        .collect();
    text.push_str(padded.join("  ").trim_end());
    text.push('\n');
}

fn incomplete_text(table: &Table) -> String {
    let mut text = String::new();
    if !table.silent.is_empty() {
        let hosts = join_names(&table.silent);
        add_line(
            &mut text,
            format_args!("incomplete: no answer from {hosts}"),
        );
    }
    for truncated in &table.cut {
        let (host, matched) = (&truncated.host, truncated.matched);
        add_line(
            &mut text,
            format_args!("incomplete: {host} has {matched} rows and sent fewer"),
        );
    }
    text
}

fn accepted_text(accepted: &Accepted) -> String {
    let mut text = String::new();
    let (kind, name) = (accepted.object.kind.as_str(), &accepted.object.name);
    let version = accepted.version;
    add_line(
        &mut text,
        format_args!("accepted: {kind} {name} at version {version}"),
    );
    if let Some(secret) = &accepted.secret {
        add_line(
            &mut text,
            format_args!("secret, shown only now: {}", secret.0),
        );
    }
    add_in_force(&mut text, accepted.in_force.as_ref());
    text
}

fn withdrawn_text(withdrawn: &Withdrawn) -> String {
    let mut text = String::new();
    let (key, withdrawal) = (&withdrawn.key, &withdrawn.withdrawal);
    let reached = withdrawal.reached.len();
    add_line(
        &mut text,
        format_args!(
            "withdrawn: key {} of {} at {reached} hosts",
            key.key, key.customer
        ),
    );
    if !withdrawal.missed.is_empty() {
        let missed = join_names(&withdrawal.missed);
        add_line(&mut text, format_args!("not yet reached: {missed}"));
    }
    match &withdrawal.recorded {
        Recorded::At(version) => add_line(&mut text, format_args!("recorded at version {version}")),
        Recorded::NotYet(reason) => add_line(
            &mut text,
            format_args!("not yet recorded, and offered again until it is: {reason}"),
        ),
    }
    add_in_force(&mut text, withdrawn.in_force.as_ref());
    text
}

fn add_in_force(text: &mut String, confirmations: Option<&InForce>) {
    let Some(confirmations) = confirmations else {
        return;
    };
    let confirmed = confirmations.in_force.len();
    if confirmations.is_complete() {
        add_line(text, format_args!("in force at all {confirmed} hosts"));
        return;
    }
    if confirmations.missing.is_empty() {
        add_line(
            text,
            format_args!("in force at {confirmed} hosts; the list of hosts is not up to date"),
        );
        return;
    }
    let missing = join_names(&confirmations.missing);
    add_line(
        text,
        format_args!("in force at {confirmed} hosts; not confirmed by {missing}"),
    );
}

fn join_names(hosts: &[HostId]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    names.join(", ")
}

fn add_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string never fails");
}
